package beacon_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/gossip"
	"azurering/io/beacon"
)

// A field that the codec forgets would be missing on all other hosts.
func TestDigestComesBackWhole(t *testing.T) {
	d := gossip.Digest{Domain: "a", Passed: true, Beats: []gossip.Beat{{
		Host: "h", Domain: "a", Address: "10.0.0.1", Boot: 7, Count: 9, Ready: true, Lost: true, Age: 120 * time.Millisecond,
		Changes:  map[core.FeedTable]uint64{core.FeedOperator: 3, core.FeedServers: 4},
		Demand:   map[core.WorkspaceID]float64{"w": 2.5},
		InFlight: map[core.ServerID]int{"s": 2},
		Spare:    map[core.WorkspaceID]int{"w": 4},
	}}}
	raw, err := beacon.EncodeDigest(d)
	require.NoError(t, err)
	got, err := beacon.DecodeDigest(raw)
	require.NoError(t, err)
	require.Equal(t, d, got)
	raw, err = beacon.EncodeBeat(d.Beats[0])
	require.NoError(t, err)
	beat, err := beacon.DecodeBeat(raw)
	require.NoError(t, err)
	require.Equal(t, d.Beats[0], beat)
}

func TestForeignDatagramsAreRefused(t *testing.T) {
	for _, raw := range [][]byte{nil, {0xff}, []byte("text"), {0x80}, {0x83, 0x01}} {
		_, err := beacon.DecodeDigest(raw)
		require.Equal(t, codes.PeerFrame, codes.Of(err))
		_, err = beacon.DecodeBeat(raw)
		require.Equal(t, codes.PeerFrame, codes.Of(err))
	}
}
