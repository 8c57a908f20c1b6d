package pool_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"azurering/core"
	"azurering/core/pool"
)

// BenchmarkPick measures a pick and its return, with half of the slots in
// use, and with a loan of a slot at one server of ten only.
func BenchmarkPick(b *testing.B) {
	for _, lent := range []string{"all", "tenth"} {
		for _, n := range []int{12, 47, 4100} {
			b.Run(fmt.Sprintf("lent=%s/servers=%d", lent, n), func(b *testing.B) {
				held := make(map[core.ServerID]int, n)
				for i, s := range servers(n, 3) {
					if lent == "all" || i%10 == 0 {
						held[s.Name] = 3
					}
				}
				p, _ := newPool(n, 3, func(c *pool.Config) { c.Slots = func(id core.ServerID) int { return held[id] } })
				for range len(held) * 3 / 2 {
					if _, err := p.Pick(0, pool.Request{Workspace: "w"}); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					l, err := p.Pick(0, pool.Request{Workspace: "w"})
					if err != nil {
						b.Fatal(err)
					}
					l.Release(0, pool.OutcomeOK)
				}
			})
		}
	}
}

// BenchmarkChoices compares the number of servers that a pick compares, at
// 47 servers of 3 slots of which three are slow (200 ms instead of 20 ms)
// and two fail every request, under 3,000 requests/s for 60 s of virtual
// time. One choice is the random baseline.
func BenchmarkChoices(b *testing.B) {
	for _, choices := range []int{1, 2, 4, 47} {
		b.Run(fmt.Sprintf("choices=%d", choices), func(b *testing.B) {
			for b.Loop() {
				simulate(b, choices)
			}
		})
	}
}

type ending struct {
	at    time.Duration
	lease *pool.Lease
	ok    bool
}

func simulate(b *testing.B, choices int) {
	r := rand.New(rand.NewPCG(3, 4))
	p, _ := newPool(47, 3, func(c *pool.Config) { c.Choices = choices })
	index := make(map[core.ServerID]int)
	for i, s := range servers(47, 3) {
		index[s.Name] = i
	}
	var open []ending
	var took []float64
	failed, refused, total := 0, 0, 0
	for now := time.Duration(0); now < time.Minute; now += time.Duration(r.ExpFloat64() * float64(time.Second) / 3000) {
		rest := open[:0]
		for _, e := range open {
			if e.at > now {
				rest = append(rest, e)
				continue
			}
			o := pool.OutcomeOK
			if !e.ok {
				o = pool.OutcomeFailed
			}
			e.lease.Release(e.at, o)
		}
		open = rest
		total++
		l, err := p.Pick(now, pool.Request{Workspace: "w"})
		if err != nil {
			refused++
			continue
		}
		d, i := time.Duration(r.ExpFloat64()*float64(20*time.Millisecond)), index[l.Server.Name]
		switch {
		case i < 3:
			d *= 10
		case i < 5:
			d /= 10
			failed++
		}
		took = append(took, d.Seconds()*1000)
		open = append(open, ending{at: now + d, lease: l, ok: i < 3 || i >= 5})
	}
	sort.Float64s(took)
	b.ReportMetric(took[len(took)*99/100], "p99-ms")
	b.ReportMetric(float64(failed)/float64(total)*1e6, "failed-ppm")
	b.ReportMetric(float64(refused)/float64(total)*1e6, "refused-ppm")
}
