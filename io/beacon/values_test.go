package beacon_test

import (
	"context"
	"io"
	"math"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/gossip"
	"azurering/core/quota"
	"azurering/core/timer"
	"azurering/io/beacon"
)

var notRates = []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1}

// Guards against one digest with a figure that is no rate: it would go into this
// host's shares of the workspaces' rates, which never recover from a NaN.
func TestDigestsWithInvalidDemandAreRejected(t *testing.T) {
	for _, demand := range notRates {
		bad := map[core.WorkspaceID]float64{"w": demand}
		for _, d := range []gossip.Digest{
			{Domain: "a", Demand: bad},
			{Domain: "a", Heartbeats: []gossip.Heartbeat{{Host: "h", Demand: bad}}},
		} {
			raw, err := beacon.EncodeDigest(d)
			require.NoError(t, err)
			_, err = beacon.DecodeDigest(raw)
			require.Equal(t, codes.PeerFrame, codes.Of(err), "%v", demand)
		}
	}
}

// Guards against the age of a heartbeat that overflows: its host would count as alive
// for centuries.
func TestHugeAgeOfAHeartbeatIsBounded(t *testing.T) {
	raw, err := beacon.EncodeHeartbeat(gossip.Heartbeat{Host: "h", Age: 7 * time.Millisecond})
	require.NoError(t, err)
	var fields []any
	require.NoError(t, cbor.Unmarshal(raw, &fields))
	require.Equal(t, uint64(7), fields[7])
	fields[7] = uint64(math.MaxInt64 / 2)
	raw, err = cbor.Marshal(fields)
	require.NoError(t, err)
	h, err := beacon.DecodeHeartbeat(raw)
	require.NoError(t, err)
	require.Greater(t, h.Age, 24*time.Hour)
}

// Guards against a token request or reply with a figure that is no number of tokens:
// the bucket of the workspace would admit nothing, or everything, from then on.
func TestInvalidNumbersOfTokensAreRejected(t *testing.T) {
	port := freeUDPPort(t, "127.8.3.1")
	limiter := quota.New(quota.Config{Timer: timer.NewReal()})
	limiter.SetWorkspaces(map[core.WorkspaceID]*core.WorkspaceConfig{"w": {Workspace: core.Workspace{Name: "w", Rate: 1e6, Burst: 1e6}}})
	limiter.SetPeers(quota.Peers{Complete: true})
	log := logrus.New()
	log.SetOutput(io.Discard)
	h, err := beacon.Listen(beacon.Config{Address: "127.8.3.1", Port: port, Log: log, OnTokenRequest: limiter.Lend})
	require.NoError(t, err)
	go h.Run()
	t.Cleanup(func() { _ = h.Close() })
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP("127.8.3.2"), Port: port})
	require.NoError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	send := func(kind byte, number uint64, tokens float64) {
		raw, err := cbor.Marshal([]any{number, "w", tokens})
		require.NoError(t, err)
		_, err = peer.WriteToUDP(append([]byte{kind}, raw...), &net.UDPAddr{IP: net.ParseIP("127.8.3.1"), Port: port})
		require.NoError(t, err)
	}
	for _, tokens := range notRates {
		send('a', 1, tokens)
	}
	go func() { // replies to the first request with such figures, to the second with a huge one
		replies := notRates
		buffer := make([]byte, 1500)
		for {
			n, _, err := peer.ReadFromUDP(buffer)
			var fields []any
			if err != nil {
				return
			}
			if buffer[0] != 'a' || cbor.Unmarshal(buffer[1:n], &fields) != nil {
				continue
			}
			for _, tokens := range replies {
				send('g', fields[0].(uint64), tokens)
			}
			replies = []float64{1e300}
		}
	}()
	_, err = h.RequestTokens(context.Background(), "127.8.3.2", "w", 1)
	require.Equal(t, codes.PeerDown, codes.Of(err), "such a reply counts as none")
	granted, err := h.RequestTokens(context.Background(), "127.8.3.2", "w", 2)
	require.NoError(t, err)
	require.Equal(t, 2.0, granted, "no more than were asked for")
	time.Sleep(20 * time.Millisecond) // for tokens
	_, ok := limiter.Take("w")
	require.True(t, ok, "the workspace is served")
}
