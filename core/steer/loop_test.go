package steer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"azurering/core"
	"azurering/core/steer"
)

func init() {
	// A fixed seed makes runs reproducible; the flags still override it.
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.checks": "12"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// caller makes a new look-up whenever its answer has expired.
type caller struct {
	addr    netip.Addr
	home    int
	expires time.Duration
	domain  core.DomainID
	shift   string
}

// simulation runs many hosts' look-ups against the load that they cause.
// Every caller keeps slotsPerCaller slots busy and sends requestRate requests
// per second. All hosts see the load as it was lagSeconds ago.
type simulation struct {
	now            time.Duration
	sheet          *core.Sheet
	hosts          []core.Host
	steers         []*steer.Planner
	callers        []*caller
	random         *rand.Rand
	lagSeconds     int
	noMeasurements bool    // hosts get no more measurements
	noise          float64 // of measurements, as a share of the capacity
	localShare     float64
	moves          int // callers that changed their domain
	loadHistory    []map[core.DomainID]float64
}

const (
	slotsPerCaller = 0.05
	requestRate    = 0.5
)

func newSimulation(seed uint64, sheet *core.Sheet, hosts []core.Host) *simulation {
	sim := &simulation{sheet: sheet, hosts: hosts, random: rand.New(rand.NewPCG(seed, 3)), lagSeconds: 30, localShare: 0.85}
	for _, h := range hosts {
		sim.steers = append(sim.steers, steer.New(steer.Config{Self: h, Sheet: sheet, Hosts: hosts, SlotsPerCaller: slotsPerCaller, RequestRate: requestRate}))
	}
	return sim
}

// addCallers adds callers of a home domain that make their first look-up
// within the next 30 s.
func (sim *simulation) addCallers(home, n int) {
	for range n {
		sim.callers = append(sim.callers, &caller{
			addr: addressIn(home, sim.random.IntN(200)), home: home, expires: sim.now + time.Duration(sim.random.IntN(30))*time.Second,
		})
	}
}

func (sim *simulation) apply(sheet *core.Sheet) {
	sim.sheet = sheet
	for _, s := range sim.steers {
		s.Apply(sim.now, sheet)
	}
}

func (sim *simulation) load() map[core.DomainID]float64 {
	load := make(map[core.DomainID]float64)
	for _, c := range sim.callers {
		load[c.domain] += slotsPerCaller
	}
	return load
}

func (sim *simulation) shiftedCallers(name string) int {
	n := 0
	for _, c := range sim.callers {
		if c.shift == name {
			n++
		}
	}
	return n
}

func (sim *simulation) step() {
	sim.now += time.Second
	sim.loadHistory = append(sim.loadHistory, sim.load())
	var loads []core.DomainLoad
	if at := len(sim.loadHistory) - 1 - sim.lagSeconds; at >= 0 && !sim.noMeasurements {
		for d := range 6 {
			domain := core.DomainID(fmt.Sprint("domain-", d))
			total := int64(1000 * 3 * len(sim.sheet.Servers) / 6)
			busy := sim.loadHistory[at][domain] + sim.noise*(2*sim.random.Float64()-1)*float64(total)/1000
			loads = append(loads, core.DomainLoad{Domain: domain, Total: total, Free: total - int64(1000*busy)})
		}
	}
	for _, s := range sim.steers {
		s.AddLoads(sim.now, "", time.Duration(sim.lagSeconds)*time.Second, loads)
		s.Replan(sim.now)
	}
	hostsPerDomain := len(sim.hosts) / 6
	for _, c := range sim.callers {
		if c.expires > sim.now {
			continue
		}
		host := sim.random.IntN(len(sim.hosts))
		if sim.random.Float64() < sim.localShare {
			host = c.home*hostsPerDomain + sim.random.IntN(hostsPerDomain)
		}
		a, err := sim.steers[host].Lookup("desk", c.addr, nil)
		if err != nil {
			continue
		}
		if c.domain != "" && c.domain != a.Domain {
			sim.moves++
		}
		c.domain, c.shift, c.expires = a.Domain, a.Shift, sim.now+a.Lifetime
	}
}

// Guards against callers that oscillate between domains because measurements
// are delayed, and against a plan that overloads a domain while others have
// free capacity.
func TestNoOscillation(t *testing.T) {
	for _, lag := range []int{2, 30} {
		for seed := range uint64(3) {
			sheet, hosts := smallSheet(2, 12, 200)
			sim := newSimulation(seed, sheet, hosts)
			sim.lagSeconds = lag
			capacity := 36.0
			// The demand of the first domain is 1.4 times its capacity.
			sim.addCallers(0, int(1.4*capacity/slotsPerCaller))
			for home := 1; home < 6; home++ {
				sim.addCallers(home, int(0.5*capacity/slotsPerCaller))
			}
			for range 240 {
				sim.step()
			}
			low, high := make([]float64, 6), make([]float64, 6)
			for step := range 600 {
				sim.step()
				load := sim.load()
				for d := range 6 {
					v := load[core.DomainID(fmt.Sprint("domain-", d))] / capacity
					require.Less(t, v, 0.97, "lag %d s seed %d domain %d step %d", lag, seed, d, step)
					if step == 0 {
						low[d], high[d] = v, v
					}
					low[d], high[d] = min(low[d], v), max(high[d], v)
				}
			}
			t.Logf("lag %d s, seed %d: load from %.2f to %.2f", lag, seed, low, high)
			for d := range 6 {
				require.Less(t, high[d]-low[d], 0.15, "lag %d s seed %d domain %d", lag, seed, d)
			}
			require.Greater(t, low[0], 0.7, "the domain's own callers must stay while it has capacity")
		}
	}
}

// Guards against callers that change domains because measurements are noisy.
func TestNoiseMovesFewCallers(t *testing.T) {
	sheet, hosts := smallSheet(2, 12, 200)
	sim := newSimulation(5, sheet, hosts)
	sim.noise, sim.localShare = 0.3, 1
	sim.addCallers(0, 900)
	for home := 1; home < 6; home++ {
		sim.addCallers(home, 360)
	}
	for range 120 {
		sim.step()
	}
	sim.moves = 0
	for range 300 {
		sim.step()
	}
	movesPerLookup := float64(sim.moves) / (float64(len(sim.callers)) * 300 / 27)
	t.Logf("%.4f of the look-ups change the domain", movesPerLookup)
	require.Less(t, movesPerLookup, 0.03)
}

// Guards against hosts that take the load as zero, or overload a domain, when
// measurements stop while demand grows.
func TestNoOverloadWithoutMeasurements(t *testing.T) {
	for seed := range uint64(3) {
		sheet, hosts := smallSheet(2, 12, 200)
		sim := newSimulation(seed, sheet, hosts)
		for home := range 6 {
			sim.addCallers(home, int(0.55*36.0/slotsPerCaller))
		}
		for range 200 {
			sim.step()
		}
		sim.noMeasurements = true
		for i := range 300 {
			if i < 100 && i%10 == 0 {
				sim.addCallers(2, 60) // 8% of the capacity
			}
			sim.step()
			for domain, load := range sim.load() {
				require.Less(t, load/36, 1.0, "seed %d %s", seed, domain)
			}
		}
	}
}

// Guards against a shift that exceeds its cap summed over all hosts,
// whichever hosts the callers ask, also after demand jumps or the cap is
// reduced. Guards against a shift that never reaches its share as well.
func TestShiftStaysUnderCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sheet, hosts := smallSheet(rapid.IntRange(1, 3).Draw(t, "hosts"), 40, 200)
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), sheet, hosts)
		sim.localShare = rapid.Float64Range(0, 1).Draw(t, "local")
		share := rapid.IntRange(50, 1000).Draw(t, "share")
		requests := int64(rapid.IntRange(5, 300).Draw(t, "cap"))
		setCap := func(limit int64) {
			next := *sheet
			next.Shifts = []core.Shift{{Name: "move", From: "region-0", To: "region-2", SharePerMille: share, Cap: 1000 * limit}}
			sim.apply(&next)
		}
		sim.addCallers(0, rapid.IntRange(10, 800).Draw(t, "first"))
		sim.addCallers(1, rapid.IntRange(10, 800).Draw(t, "second"))
		setCap(requests)
		check := func(seconds int) {
			for range seconds {
				sim.step()
				if got := float64(sim.shiftedCallers("move")) * requestRate; got > float64(requests) {
					t.Fatalf("%v requests/s are shifted at %v, cap %v", got, sim.now, requests)
				}
			}
		}
		check(120)
		sim.addCallers(0, rapid.IntRange(0, 800).Draw(t, "jump"))
		check(90)
		requests = max(requests/2, 1)
		setCap(requests)
		for range 31 {
			sim.step() // wait until answers given under the old cap have expired
		}
		check(60)
	})
	sheet, hosts := smallSheet(2, 40, 200)
	sim := newSimulation(1, sheet, hosts)
	sheet.Shifts = []core.Shift{{Name: "move", From: "region-0", To: "region-2", SharePerMille: 400, Cap: 1 << 40}}
	sim.apply(sheet)
	sim.addCallers(0, 500)
	sim.addCallers(1, 500)
	for range 120 {
		sim.step()
	}
	require.InDelta(t, 400, sim.shiftedCallers("move"), 60, "a shift below its cap must reach its share")
	sim.moves = 0
	capped := *sheet
	capped.Shifts = []core.Shift{{Name: "move", From: "region-0", To: "region-2", SharePerMille: 400, Cap: 80_000}}
	sim.apply(&capped)
	for range 60 {
		sim.step()
	}
	sim.moves = 0
	for range 270 {
		sim.step()
	}
	// The cap must select the same blocks each time, not the callers that ask
	// first.
	require.Less(t, sim.moves, 1200, "callers oscillate between regions")
	sim.apply(sheet)
	for range 90 {
		sim.step()
	}
	for _, c := range sim.callers {
		_, covered := sim.steers[0].ShiftOf(c.addr)
		require.Equal(t, c.shift != "", covered)
		if c.shift != "" {
			require.Contains(t, []core.DomainID{"domain-4", "domain-5"}, c.domain)
		}
	}
}
