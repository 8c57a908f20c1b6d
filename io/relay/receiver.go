// Package relay forwards requests to entry hosts of other failure domains. An
// entry host whose own domain has no free slot uses Client to reserve a slot
// at a host of another domain and then send the request there; Receiver is the
// receiving side.
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
	// Path is the HTTP path of the peer listener at which a Receiver must be
	// mounted.
	Path = "/relay/"
	// HeaderTicket is the header with the ticket of the reservation that a
	// forwarded request uses.
	HeaderTicket = "Azurering-Ticket"
	// HeaderService is the header with the service of a forwarded request.
	HeaderService = "Azurering-Service"

	// ticketTTL is how long a reservation waits for its request. It allows
	// several round trips between regions over a lossy link.
	ticketTTL      = 2 * time.Second
	copyBufferSize = 32 << 10 // bytes
)

// ReserveFunc reserves one slot of a service for a request of another domain. It
// returns an error with a code if only the slots that the own domain needs
// are left.
type ReserveFunc func(service core.ServiceID, class core.Class) (core.Slot, error)

// ReceiverConfig configures a Receiver. All fields but Credential are required.
type ReceiverConfig struct {
	Timer   core.Timer
	Peers   core.Peers
	Reserve ReserveFunc
	Servers core.Servers
	// SharedSecret is the bearer token that each forwarded request must have.
	// If it is empty, requests must come over TLS with a verified client
	// certificate instead.
	SharedSecret string
	MaxBodyBytes int64 // maximum size of a request body in bytes
	Log          logrus.FieldLogger
}

// Receiver reserves slots for other hosts and serves the requests that they
// forward. It is safe for concurrent use.
type Receiver struct {
	cfg            ReceiverConfig
	credentialHash [32]byte

	mu      sync.Mutex
	tickets map[string]ticket
}

// ticket is a reservation that has not been used yet.
type ticket struct {
	slot      core.Slot
	service   core.ServiceID
	expiresAt time.Duration
}

// NewReceiver returns a Receiver and registers its handler for reserve messages with
// cfg.Peers.
func NewReceiver(cfg ReceiverConfig) *Receiver {
	d := &Receiver{cfg: cfg, credentialHash: sha256.Sum256([]byte("Bearer " + cfg.SharedSecret)), tickets: make(map[string]ticket)}
	cfg.Peers.Handle(core.KindReserve, d.reserve)
	return d
}

func (d *Receiver) reserve(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
	request := m.(core.ReserveRequest)
	slot, err := d.cfg.Reserve(request.Service, request.Class)
	if err != nil {
		return nil, err
	}
	id := uuid.NewString()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tickets[id] = ticket{slot: slot, service: request.Service, expiresAt: d.cfg.Timer.Now() + ticketTTL}
	return core.ReserveResponse{Granted: true, Ticket: id, TTL: ticketTTL}, nil
}

// ExpireReservations releases the slots of reservations whose request did not arrive in
// time. It must be called about once a second.
func (d *Receiver) ExpireReservations() {
	now := d.cfg.Timer.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, t := range d.tickets {
		if now >= t.expiresAt {
			delete(d.tickets, id)
			t.slot.Release(core.Outcome{})
		}
	}
}

// redeem removes a ticket and returns its slot, unless the ticket is unknown,
// expired or for another service.
func (d *Receiver) redeem(id string, service core.ServiceID) (core.Slot, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.tickets[id]
	if !ok || t.service != service || d.cfg.Timer.Now() >= t.expiresAt {
		return nil, false
	}
	delete(d.tickets, id)
	return t.slot, true
}

// ServeHTTP serves a forwarded request. If the request was not run, the
// response says so in the header Azurering-Run; if it may have been run but
// there is no whole response, the connection is aborted.
func (d *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !d.authorized(r) {
		writeNotRun(w, http.StatusUnauthorized, "relay: credential is missing or wrong")
		return
	}
	service := core.ServiceID(r.Header.Get(HeaderService))
	slot, ok := d.redeem(r.Header.Get(HeaderTicket), service)
	if !ok {
		writeNotRun(w, http.StatusConflict, "relay: reservation is unknown or has expired")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, d.cfg.MaxBodyBytes))
	if err != nil {
		slot.Release(core.Outcome{})
		writeNotRun(w, http.StatusBadRequest, "relay: body cannot be read")
		return
	}
	d.forward(w, r, slot, service, body)
}

func (d *Receiver) authorized(r *http.Request) bool {
	if d.cfg.SharedSecret == "" {
		return r.TLS != nil && len(r.TLS.VerifiedChains) > 0
	}
	hash := sha256.Sum256([]byte(r.Header.Get("Authorization")))
	return subtle.ConstantTimeCompare(hash[:], d.credentialHash[:]) == 1
}

// writeNotRun answers that the request was not run.
func writeNotRun(w http.ResponseWriter, status int, text string) {
	w.Header().Set(server.HeaderRun, server.NotRun)
	http.Error(w, text, status)
}

func (d *Receiver) forward(w http.ResponseWriter, r *http.Request, slot core.Slot, service core.ServiceID, body []byte) {
	start := d.cfg.Timer.Now()
	request := core.Request{
		Workspace: core.WorkspaceID(r.Header.Get(server.HeaderWorkspace)), Service: service,
		Method: r.Method, Path: strings.TrimPrefix(r.URL.RequestURI(), strings.TrimSuffix(Path, "/")),
		Header: withoutRelayHeaders(r.Header), Body: body,
	}
	resp, err := d.cfg.Servers.Send(r.Context(), slot.Server(), request)
	if err != nil {
		state := sendState(err)
		slot.Release(core.Outcome{
			Failed: r.Context().Err() == nil, Shed: state == core.SendRefused, Abandoned: state == core.SendUnknown,
			Ended: core.EndOf(err), Latency: d.cfg.Timer.Now() - start,
		})
		if state == core.SendUnknown {
			// Only an aborted connection tells the forwarding host that the
			// request may have been run.
			panic(http.ErrAbortHandler)
		}
		writeNotRun(w, http.StatusServiceUnavailable, "relay: backend server did not run the request")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	failed := !copyResponse(w, resp)
	slot.Release(core.Outcome{Failed: failed, Abandoned: failed, Ended: resp.Ended, Latency: d.cfg.Timer.Now() - start})
	if failed {
		d.cfg.Log.WithFields(logrus.Fields{"event": "relay-cut", "service": service, "server": slot.Server().Name, "code": int(codes.ServerCut)}).Warn("response to a forwarded request was cut off")
		panic(http.ErrAbortHandler)
	}
}

// withoutRelayHeaders returns a copy of the headers without those that the
// forwarding added.
func withoutRelayHeaders(in http.Header) http.Header {
	out := in.Clone()
	for _, name := range []string{"Authorization", HeaderTicket, HeaderService, server.HeaderWorkspace, server.HeaderDeadline, "Connection", "Content-Length"} {
		out.Del(name)
	}
	return out
}

// copyResponse copies a response and reports whether all of it was copied. It
// flushes after each read, so that streamed data arrives without delay.
func copyResponse(w http.ResponseWriter, resp core.Response) bool {
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.Status)
	controller := http.NewResponseController(w)
	buf := make([]byte, copyBufferSize)
	var sent int64
	for {
		n, readErr := resp.Body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return false
			}
			sent += int64(n)
			_ = controller.Flush()
		}
		if readErr == io.EOF {
			return resp.Length < 0 || sent == resp.Length
		}
		if readErr != nil {
			return false
		}
	}
}
