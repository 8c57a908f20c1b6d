package edge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/mirror"
	"azurering/core/timer"
)

// follower returns a host that knows one other host, the first of its domain,
// which follows the store.
func follower(t *testing.T, l *serverList, newest uint64) *host {
	t.Helper()
	h := &host{members: gossip.New(gossip.Config{Timer: l.clock, Self: gossip.Heartbeat{Host: "own", Domain: "d"}})}
	h.state = &clusterState{mirrors: map[core.FeedTable]*mirror.Mirror{core.FeedServers: l.mirror}}
	h.members.Receive(gossip.Digest{Domain: "d", Heartbeats: []gossip.Heartbeat{{
		Host: "first", Domain: "d", Address: "127.0.0.1", Seq: 1, Versions: map[core.FeedTable]uint64{core.FeedServers: newest},
	}}})
	return h
}

// Guards against a host that misses a change and does not fetch it, and against
// one that fetches again and again what it has.
func TestHostFetchesOnlyWhatItLacks(t *testing.T) {
	l := startedList(t, timer.NewManual())
	l.next()
	require.True(t, l.mirror.Merge(mirror.Snapshot{Rows: []core.Record{entry("i-1", 1)}, Version: 20, Newest: 1}))
	for newest, lacks := range map[uint64]bool{1: false, 15: false, 20: false, 21: true} {
		from, asOf := follower(t, l, newest).missing(core.FeedServers)
		require.Equal(t, lacks, from != "", "newest change %d", newest)
		require.EqualValues(t, 20, asOf)
	}
}
