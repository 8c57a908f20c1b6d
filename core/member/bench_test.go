package member_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/member"
)

// BenchmarkSecond measures one second of one host in a stable fleet: its own
// rounds, the answers to them, and the heartbeats of the hosts that have it
// as a neighbour. Sampled hosts hold a full view; the others answer with an
// empty heartbeat.
func BenchmarkSecond(b *testing.B) {
	for _, size := range [][2]int{{6, 2}, {10, 10}, {20, 50}, {54, 106}} {
		b.Run(fmt.Sprint(size[0]*size[1]), func(b *testing.B) { benchSecond(b, staticHosts(size[0], size[1])) })
	}
}

func benchSecond(b *testing.B, hosts []core.Host) {
	enc, _ := cbor.CanonicalEncOptions().EncMode()
	viewer := member.New(member.Config{Self: core.Host{Name: "viewer", Domain: "elsewhere"}})
	viewer.Merge(0, "", hosts)
	incoming := make(map[core.HostID][]core.Host)
	for _, h := range hosts {
		for _, to := range viewer.Neighbours(h) {
			incoming[to.Name] = append(incoming[to.Name], h)
		}
	}
	const sampled = 12
	var groups []*member.View
	before := heap()
	for i := range sampled {
		self := hosts[i*len(hosts)/sampled]
		g := member.New(member.Config{Self: self})
		g.Merge(0, "", hosts)
		groups = append(groups, g)
	}
	bytesPerView := (heap() - before) / sampled
	messages, sent := 0, 0
	count := func(heartbeat core.Heartbeat) {
		raw, _ := enc.Marshal(cborShape(heartbeat))
		messages++
		sent += len(raw)
	}
	now, measuring := time.Duration(0), false
	runSecond := func() {
		now += time.Second
		for _, g := range groups {
			for _, to := range g.Tick(now).Targets {
				heartbeat, answer := g.NewHeartbeat(now, to.Name), core.Heartbeat{Host: to}
				g.HandleHeartbeat(now, answer)
				if measuring {
					count(heartbeat)
					count(answer)
				}
			}
			for _, from := range incoming[g.Self().Name] {
				in := core.Heartbeat{Host: from}
				g.HandleHeartbeat(now, in)
				answer := g.NewHeartbeat(now, from.Name)
				if measuring {
					count(in)
					count(answer)
				}
			}
		}
	}
	for range 90 {
		runSecond()
	}
	measuring = true
	runSecond()
	measuring = false
	b.ReportAllocs()
	for b.Loop() {
		runSecond()
	}
	b.ReportMetric(float64(messages)/sampled, "messages/host/s")
	b.ReportMetric(float64(sent)/sampled, "B/host/s")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/sampled, "ns/host/s")
	b.ReportMetric(float64(bytesPerView), "B/view")
	runtime.KeepAlive(groups)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
