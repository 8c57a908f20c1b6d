package conns_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/io/conns"
)

// Guards against hosts that together keep more connections to a server than it
// accepts: each keeps a few idle ones only. The least that a deployment of the users
// allows is 20 for each host.
func TestFewConnectionsStayIdle(t *testing.T) {
	const atOnce, maxIdle = 30, 4
	release := make(chan struct{})
	s, opened := startServer(t, func(c net.Conn, r *http.Request) bool {
		<-release
		return echo(c, r)
	})
	p := newPool()
	done := make(chan error, atOnce)
	for i := range atOnce {
		go func() {
			_, _, err := exchange(p, s, call(fmt.Sprint(i)))
			done <- err
		}()
	}
	require.Eventually(t, func() bool { return opened.Load() == atOnce }, 10*time.Second, time.Millisecond)
	close(release)
	for range atOnce {
		require.NoError(t, <-done)
	}
	require.Eventually(t, func() bool { return p.NumConns() == maxIdle }, 10*time.Second, time.Millisecond)
}

// Guards against hosts that together keep more idle connections to a server than it
// accepts connections, if those are few or the hosts many.
func TestHostsTogetherStayWithinTheConnectionsOfAServer(t *testing.T) {
	const maxConns = 12
	for _, hosts := range []int{2, 6, 20} {
		s, _ := startServer(t, echo)
		pools := make([]*conns.Pool, hosts)
		idle := func() int {
			n := 0
			for _, p := range pools {
				n += p.NumConns()
			}
			return n
		}
		send := func() {
			var group sync.WaitGroup
			for _, p := range pools {
				for range 5 {
					group.Go(func() {
						_, _, err := exchange(p, s, call("1"))
						assert.NoError(t, err)
					})
				}
			}
			group.Wait()
		}
		for i := range pools {
			pools[i] = newPool()
		}
		send()
		for range 2 { // the limit applies to connections that are idle, and to those that become idle
			for _, p := range pools {
				p.Trim(map[core.ServerID]int{s.Name: maxConns / hosts})
			}
			require.Eventually(t, func() bool { return idle() <= maxConns/2 }, 10*time.Second, time.Millisecond, "%d hosts", hosts)
			send()
			require.Eventually(t, func() bool { return idle() <= maxConns/2 }, 10*time.Second, time.Millisecond, "%d hosts", hosts)
		}
		for _, p := range pools {
			p.Trim(nil)
		}
		require.Eventually(t, func() bool { return idle() == 0 }, 10*time.Second, time.Millisecond, "the server is not listed any more")
	}
}
