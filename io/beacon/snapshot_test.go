package beacon_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/mirror"
	"azurering/core/timer"
	"azurering/io/beacon"
)

func newMirror(clock core.Timer) *mirror.Mirror {
	return mirror.New(mirror.Config{
		Table: core.FeedServers, Timer: clock, FollowsStore: func() bool { return false },
		OnChange: func(mirror.Change) {}, OnStoreState: func(error) {},
	})
}

// serve starts an HTTP server and returns its address and port.
func serve(t *testing.T, h http.Handler) (address string, port int) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	address, text, err := net.SplitHostPort(server.Listener.Addr().String())
	require.NoError(t, err)
	port, err = strconv.Atoi(text)
	require.NoError(t, err)
	return address, port
}

// Encoded copies are cached. A cached copy must not be served after the table
// has changed, nor to a host that asks for the changes after another version.
func TestCopyFollowsTheTable(t *testing.T) {
	m := newMirror(timer.NewManual())
	host, port := serve(t, beacon.SnapshotHandler(map[core.FeedTable]*mirror.Mirror{core.FeedServers: m}))
	for version := uint64(1); version <= 3; version++ {
		row := core.Record{Key: fmt.Sprint("s-", version), Value: []byte("x"), Version: core.Version{Number: version}}
		require.True(t, m.Merge(mirror.Snapshot{Rows: []core.Record{row}, After: core.Version{Number: version - 1}, Version: core.Version{Number: version}, Newest: core.Version{Number: version}}))
		for range 2 {
			got, err := beacon.FetchSnapshot(t.Context(), beacon.Fetch{Address: host, Port: port, Table: core.FeedServers, After: core.Version{Number: 0}})
			require.NoError(t, err)
			require.Len(t, got.Rows, int(version))
			require.Equal(t, version, got.Version.Number)
			got, err = beacon.FetchSnapshot(t.Context(), beacon.Fetch{Address: host, Port: port, Table: core.FeedServers, After: core.Version{Number: version - 1}})
			require.NoError(t, err)
			require.Contains(t, got.Rows, row)
		}
	}
}

// A removed server that may be renewed must be kept by each host until the same
// time. An encoded copy that is cached must not repeat an earlier time left.
func TestHoldsComeWithTheCopy(t *testing.T) {
	clock := timer.NewManual()
	m := newMirror(clock)
	address, port := serve(t, beacon.SnapshotHandler(map[core.FeedTable]*mirror.Mirror{core.FeedServers: m}))
	require.True(t, m.Merge(mirror.Snapshot{Rows: []core.Record{{Key: "s", Version: core.Version{Number: 1}}}, Version: core.Version{Number: 1}, Newest: core.Version{Number: 1}}))
	require.True(t, m.Merge(mirror.Snapshot{
		Rows: []core.Record{{Key: "s", Version: core.Version{Number: 2}, Removed: true}}, After: core.Version{Number: 1}, Version: core.Version{Number: 2}, Newest: core.Version{Number: 2}, Holds: map[string]time.Duration{"s": time.Second},
	}))
	for _, left := range []time.Duration{time.Second, 600 * time.Millisecond, 200 * time.Millisecond} {
		for _, after := range []core.Version{{}, {Number: 1}} {
			got, err := beacon.FetchSnapshot(t.Context(), beacon.Fetch{Address: address, Port: port, Table: core.FeedServers, After: after})
			require.NoError(t, err)
			require.Equal(t, map[string]time.Duration{"s": left}, got.Holds)
		}
		clock.Advance(400 * time.Millisecond)
	}
	got, err := beacon.FetchSnapshot(t.Context(), beacon.Fetch{Address: address, Port: port, Table: core.FeedServers, After: core.Version{Number: 1}})
	require.NoError(t, err)
	require.Empty(t, got.Holds)
}

// Hosts of the previous build send one message, also if servers may be renewed,
// and read only one. Copies must pass in both directions during an upgrade.
func TestCopiesPassBetweenBuilds(t *testing.T) {
	old := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		socket, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		raw, _ := cbor.Marshal([]any{[]any{[]any{"s", []byte("x"), 2, true}}, 1, 2, 2, true})
		_ = socket.Write(r.Context(), websocket.MessageBinary, raw)
		_ = socket.Close(websocket.StatusNormalClosure, "")
	})
	address, port := serve(t, old)
	got, err := beacon.FetchSnapshot(t.Context(), beacon.Fetch{Address: address, Port: port, Table: core.FeedServers, After: core.Version{Number: 1}})
	require.NoError(t, err)
	require.Len(t, got.Rows, 1)
	require.Empty(t, got.Holds)

	m := newMirror(timer.NewManual())
	require.True(t, m.Merge(mirror.Snapshot{Rows: []core.Record{{Key: "s", Version: core.Version{Number: 1}}}, Version: core.Version{Number: 1}, Newest: core.Version{Number: 1}}))
	require.True(t, m.Merge(mirror.Snapshot{
		Rows: []core.Record{{Key: "s", Version: core.Version{Number: 2}, Removed: true}}, After: core.Version{Number: 1}, Version: core.Version{Number: 2}, Newest: core.Version{Number: 2}, Holds: map[string]time.Duration{"s": time.Second},
	}))
	address, port = serve(t, beacon.SnapshotHandler(map[core.FeedTable]*mirror.Mirror{core.FeedServers: m}))
	socket, resp, err := websocket.Dial(t.Context(), fmt.Sprintf("ws://%s:%d/copy/servers?after=1", address, port), nil)
	require.NoError(t, err)
	if resp.Body != nil {
		require.NoError(t, resp.Body.Close())
	}
	defer func() { _ = socket.CloseNow() }()
	_, raw, err := socket.Read(t.Context())
	require.NoError(t, err)
	var fields []any
	require.NoError(t, cbor.Unmarshal(raw, &fields))
	require.Len(t, fields, 5)
	require.Equal(t, true, fields[4], "a host of the previous build must keep the server")
}

// Guards against a host that takes a damaged copy for a whole one, or that fills its
// memory with one that expands without end.
func TestDamagedCompressedCopyIsRejected(t *testing.T) {
	m := newMirror(timer.NewManual())
	require.True(t, m.Merge(mirror.Snapshot{Rows: []core.Record{{Key: "s", Value: make([]byte, 100<<10), Version: core.Version{Number: 1}}}, Version: core.Version{Number: 1}, Newest: core.Version{Number: 1}}))
	address, port := serve(t, beacon.SnapshotHandler(map[core.FeedTable]*mirror.Mirror{core.FeedServers: m}))
	socket, resp, err := websocket.Dial(t.Context(), fmt.Sprintf("ws://%s:%d/copy/servers", address, port), &websocket.DialOptions{Subprotocols: []string{"deflate"}})
	require.NoError(t, err)
	if resp.Body != nil {
		require.NoError(t, resp.Body.Close())
	}
	defer func() { _ = socket.CloseNow() }()
	_, whole, err := socket.Read(t.Context())
	require.NoError(t, err)
	require.Less(t, len(whole), 10<<10)
	endless, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	require.NoError(t, err)
	var bomb bytes.Buffer
	endless.Reset(&bomb)
	for range 20 {
		_, err := endless.Write(make([]byte, 1<<20))
		require.NoError(t, err)
	}
	require.NoError(t, endless.Close())
	for name, sent := range map[string][]byte{"truncated": whole[:len(whole)/2], "not compressed": []byte("\x85\x80"), "empty": nil, "too long": bomb.Bytes()} {
		t.Run(name, func(t *testing.T) {
			address, port := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{"deflate"}})
				if err != nil {
					return
				}
				_ = socket.Write(r.Context(), websocket.MessageBinary, sent)
				_ = socket.Close(websocket.StatusNormalClosure, "")
			}))
			_, err := beacon.FetchSnapshot(t.Context(), beacon.Fetch{Address: address, Port: port, Table: core.FeedServers})
			require.Equal(t, codes.PeerFrame, codes.Of(err), "%v", err)
		})
	}
}
