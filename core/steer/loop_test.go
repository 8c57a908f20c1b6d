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
	// A fixed seed makes runs repeatable; the flags still override it.
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.checks": "12"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// caller asks a host again whenever its answer has expired.
type caller struct {
	addr  netip.Addr
	home  int
	till  time.Duration
	at    core.DomainID
	shift string
}

// loop closes the loop between many hosts' look-ups and the load that they
// cause. Every caller keeps perCaller slots busy and sends rate requests a
// second. All hosts see the load of lag ago.
type loop struct {
	now     time.Duration
	sheet   *core.Sheet
	hosts   []core.Host
	steers  []*steer.Planner
	callers []*caller
	random  *rand.Rand
	lag     int
	blind   bool    // measurements stopped
	noise   float64 // of measurements, as a share of the capacity
	local   float64
	moves   int // callers that changed their domain
	past    []map[core.DomainID]float64
}

const (
	perCaller = 0.05
	rate      = 0.5
)

func newLoop(seed uint64, sheet *core.Sheet, hosts []core.Host) *loop {
	l := &loop{sheet: sheet, hosts: hosts, random: rand.New(rand.NewPCG(seed, 3)), lag: 30, local: 0.85}
	for _, h := range hosts {
		l.steers = append(l.steers, steer.New(steer.Config{Self: h, Sheet: sheet, Hosts: hosts, SlotsPerCaller: perCaller, RequestRate: rate}))
	}
	return l
}

// arrive adds callers of a home domain that make their first look-up within
// a lifetime.
func (l *loop) arrive(home, n int) {
	for range n {
		l.callers = append(l.callers, &caller{
			addr: client(home, l.random.IntN(200)), home: home, till: l.now + time.Duration(l.random.IntN(30))*time.Second,
		})
	}
}

func (l *loop) apply(sheet *core.Sheet) {
	l.sheet = sheet
	for _, s := range l.steers {
		s.Apply(l.now, sheet)
	}
}

func (l *loop) load() map[core.DomainID]float64 {
	load := make(map[core.DomainID]float64)
	for _, c := range l.callers {
		load[c.at] += perCaller
	}
	return load
}

func (l *loop) shifted(name string) int {
	n := 0
	for _, c := range l.callers {
		if c.shift == name {
			n++
		}
	}
	return n
}

func (l *loop) step() {
	l.now += time.Second
	l.past = append(l.past, l.load())
	var loads []core.DomainLoad
	if at := len(l.past) - 1 - l.lag; at >= 0 && !l.blind {
		for d := range 6 {
			domain := core.DomainID(fmt.Sprint("domain-", d))
			total := int64(1000 * 3 * len(l.sheet.Servers) / 6)
			busy := l.past[at][domain] + l.noise*(2*l.random.Float64()-1)*float64(total)/1000
			loads = append(loads, core.DomainLoad{Domain: domain, Total: total, Free: total - int64(1000*busy)})
		}
	}
	for _, s := range l.steers {
		s.AddLoads(l.now, "", time.Duration(l.lag)*time.Second, loads)
		s.Replan(l.now)
	}
	per := len(l.hosts) / 6
	for _, c := range l.callers {
		if c.till > l.now {
			continue
		}
		ask := l.random.IntN(len(l.hosts))
		if l.random.Float64() < l.local {
			ask = c.home*per + l.random.IntN(per)
		}
		a, err := l.steers[ask].Lookup("desk", c.addr, nil)
		if err != nil {
			continue
		}
		if c.at != "" && c.at != a.Domain {
			l.moves++
		}
		c.at, c.shift, c.till = a.Domain, a.Shift, l.now+a.Lifetime
	}
}

// Guards against callers that swing between domains because measurements
// lag, and against a plan that overloads a domain while others have room.
func TestNoOscillation(t *testing.T) {
	for _, lag := range []int{2, 30} {
		for seed := range uint64(3) {
			sheet, hosts := small(2, 12, 200)
			l := newLoop(seed, sheet, hosts)
			l.lag = lag
			capacity := 36.0
			// The first domain has 1.4 times what it can serve.
			l.arrive(0, int(1.4*capacity/perCaller))
			for home := 1; home < 6; home++ {
				l.arrive(home, int(0.5*capacity/perCaller))
			}
			for range 240 {
				l.step()
			}
			low, high := make([]float64, 6), make([]float64, 6)
			for step := range 600 {
				l.step()
				load := l.load()
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
			require.Greater(t, low[0], 0.7, "the domain's own callers stay as far as there is room")
		}
	}
}

// Guards against callers that follow the noise of measurements.
func TestNoisyMeasurements(t *testing.T) {
	sheet, hosts := small(2, 12, 200)
	l := newLoop(5, sheet, hosts)
	l.noise, l.local = 0.3, 1
	l.arrive(0, 900)
	for home := 1; home < 6; home++ {
		l.arrive(home, 360)
	}
	for range 120 {
		l.step()
	}
	l.moves = 0
	for range 300 {
		l.step()
	}
	perLook := float64(l.moves) / (float64(len(l.callers)) * 300 / 27)
	t.Logf("%.4f of the look-ups change the domain", perLook)
	require.Less(t, perLook, 0.03)
}

// Guards against a load that is taken as zero, and against an overload,
// when measurements stop while demand grows.
func TestMeasurementsStop(t *testing.T) {
	for seed := range uint64(3) {
		sheet, hosts := small(2, 12, 200)
		l := newLoop(seed, sheet, hosts)
		for home := range 6 {
			l.arrive(home, int(0.55*36.0/perCaller))
		}
		for range 200 {
			l.step()
		}
		l.blind = true
		for i := range 300 {
			if i < 100 && i%10 == 0 {
				l.arrive(2, 60) // 8% of the capacity
			}
			l.step()
			for domain, load := range l.load() {
				require.Less(t, load/36, 1.0, "seed %d %s", seed, domain)
			}
		}
	}
}

// Guards against a shift that exceeds its cap over many hosts, whatever the
// callers ask, also while demand jumps or the cap is cut, and against one
// that never reaches its share.
func TestShiftStaysUnderCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sheet, hosts := small(rapid.IntRange(1, 3).Draw(t, "hosts"), 40, 200)
		l := newLoop(rapid.Uint64().Draw(t, "seed"), sheet, hosts)
		l.local = rapid.Float64Range(0, 1).Draw(t, "local")
		share := rapid.IntRange(50, 1000).Draw(t, "share")
		requests := int64(rapid.IntRange(5, 300).Draw(t, "cap"))
		cut := func(limit int64) {
			next := *sheet
			next.Shifts = []core.Shift{{Name: "move", From: "region-0", To: "region-2", SharePerMille: share, Cap: 1000 * limit}}
			l.apply(&next)
		}
		l.arrive(0, rapid.IntRange(10, 800).Draw(t, "first"))
		l.arrive(1, rapid.IntRange(10, 800).Draw(t, "second"))
		cut(requests)
		check := func(seconds int) {
			for range seconds {
				l.step()
				if got := float64(l.shifted("move")) * rate; got > float64(requests) {
					t.Fatalf("%v requests/s are shifted at %v, cap %v", got, l.now, requests)
				}
			}
		}
		check(120)
		l.arrive(0, rapid.IntRange(0, 800).Draw(t, "jump"))
		check(90)
		requests = max(requests/2, 1)
		cut(requests)
		for range 31 {
			l.step() // answers given under the old cap expire
		}
		check(60)
	})
	sheet, hosts := small(2, 40, 200)
	l := newLoop(1, sheet, hosts)
	sheet.Shifts = []core.Shift{{Name: "move", From: "region-0", To: "region-2", SharePerMille: 400, Cap: 1 << 40}}
	l.apply(sheet)
	l.arrive(0, 500)
	l.arrive(1, 500)
	for range 120 {
		l.step()
	}
	require.InDelta(t, 400, l.shifted("move"), 60, "a shift with room reaches its share")
	l.moves = 0
	tight := *sheet
	tight.Shifts = []core.Shift{{Name: "move", From: "region-0", To: "region-2", SharePerMille: 400, Cap: 80_000}}
	l.apply(&tight)
	for range 60 {
		l.step()
	}
	l.moves = 0
	for range 270 {
		l.step()
	}
	// The cap picks the same blocks again and again, not whoever asks first.
	require.Less(t, l.moves, 1200, "callers flip between regions")
	l.apply(sheet)
	for range 90 {
		l.step()
	}
	for _, c := range l.callers {
		_, covered := l.steers[0].ShiftOf(c.addr)
		require.Equal(t, c.shift != "", covered)
		if c.shift != "" {
			require.Contains(t, []core.DomainID{"domain-4", "domain-5"}, c.at)
		}
	}
}
