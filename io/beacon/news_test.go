package beacon_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/io/beacon"
)

// Guards against news that lose something on the way, and against news that a host
// does not forward to the others of its failure domain.
func TestNewsArriveAndAreForwarded(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 9, 3, 1)})
	require.NoError(t, err)
	port := free.LocalAddr().(*net.UDPAddr).Port
	require.NoError(t, free.Close())
	got := make(map[string]chan gossip.News)
	listen := func(address string, forwardTo ...string) *beacon.Transport {
		arrived := make(chan gossip.News, 10)
		got[address] = arrived
		b, err := beacon.Listen(beacon.Config{Address: address, Port: port, Log: log, OnNews: func(n gossip.News) []string {
			arrived <- n
			return forwardTo
		}})
		require.NoError(t, err)
		t.Cleanup(func() { _ = b.Close() })
		go b.Run()
		return b
	}
	sender := listen("127.9.3.1")
	listen("127.9.3.2", "127.9.3.3")
	listen("127.9.3.3")
	sent := gossip.News{
		Domain:  "d",
		Tables:  map[core.FeedTable]gossip.TableNews{core.FeedServers: {Newest: core.Version{Number: 7}, Age: 40 * time.Millisecond}},
		Leaving: map[core.ServerID]int64{"i-1": 1000},
	}
	require.NoError(t, sender.SendNews(sent, []string{"127.9.3.2"}))
	require.Equal(t, sent, <-got["127.9.3.2"])
	sent.Forwarded = true
	require.Equal(t, sent, <-got["127.9.3.3"])
}
