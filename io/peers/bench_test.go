package peers_test

import (
	"net/http/httptest"
	"testing"

	"azurering/core"
	"azurering/io/peers"
)

// BenchmarkCall measures one call and its answer on loopback, one at a time
// and from several callers at once.
func BenchmarkCall(b *testing.B) {
	addresses := make(map[core.HostID]string)
	a := benchHost(b, "a", addresses)
	answerAttest(benchHost(b, "b", addresses))
	b.Run("serial", func(b *testing.B) {
		for b.Loop() {
			if _, err := a.Call(b.Context(), "b", core.AttestRequest{}); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if _, err := a.Call(b.Context(), "b", core.AttestRequest{}); err != nil {
					b.Error(err)
				}
			}
		})
	})
}

func benchHost(b *testing.B, id core.HostID, addresses map[core.HostID]string) *peers.Peers {
	b.Helper()
	p, err := peers.New(peers.Config{Host: id, SharedSecret: "s", ResolveAddress: func(id core.HostID) (string, bool) {
		address, ok := addresses[id]
		return address, ok
	}})
	if err != nil {
		b.Fatal(err)
	}
	server := httptest.NewServer(p.Handler())
	b.Cleanup(func() {
		_ = p.Close()
		server.Close()
	})
	addresses[id] = server.Listener.Addr().String()
	return p
}
