package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"azurering/core"
	"azurering/core/member"
)

// FloodResult is the modelled spread of changes over the overlay that
// core/member chooses.
type FloodResult struct {
	Hosts, Domains int
	Runs           int
	Reached        int
	Median, Worst  time.Duration
	Unchosen       float64 // hosts that no other host has as a neighbour, in the mean of the runs
	Pulled         float64 // hosts that got a change by a pull, in the mean of the runs
}

// flood is a model of the push of core/config and of the heartbeats that
// make up for lost pushes. Unlike Fleet it runs no parts, so that it reaches
// the design size; TestCapacityFlood compares it with Fleet.
type flood struct {
	cfg    FleetConfig
	random *rand.Rand
	hosts  []core.Host
	links  [][]int
	got    []time.Duration // when a host had the change, or -1
	queue  capacEvents
	now    time.Duration
	seq    int
	pulled int
}

// Flood models changes that random hosts publish, with heartbeats every
// 500 ms.
func Flood(cfg FleetConfig, runs int) FloodResult {
	f := &flood{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 2))}
	for d := range cfg.Domains {
		for i := range cfg.PerDomain {
			f.hosts = append(f.hosts, capacHostOf(d, i))
		}
	}
	unchosen := f.link()
	r := FloodResult{Hosts: len(f.hosts), Domains: cfg.Domains, Runs: runs, Unchosen: float64(unchosen)}
	var took []time.Duration
	pulled := 0
	for range runs {
		worst := f.run()
		if !slices.Contains(f.got, -1) {
			r.Reached++
			took = append(took, worst)
		}
		pulled += f.pulled
	}
	slices.Sort(took)
	if len(took) > 0 {
		r.Median, r.Worst = took[len(took)/2], took[len(took)-1]
	}
	r.Pulled = float64(pulled) / float64(runs)
	return r
}

// link computes the neighbours of all hosts as one outside host with a full
// view sees them, and returns how many hosts nobody chose.
func (f *flood) link() int {
	viewer := member.New(member.Config{Self: core.Host{Name: "viewer", Domain: "outside"}})
	viewer.Merge(0, "", f.hosts)
	index := make(map[core.HostID]int, len(f.hosts))
	for i, h := range f.hosts {
		index[h.Name] = i
	}
	chosen := make([]bool, len(f.hosts))
	for _, h := range f.hosts {
		var out []int
		for _, n := range viewer.Neighbours(h) {
			out = append(out, index[n.Name])
			chosen[index[n.Name]] = true
		}
		f.links = append(f.links, out)
	}
	unchosen := 0
	for _, c := range chosen {
		if !c {
			unchosen++
		}
	}
	return unchosen
}

func (f *flood) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, capacEvent{at: f.now + d, seq: f.seq, run: run})
}

func (f *flood) lost() bool { return f.random.Float64() < f.cfg.Loss }

func (f *flood) delay(a, b int) time.Duration {
	x, y := a/f.cfg.PerDomain, b/f.cfg.PerDomain
	switch {
	case x == y:
		return capacNear
	case capacRegionOf(x, f.cfg.Domains) == capacRegionOf(y, f.cfg.Domains):
		return capacRegion
	default:
		return capacFar
	}
}

// run spreads one change and returns when the last host got it.
func (f *flood) run() time.Duration {
	f.now, f.queue, f.pulled = 0, nil, 0
	f.got = make([]time.Duration, len(f.hosts))
	for i := range f.got {
		f.got[i] = -1
	}
	for i := range f.hosts {
		f.beat(i, time.Duration(f.random.Int64N(int64(capacBeat))))
	}
	f.take(f.random.IntN(len(f.hosts)))
	left := len(f.hosts)
	for len(f.queue) > 0 && left > 0 {
		e := heap.Pop(&f.queue).(capacEvent)
		if f.now = e.at; f.now > 17*time.Second {
			break
		}
		e.run()
		if f.now > 0 && f.seq%64 == 0 || len(f.queue) == 0 {
			left = f.left()
		}
	}
	return slices.Max(f.got)
}

func (f *flood) left() int {
	n := 0
	for _, at := range f.got {
		if at < 0 {
			n++
		}
	}
	return n
}

// take gives the change to a host, which pushes it to its neighbours.
func (f *flood) take(i int) {
	if f.got[i] >= 0 {
		return
	}
	f.got[i] = f.now
	for _, n := range f.links[i] {
		if !f.lost() {
			f.after(f.delay(i, n), func() { f.take(n) })
		}
	}
}

// pull lets a host that learnt of the change get it after another round trip.
func (f *flood) pull(i, from int) {
	if f.got[i] >= 0 || f.got[from] < 0 || f.lost() || f.lost() {
		return
	}
	f.after(2*f.delay(i, from), func() {
		if f.got[i] < 0 {
			f.pulled++
		}
		f.take(i)
	})
}

// beat exchanges heartbeats with the neighbours once per period.
func (f *flood) beat(i int, first time.Duration) {
	f.after(first, func() {
		for _, n := range f.links[i] {
			if f.lost() {
				continue
			}
			had := f.got[i] >= 0
			f.after(f.delay(i, n), func() {
				if had {
					f.pull(n, i)
				}
				if !f.lost() {
					f.after(f.delay(i, n), func() { f.pull(i, n) })
				}
			})
		}
		f.beat(i, capacBeat)
	})
}

// FloodTable renders results as Markdown.
func FloodTable(results []FloodResult) string {
	var b strings.Builder
	b.WriteString("| hosts | domains | changes | reached all | median to last host | worst to last host | hosts nobody chose | hosts that pulled, mean |\n|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %d | %d | %d | %d | %d ms | %d ms | %.0f | %.1f |\n", r.Hosts, r.Domains, r.Runs, r.Reached,
			r.Median.Milliseconds(), r.Worst.Milliseconds(), r.Unchosen, r.Pulled)
	}
	return b.String()
}
