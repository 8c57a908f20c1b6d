package peers_test

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/io/peers"
)

// world is a set of hosts that can reach each other.
type world interface {
	host(t *testing.T, id core.HostID) core.Peers
	down(t *testing.T, id core.HostID)
}

type fakeWorld struct{ net fakes.Network }

func (w *fakeWorld) host(_ *testing.T, id core.HostID) core.Peers { return w.net.Peer(id) }
func (w *fakeWorld) down(_ *testing.T, id core.HostID)            { w.net.SetDown(id, true) }

// loopWorld runs io/peers on loopback.
type loopWorld struct {
	configure func(*peers.Config)
	mu        sync.Mutex
	addresses map[core.HostID]string
	hosts     map[core.HostID]*loopHost
}

type loopHost struct {
	*peers.Peers
	server *http.Server
}

func (w *loopWorld) address(id core.HostID) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.addresses[id]
	return a, ok
}

func (w *loopWorld) set(id core.HostID, address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addresses == nil {
		w.addresses = make(map[core.HostID]string)
	}
	w.addresses[id] = address
}

func (w *loopWorld) start(t *testing.T, id core.HostID) *peers.Peers {
	t.Helper()
	cfg := peers.Config{Host: id, ResolveAddress: w.address, SharedSecret: "secret"}
	if w.configure != nil {
		w.configure(&cfg)
	}
	p, err := peers.New(cfg)
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: p.Handler(), TLSConfig: p.ServerTLS(), ErrorLog: log.New(io.Discard, "", 0)}
	go func() {
		if server.TLSConfig != nil {
			_ = server.ServeTLS(listener, "", "")
			return
		}
		_ = server.Serve(listener)
	}()
	w.set(id, listener.Addr().String())
	w.mu.Lock()
	if w.hosts == nil {
		w.hosts = make(map[core.HostID]*loopHost)
	}
	w.hosts[id] = &loopHost{p, server}
	w.mu.Unlock()
	t.Cleanup(func() {
		_ = server.Close()
		_ = p.Close()
	})
	return p
}

func (w *loopWorld) host(t *testing.T, id core.HostID) core.Peers { return w.start(t, id) }

func (w *loopWorld) down(t *testing.T, id core.HostID) {
	w.mu.Lock()
	h := w.hosts[id]
	w.mu.Unlock()
	require.NoError(t, h.server.Close())
	require.NoError(t, h.Close())
}

// contract is what every core.Peers must do.
var contract = []struct {
	name string
	run  func(t *testing.T, w world)
}{
	{"answer", func(t *testing.T, w world) {
		a, b := w.host(t, "a"), w.host(t, "b")
		b.Handle(core.KindAttest, func(_ context.Context, from core.HostID, _ core.Message) (core.Message, error) {
			return core.Attestation{Host: from, Epoch: 7}, nil
		})
		m, err := a.Call(t.Context(), "b", core.AttestRequest{})
		require.NoError(t, err)
		require.Equal(t, core.Attestation{Host: "a", Epoch: 7}, m)
	}},
	{"call to itself", func(t *testing.T, w world) {
		a := w.host(t, "a")
		a.Handle(core.KindAttest, func(_ context.Context, from core.HostID, _ core.Message) (core.Message, error) {
			return core.Attestation{Host: from}, nil
		})
		m, err := a.Call(t.Context(), "a", core.AttestRequest{})
		require.NoError(t, err)
		require.Equal(t, core.Attestation{Host: "a"}, m)
	}},
	{"refusal with code", func(t *testing.T, w world) {
		a, b := w.host(t, "a"), w.host(t, "b")
		b.Handle(core.KindAttest, func(context.Context, core.HostID, core.Message) (core.Message, error) {
			return nil, codes.New(codes.SeatLost, "seats: not the holder")
		})
		_, err := a.Call(t.Context(), "b", core.AttestRequest{})
		require.Equal(t, codes.SeatLost, codes.Of(err))
		require.ErrorContains(t, err, "seats: not the holder")
	}},
	{"refusal without code", func(t *testing.T, w world) {
		a, b := w.host(t, "a"), w.host(t, "b")
		b.Handle(core.KindAttest, func(context.Context, core.HostID, core.Message) (core.Message, error) {
			return nil, errors.New("no reason")
		})
		_, err := a.Call(t.Context(), "b", core.AttestRequest{})
		require.Equal(t, codes.Internal, codes.Of(err))
	}},
	{"unknown kind", func(t *testing.T, w world) {
		a := w.host(t, "a")
		w.host(t, "b")
		_, err := a.Call(t.Context(), "b", core.AttestRequest{})
		require.Equal(t, codes.PeerKind, codes.Of(err))
	}},
	{"unknown host", func(t *testing.T, w world) {
		_, err := w.host(t, "a").Call(t.Context(), "b", core.AttestRequest{})
		require.Equal(t, codes.PeerUnknown, codes.Of(err))
	}},
	{"host down", func(t *testing.T, w world) {
		a, b := w.host(t, "a"), w.host(t, "b")
		b.Handle(core.KindAttest, func(context.Context, core.HostID, core.Message) (core.Message, error) {
			return core.Attestation{}, nil
		})
		_, err := a.Call(t.Context(), "b", core.AttestRequest{})
		require.NoError(t, err)
		w.down(t, "b")
		for range 3 {
			_, err = a.Call(t.Context(), "b", core.AttestRequest{})
			require.Equal(t, codes.PeerDown, codes.Of(err))
		}
	}},
	{"host goes down while it handles", func(t *testing.T, w world) {
		a, b := w.host(t, "a"), w.host(t, "b")
		entered := make(chan struct{})
		gone := make(chan struct{})
		b.Handle(core.KindAttest, func(ctx context.Context, _ core.HostID, _ core.Message) (core.Message, error) {
			close(entered)
			select {
			case <-ctx.Done():
			case <-gone:
			}
			return core.Attestation{}, nil
		})
		failed := make(chan error, 1)
		go func() {
			_, err := a.Call(t.Context(), "b", core.AttestRequest{})
			failed <- err
		}()
		<-entered
		w.down(t, "b")
		close(gone)
		require.Equal(t, codes.PeerDown, codes.Of(<-failed))
	}},
	{"cancelled call", func(t *testing.T, w world) {
		a, b := w.host(t, "a"), w.host(t, "b")
		entered, release := make(chan struct{}), make(chan struct{})
		defer close(release)
		b.Handle(core.KindAttest, func(ctx context.Context, _ core.HostID, _ core.Message) (core.Message, error) {
			close(entered)
			select {
			case <-ctx.Done():
			case <-release:
			}
			return core.Attestation{}, nil
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-entered
			cancel()
		}()
		_, err := a.Call(ctx, "b", core.AttestRequest{})
		require.Equal(t, codes.PeerDown, codes.Of(err))
		require.ErrorIs(t, err, context.Canceled)
	}},
	{"crossed answers", func(t *testing.T, w world) {
		const calls = 8
		a, b := w.host(t, "a"), w.host(t, "b")
		// Call n is answered only after call n+1, so all answers cross.
		var handled [calls + 1]chan struct{}
		for i := range handled {
			handled[i] = make(chan struct{})
		}
		close(handled[calls])
		b.Handle(core.KindConfigPull, func(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
			n := m.(core.ConfigPull).After
			<-handled[n+1]
			close(handled[n])
			return core.ObjectPull{Name: string(rune('0' + n))}, nil
		})
		var all sync.WaitGroup
		for n := range uint64(calls) {
			all.Go(func() {
				m, err := a.Call(t.Context(), "b", core.ConfigPull{After: n})
				if err != nil || m != (core.ObjectPull{Name: string(rune('0' + n))}) {
					t.Errorf("call %d got %v, %v", n, m, err)
				}
			})
		}
		all.Wait()
	}},
	{"handler calls back", func(t *testing.T, w world) {
		a, b := w.host(t, "a"), w.host(t, "b")
		a.Handle(core.KindOrderStatusRequest, func(context.Context, core.HostID, core.Message) (core.Message, error) {
			return core.OrderStatusResponse{Running: true}, nil
		})
		b.Handle(core.KindAttest, func(ctx context.Context, from core.HostID, _ core.Message) (core.Message, error) {
			return b.Call(ctx, from, core.OrderStatusRequest{})
		})
		m, err := a.Call(t.Context(), "b", core.AttestRequest{})
		require.NoError(t, err)
		require.Equal(t, core.OrderStatusResponse{Running: true}, m)
	}},
}

// Guards against io/peers and the fake network behaving differently, which
// would let a part pass its tests and fail in production.
func TestContract(t *testing.T) {
	for _, c := range contract {
		t.Run("fake/"+c.name, func(t *testing.T) { c.run(t, &fakeWorld{}) })
		t.Run("loopback/"+c.name, func(t *testing.T) { c.run(t, &loopWorld{}) })
		t.Run("tls/"+c.name, func(t *testing.T) {
			ca := newAuthority(t)
			c.run(t, &loopWorld{configure: func(cfg *peers.Config) {
				cfg.TLS, cfg.SharedSecret = ca.config(t, string(cfg.Host)), ""
			}})
		})
	}
}
