package peers_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/timer"
	"azurering/io/peers"
	"azurering/io/wire"
)

func answerAttest(p core.Peers) {
	p.Handle(core.KindAttest, func(context.Context, core.HostID, core.Message) (core.Message, error) {
		return core.Attestation{Epoch: 1}, nil
	})
}

func attest(t *testing.T, p core.Peers, to core.HostID) error {
	t.Helper()
	_, err := p.Call(t.Context(), to, core.AttestRequest{})
	return err
}

// Guards against one connection for each call or for each direction.
func TestOneConnectionForBothDirections(t *testing.T) {
	w := &loopWorld{}
	a, b := w.start(t, "a"), w.start(t, "b")
	answerAttest(a)
	answerAttest(b)
	for range 3 {
		require.NoError(t, attest(t, a, "b"))
		require.NoError(t, attest(t, b, "a"))
	}
	require.Equal(t, 1, a.Stats().Conns)
	require.Equal(t, 1, b.Stats().Conns)
	require.Equal(t, uint64(1), a.Stats().Dials+b.Stats().Dials)
}

// Guards against a hammered host that is down: within the pause calls fail
// without a dial, after it there is one dial again.
func TestPauseAfterFailedDial(t *testing.T) {
	clock := timer.NewManual()
	w := &loopWorld{configure: func(cfg *peers.Config) { cfg.Timer = clock }}
	a, b := w.start(t, "a"), w.start(t, "b")
	w.down(t, "b")
	for range 5 {
		require.Equal(t, codes.PeerDown, codes.Of(attest(t, a, "b")))
	}
	require.Equal(t, uint64(1), a.Stats().Dials)
	clock.Advance(150 * time.Millisecond) // at most 1.5 times RetryMin
	require.Equal(t, codes.PeerDown, codes.Of(attest(t, a, "b")))
	require.Equal(t, uint64(2), a.Stats().Dials)
	// The host comes back at another address: no pause.
	b = w.start(t, "b")
	answerAttest(b)
	require.NoError(t, attest(t, a, "b"))
}

// Guards against connections that pile up because nobody closes them.
func TestIdleConnectionsClose(t *testing.T) {
	clock := timer.NewManual()
	w := &loopWorld{configure: func(cfg *peers.Config) {
		if cfg.Host == "a" {
			cfg.Timer = clock
		}
	}}
	a, b := w.start(t, "a"), w.start(t, "b")
	answerAttest(b)
	require.NoError(t, attest(t, a, "b"))
	clock.Advance(59 * time.Second)
	require.NoError(t, attest(t, a, "b"))
	require.Equal(t, uint64(1), a.Stats().Dials)
	clock.Advance(61 * time.Second)
	require.Eventually(t, func() bool { return a.Stats().Conns == 0 && b.Stats().Conns == 0 }, 10*time.Second, time.Millisecond)
	require.NoError(t, attest(t, a, "b"))
	require.Equal(t, uint64(2), a.Stats().Dials)
	require.Equal(t, 1, a.Stats().Links)
	clock.Advance(61 * time.Second)
	require.Eventually(t, func() bool {
		clock.Advance(time.Second)
		return a.Stats().Links == 0
	}, 10*time.Second, time.Millisecond)
}

// Guards against the bound on connections cutting a connection in use, or
// not holding.
func TestConnectionBound(t *testing.T) {
	w := &loopWorld{configure: func(cfg *peers.Config) {
		if cfg.Host == "a" {
			cfg.MaxConns = 2
		}
	}}
	a := w.start(t, "a")
	for _, id := range []core.HostID{"b", "c", "d"} {
		answerAttest(w.start(t, id))
	}
	for range 2 {
		for _, id := range []core.HostID{"b", "c", "d"} {
			require.NoError(t, attest(t, a, id))
			require.LessOrEqual(t, a.Stats().Conns, 2)
		}
	}
}

// Guards against one peer that does not answer holding up calls to others.
func TestSlowPeerBlocksOnlyItself(t *testing.T) {
	w := &loopWorld{configure: func(cfg *peers.Config) { cfg.QueueSize, cfg.MaxHandlers = 1, 1 }}
	a, slow, quick := w.start(t, "a"), w.start(t, "slow"), w.start(t, "quick")
	release, entered := make(chan struct{}), make(chan struct{}, 100)
	slow.Handle(core.KindAttest, func(context.Context, core.HostID, core.Message) (core.Message, error) {
		entered <- struct{}{}
		<-release
		return core.Attestation{}, nil
	})
	answerAttest(quick)
	results := make(chan error, 20)
	for range cap(results) {
		go func() { results <- attest(t, a, "slow") }()
	}
	<-entered
	for range 50 {
		require.NoError(t, attest(t, a, "quick"))
	}
	close(release)
	for range cap(results) {
		if err := <-results; err != nil {
			require.Equal(t, codes.QueueFull, codes.Of(err))
		}
	}
}

// Guards against an answer that comes after its call has ended being given
// to a later call.
func TestLateAnswerIsDropped(t *testing.T) {
	w := &loopWorld{}
	a, b := w.start(t, "a"), w.start(t, "b")
	entered, release := make(chan struct{}), make(chan struct{})
	b.Handle(core.KindConfigPull, func(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
		if m.(core.ConfigPull).After == 1 {
			close(entered)
			<-release
		}
		return core.ConfigPull{After: m.(core.ConfigPull).After}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-entered
		cancel()
	}()
	_, err := a.Call(ctx, "b", core.ConfigPull{After: 1})
	require.ErrorIs(t, err, context.Canceled)
	close(release)
	for n := range uint64(20) {
		m, err := a.Call(t.Context(), "b", core.ConfigPull{After: n + 2})
		require.NoError(t, err)
		require.Equal(t, core.ConfigPull{After: n + 2}, m)
	}
	require.Eventually(t, func() bool { return a.Stats().LateAnswers == 1 }, 10*time.Second, time.Millisecond)
}

// Guards against waiting for ever for a handler that hangs.
func TestCallTimeout(t *testing.T) {
	w := &loopWorld{configure: func(cfg *peers.Config) { cfg.CallTimeout = 20 * time.Millisecond }}
	a, b := w.start(t, "a"), w.start(t, "b")
	// The handler must outlive the call: its own context ends as early.
	release := make(chan struct{})
	defer close(release)
	b.Handle(core.KindAttest, func(context.Context, core.HostID, core.Message) (core.Message, error) {
		<-release
		return core.Attestation{}, nil
	})
	err := attest(t, a, "b")
	require.Equal(t, codes.PeerDown, codes.Of(err))
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against frames over the bound leaving a host, and against one that
// arrives taking more than the bound.
func TestOversizedFrames(t *testing.T) {
	w := &loopWorld{configure: func(cfg *peers.Config) {
		if cfg.Host == "small" {
			cfg.MaxFrameSize = 4096
		}
	}}
	a, small := w.start(t, "a"), w.start(t, "small")
	small.Handle(core.KindOrderMirror, func(context.Context, core.HostID, core.Message) (core.Message, error) {
		return core.OrderReplicateResponse{Record: make([]byte, 8192)}, nil
	})
	answerAttest(small)
	_, err := a.Call(t.Context(), "small", core.OrderReplicateRequest{Record: make([]byte, wire.FrameLimit(core.KindOrderMirror))})
	require.Equal(t, codes.PeerFrame, codes.Of(err), "refused by the sender")
	_, err = a.Call(t.Context(), "small", core.OrderReplicateRequest{Record: make([]byte, 10)})
	require.Equal(t, codes.PeerFrame, codes.Of(err), "answer refused by its sender")
	_, err = a.Call(t.Context(), "small", core.OrderReplicateRequest{Record: make([]byte, 8192)})
	require.Equal(t, codes.PeerDown, codes.Of(err), "cut off by the receiver")
	require.NoError(t, attest(t, a, "small"))
}

// Guards against calls reaching a host that took over the address of
// another one, and against wrong credentials.
func TestRefusedHandshakes(t *testing.T) {
	w := &loopWorld{configure: func(cfg *peers.Config) {
		if cfg.Host == "stranger" {
			cfg.SharedSecret = "wrong"
		}
	}}
	a, b, stranger := w.start(t, "a"), w.start(t, "b"), w.start(t, "stranger")
	answerAttest(b)
	require.Equal(t, codes.PeerRefused, codes.Of(attest(t, stranger, "b")))
	address, _ := w.address("b")
	w.set("c", address)
	require.Equal(t, codes.PeerDown, codes.Of(attest(t, a, "c")))
	w.set("far", "192.0.2.1:80")
	require.Equal(t, codes.PeerRefused, codes.Of(attest(t, a, "far")), "plain connection beyond loopback")
	require.Equal(t, uint64(2), b.Stats().RefusedHandshakes)

	for name, change := range map[string]func(*http.Request){
		"no credential":  func(r *http.Request) { r.Header.Del("Authorization") },
		"no host":        func(r *http.Request) { r.Header.Del("Azurering-Host") },
		"its own id":     func(r *http.Request) { r.Header.Set("Azurering-Host", "b") },
		"from elsewhere": func(r *http.Request) { r.RemoteAddr = "192.0.2.1:999" },
	} {
		r := httptest.NewRequest(http.MethodGet, peers.Path, nil)
		r.Header.Set("Authorization", "Bearer secret")
		r.Header.Set("Azurering-Host", "a")
		r.Header.Set("Azurering-Peer", "b")
		r.RemoteAddr = "127.0.0.1:999"
		change(r)
		recorder := httptest.NewRecorder()
		b.Handler().ServeHTTP(recorder, r)
		require.GreaterOrEqual(t, recorder.Code, 400, name)
		require.Contains(t, recorder.Body.String(), "(code 7005)", name)
	}
}

// raw opens a connection to a host without io/peers at this end.
func raw(t *testing.T, w *loopWorld, to core.HostID) *websocket.Conn {
	t.Helper()
	address, _ := w.address(to)
	ws, _, err := websocket.Dial(t.Context(), "ws://"+address+peers.Path, &websocket.DialOptions{HTTPHeader: http.Header{
		"Authorization": {"Bearer secret"}, "Azurering-Host": {"raw"}, "Azurering-Peer": {string(to)},
	}})
	require.NoError(t, err)
	t.Cleanup(func() { _ = ws.CloseNow() })
	return ws
}

// Guards against malformed frames stopping a host or going unanswered.
func TestMalformedFramesOfARawClient(t *testing.T) {
	w := &loopWorld{}
	b := w.start(t, "b")
	answerAttest(b)
	good, err := wire.EncodeFrame(1, core.AttestRequest{})
	require.NoError(t, err)
	unknown, err := cbor.Marshal([]any{1, 99, 3, []any{}})
	require.NoError(t, err)
	extra, err := cbor.Marshal([]any{1, 9, 5, []any{1}})
	require.NoError(t, err)

	t.Run("answered", func(t *testing.T) {
		ws := raw(t, w, "b")
		for _, c := range []struct {
			frame []byte
			id    uint64
			code  codes.Code
		}{{unknown, 3, codes.PeerKind}, {extra, 5, codes.PeerFrame}, {good, 1, codes.OK}} {
			require.NoError(t, ws.Write(t.Context(), websocket.MessageBinary, c.frame))
			_, frame, err := ws.Read(t.Context())
			require.NoError(t, err)
			id, m, err := wire.DecodeFrame(frame)
			require.NoError(t, err)
			require.Equal(t, c.id, id)
			if c.code == codes.OK {
				require.Equal(t, core.Attestation{Epoch: 1}, m)
				continue
			}
			require.Equal(t, int(c.code), m.(core.ErrorResponse).Code)
		}
	})
	zero, err := wire.EncodeFrame(0, core.AttestRequest{})
	require.NoError(t, err)
	for name, frame := range map[string][]byte{"garbage": {0xff, 0x00}, "call id 0": zero, "empty": {}} {
		t.Run("closed/"+name, func(t *testing.T) {
			ws := raw(t, w, "b")
			require.NoError(t, ws.Write(t.Context(), websocket.MessageBinary, frame))
			_, _, err := ws.Read(t.Context())
			require.Equal(t, websocket.StatusProtocolError, websocket.CloseStatus(err))
			require.ErrorContains(t, err, "code 7003")
		})
	}
	t.Run("closed/text frame", func(t *testing.T) {
		ws := raw(t, w, "b")
		require.NoError(t, ws.Write(t.Context(), websocket.MessageText, []byte("hello")))
		_, _, err := ws.Read(t.Context())
		require.Equal(t, websocket.StatusProtocolError, websocket.CloseStatus(err))
	})
}

// Guards against a malformed answer being taken for a good one, and against
// a connection whose other end has gone silent being used for ever.
func TestRawAnswers(t *testing.T) {
	clock := timer.NewManual()
	w := &loopWorld{configure: func(cfg *peers.Config) { cfg.Timer = clock }}
	b := w.start(t, "b")
	ws := raw(t, w, "b")
	require.Eventually(t, func() bool { return b.Stats().Conns == 1 }, 10*time.Second, time.Millisecond)
	failed := make(chan error, 1)
	go func() { failed <- attest(t, b, "raw") }()
	_, frame, err := ws.Read(t.Context())
	require.NoError(t, err)
	id, _, err := wire.DecodeFrame(frame)
	require.NoError(t, err)
	bad, err := cbor.Marshal([]any{1, 10, id, []any{}})
	require.NoError(t, err)
	require.NoError(t, ws.Write(t.Context(), websocket.MessageBinary, bad))
	require.Equal(t, codes.PeerFrame, codes.Of(<-failed))

	go func() { failed <- attest(t, b, "raw") }()
	_, _, err = ws.Read(t.Context())
	require.NoError(t, err)
	clock.Advance(21 * time.Second) // twice the call timeout, and no answer
	require.Equal(t, codes.PeerDown, codes.Of(<-failed))
	require.Eventually(t, func() bool { return b.Stats().Conns == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against calls that hang when their own host closes.
func TestCloseEndsCalls(t *testing.T) {
	w := &loopWorld{}
	a, b := w.start(t, "a"), w.start(t, "b")
	entered := make(chan struct{})
	b.Handle(core.KindAttest, func(ctx context.Context, _ core.HostID, _ core.Message) (core.Message, error) {
		close(entered)
		<-ctx.Done()
		return core.Attestation{}, nil
	})
	failed := make(chan error, 1)
	go func() { failed <- attest(t, a, "b") }()
	<-entered
	require.NoError(t, a.Close())
	require.Equal(t, codes.PeerDown, codes.Of(<-failed))
	require.Equal(t, codes.PeerDown, codes.Of(attest(t, a, "b")))
}
