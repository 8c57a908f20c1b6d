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

// BenchmarkSecond measures one quiet second of one host: its own rounds,
// the answers, and the heartbeats of those that chose it. Sampled hosts
// hold a full view; the others answer with a bare heartbeat.
func BenchmarkSecond(b *testing.B) {
	for _, size := range [][2]int{{6, 2}, {10, 10}, {20, 50}, {54, 106}} {
		b.Run(fmt.Sprint(size[0]*size[1]), func(b *testing.B) { benchSecond(b, staticFleet(size[0], size[1])) })
	}
}

func benchSecond(b *testing.B, names []core.Host) {
	enc, _ := cbor.CanonicalEncOptions().EncMode()
	viewer := member.New(member.Config{Self: core.Host{Name: "viewer", Domain: "elsewhere"}})
	viewer.Merge(0, "", names)
	callers := make(map[core.HostID][]core.Host)
	for _, h := range names {
		for _, to := range viewer.Neighbours(h) {
			callers[to.Name] = append(callers[to.Name], h)
		}
	}
	const sampled = 12
	var groups []*member.View
	before := heap()
	for i := range sampled {
		self := names[i*len(names)/sampled]
		g := member.New(member.Config{Self: self})
		g.Merge(0, "", names)
		groups = append(groups, g)
	}
	bytesPerView := (heap() - before) / sampled
	messages, sent := 0, 0
	count := func(beat core.Heartbeat) {
		raw, _ := enc.Marshal(encode(beat))
		messages++
		sent += len(raw)
	}
	now, measuring := time.Duration(0), false
	second := func() {
		now += time.Second
		for _, g := range groups {
			for _, to := range g.Tick(now).Targets {
				beat, answer := g.NewHeartbeat(now, to.Name), core.Heartbeat{Host: to}
				g.HandleHeartbeat(now, answer)
				if measuring {
					count(beat)
					count(answer)
				}
			}
			for _, from := range callers[g.Self().Name] {
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
		second()
	}
	measuring = true
	second()
	measuring = false
	b.ReportAllocs()
	for b.Loop() {
		second()
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
