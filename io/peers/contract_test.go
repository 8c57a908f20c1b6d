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

// testNetwork is a set of hosts that can reach each other.
type testNetwork interface {
	startHost(t *testing.T, id core.HostID) core.Peers
	stopHost(t *testing.T, id core.HostID)
}

type fakeNetwork struct{ net fakes.Network }

func (n *fakeNetwork) startHost(_ *testing.T, id core.HostID) core.Peers { return n.net.Peer(id) }
func (n *fakeNetwork) stopHost(_ *testing.T, id core.HostID)             { n.net.SetDown(id, true) }

// loopbackNetwork runs io/peers on loopback.
type loopbackNetwork struct {
	configure func(*peers.Config)
	mu        sync.Mutex
	addresses map[core.HostID]string
	hosts     map[core.HostID]*loopbackHost
}

type loopbackHost struct {
	*peers.Peers
	server *http.Server
}

func (n *loopbackNetwork) address(id core.HostID) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, ok := n.addresses[id]
	return a, ok
}

func (n *loopbackNetwork) setAddress(id core.HostID, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.addresses == nil {
		n.addresses = make(map[core.HostID]string)
	}
	n.addresses[id] = address
}

func (n *loopbackNetwork) startPeers(t *testing.T, id core.HostID) *peers.Peers {
	t.Helper()
	cfg := peers.Config{Host: id, ResolveAddress: n.address, SharedSecret: "secret"}
	if n.configure != nil {
		n.configure(&cfg)
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
	n.setAddress(id, listener.Addr().String())
	n.mu.Lock()
	if n.hosts == nil {
		n.hosts = make(map[core.HostID]*loopbackHost)
	}
	n.hosts[id] = &loopbackHost{p, server}
	n.mu.Unlock()
	t.Cleanup(func() {
		_ = server.Close()
		_ = p.Close()
	})
	return p
}

func (n *loopbackNetwork) startHost(t *testing.T, id core.HostID) core.Peers {
	return n.startPeers(t, id)
}

func (n *loopbackNetwork) stopHost(t *testing.T, id core.HostID) {
	n.mu.Lock()
	h := n.hosts[id]
	n.mu.Unlock()
	require.NoError(t, h.server.Close())
	require.NoError(t, h.Close())
}

// contractTests hold for every implementation of core.Peers.
var contractTests = []struct {
	name string
	run  func(t *testing.T, n testNetwork)
}{
	{"answer", func(t *testing.T, n testNetwork) {
		a, b := n.startHost(t, "a"), n.startHost(t, "b")
		b.Handle(core.KindAttest, func(_ context.Context, from core.HostID, _ core.Message) (core.Message, error) {
			return core.Attestation{Host: from, Epoch: 7}, nil
		})
		m, err := a.Call(t.Context(), "b", core.AttestRequest{})
		require.NoError(t, err)
		require.Equal(t, core.Attestation{Host: "a", Epoch: 7}, m)
	}},
	{"call to the own host", func(t *testing.T, n testNetwork) {
		a := n.startHost(t, "a")
		a.Handle(core.KindAttest, func(_ context.Context, from core.HostID, _ core.Message) (core.Message, error) {
			return core.Attestation{Host: from}, nil
		})
		m, err := a.Call(t.Context(), "a", core.AttestRequest{})
		require.NoError(t, err)
		require.Equal(t, core.Attestation{Host: "a"}, m)
	}},
	{"handler error with code", func(t *testing.T, n testNetwork) {
		a, b := n.startHost(t, "a"), n.startHost(t, "b")
		b.Handle(core.KindAttest, func(context.Context, core.HostID, core.Message) (core.Message, error) {
			return nil, codes.New(codes.SeatLost, "seats: not the holder")
		})
		_, err := a.Call(t.Context(), "b", core.AttestRequest{})
		require.Equal(t, codes.SeatLost, codes.Of(err))
		require.ErrorContains(t, err, "seats: not the holder")
	}},
	{"handler error without code", func(t *testing.T, n testNetwork) {
		a, b := n.startHost(t, "a"), n.startHost(t, "b")
		b.Handle(core.KindAttest, func(context.Context, core.HostID, core.Message) (core.Message, error) {
			return nil, errors.New("no reason")
		})
		_, err := a.Call(t.Context(), "b", core.AttestRequest{})
		require.Equal(t, codes.Internal, codes.Of(err))
	}},
	{"unknown kind", func(t *testing.T, n testNetwork) {
		a := n.startHost(t, "a")
		n.startHost(t, "b")
		_, err := a.Call(t.Context(), "b", core.AttestRequest{})
		require.Equal(t, codes.PeerKind, codes.Of(err))
	}},
	{"unknown host", func(t *testing.T, n testNetwork) {
		_, err := n.startHost(t, "a").Call(t.Context(), "b", core.AttestRequest{})
		require.Equal(t, codes.PeerUnknown, codes.Of(err))
	}},
	{"host down", func(t *testing.T, n testNetwork) {
		a, b := n.startHost(t, "a"), n.startHost(t, "b")
		b.Handle(core.KindAttest, func(context.Context, core.HostID, core.Message) (core.Message, error) {
			return core.Attestation{}, nil
		})
		_, err := a.Call(t.Context(), "b", core.AttestRequest{})
		require.NoError(t, err)
		n.stopHost(t, "b")
		for range 3 {
			_, err = a.Call(t.Context(), "b", core.AttestRequest{})
			require.Equal(t, codes.PeerDown, codes.Of(err))
		}
	}},
	{"host goes down while it handles a call", func(t *testing.T, n testNetwork) {
		a, b := n.startHost(t, "a"), n.startHost(t, "b")
		entered := make(chan struct{})
		stopped := make(chan struct{})
		b.Handle(core.KindAttest, func(ctx context.Context, _ core.HostID, _ core.Message) (core.Message, error) {
			close(entered)
			select {
			case <-ctx.Done():
			case <-stopped:
			}
			return core.Attestation{}, nil
		})
		failed := make(chan error, 1)
		go func() {
			_, err := a.Call(t.Context(), "b", core.AttestRequest{})
			failed <- err
		}()
		<-entered
		n.stopHost(t, "b")
		close(stopped)
		require.Equal(t, codes.PeerDown, codes.Of(<-failed))
	}},
	{"cancelled call", func(t *testing.T, n testNetwork) {
		a, b := n.startHost(t, "a"), n.startHost(t, "b")
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
	{"answers in reverse order", func(t *testing.T, n testNetwork) {
		const calls = 8
		a, b := n.startHost(t, "a"), n.startHost(t, "b")
		// Call n is answered only after call n+1, so the answers come in
		// reverse order.
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
		var callers sync.WaitGroup
		for n := range uint64(calls) {
			callers.Go(func() {
				m, err := a.Call(t.Context(), "b", core.ConfigPull{After: n})
				if err != nil || m != (core.ObjectPull{Name: string(rune('0' + n))}) {
					t.Errorf("call %d got %v, %v", n, m, err)
				}
			})
		}
		callers.Wait()
	}},
	{"handler calls back", func(t *testing.T, n testNetwork) {
		a, b := n.startHost(t, "a"), n.startHost(t, "b")
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

// Guards against differences between io/peers and the fake network, with
// which other packages would pass their tests and fail in production.
func TestContract(t *testing.T) {
	for _, c := range contractTests {
		t.Run("fake/"+c.name, func(t *testing.T) { c.run(t, &fakeNetwork{}) })
		t.Run("loopback/"+c.name, func(t *testing.T) { c.run(t, &loopbackNetwork{}) })
		t.Run("tls/"+c.name, func(t *testing.T) {
			ca := newTestCA(t)
			c.run(t, &loopbackNetwork{configure: func(cfg *peers.Config) {
				cfg.TLS, cfg.SharedSecret = ca.tlsConfig(t, string(cfg.Host)), ""
			}})
		})
	}
}
