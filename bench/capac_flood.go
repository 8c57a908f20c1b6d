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

// FloodResult is the modelled dissemination of changes over the overlay of
// neighbours that core/member selects.
type FloodResult struct {
	Hosts, Domains int
	Runs           int           // changes, one in each run
	Reached        int           // changes that every host received
	Median, Worst  time.Duration // time until the last host received a change
	Unchosen       float64       // hosts that no other host has as a neighbour
	Pulled         float64       // hosts that received a change by a pull, mean per run
}

// flood models the pushes of core/config and the heartbeats that repair lost
// pushes. Unlike Fleet it does not run the hosts' own code, so it can model
// the design size. The tables of TestCapacityFlood and TestCapacitySpread have
// sizes in common, at which the model can be compared with Fleet.
type flood struct {
	cfg        FleetConfig
	random     *rand.Rand
	hosts      []core.Host
	neighbours [][]int
	receivedAt []time.Duration // when each host received the change, or -1
	events     eventQueue
	now        time.Duration
	seq        int
	pulled     int
}

// Flood models the dissemination of one change per run, each published at a
// random host, with a heartbeat every 500 ms.
func Flood(cfg FleetConfig, runs int) FloodResult {
	f := &flood{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 2))}
	for d := range cfg.Domains {
		for i := range cfg.PerDomain {
			f.hosts = append(f.hosts, makeHost(d, i))
		}
	}
	unchosen := f.computeNeighbours()
	r := FloodResult{Hosts: len(f.hosts), Domains: cfg.Domains, Runs: runs, Unchosen: float64(unchosen)}
	var durations []time.Duration
	pulled := 0
	for range runs {
		worst := f.run()
		if !slices.Contains(f.receivedAt, -1) {
			r.Reached++
			durations = append(durations, worst)
		}
		pulled += f.pulled
	}
	slices.Sort(durations)
	if len(durations) > 0 {
		r.Median, r.Worst = durations[len(durations)/2], durations[len(durations)-1]
	}
	r.Pulled = float64(pulled) / float64(runs)
	return r
}

// computeNeighbours sets the neighbours of all hosts, computed from the view
// of an outside host that knows all of them. It returns the number of hosts
// that are nobody's neighbour.
func (f *flood) computeNeighbours() int {
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
		f.neighbours = append(f.neighbours, out)
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
	heap.Push(&f.events, event{at: f.now + d, seq: f.seq, run: run})
}

func (f *flood) loseMessage() bool { return f.random.Float64() < f.cfg.Loss }

func (f *flood) delay(a, b int) time.Duration {
	x, y := a/f.cfg.PerDomain, b/f.cfg.PerDomain
	switch {
	case x == y:
		return sameDomainDelay
	case regionOf(x, f.cfg.Domains) == regionOf(y, f.cfg.Domains):
		return sameRegionDelay
	default:
		return crossRegionDelay
	}
}

// run spreads one change until all hosts have it or 17 seconds have passed. It
// returns the time at which the last of the reached hosts received it.
func (f *flood) run() time.Duration {
	f.now, f.events, f.pulled = 0, nil, 0
	f.receivedAt = make([]time.Duration, len(f.hosts))
	for i := range f.receivedAt {
		f.receivedAt[i] = -1
	}
	for i := range f.hosts {
		f.scheduleHeartbeats(i, time.Duration(f.random.Int64N(int64(heartbeatInterval))))
	}
	f.deliver(f.random.IntN(len(f.hosts)))
	missing := len(f.hosts)
	for len(f.events) > 0 && missing > 0 {
		e := heap.Pop(&f.events).(event)
		if f.now = e.at; f.now > 17*time.Second {
			break
		}
		e.run()
		if f.now > 0 && f.seq%64 == 0 || len(f.events) == 0 {
			missing = f.countMissing()
		}
	}
	return slices.Max(f.receivedAt)
}

func (f *flood) countMissing() int {
	n := 0
	for _, at := range f.receivedAt {
		if at < 0 {
			n++
		}
	}
	return n
}

// deliver gives the change to host i, which pushes it to its neighbours. It
// does nothing if the host already has the change.
func (f *flood) deliver(i int) {
	if f.receivedAt[i] >= 0 {
		return
	}
	f.receivedAt[i] = f.now
	for _, n := range f.neighbours[i] {
		if !f.loseMessage() {
			f.after(f.delay(i, n), func() { f.deliver(n) })
		}
	}
}

// pull lets host i fetch the change from another host after a round trip,
// unless it already has the change or one of the two messages is lost.
func (f *flood) pull(i, from int) {
	if f.receivedAt[i] >= 0 || f.receivedAt[from] < 0 || f.loseMessage() || f.loseMessage() {
		return
	}
	f.after(2*f.delay(i, from), func() {
		if f.receivedAt[i] < 0 {
			f.pulled++
		}
		f.deliver(i)
	})
}

// scheduleHeartbeats exchanges heartbeats with the neighbours of host i after the
// given delay, and then once per interval. A host that learns from a heartbeat
// or its answer that the other one has the change pulls it.
func (f *flood) scheduleHeartbeats(i int, first time.Duration) {
	f.after(first, func() {
		for _, n := range f.neighbours[i] {
			if f.loseMessage() {
				continue
			}
			hasChange := f.receivedAt[i] >= 0
			f.after(f.delay(i, n), func() {
				if hasChange {
					f.pull(n, i)
				}
				if !f.loseMessage() {
					f.after(f.delay(i, n), func() { f.pull(i, n) })
				}
			})
		}
		f.scheduleHeartbeats(i, heartbeatInterval)
	})
}

// FloodTable formats results as a Markdown table.
func FloodTable(results []FloodResult) string {
	var b strings.Builder
	b.WriteString("| hosts | domains | changes | reached all | median to last host | worst to last host | hosts nobody chose | hosts that pulled, mean |\n|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %d | %d | %d | %d | %d ms | %d ms | %.0f | %.1f |\n", r.Hosts, r.Domains, r.Runs, r.Reached,
			r.Median.Milliseconds(), r.Worst.Milliseconds(), r.Unchosen, r.Pulled)
	}
	return b.String()
}
