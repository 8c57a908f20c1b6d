package steer_test

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/steer"
)

// small builds three regions of two domains with hosts, servers of one
// service and blocks of 24 bits per domain.
func small(hosts, servers, blocks int) (*core.Sheet, []core.Host) {
	sheet := &core.Sheet{Services: []core.Service{{Name: "desk", SlowStart: 60 * time.Second}}}
	var all []core.Host
	for r := range 3 {
		region := core.Region{Name: core.RegionID(fmt.Sprint("region-", r))}
		for d := range 2 {
			n := 2*r + d
			domain := core.DomainID(fmt.Sprint("domain-", n))
			region.Domains = append(region.Domains, domain)
			for h := range hosts {
				all = append(all, core.Host{Name: core.HostID(fmt.Sprintf("entry-%d-%d", n, h)), Domain: domain, State: core.HostLive})
			}
			for i := range servers {
				sheet.Servers = append(sheet.Servers, core.Server{Name: core.ServerID(fmt.Sprintf("desk-%d-%d", n, i)), Service: "desk", Domain: domain, Slots: 3})
			}
			for b := range blocks {
				sheet.Blocks = append(sheet.Blocks, core.AddressBlock{Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(10 + n), byte(b >> 8), byte(b), 0}), 24), Domain: domain})
			}
		}
		sheet.Regions = append(sheet.Regions, region)
	}
	for i := range 3 {
		for j := range i {
			sheet.Links = append(sheet.Links, core.Link{From: sheet.Regions[j].Name, To: sheet.Regions[i].Name, Delay: 12 * time.Millisecond})
		}
	}
	return sheet, all
}

func client(domain, block int) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(10 + domain), byte(block >> 8), byte(block), 7})
}

// stranger returns an address outside all blocks.
func stranger(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{100, byte(n >> 8), byte(n), 1})
}

func look(t testing.TB, s *steer.Planner, addr netip.Addr) steer.Answer {
	t.Helper()
	a, err := s.Lookup("desk", addr, nil)
	require.NoError(t, err)
	require.NotEmpty(t, a.Hosts)
	require.Equal(t, a.Domain, a.Hosts[0].Domain)
	return a
}

// Guards against wrong blocks, duplicate hosts and lifetimes out of range,
// and against errors without a code.
func TestLook(t *testing.T) {
	sheet, hosts := small(2, 6, 50)
	sheet.Blocks = append(sheet.Blocks, core.AddressBlock{Prefix: netip.MustParsePrefix("10.0.3.128/25"), Domain: "domain-5"})
	s := steer.New(steer.Config{Sheet: sheet, Hosts: hosts, Self: hosts[0]})
	last := make(map[core.DomainID]bool)
	for b := range 50 {
		a := look(t, s, client(0, b))
		last[a.Hosts[3].Domain] = true
		require.Equal(t, core.DomainID("domain-0"), a.Domain)
		require.Len(t, a.Hosts, 4)
		seen := make(map[core.HostID]bool)
		for _, h := range a.Hosts {
			require.False(t, seen[h.Name])
			seen[h.Name] = true
		}
		require.Equal(t, core.DomainID("domain-1"), a.Hosts[2].Domain, "the nearest other domain stands by")
		require.LessOrEqual(t, a.Lifetime, 30*time.Second)
		require.GreaterOrEqual(t, a.Lifetime, 24*time.Second)
	}
	require.Len(t, last, 4, "callers who lose their region spread over the others")
	require.Equal(t, core.DomainID("domain-5"), look(t, s, netip.MustParseAddr("10.0.3.200")).Domain, "the longest prefix counts")
	require.Equal(t, core.DomainID("domain-0"), look(t, s, netip.MustParseAddr("::ffff:10.0.3.1")).Domain)
	look(t, s, netip.MustParseAddr("2001:db8::1%eth0"))
	_, err := s.Lookup("none", client(0, 0), nil)
	require.True(t, codes.Is(err, codes.ServiceAbsent))
	s.SetHosts(0, nil)
	_, err = s.Lookup("desk", client(0, 0), nil)
	require.True(t, codes.Is(err, codes.NoCapacity))
}

// Guards against allocations in a look-up.
func TestLookAllocatesNothing(t *testing.T) {
	sheet, hosts := small(3, 6, 50)
	sheet.Shifts = []core.Shift{{Name: "move", From: "region-0", To: "region-1", SharePerMille: 500, Cap: 1 << 40}}
	s := steer.New(steer.Config{Sheet: sheet, Hosts: hosts, Self: hosts[0]})
	buf := make([]core.Host, 0, 4)
	n := 0
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		n++
		_, _ = s.Lookup("desk", client(n%6, n%50), buf)
		_, _ = s.Lookup("desk", stranger(n), buf)
	}))
}

// choices returns the domain of each of n strangers, whose blocks are spread
// over all domains by capacity.
func choices(t testing.TB, s *steer.Planner, n int) []core.DomainID {
	t.Helper()
	var out []core.DomainID
	for i := range n {
		out = append(out, look(t, s, stranger(i)).Domain)
	}
	return out
}

// Guards against a change of share that moves other blocks than that share,
// by more than rounding.
func TestChangeMovesOnlyItsShare(t *testing.T) {
	for _, drained := range []int{1, 3, 6, 12} {
		sheet, hosts := small(2, 12, 1)
		s := steer.New(steer.Config{Sheet: sheet, Hosts: hosts, Self: hosts[0]})
		before := choices(t, s, 20000)
		next := *sheet
		for i := range drained {
			next.Drains = append(next.Drains, core.Drain{Kind: core.DrainServer, Target: fmt.Sprint("desk-2-", i)})
		}
		s.Apply(time.Second, &next)
		for now := time.Second; now < time.Minute; now += time.Second {
			s.Replan(now)
		}
		after := choices(t, s, 20000)
		moved := 0
		for i := range before {
			if before[i] != after[i] {
				moved++
				require.Equal(t, core.DomainID("domain-2"), before[i], "only blocks of the changed domain move")
			}
		}
		share := 1.0/6 - float64(12-drained)/float64(72-drained)
		t.Logf("%d of 12 servers drained: share falls by %.4f, %.4f of the blocks moved", drained, share, float64(moved)/20000)
		// A change below the dead band moves nothing.
		if share > 0.02 {
			require.InDelta(t, share, float64(moved)/20000, 0.02)
		}
	}
}

// Guards against callers that are sent to what is drained, gone or leaving,
// also as a later choice.
func TestNothingToDrained(t *testing.T) {
	cases := map[string]struct {
		drain core.Drain
		hits  func(h core.Host) bool
	}{
		"domain": {core.Drain{Kind: core.DrainDomain, Target: "domain-3"}, func(h core.Host) bool { return h.Domain == "domain-3" }},
		"host":   {core.Drain{Kind: core.DrainHost, Target: "entry-1-0"}, func(h core.Host) bool { return h.Name == "entry-1-0" }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sheet, hosts := small(2, 6, 200)
			s := steer.New(steer.Config{Sheet: sheet, Hosts: hosts, Self: hosts[0], MaxHosts: 8})
			check := func(want bool) {
				found := false
				for d := range 6 {
					for b := range 200 {
						found = found || slices.ContainsFunc(look(t, s, client(d, b)).Hosts, c.hits)
						found = found || slices.ContainsFunc(look(t, s, stranger(b)).Hosts, c.hits)
					}
				}
				require.Equal(t, want, found)
			}
			check(true)
			next := *sheet
			next.Drains = []core.Drain{c.drain}
			s.Apply(time.Second, &next)
			check(false)
			for now := 2 * time.Second; now < 10*time.Second; now += time.Second {
				s.Replan(now)
				check(false)
			}
			if name == "domain" {
				require.NotContains(t, s.SpillTargets("desk", core.ClassLookup, nil), core.DomainID("domain-3"))
			}
		})
	}
	sheet, hosts := small(2, 6, 10)
	hosts[2].State, hosts[3].State = core.HostLeaving, core.HostDead
	s := steer.New(steer.Config{Sheet: sheet, Hosts: hosts, Self: hosts[0], MaxHosts: 8})
	for b := range 10 {
		for _, h := range look(t, s, client(1, b)).Hosts {
			require.NotEqual(t, core.DomainID("domain-1"), h.Domain)
		}
	}
	hosts[0].State = core.HostSuspect
	s.SetHosts(0, hosts)
	require.Equal(t, core.HostID("entry-0-1"), look(t, s, client(0, 1)).Hosts[0].Name)
	for b := range 10 {
		for _, h := range look(t, s, client(0, b)).Hosts {
			require.NotEqual(t, core.HostSuspect, h.State)
		}
	}
	for i := range hosts {
		hosts[i].State = core.HostSuspect
	}
	s.SetHosts(0, hosts)
	look(t, s, client(0, 1)) // better than no answer
}

// Guards against a domain that takes its full load cold after a drain, and
// against one that never gets it back.
func TestColdStartRamp(t *testing.T) {
	sheet, hosts := small(2, 10, 10)
	drained := *sheet
	drained.Drains = []core.Drain{{Kind: core.DrainDomain, Target: "domain-0"}}
	s := steer.New(steer.Config{Sheet: &drained, Hosts: hosts, Self: hosts[0]})
	capacity := func() float64 {
		for _, w := range s.Assignments("desk") {
			if w.Domain == "domain-0" {
				return w.Capacity
			}
		}
		return 0
	}
	require.Zero(t, capacity())
	s.Apply(10*time.Second, sheet)
	require.InDelta(t, 3, capacity(), 0.01)
	s.Replan(40 * time.Second)
	require.InDelta(t, 16.5, capacity(), 0.01)
	s.Replan(70 * time.Second)
	require.InDelta(t, 30, capacity(), 0.01)
}

// Guards against a changed list of blocks that gives other answers than a
// fresh table, for the ways in which the table is updated.
func TestBlocksUpdate(t *testing.T) {
	sheet, hosts := small(1, 6, 300)
	s := steer.New(steer.Config{Sheet: sheet, Hosts: hosts, Self: hosts[0]})
	changes := map[string]func(l []core.AddressBlock) []core.AddressBlock{
		"one moved": func(l []core.AddressBlock) []core.AddressBlock { l[5].Domain = "domain-4"; return l },
		"one less":  func(l []core.AddressBlock) []core.AddressBlock { return slices.Delete(l, 10, 11) },
		"one more": func(l []core.AddressBlock) []core.AddressBlock {
			return append(l, core.AddressBlock{Prefix: netip.MustParsePrefix("10.0.7.0/25"), Domain: "domain-3"})
		},
		"all others": func(l []core.AddressBlock) []core.AddressBlock { return l[len(l)/2:] },
	}
	for name, change := range changes {
		next := *sheet
		next.Blocks = change(slices.Clone(sheet.Blocks))
		s.Apply(0, &next)
		fresh := steer.New(steer.Config{Sheet: &next, Hosts: hosts, Self: hosts[0]})
		for d := range 6 {
			for b := range 300 {
				require.Equal(t, look(t, fresh, client(d, b)).Domain, look(t, s, client(d, b)).Domain, "%s: %d/%d", name, d, b)
			}
		}
		s.Apply(0, sheet)
		require.Equal(t, core.DomainID("domain-0"), look(t, s, client(0, 5)).Domain)
	}
}

// Guards against a change that rebuilds all blocks although it touches
// none: the cost in allocations must not depend on their number.
func TestApplyKeepsBlocks(t *testing.T) {
	allocs := func(blocks int) float64 {
		sheet, hosts := small(1, 6, blocks)
		s := steer.New(steer.Config{Sheet: sheet, Hosts: hosts, Self: hosts[0]})
		return testing.AllocsPerRun(5, func() {
			next := *sheet
			next.Drains = []core.Drain{{Kind: core.DrainServer, Target: "desk-0-0"}}
			s.Apply(0, &next)
		})
	}
	require.InDelta(t, allocs(10), allocs(10000), 20)
}

// Guards against spilling to where no slot can be, and against downloads
// that cross a link that is short.
func TestSpill(t *testing.T) {
	sheet, hosts := small(2, 6, 10)
	s := steer.New(steer.Config{Sheet: sheet, Hosts: hosts, Self: hosts[0]})
	all := s.SpillTargets("desk", core.ClassLookup, nil)
	require.Len(t, all, 5)
	require.Equal(t, core.DomainID("domain-1"), all[0], "the own region comes first")
	require.Len(t, s.SpillTargets("desk", core.ClassDownload, nil), 5)
	s.SetLinkExhausted(0, "region-1", true)
	require.NotContains(t, s.SpillTargets("desk", core.ClassDownload, nil), core.DomainID("domain-2"))
	require.Contains(t, s.SpillTargets("desk", core.ClassLookup, nil), core.DomainID("domain-2"))
	s.SetLinkExhausted(0, "region-2", true)
	require.Equal(t, []core.DomainID{"domain-1"}, s.SpillTargets("desk", core.ClassDownload, nil))
	s.ReportRefusal(0, "desk", "domain-1")
	require.NotContains(t, s.SpillTargets("desk", core.ClassLookup, nil), core.DomainID("domain-1"))
	s.Replan(2 * time.Second)
	require.Contains(t, s.SpillTargets("desk", core.ClassLookup, nil), core.DomainID("domain-1"))
	s.AddLoads(2*time.Second, "", time.Second, []core.DomainLoad{{Domain: "domain-1", Free: 0, Total: 18}})
	s.Replan(3 * time.Second)
	all = s.SpillTargets("desk", core.ClassLookup, nil)
	require.Equal(t, core.DomainID("domain-1"), all[4], "a full domain comes last")
}

// Guards against data races between look-ups and everything else; it fails
// only under the race detector.
func TestConcurrentUse(t *testing.T) {
	sheet, hosts := small(2, 6, 100)
	s := steer.New(steer.Config{Sheet: sheet, Hosts: hosts, Self: hosts[0]})
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			buf := make([]core.Host, 0, 4)
			for i := range 2000 {
				_, _ = s.Lookup("desk", client((i+g)%6, i%100), buf)
				s.SpillTargets("desk", core.ClassDownload, nil)
				s.ShiftOf(client(g, i%100))
			}
		})
	}
	for i := range 50 {
		now := time.Duration(i) * time.Second
		next := *sheet
		next.Shifts = []core.Shift{{Name: "move", From: "region-0", To: "region-1", SharePerMille: i, Cap: 1000}}
		next.Regions = append(slices.Clone(sheet.Regions), core.Region{Name: "new", Domains: []core.DomainID{core.DomainID(fmt.Sprint("new-", i%3))}})
		s.Apply(now, &next)
		s.AddLoads(now, "", 0, []core.DomainLoad{{Domain: "domain-0", Free: 3, Total: 18}})
		s.SetHosts(now, hosts[i%4:])
		s.SetLinkExhausted(now, "region-1", i%2 == 0)
		s.ReportRefusal(now, "desk", "domain-2")
	}
	wg.Wait()
	require.False(t, math.IsNaN(s.Assignments("desk")[0].Budget))
}
