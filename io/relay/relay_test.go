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

// fixture has host a, which forwards requests, and host b, which receives
// them. It is also the Servers of host b.
type fixture struct {
	clock     *timer.Manual
	offerErr  error
	sendErr   error
	body      string
	length    int64
	mu        sync.Mutex
	openSlots int // slots reserved and not released
	received  []core.Request
	refused   int
	budgetErr error
	receiver  *relay.Receiver
	client    *relay.Client
	listener  *httptest.Server
	net       fakes.Network
}

func newFixture(t *testing.T, credential string) *fixture {
	t.Helper()
	f := &fixture{clock: timer.NewManual(), body: "answer", length: 6}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.receiver = relay.NewReceiver(relay.ReceiverConfig{
		Timer: f.clock, Peers: f.net.Peer("b"), Reserve: f.offer, Servers: f, SharedSecret: "peers", MaxBodyBytes: 100, Log: log,
	})
	f.listener = httptest.NewServer(f.receiver)
	t.Cleanup(f.listener.Close)
	hostB := core.Host{Name: "b", Domain: "d2", PeerAddress: f.listener.Listener.Addr().String()}
	f.client = relay.NewClient(relay.ClientConfig{
		Region: func() core.RegionID { return "r1" }, Peers: f.net.Peer("a"),
		Candidates: func(core.ServiceID, core.Class) []core.Host { return []core.Host{{Name: "gone", Domain: "d3"}, hostB} },
		OnRefused:  func(core.ServiceID, core.Host) { f.refused++ },
		ChargeLink: func(core.Host, core.Class) error { return f.budgetErr },
		Servers:    server.New(server.Config{Timer: timer.NewReal()}), SharedSecret: credential,
	})
	return f
}

func (f *fixture) offer(core.ServiceID, core.Class) (core.Slot, error) {
	if f.offerErr != nil {
		return nil, f.offerErr
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openSlots++
	return &slot{fixture: f}, nil
}

type slot struct {
	fixture *fixture
	once    sync.Once
}

func (s *slot) Server() core.Server { return core.Server{Name: "s1"} }

func (s *slot) Release(core.Outcome) {
	s.once.Do(func() {
		s.fixture.mu.Lock()
		defer s.fixture.mu.Unlock()
		s.fixture.openSlots--
	})
}

func (f *fixture) Send(_ context.Context, _ core.Server, r core.Request) (core.Response, error) {
	f.mu.Lock()
	f.received = append(f.received, r)
	f.mu.Unlock()
	if f.sendErr != nil {
		return core.Response{}, f.sendErr
	}
	return core.Response{Status: 201, Length: f.length, Header: http.Header{"X-Own": {"yes"}}, Body: io.NopCloser(strings.NewReader(f.body))}, nil
}

// requests returns the requests that reached the backend server.
func (f *fixture) requests() []core.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]core.Request(nil), f.received...)
}

func (f *fixture) Probe(context.Context, core.Server) (core.Health, error) { return core.Health{}, nil }

func request() core.Request {
	return core.Request{
		Workspace: "w1", Service: "desk", Method: http.MethodPost, Path: "/orders/1?x=%2F",
		Header: http.Header{"Idempotency-Key": {"k"}, "X-Trace": {"t"}}, Body: []byte("body"),
	}
}

// Guards against forwarded requests that reach the backend server changed,
// run without a reservation, or are reported as not run although they may
// have run, and against slots that are never released.
func TestForwarding(t *testing.T) {
	for _, c := range []struct {
		name       string
		change     func(*fixture)
		credential string
		state      core.SendState // state of the error, empty for success
		code       codes.Code
		wantSent   int
	}{
		{"forwarded", func(*fixture) {}, "peers", "", codes.OK, 1},
		{"no slot at the other host", func(f *fixture) { f.offerErr = codes.New(codes.NoCapacity, "test: full") }, "peers", core.SendNotSent, codes.NoCapacity, 0},
		{"link budget used up", func(f *fixture) { f.budgetErr = codes.New(codes.LinkFull, "test: full") }, "peers", core.SendNotSent, codes.LinkFull, 0},
		{"host unreachable", func(f *fixture) { f.net.SetCut("a", "b", true) }, "peers", core.SendNotSent, codes.NoCapacity, 0},
		{"wrong credential", func(*fixture) {}, "guess", core.SendRefused, codes.Internal, 0},
		{"server not reached by the other host", func(f *fixture) {
			f.sendErr = &core.SendError{State: core.SendNotSent, Cause: errors.New("test: send failed")}
		}, "peers", core.SendRefused, codes.Internal, 1},
		{"server may have run the request", func(f *fixture) {
			f.sendErr = &core.SendError{State: core.SendUnknown, Cause: errors.New("test: send failed")}
		}, "peers", core.SendUnknown, codes.Internal, 1},
		{"listener down after the reservation", func(f *fixture) { f.listener.Close() }, "peers", core.SendNotSent, codes.Internal, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.credential)
			c.change(f)
			resp, err := f.client.Send(context.Background(), request(), core.ClassOrder)
			received := f.requests()
			require.Len(t, received, c.wantSent)
			if c.state == "" {
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, "answer", string(body))
				require.Equal(t, 201, resp.Status)
				require.Equal(t, "/orders/1?x=%2F", received[0].Path)
				require.Equal(t, core.WorkspaceID("w1"), received[0].Workspace)
				require.Equal(t, "k", received[0].Header.Get("Idempotency-Key"))
				require.NotContains(t, received[0].Header, "Authorization")
			} else {
				var se *core.SendError
				require.ErrorAs(t, err, &se)
				require.Equal(t, c.state, se.State)
				require.Equal(t, c.code, codes.Of(err))
			}
			f.clock.Advance(time.Minute)
			f.receiver.ExpireReservations()
			require.Eventually(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.openSlots == 0
			}, 10*time.Second, time.Millisecond, "a slot was not released")
		})
	}
}

// Guards against a response that was cut off at the other host and looks
// complete at the forwarding host.
func TestCutAnswerIsCut(t *testing.T) {
	f := newFixture(t, "peers")
	f.length = 50
	resp, err := f.client.Send(context.Background(), request(), core.ClassOrder)
	if err != nil {
		return // the connection was cut before the headers
	}
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
	require.NoError(t, resp.Body.Close())
}

// Guards against a ticket that is accepted twice, after it expired, or for
// another service.
func TestTicketsCountOnce(t *testing.T) {
	f := newFixture(t, "peers")
	peer := f.net.Peer("c")
	reserve := func() string {
		answer, err := peer.Call(context.Background(), "b", core.ReserveRequest{Service: "desk", Class: core.ClassLookup})
		require.NoError(t, err)
		return answer.(core.ReserveResponse).Ticket
	}
	sendWithTicket := func(ticket, service string) int {
		req, err := http.NewRequest(http.MethodGet, f.listener.URL+relay.Path+"q", nil)
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
	require.Equal(t, http.StatusConflict, sendWithTicket(ticket, "other"))
	require.Equal(t, 201, sendWithTicket(ticket, "desk"))
	require.Equal(t, http.StatusConflict, sendWithTicket(ticket, "desk"))
	expired := reserve()
	f.clock.Advance(time.Minute)
	require.Equal(t, http.StatusConflict, sendWithTicket(expired, "desk"))
}
