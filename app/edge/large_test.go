package edge

import (
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/mirror"
	"azurering/core/timer"
	"azurering/io/beacon"
	"azurering/io/metric"
)

// slowListener accepts connections that send a given number of bytes a second.
type slowListener struct {
	net.Listener
	perSecond int
	// silenced, if set, is closed at the end of the test. The first connection sends only
	// silenceAfter bytes and stays open until then.
	silenced <-chan struct{}
	sent     *atomic.Int64
	opened   *atomic.Int64
}

const silenceAfter = 64 << 10

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{Conn: c, l: l, goesSilent: l.opened.Add(1) == 1 && l.silenced != nil}, nil
}

type slowConn struct {
	net.Conn
	l          slowListener
	goesSilent bool
}

func (c slowConn) Write(p []byte) (int, error) {
	const part = 4 << 10
	written := 0
	for written < len(p) {
		if c.goesSilent && c.l.sent.Load() >= silenceAfter {
			<-c.l.silenced
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+part)])
		written += n
		c.l.sent.Add(int64(n))
		if err != nil {
			return written, err
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(c.l.perSecond))
	}
	return written, nil
}

func newConfigMirror(clock core.Timer) *mirror.Mirror {
	return mirror.New(mirror.Config{
		Table: core.FeedOperator, Timer: clock, FollowsStore: func() bool { return false },
		OnChange: func(mirror.Change) {}, OnStoreState: func(error) {},
	})
}

// lateHost returns a host whose copy of the operators' table is at version 1 and that
// knows hosts with version 2, behind links of a number of bytes a second. It also
// returns the bytes that those have sent and the connections that they have accepted.
func lateHost(t *testing.T, network string, value []byte, hosts, perSecond int, silenced <-chan struct{}) (h *host, sent, opened *atomic.Int64) {
	t.Helper()
	clock := timer.NewReal()
	own, source := newConfigMirror(clock), newConfigMirror(clock)
	for _, m := range []*mirror.Mirror{own, source} {
		require.True(t, m.Merge(mirror.Snapshot{Rows: []core.Record{{Key: "config", Value: []byte("old"), Version: core.Version{Number: 1}}}, Version: core.Version{Number: 1}, Newest: core.Version{Number: 1}}))
	}
	require.True(t, source.Merge(mirror.Snapshot{After: core.Version{Number: 1}, Rows: []core.Record{{Key: "config", Value: value, Version: core.Version{Number: 2}}}, Version: core.Version{Number: 2}, Newest: core.Version{Number: 2}}))
	sent, opened = new(atomic.Int64), new(atomic.Int64)
	port := "0"
	h = &host{timer: clock, members: gossip.New(gossip.Config{Timer: clock, Self: gossip.Heartbeat{Host: "own", Domain: "d"}})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.cfg.Log = log
	h.state = &clusterState{mirrors: map[core.FeedTable]*mirror.Mirror{core.FeedOperator: own}}
	h.catchUpWake = map[core.FeedTable]chan struct{}{core.FeedOperator: make(chan struct{}, 1)}
	for i := range hosts {
		address := fmt.Sprint(network, i+1)
		l, err := net.Listen("tcp", net.JoinHostPort(address, port))
		require.NoError(t, err)
		_, port, err = net.SplitHostPort(l.Addr().String())
		require.NoError(t, err)
		server := &http.Server{Handler: beacon.SnapshotHandler(map[core.FeedTable]*mirror.Mirror{core.FeedOperator: source})}
		go func() {
			_ = server.Serve(slowListener{Listener: l, perSecond: perSecond, silenced: silenced, sent: sent, opened: opened})
		}()
		t.Cleanup(func() { _ = server.Close() })
		h.members.Receive(gossip.Digest{Domain: "e", Heartbeats: []gossip.Heartbeat{{
			Host: core.HostID(fmt.Sprint("host-", i)), Domain: "e", Address: address, Seq: 1, Versions: map[core.FeedTable]core.Version{core.FeedOperator: {Number: 2}},
		}}})
	}
	var err error
	h.cfg.Place.PeerPort, err = strconv.Atoi(port)
	require.NoError(t, err)
	h.metrics, err = metric.New()
	require.NoError(t, err)
	return h, sent, opened
}

func (h *host) hasVersion(v uint64) bool {
	asOf, _ := h.state.mirrors[core.FeedOperator].Versions()
	return asOf.Number == v
}

// Guards against a host that never gets a large configuration from others behind busy
// links, because it gives up each transfer and begins another one, and so turns away
// requests on routes that were added long ago.
func TestLargeConfigurationArrivesOverSlowLinks(t *testing.T) {
	value := make([]byte, 300<<10)
	_, _ = rand.Read(value) // not compressible
	h, _, opened := lateHost(t, "127.9.4.", value, 4, 250<<10, nil)
	require.True(t, h.lacksConfig())
	go h.runCatchUp(t.Context(), core.FeedOperator)
	wake(h.catchUpWake[core.FeedOperator])
	require.Eventually(t, func() bool { return h.hasVersion(2) }, 20*time.Second, 5*time.Millisecond)
	require.False(t, h.lacksConfig())
	require.LessOrEqual(t, opened.Load(), int64(3), "transfers that go on were begun again elsewhere")
}

// Guards against configurations of many routes that fill the links between hosts: each
// change is one row, with all routes, that each host sends to others.
func TestConfigurationIsSentCompressed(t *testing.T) {
	value := []byte(`{"version":2,"routes":[`)
	for n := range 1500 {
		value = fmt.Appendf(value, `{"kind":"route","name":"r-%08x","host":"h%d.example","path":"/p%07d/","timeout":3,"target":0.6,"to":"desk","attempts":3,"priority":2,"keyed":true,"access":"%d"},`, n*7919, n%16, n, n%3)
	}
	value = append(value, `{}]}`...)
	h, sent, _ := lateHost(t, "127.9.5.", value, 1, 1<<20, nil)
	go h.runCatchUp(t.Context(), core.FeedOperator)
	wake(h.catchUpWake[core.FeedOperator])
	require.Eventually(t, func() bool { return h.hasVersion(2) }, 20*time.Second, 5*time.Millisecond)
	require.Less(t, sent.Load(), int64(len(value)/5))
	snapshot := h.state.mirrors[core.FeedOperator].Snapshot(core.Version{})
	require.Equal(t, string(value), string(snapshot.Rows[0].Value))
}

// Guards against a connection between hosts that goes silent in the middle of a transfer
// and keeps a change from a host: another host is asked for it.
func TestTransferThatGoesSilentIsReplaced(t *testing.T) {
	value := make([]byte, 300<<10)
	_, _ = rand.Read(value)
	h, _, opened := lateHost(t, "127.9.6.", value, 3, 1<<20, t.Context().Done())
	go h.runCatchUp(t.Context(), core.FeedOperator)
	wake(h.catchUpWake[core.FeedOperator])
	require.Eventually(t, func() bool { return h.hasVersion(2) }, 20*time.Second, 5*time.Millisecond)
	require.Greater(t, opened.Load(), int64(1), "the first connection did not go silent")
}
