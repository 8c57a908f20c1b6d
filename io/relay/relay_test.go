package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/timer"
	"azurering/io/relay"
	"azurering/io/server"
)

// lab is one host that forwards and one that receives.
type lab struct {
	clock    *timer.Manual
	offerErr error
	sendErr  error
	body     string
	length   int64
	mu       sync.Mutex
	open     int // slots taken and not given back
	seen     []core.Request
	refused  int
	budget   error
	desk     *relay.Receiver
	client   *relay.Client
	listener *httptest.Server
	net      fakes.Network
}

func newLab(t *testing.T, secret string) *lab {
	t.Helper()
	l := &lab{clock: timer.NewManual(), body: "answer", length: 6}
	log := logrus.New()
	log.SetOutput(io.Discard)
	l.desk = relay.NewReceiver(relay.ReceiverConfig{
		Timer: l.clock, Peers: l.net.Peer("b"), Reserve: l.offer, Servers: l, SharedSecret: "peers", MaxBodyBytes: 100, Log: log,
	})
	l.listener = httptest.NewServer(l.desk)
	t.Cleanup(l.listener.Close)
	far := core.Host{Name: "b", Domain: "d2", PeerAddress: l.listener.Listener.Addr().String()}
	l.client = relay.NewClient(relay.ClientConfig{
		Region: func() core.RegionID { return "r1" }, Peers: l.net.Peer("a"),
		Candidates: func(core.ServiceID, core.Class) []core.Host { return []core.Host{{Name: "gone", Domain: "d3"}, far} },
		OnRefused:  func(core.ServiceID, core.Host) { l.refused++ },
		ChargeLink: func(core.Host, core.Class) error { return l.budget },
		Servers:    server.New(server.Config{Timer: timer.NewReal()}), SharedSecret: secret,
	})
	return l
}

func (l *lab) offer(core.ServiceID, core.Class) (core.Slot, error) {
	if l.offerErr != nil {
		return nil, l.offerErr
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	return &slot{lab: l}, nil
}

type slot struct {
	lab  *lab
	once sync.Once
}

func (s *slot) Server() core.Server { return core.Server{Name: "s1"} }

func (s *slot) Release(core.Outcome) {
	s.once.Do(func() {
		s.lab.mu.Lock()
		defer s.lab.mu.Unlock()
		s.lab.open--
	})
}

func (l *lab) Send(_ context.Context, _ core.Server, r core.Request) (core.Response, error) {
	l.mu.Lock()
	l.seen = append(l.seen, r)
	l.mu.Unlock()
	if l.sendErr != nil {
		return core.Response{}, l.sendErr
	}
	return core.Response{Status: 201, Length: l.length, Header: http.Header{"X-Own": {"yes"}}, Body: io.NopCloser(strings.NewReader(l.body))}, nil
}

// requests returns what reached the backend server.
func (l *lab) requests() []core.Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]core.Request(nil), l.seen...)
}

func (l *lab) Probe(context.Context, core.Server) (core.Health, error) { return core.Health{}, nil }

func request() core.Request {
	return core.Request{
		Workspace: "w1", Service: "desk", Method: http.MethodPost, Path: "/orders/1?x=%2F",
		Header: http.Header{"Idempotency-Key": {"k"}, "X-Trace": {"t"}}, Body: []byte("body"),
	}
}

// Guards against forwarded requests that reach the backend server changed,
// run without a reservation, or are reported as not run although they may
// have run, and against slots that are not given back.
func TestForwarding(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*lab)
		secret string
		state  core.SendState // of the failure, empty for success
		code   codes.Code
		sent   int
	}{
		{"forwarded", func(*lab) {}, "peers", "", codes.OK, 1},
		{"no slot there", func(l *lab) { l.offerErr = codes.New(codes.NoCapacity, "lab: full") }, "peers", core.SendNotSent, codes.NoCapacity, 0},
		{"link budget used up", func(l *lab) { l.budget = codes.New(codes.LinkFull, "lab: full") }, "peers", core.SendNotSent, codes.LinkFull, 0},
		{"host unreachable", func(l *lab) { l.net.SetCut("a", "b", true) }, "peers", core.SendNotSent, codes.NoCapacity, 0},
		{"wrong credential", func(*lab) {}, "guess", core.SendRefused, codes.Internal, 0},
		{"server not reached there", func(l *lab) { l.sendErr = &core.SendError{State: core.SendNotSent, Cause: errors.New("lab")} }, "peers", core.SendRefused, codes.Internal, 1},
		{"server may have run it", func(l *lab) { l.sendErr = &core.SendError{State: core.SendUnknown, Cause: errors.New("lab")} }, "peers", core.SendUnknown, codes.Internal, 1},
		{"listener down after the reservation", func(l *lab) { l.listener.Close() }, "peers", core.SendNotSent, codes.Internal, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLab(t, c.secret)
			c.change(l)
			resp, err := l.client.Send(context.Background(), request(), core.ClassOrder)
			seen := l.requests()
			require.Len(t, seen, c.sent)
			if c.state == "" {
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, "answer", string(body))
				require.Equal(t, 201, resp.Status)
				require.Equal(t, "/orders/1?x=%2F", seen[0].Path)
				require.Equal(t, core.WorkspaceID("w1"), seen[0].Workspace)
				require.Equal(t, "k", seen[0].Header.Get("Idempotency-Key"))
				require.NotContains(t, seen[0].Header, "Authorization")
			} else {
				var se *core.SendError
				require.ErrorAs(t, err, &se)
				require.Equal(t, c.state, se.State)
				require.Equal(t, c.code, codes.Of(err))
			}
			l.clock.Advance(time.Minute)
			l.desk.ExpireReservations()
			require.Eventually(t, func() bool {
				l.mu.Lock()
				defer l.mu.Unlock()
				return l.open == 0
			}, 10*time.Second, time.Millisecond, "a slot was not given back")
		})
	}
}

// Guards against a cut answer of the far server that looks whole here.
func TestCutAnswerIsCut(t *testing.T) {
	l := newLab(t, "peers")
	l.length = 50
	resp, err := l.client.Send(context.Background(), request(), core.ClassOrder)
	if err != nil {
		return // the connection was cut before the headers
	}
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
	require.NoError(t, resp.Body.Close())
}

// Guards against a reservation that serves two requests, or one that came
// too late.
func TestTicketsCountOnce(t *testing.T) {
	l := newLab(t, "peers")
	peer := l.net.Peer("c")
	reserve := func() string {
		answer, err := peer.Call(context.Background(), "b", core.ReserveRequest{Service: "desk", Class: core.ClassLookup})
		require.NoError(t, err)
		return answer.(core.ReserveResponse).Ticket
	}
	use := func(ticket, service string) int {
		req, err := http.NewRequest(http.MethodGet, l.listener.URL+relay.Path+"q", nil)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer peers")
		req.Header.Set(relay.HeaderTicket, ticket)
		req.Header.Set(relay.HeaderService, service)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	ticket := reserve()
	require.Equal(t, http.StatusConflict, use(ticket, "other"))
	require.Equal(t, 201, use(ticket, "desk"))
	require.Equal(t, http.StatusConflict, use(ticket, "desk"))
	late := reserve()
	l.clock.Advance(time.Minute)
	require.Equal(t, http.StatusConflict, use(late, "desk"))
}
