package rates_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"azurering/core"
	"azurering/core/fakes"
	"azurering/core/share"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func testLimits(version uint64, domains int, rate, burst int64) share.Limits {
	l := share.Limits{Version: version, Rates: map[core.Resource]share.Limit{}}
	var all []core.DomainID
	for d := range domains {
		all = append(all, core.DomainID(fmt.Sprintf("d%d", d)))
	}
	l.Rates[core.RateResource("big")] = share.Limit{Amount: core.Amount{Rate: rate, Burst: burst}, Domains: all}
	l.Rates[core.RateResource("small")] = share.Limit{Amount: core.Amount{Rate: 3001, Burst: 7003}, Domains: all}
	return l
}

var testWorkspaces = []core.WorkspaceID{"big", "small"}

// system is a fleet with checkers of its invariants and a load that tests
// change.
type system struct {
	f           *fleet
	checkers    map[core.WorkspaceID]*checker
	loadFactor  float64
	offerCounts map[core.WorkspaceID]int64
	focusDomain int // index of the domain with most of the load
}

func newSystem(seed uint64, domains, hosts int) *system {
	s := &system{f: newFleet(seed, domains, hosts, testLimits(1, domains, 90_000, 180_000)).start(), loadFactor: 1}
	s.checkers, s.offerCounts = map[core.WorkspaceID]*checker{}, map[core.WorkspaceID]int64{}
	for _, w := range testWorkspaces {
		s.checkers[w] = s.f.checker(core.RateResource(w))
	}
	return s
}

func (s *system) offeredRate(_ time.Duration, h *host, w core.WorkspaceID) float64 {
	rate := 90.0
	if w == "small" {
		rate = 3
	}
	if !slices.Contains(s.f.limits.Rates[core.RateResource(w)].Domains, h.domain) {
		return 0 // callers are not sent to a removed domain
	}
	part := 0.5 / float64(len(s.f.hosts))
	if h.domain == s.f.domains[s.focusDomain%len(s.f.domains)] {
		part += 0.25
	}
	return rate * part * s.loadFactor
}

func (s *system) run(d time.Duration) error {
	for range int(d / tick) {
		s.f.advance(testWorkspaces, s.offeredRate, func(_ *host, w core.WorkspaceID, ok bool) {
			s.offerCounts[w]++
			if ok {
				s.checkers[w].admitted()
			}
		})
		for _, w := range testWorkspaces {
			if err := s.checkers[w].check(); err != nil {
				return fmt.Errorf("at %s: %w", s.f.timer.Now(), err)
			}
		}
	}
	return nil
}

func (s *system) cutDomain(i int, cut bool) {
	d := s.f.domains[i]
	for _, a := range s.f.hosts {
		if a.domain != d {
			continue
		}
		a.storeFault = fakes.FaultNone
		if cut {
			a.storeFault = fakes.FaultUnavailable
		}
		for _, b := range s.f.hosts {
			if b.domain != d {
				s.f.net.SetCut(a.id, b.id, cut)
			}
		}
	}
}

func (s *system) forEachHost(do func(h *host)) {
	for _, h := range s.f.hosts {
		do(h)
	}
}

func (s *system) setLimits(l share.Limits) {
	s.f.limits = l
	s.forEachHost(func(h *host) { h.setLimits(l) })
}

// Guards against admissions above burst + rate × window, loans above a
// domain's amount and amounts above the limit, during each single fault and
// after it.
func TestFaultTable(t *testing.T) {
	cases := map[string]func(s *system){
		"none":                   func(*system) {},
		"host paused":            func(s *system) { s.f.hosts[1].pausedUntil = s.f.timer.Now() + 20*time.Second },
		"seat holder paused":     func(s *system) { s.f.hosts[0].pausedUntil = s.f.timer.Now() + 20*time.Second },
		"link between hosts cut": func(s *system) { s.f.net.SetCut("d0-h0", "d0-h1", true) },
		"domain cut off":         func(s *system) { s.cutDomain(1, true) },
		"store down":             func(s *system) { s.forEachHost(func(h *host) { h.storeFault = fakes.FaultUnavailable }) },
		"commit answers lost": func(s *system) {
			s.forEachHost(func(h *host) { h.storeFault = fakes.FaultLostResponse })
		},
		"commits delayed":                   func(s *system) { s.forEachHost(func(h *host) { h.storeFault = fakes.FaultLostRequest }) },
		"loan requests lost":                func(s *system) { s.forEachHost(func(h *host) { h.netMode = netLoseRequest }) },
		"loan answers lost":                 func(s *system) { s.forEachHost(func(h *host) { h.netMode = netLoseResponse }) },
		"loan requests delayed":             func(s *system) { s.forEachHost(func(h *host) { h.netMode = netDelayRequest }) },
		"loan answers delayed":              func(s *system) { s.forEachHost(func(h *host) { h.netMode = netDelayResponse }) },
		"failed loan requests arrive later": func(s *system) { s.forEachHost(func(h *host) { h.netMode = netFailThenDeliver }) },
		"seat takeover":                     func(s *system) { s.f.takeover("d0", s.f.hosts[1]) },
		"host restarted": func(s *system) {
			s.f.restart(s.f.hosts[1])
		},
		"seat holder restarted": func(s *system) { s.f.restart(s.f.hosts[0]) },
		"all hosts restarted":   func(s *system) { s.forEachHost(s.f.restart) },
		"limit lowered":         func(s *system) { s.setLimits(testLimits(2, 3, 30_000, 40_000)) },
		"limit raised":          func(s *system) { s.setLimits(testLimits(2, 3, 200_000, 300_000)) },
		"domain removed":        func(s *system) { s.setLimits(testLimits(2, 2, 90_000, 180_000)) },
		"limit lowered, domain cut off": func(s *system) {
			s.cutDomain(1, true)
			s.setLimits(testLimits(2, 3, 30_000, 40_000))
		},
	}
	for name, fault := range cases {
		for _, factor := range []float64{0.8, 10} {
			t.Run(fmt.Sprintf("%s, load %v", name, factor), func(t *testing.T) {
				s := newSystem(7, 3, 2)
				s.loadFactor = factor
				require.NoError(t, s.run(40*time.Second))
				fault(s)
				s.focusDomain = 1
				require.NoError(t, s.run(40*time.Second))
				s.forEachHost(func(h *host) { h.netMode, h.storeFault = netOK, fakes.FaultNone })
				s.cutDomain(1, false)
				s.f.net.SetCut("d0-h0", "d0-h1", false)
				s.focusDomain = 2
				require.NoError(t, s.run(60*time.Second))
				s.requireServed(t)
			})
		}
	}
}

// requireServed checks that the fleet serves the load again after the faults.
// The burst of the small workspace is about one request per host. Such a
// workspace is served worse, because tokens of one host are of no use at
// another (docs/parts/rates.md).
func (s *system) requireServed(t *testing.T) {
	t.Helper()
	for _, w := range testWorkspaces {
		admittedBefore, offersBefore := s.checkers[w].admittedCount, s.offerCounts[w]
		require.NoError(t, s.run(20*time.Second))
		limit := s.f.limits.Rates[core.RateResource(w)].Amount.Rate
		expected := min(float64(limit)/1000*20, float64(s.offerCounts[w]-offersBefore))
		minPart := 0.9
		if w == "small" {
			minPart = 0.5
		}
		require.GreaterOrEqual(t, float64(s.checkers[w].admittedCount-admittedBefore), minPart*expected, "workspace %s", w)
	}
}

// Guards against combinations of faults that break an invariant. Each run
// draws a sequence of faults, takeovers, restarts, limits and loads.
func TestFaultMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(rapid.Uint64().Draw(t, "seed"), 3, 2)
		version := uint64(1)
		pick := func() *host { return rapid.SampledFrom(s.f.hosts).Draw(t, "host") }
		actions := map[string]func(*rapid.T){
			"pause": func(t *rapid.T) {
				h := pick()
				h.pausedUntil = s.f.timer.Now() + time.Duration(rapid.IntRange(1, 30).Draw(t, "s"))*time.Second
			},
			"restart": func(*rapid.T) { s.f.restart(pick()) },
			"takeover": func(*rapid.T) {
				h := pick()
				s.f.takeover(h.domain, h)
			},
			"cut": func(t *rapid.T) { s.f.net.SetCut(pick().id, pick().id, rapid.Bool().Draw(t, "cut")) },
			"domain": func(t *rapid.T) {
				s.cutDomain(rapid.IntRange(0, 2).Draw(t, "domain"), rapid.Bool().Draw(t, "cut"))
			},
			"store": func(t *rapid.T) {
				f := rapid.SampledFrom([]fakes.Fault{fakes.FaultNone, fakes.FaultUnavailable, fakes.FaultLostResponse, fakes.FaultLostRequest}).Draw(t, "fault")
				s.forEachHost(func(h *host) { h.storeFault = f })
			},
			"net": func(t *rapid.T) {
				pick().netMode = rapid.SampledFrom([]netMode{netOK, netLoseRequest, netLoseResponse, netDelayRequest, netDelayResponse, netFailThenDeliver}).Draw(t, "mode")
			},
			"heal": func(*rapid.T) { s.forEachHost(func(h *host) { h.netMode, h.storeFault = netOK, fakes.FaultNone }) },
			"limits": func(t *rapid.T) {
				version++
				rate := rapid.Int64Range(1, 300_000).Draw(t, "rate")
				s.setLimits(testLimits(version, rapid.IntRange(1, 3).Draw(t, "domains"), rate, rapid.Int64Range(1, 400_000).Draw(t, "burst")))
			},
			"load": func(t *rapid.T) {
				s.loadFactor = rapid.SampledFrom([]float64{0.1, 0.8, 1.5, 10}).Draw(t, "factor")
				s.focusDomain = rapid.IntRange(0, 2).Draw(t, "focus")
			},
			"": func(t *rapid.T) {
				if err := s.run(time.Duration(rapid.IntRange(1, 100).Draw(t, "ticks")) * tick); err != nil {
					t.Fatal(err)
				}
			},
		}
		t.Repeat(actions)
	})
}
