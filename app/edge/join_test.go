package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/timer"
)

// Guards against a host that starts and uses the store's older configuration before the
// others can answer, and against one that goes on refusing requests although no other host
// has a copy, or none sends it.
func TestStartingHostWaitsForTheCopyOfAnotherInTime(t *testing.T) {
	clock := timer.NewManual()
	other := gossip.Heartbeat{Host: "other", Domain: "d", Address: "1", StartedMs: 1}
	hasCopy := other
	hasCopy.Versions = map[core.FeedTable]core.Version{core.FeedOperator: {Era: 2, Number: 7}}
	start := func() (*gossip.Members, *joining) {
		members := gossip.New(gossip.Config{Timer: clock, Self: gossip.Heartbeat{Host: "own", Domain: "d"}})
		return members, newJoining(clock, members)
	}
	waitsFor := func(j *joining, d time.Duration) {
		t.Helper()
		clock.Advance(d - time.Millisecond)
		require.True(t, j.awaitsCopy())
		clock.Advance(time.Millisecond)
		require.False(t, j.awaitsCopy())
	}

	_, j := start()
	waitsFor(j, listTimeout) // the list of hosts cannot be read

	_, j = start()
	j.setListed()
	require.False(t, j.awaitsCopy(), "no other host is listed")

	members, j := start()
	members.AddListed([]gossip.Heartbeat{other})
	j.setListed()
	waitsFor(j, answerTimeout) // a listed host is silent

	members, j = start()
	members.AddListed([]gossip.Heartbeat{other})
	j.setListed()
	members.Receive(gossip.Digest{Domain: "d", Heartbeats: []gossip.Heartbeat{other}})
	require.False(t, j.awaitsCopy(), "all others are as empty as this host")

	members, j = start()
	members.AddListed([]gossip.Heartbeat{other})
	j.setListed()
	clock.Advance(joinTimeout - time.Second)
	members.Receive(gossip.Digest{Domain: "d", Heartbeats: []gossip.Heartbeat{hasCopy}})
	waitsFor(j, time.Second) // a host has a copy and does not send it
}
