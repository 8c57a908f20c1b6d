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
	"azurering/io/beacon"
)

// permitHost is a beacon that records what it gets.
type permitHost struct {
	*beacon.Transport
	requests chan core.PermitRequest
	notices  chan core.LimitNotice
}

func newPermitHost(t *testing.T, address string, port int, reply core.PermitReply) *permitHost {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &permitHost{requests: make(chan core.PermitRequest, 9), notices: make(chan core.LimitNotice, 9)}
	var err error
	h.Transport, err = beacon.Listen(beacon.Config{
		Address: address, Port: port, Log: log, OnDigest: func(gossip.Digest) []string { return nil },
		OnTokenRequest: func(core.WorkspaceID, float64) float64 { return 0 },
		OnPermitRequest: func(r core.PermitRequest) core.PermitReply {
			h.requests <- r
			return reply
		},
		OnLimitNotice: func(n core.LimitNotice) { h.notices <- n },
	})
	require.NoError(t, err)
	go h.Run()
	t.Cleanup(func() { _ = h.Close() })
	return h
}

func freeUDPPort(t *testing.T, ip string) int {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)})
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	return socket.LocalAddr().(*net.UDPAddr).Port
}

// Guards against a field of a permit message that is lost on the way: a limit that
// a host does not hear of is exceeded.
func TestPermitMessagesComeBackWhole(t *testing.T) {
	port := freeUDPPort(t, "127.8.0.1")
	reply := core.PermitReply{Wait: 160 * time.Millisecond, Limit: core.ServerLimit{Known: true, Named: true, PerSecond: 6.2, Age: 30 * time.Millisecond}}
	first, second := newPermitHost(t, "127.8.0.1", port, reply), newPermitHost(t, "127.8.0.2", port, reply)
	request := core.PermitRequest{Host: "h", Server: "i-1", StartedMs: 7, Limit: core.ServerLimit{Known: true, Named: true, PerSecond: 14.5, Age: 2 * time.Second}}
	got, err := first.RequestPermit(t.Context(), "127.8.0.2", request)
	require.NoError(t, err)
	require.Equal(t, reply, got)
	require.Equal(t, request, <-second.requests)
	notice := core.LimitNotice{Host: "h", Server: "i-1", StartedMs: 7, Limit: request.Limit}
	require.NoError(t, first.SendNotice(notice, []string{"127.8.0.2"}))
	require.Equal(t, notice, <-second.notices)
	_, err = first.RequestPermit(t.Context(), "127.8.0.9", request)
	require.Equal(t, codes.PeerDown, codes.Of(err))
}

// Guards against a damaged message that ends the process, that makes a host take a
// figure that is no rate, or that is taken for the reply to another request.
func TestDamagedPermitMessagesAreHarmless(t *testing.T) {
	port := freeUDPPort(t, "127.8.1.1")
	h := newPermitHost(t, "127.8.1.1", port, core.PermitReply{Granted: true})
	socket, err := net.DialUDP("udp4", &net.UDPAddr{IP: net.ParseIP("127.8.1.9")}, &net.UDPAddr{IP: net.ParseIP("127.8.1.1"), Port: port})
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	message := func(rate float64, age int64) []byte {
		raw, err := cbor.Marshal([]any{uint64(1), "h", "i-1", int64(7), true, true, rate, age, true, int64(math.MinInt64)})
		require.NoError(t, err)
		return raw
	}
	for _, kind := range []byte{'p', 'q', 'l'} {
		for _, raw := range [][]byte{nil, {0xff}, []byte("text"), {0x80}, {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
			_, err := socket.Write(append([]byte{kind}, raw...))
			require.NoError(t, err)
		}
	}
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
		_, err := socket.Write(append([]byte{'l'}, message(rate, 5)...))
		require.NoError(t, err)
		require.Equal(t, core.LimitNotice{Host: "h", Server: "i-1", StartedMs: 7}, <-h.notices)
	}
	for _, age := range []int64{math.MinInt64, math.MaxInt64} {
		_, err := socket.Write(append([]byte{'l'}, message(6, age)...))
		require.NoError(t, err)
		got := (<-h.notices).Limit.Age
		require.True(t, got >= 0 && got <= 366*24*time.Hour, "%v", got)
	}
	_, err = socket.Write(append([]byte{'q'}, message(6, 5)...)) // a reply that nobody waits for
	require.NoError(t, err)
	reply, err := h.RequestPermit(context.Background(), "127.8.1.1", core.PermitRequest{Server: "i-1"})
	require.NoError(t, err, "the host still works")
	require.True(t, reply.Granted)
}

// Guards against one datagram whose handling panics and that ends the process.
func TestPanicEndsOnlyItsDatagram(t *testing.T) {
	port := freeUDPPort(t, "127.8.2.1")
	first := newPermitHost(t, "127.8.2.1", port, core.PermitReply{})
	log := logrus.New()
	log.SetOutput(io.Discard)
	second, err := beacon.Listen(beacon.Config{
		Address: "127.8.2.2", Port: port, Log: log, OnLimitNotice: func(core.LimitNotice) { panic("test") },
		OnPermitRequest: func(core.PermitRequest) core.PermitReply { return core.PermitReply{Granted: true} },
	})
	require.NoError(t, err)
	go second.Run()
	t.Cleanup(func() { _ = second.Close() })
	require.NoError(t, first.SendNotice(core.LimitNotice{Server: "i-1"}, []string{"127.8.2.2"}))
	reply, err := first.RequestPermit(t.Context(), "127.8.2.2", core.PermitRequest{Server: "i-1"})
	require.NoError(t, err)
	require.True(t, reply.Granted)
}

// Guards against a late reply to a request that this host sent before a restart, and
// that counts as the reply to another one: the permit of another server would be used.
func TestReplyToAnEarlierProcessIsNotUsed(t *testing.T) {
	port := freeUDPPort(t, "127.8.4.1")
	coordinator, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP("127.8.4.2"), Port: port})
	require.NoError(t, err)
	t.Cleanup(func() { _ = coordinator.Close() })
	var late []byte
	for boot := range 2 {
		log := logrus.New()
		log.SetOutput(io.Discard)
		h, err := beacon.Listen(beacon.Config{Address: "127.8.4.1", Port: port, Log: log})
		require.NoError(t, err)
		go h.Run()
		done := make(chan error, 1)
		go func() {
			_, err := h.RequestPermit(context.Background(), "127.8.4.2", core.PermitRequest{Server: "i-1"})
			done <- err
		}()
		buffer := make([]byte, 1500)
		n, from, err := coordinator.ReadFromUDP(buffer)
		require.NoError(t, err)
		if boot == 0 {
			var fields []any
			require.NoError(t, cbor.Unmarshal(buffer[1:n], &fields))
			fields[8] = true // granted
			late, err = cbor.Marshal(fields)
			require.NoError(t, err)
		} else {
			_, err = coordinator.WriteToUDP(append([]byte{'q'}, late...), from)
			require.NoError(t, err)
		}
		require.Equal(t, codes.PeerDown, codes.Of(<-done))
		require.NoError(t, h.Close())
	}
}
