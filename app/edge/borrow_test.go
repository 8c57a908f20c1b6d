package edge

import (
	"io"
	"net"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/quota"
	"azurering/core/timer"
	"azurering/io/beacon"
)

// lender starts a host that gives a number of tokens to each that asks, and
// returns its beacon. All hosts of a test use one port at addresses of their
// own.
func lender(t *testing.T, address string, port int, tokens float64, asked *int) *beacon.Transport {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	b, err := beacon.Listen(beacon.Config{
		Address: address, Port: port, Log: log, OnDigest: func(gossip.Digest) []string { return nil },
		OnTokenRequest: func(core.WorkspaceID, float64) float64 {
			*asked++
			return tokens
		},
	})
	require.NoError(t, err)
	go b.Run()
	t.Cleanup(func() { _ = b.Close() })
	return b
}

// What a host has told of its tokens may be gone: a request must not be
// refused while another host has some.
func TestBorrowAsksASecondHost(t *testing.T) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP("127.9.0.1")})
	require.NoError(t, err)
	port := socket.LocalAddr().(*net.UDPAddr).Port
	require.NoError(t, socket.Close())
	for name, tokens := range map[string]float64{"the second has some": 1, "none has any": 0} {
		t.Run(name, func(t *testing.T) {
			var first, second, own int
			clock := timer.NewManual()
			log := logrus.New()
			log.SetOutput(io.Discard)
			h := &host{cfg: Config{Log: log}, limiter: quota.New(quota.Config{Timer: clock, Host: "own"})}
			h.members = gossip.New(gossip.Config{Timer: clock, Self: gossip.Heartbeat{Host: "own", Domain: "d"}})
			h.beacon = lender(t, "127.9.0.1", port, 0, &own)
			l1, l2 := lender(t, "127.9.0.2", port, 0, &first), lender(t, "127.9.0.3", port, tokens, &second)
			h.limiter.SetWorkspaces(map[core.WorkspaceID]*core.WorkspaceConfig{"w": {Workspace: core.Workspace{Name: "w", Rate: 1000, Burst: 1000}}})
			for i, address := range []string{"127.9.0.2", "127.9.0.3"} {
				h.members.Receive(gossip.Digest{Domain: "d", Heartbeats: []gossip.Heartbeat{{
					Host: core.HostID(address), Domain: "d", Address: address, Seq: 1, SpareTokens: map[core.WorkspaceID]int{"w": 9 - i},
				}}})
			}
			require.Equal(t, tokens > 0, h.borrow(t.Context(), "w"))
			require.NoError(t, l1.Close())
			require.NoError(t, l2.Close())
			require.Equal(t, []int{1, 1, 0}, []int{first, second, own})
		})
	}
}
