package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
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

// follower returns a host that knows one other host, the first of its domain,
// which follows the store.
func follower(t *testing.T, l *serverList, newest uint64) *host {
	t.Helper()
	h := &host{members: gossip.New(gossip.Config{Timer: l.clock, Self: gossip.Heartbeat{Host: "own", Domain: "d"}})}
	h.state = &clusterState{mirrors: map[core.FeedTable]*mirror.Mirror{core.FeedServers: l.mirror}}
	h.members.Receive(gossip.Digest{Domain: "d", Heartbeats: []gossip.Heartbeat{{
		Host: "first", Domain: "d", Address: "127.0.0.1", Seq: 1, Versions: map[core.FeedTable]core.Version{core.FeedServers: {Number: newest}},
	}}})
	return h
}

// Guards against a host that misses a change and does not fetch it, and against
// one that fetches again and again what it has.
func TestHostFetchesOnlyWhatItLacks(t *testing.T) {
	l := startedList(t, timer.NewManual())
	l.next()
	require.True(t, l.mirror.Merge(mirror.Snapshot{Rows: []core.Record{entry("i-1", 1)}, Version: core.Version{Number: 20}, Newest: core.Version{Number: 1}}))
	for newest, lacks := range map[uint64]bool{1: false, 15: false, 20: false, 21: true} {
		from, asOf := follower(t, l, newest).missing(core.FeedServers)
		require.Equal(t, lacks, from != "", "newest change %d", newest)
		require.EqualValues(t, 20, asOf.Number)
	}
}

// Guards against waiting for a host that has frozen after it reported a change:
// its connections are accepted and never answered, and it counts as alive until
// its heartbeats have been missing for some time. A leave must reach this host
// from another one.
func TestFetchTurnsToAnotherHostWhenOneIsSilent(t *testing.T) {
	l := startedList(t, timer.NewManual())
	l.next()
	source := newServerList(t, l.clock, core.HostSettings{})
	require.True(t, source.mirror.Merge(mirror.Snapshot{Rows: []core.Record{entry("i-2", 5)}, Version: core.Version{Number: 5}, Newest: core.Version{Number: 5}}))
	silent, err := net.Listen("tcp", "127.9.1.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	_, port, err := net.SplitHostPort(silent.Addr().String())
	require.NoError(t, err)
	good, err := net.Listen("tcp", net.JoinHostPort("127.9.1.2", port))
	require.NoError(t, err)
	server := &http.Server{Handler: beacon.SnapshotHandler(map[core.FeedTable]*mirror.Mirror{core.FeedServers: source.mirror})}
	go func() { _ = server.Serve(good) }()
	defer func() { _ = server.Close() }()

	h := follower(t, l, 5)
	h.timer, h.cfg.Log = l.clock, logrus.New()
	h.cfg.Place.PeerPort, err = strconv.Atoi(port)
	require.NoError(t, err)
	h.catchUpWake = map[core.FeedTable]chan struct{}{core.FeedServers: make(chan struct{}, 1)}
	for i, address := range []string{"127.9.1.1", "127.9.1.2"} {
		h.members.Receive(gossip.Digest{Domain: "d", Heartbeats: []gossip.Heartbeat{{
			Host: core.HostID(fmt.Sprint("host-", i)), Domain: "d", Address: address, Seq: 1, Versions: map[core.FeedTable]core.Version{core.FeedServers: {Number: 6}},
		}}})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go h.runCatchUp(ctx, core.FeedServers)
	h.catchUpWake[core.FeedServers] <- struct{}{}
	require.Eventually(t, func() bool { asOf, _ := l.mirror.Versions(); return asOf.Number == 5 }, 20*time.Second, 5*time.Millisecond)
}

// Guards against requests to a server that has left, because several hosts in
// turn do not answer when this host asks them for the change: the waits for them
// must not add up to more than the time within which a leave must be in force.
func TestLeaveArrivesInTimeAlthoughSeveralHostsAreSilent(t *testing.T) {
	const silentHosts = 6
	l := startedList(t, timer.NewManual())
	l.next()
	source := newServerList(t, l.clock, core.HostSettings{})
	require.True(t, source.mirror.Merge(mirror.Snapshot{Rows: []core.Record{entry("i-2", 5)}, Version: core.Version{Number: 5}, Newest: core.Version{Number: 5}}))
	port := "0"
	for i := range silentHosts + 1 {
		listener, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprint("127.9.2.", i+1), port))
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		_, port, err = net.SplitHostPort(listener.Addr().String())
		require.NoError(t, err)
		if i == silentHosts {
			server := &http.Server{Handler: beacon.SnapshotHandler(map[core.FeedTable]*mirror.Mirror{core.FeedServers: source.mirror})}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
		}
	}
	h := follower(t, l, 0)
	h.timer, h.cfg.Log = l.clock, logrus.New()
	var err error
	h.cfg.Place.PeerPort, err = strconv.Atoi(port)
	require.NoError(t, err)
	h.metrics, err = metric.New()
	require.NoError(t, err)
	h.catchUpWake = map[core.FeedTable]chan struct{}{core.FeedServers: make(chan struct{}, 1)}
	for i := range silentHosts + 1 {
		h.members.Receive(gossip.Digest{Domain: "e", Heartbeats: []gossip.Heartbeat{{
			Host: core.HostID(fmt.Sprint("host-", i)), Domain: "e", Address: fmt.Sprint("127.9.2.", i+1), Seq: 1,
			Versions: map[core.FeedTable]core.Version{core.FeedServers: {Number: 5}},
		}}})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go h.runCatchUp(ctx, core.FeedServers)
	h.catchUpWake[core.FeedServers] <- struct{}{}
	learned := func() bool { asOf, _ := l.mirror.Versions(); return asOf.Number == 5 }
	for until := l.clock.Now() + 1200*time.Millisecond; l.clock.Now() < until && !learned(); l.clock.Advance(10 * time.Millisecond) {
		time.Sleep(time.Millisecond)
	}
	// The last host has been asked by now; its answer takes real time.
	require.Eventually(t, learned, 5*time.Second, 5*time.Millisecond)
}
