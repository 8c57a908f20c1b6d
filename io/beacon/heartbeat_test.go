package beacon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/gossip"
	"azurering/core/timer"
	"azurering/io/beacon"
)

// A field that the codec leaves out would be missing on all other hosts.
func TestDigestComesBackWhole(t *testing.T) {
	d := gossip.Digest{Domain: "a", Forwarded: true, Heartbeats: []gossip.Heartbeat{{
		Host: "h", Domain: "a", Address: "10.0.0.1", StartedMs: 7, Seq: 9, Ready: true, StoreDown: true, Age: 120 * time.Millisecond,
		Versions:    map[core.FeedTable]core.Version{core.FeedOperator: {Number: 3}, core.FeedServers: {Number: 4}},
		Demand:      map[core.WorkspaceID]float64{"w": 2.5},
		InFlight:    map[core.ServerID]int{"s": 2},
		SpareTokens: map[core.WorkspaceID]int{"w": 4},
	}}, Demand: map[core.WorkspaceID]float64{"w": 3.5}, InFlight: map[core.ServerID]int{"s": 5}}
	raw, err := beacon.EncodeDigest(d)
	require.NoError(t, err)
	got, err := beacon.DecodeDigest(raw)
	require.NoError(t, err)
	require.Equal(t, d, got)
	raw, err = beacon.EncodeHeartbeat(d.Heartbeats[0])
	require.NoError(t, err)
	heartbeat, err := beacon.DecodeHeartbeat(raw)
	require.NoError(t, err)
	require.Equal(t, d.Heartbeats[0], heartbeat)
}

// Datagrams from other programs, or damaged ones, must be rejected with
// PeerFrame instead of being taken for empty heartbeats.
func TestInvalidDatagramsAreRejected(t *testing.T) {
	for _, raw := range [][]byte{nil, {0xff}, []byte("text"), {0x80}, {0x83, 0x01}} {
		_, err := beacon.DecodeDigest(raw)
		require.Equal(t, codes.PeerFrame, codes.Of(err))
		_, err = beacon.DecodeHeartbeat(raw)
		require.Equal(t, codes.PeerFrame, codes.Of(err))
	}
}

// If a digest does not fit into a datagram, the other domains take the whole
// domain for dead. A digest must therefore carry totals instead of the demand
// and the requests in flight of each host: with 50 hosts, those do not fit.
func TestDigestOfALargeDomainFits(t *testing.T) {
	clock := timer.NewManual()
	leader := gossip.New(gossip.Config{Timer: clock, Self: gossip.Heartbeat{Host: "edge-0000", Domain: "a", Address: "10.0.0.1"}})
	leader.AddListed([]gossip.Heartbeat{{Host: "far", Domain: "b", Address: "10.1.0.1"}})
	full := func(n int) gossip.Heartbeat {
		b := gossip.Heartbeat{
			Host: core.HostID(fmt.Sprintf("edge-%04d", n)), Domain: "a", Address: fmt.Sprintf("10.0.%d.%d", n/250, n%250), StartedMs: 1 << 40, Seq: 7,
			Ready: true, Versions: map[core.FeedTable]core.Version{core.FeedOperator: {Number: 1 << 30}, core.FeedServers: {Number: 1 << 30}},
			Demand: make(map[core.WorkspaceID]float64), InFlight: make(map[core.ServerID]int), SpareTokens: make(map[core.WorkspaceID]int),
		}
		for w := range 500 {
			name := core.WorkspaceID(fmt.Sprintf("workspace-%04d", w))
			b.Demand[name], b.SpareTokens[name] = 1.7, n%7
		}
		for s := range 20 {
			b.InFlight[core.ServerID(fmt.Sprintf("i-%08d", (n*20+s)%1000))] = 1
		}
		return b
	}
	for n := 1; n < 106; n++ { // 106 hosts in a domain is the size to design for
		leader.Receive(gossip.Digest{Domain: "a", Heartbeats: []gossip.Heartbeat{full(n)}})
	}
	messages := leader.Tick(full(0))
	require.Len(t, messages, 2)
	for _, m := range messages {
		raw, err := beacon.EncodeDigest(m.Digest)
		require.NoError(t, err)
		t.Logf("%d heartbeats in %d bytes", len(m.Digest.Heartbeats), len(raw))
	}
	d := gossip.Digest{Domain: "a"}
	for n := range 106 {
		d.Heartbeats = append(d.Heartbeats, full(n))
	}
	_, err := beacon.EncodeDigest(d)
	require.Equal(t, codes.PeerFrame, codes.Of(err))
}
