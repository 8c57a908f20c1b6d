// Package relay forwards requests to entry hosts of other failure domains:
// it reserves a slot there first and sends the request only then.
package relay

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/server"
)

const (
	// Path is where the desk's handler is mounted at the peer listener.
	Path = "/relay/"
	// HeaderTicket names the reservation of a forwarded request.
	HeaderTicket = "Azurering-Ticket"
	// HeaderService names the service of a forwarded request.
	HeaderService = "Azurering-Service"

	// ticketLength is how long a reservation waits for its request: some
	// round trips between regions over a lossy link.
	ticketLength = 2 * time.Second
	pieceSize    = 32 << 10
)

// ReserveFunc reserves one slot of a service for another domain, or refuses with
// a coded error. It keeps what the own domain needs.
type ReserveFunc func(service core.ServiceID, class core.Class) (core.Slot, error)

// ReceiverConfig configures a Desk. All fields are required.
type ReceiverConfig struct {
	Timer   core.Timer
	Peers   core.Peers
	Reserve ReserveFunc
	Servers core.Servers
	// SharedSecret must come with each forwarded request. Empty means that the
	// listener checks client certificates instead.
	SharedSecret string
	MaxBodyBytes int64 // bytes
	Log          logrus.FieldLogger
}

// Receiver gives out reservations and serves the forwarded requests. It is safe
// for concurrent use.
type Receiver struct {
	cfg    ReceiverConfig
	digest [32]byte

	mu      sync.Mutex
	tickets map[string]ticket
}

type ticket struct {
	slot    core.Slot
	service core.ServiceID
	until   time.Duration
}

// NewReceiver returns a desk and registers its handler of reserve messages.
func NewReceiver(cfg ReceiverConfig) *Receiver {
	d := &Receiver{cfg: cfg, digest: sha256.Sum256([]byte("Bearer " + cfg.SharedSecret)), tickets: make(map[string]ticket)}
	cfg.Peers.Handle(core.KindReserve, d.reserve)
	return d
}

func (d *Receiver) reserve(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
	ask := m.(core.ReserveRequest)
	slot, err := d.cfg.Reserve(ask.Service, ask.Class)
	if err != nil {
		return nil, err
	}
	name := uuid.NewString()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tickets[name] = ticket{slot: slot, service: ask.Service, until: d.cfg.Timer.Now() + ticketLength}
	return core.ReserveResponse{Granted: true, Ticket: name, TTL: ticketLength}, nil
}

// ExpireReservations gives back the slots of reservations whose request did not come.
// Its owner calls it about once a second.
func (d *Receiver) ExpireReservations() {
	now := d.cfg.Timer.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, t := range d.tickets {
		if now >= t.until {
			delete(d.tickets, name)
			t.slot.Release(core.Outcome{})
		}
	}
}

// take returns the reservation of a ticket, once.
func (d *Receiver) take(name string, service core.ServiceID) (core.Slot, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.tickets[name]
	if !ok || t.service != service || d.cfg.Timer.Now() >= t.until {
		return nil, false
	}
	delete(d.tickets, name)
	return t.slot, true
}

// ServeHTTP serves a forwarded request. A refusal before the request was
// sent on says that it was not run.
func (d *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !d.allowed(r) {
		refuse(w, http.StatusUnauthorized, "relay: credential is missing or wrong")
		return
	}
	service := core.ServiceID(r.Header.Get(HeaderService))
	slot, ok := d.take(r.Header.Get(HeaderTicket), service)
	if !ok {
		refuse(w, http.StatusConflict, "relay: reservation is unknown or has expired")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, d.cfg.MaxBodyBytes))
	if err != nil {
		slot.Release(core.Outcome{})
		refuse(w, http.StatusBadRequest, "relay: body cannot be read")
		return
	}
	d.forward(w, r, slot, service, body)
}

func (d *Receiver) allowed(r *http.Request) bool {
	if d.cfg.SharedSecret == "" {
		return r.TLS != nil && len(r.TLS.VerifiedChains) > 0
	}
	sum := sha256.Sum256([]byte(r.Header.Get("Authorization")))
	return subtle.ConstantTimeCompare(sum[:], d.digest[:]) == 1
}

func refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set(server.HeaderRun, server.NotRun)
	http.Error(w, text, status)
}

func (d *Receiver) forward(w http.ResponseWriter, r *http.Request, slot core.Slot, service core.ServiceID, body []byte) {
	start := d.cfg.Timer.Now()
	request := core.Request{
		Workspace: core.WorkspaceID(r.Header.Get(server.HeaderWorkspace)), Service: service,
		Method: r.Method, Path: strings.TrimPrefix(r.URL.RequestURI(), strings.TrimSuffix(Path, "/")),
		Header: cleaned(r.Header), Body: body,
	}
	resp, err := d.cfg.Servers.Send(r.Context(), slot.Server(), request)
	if err != nil {
		state := sendState(err)
		slot.Release(core.Outcome{
			Failed: r.Context().Err() == nil, Shed: state == core.SendRefused, Abandoned: state == core.SendUnknown,
			Latency: d.cfg.Timer.Now() - start,
		})
		if state == core.SendUnknown {
			// Only a cut connection leaves the outcome open at the sender.
			panic(http.ErrAbortHandler)
		}
		refuse(w, http.StatusServiceUnavailable, "relay: backend server did not run the request")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	failed := !copyAnswer(w, resp)
	slot.Release(core.Outcome{Failed: failed, Abandoned: failed, Latency: d.cfg.Timer.Now() - start})
	if failed {
		d.cfg.Log.WithFields(logrus.Fields{"event": "relay-cut", "service": service, "server": slot.Server().Name, "code": int(codes.ServerCut)}).Warn("forwarded answer was cut")
		panic(http.ErrAbortHandler)
	}
}

// cleaned removes the headers of the forwarding itself.
func cleaned(in http.Header) http.Header {
	out := in.Clone()
	for _, name := range []string{"Authorization", HeaderTicket, HeaderService, server.HeaderWorkspace, server.HeaderDeadline, "Connection", "Content-Length"} {
		out.Del(name)
	}
	return out
}

// copyAnswer reports whether the whole answer was passed on.
func copyAnswer(w http.ResponseWriter, resp core.Response) bool {
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.Status)
	control := http.NewResponseController(w)
	buf := make([]byte, pieceSize)
	var sent int64
	for {
		n, readErr := resp.Body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return false
			}
			sent += int64(n)
			_ = control.Flush()
		}
		if readErr == io.EOF {
			return resp.Length < 0 || sent == resp.Length
		}
		if readErr != nil {
			return false
		}
	}
}
