package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/timer"
)

func view(clock core.Timer) *gossip.Members {
	return gossip.New(gossip.Config{Timer: clock, Self: gossip.Heartbeat{Host: "b", Domain: "d", Address: "10.0.0.2"}})
}

func beat(host core.HostID, boot, count uint64) gossip.Heartbeat {
	return gossip.Heartbeat{
		Host: host, Domain: "d", Address: "10.0.0." + string(host), StartedMs: boot, Seq: count, Ready: true,
		Demand: map[core.WorkspaceID]float64{"w": 3}, InFlight: map[core.ServerID]int{"s": 2},
	}
}

func hear(v *gossip.Members, b gossip.Heartbeat) {
	v.Receive(gossip.Digest{Domain: b.Domain, Heartbeats: []gossip.Heartbeat{b}})
}

func alive(v *gossip.Members) []core.HostID {
	var names []core.HostID
	for _, p := range v.Peers() {
		if p.Alive {
			names = append(names, p.Host)
		}
	}
	return names
}

// A host that was killed must not be named to callers for long.
func TestSilentHostIsNotAlive(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	hear(v, beat("a", 1, 1))
	require.Equal(t, []core.HostID{"a"}, alive(v))
	require.Equal(t, []core.HostID{"a", "b"}, v.ReadyHosts("d"))
	clock.Advance(2 * time.Second)
	require.Empty(t, alive(v))
	require.Equal(t, []core.HostID{"b"}, v.ReadyHosts("d"))
}

// A host that is only cut off goes on with its share of the rates, so that
// others must not take it; the work that it had in flight is over.
func TestSilentHostKeepsItsDemand(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	hear(v, beat("a", 1, 1))
	clock.Advance(5 * time.Second)
	got := v.Totals()
	require.InDelta(t, 3, got.Demand["w"], 1e-9)
	require.Empty(t, got.InFlight["d"])
	require.Len(t, got.Hosts, 1)
	clock.Advance(30 * time.Second)
	require.Empty(t, v.Totals().Hosts)
}

func TestLateBeatsAreIgnored(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	hear(v, beat("a", 2, 5))
	for _, old := range []gossip.Heartbeat{beat("a", 2, 4), beat("a", 1, 9)} {
		old.Ready = false
		hear(v, old)
		require.True(t, v.Peers()[0].Ready)
	}
	again := beat("a", 3, 1) // a new run of the host
	again.Ready = false
	hear(v, again)
	require.False(t, v.Peers()[0].Ready)
}

// A listed host counts as unheard until its first beat, and no longer than
// a live one could stay silent.
func TestListedHostIsUnheard(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	require.False(t, v.Totals().Complete, "there may be hosts that are not known yet")
	v.AddListed([]gossip.Heartbeat{beat("a", 1, 0), beat("b", 1, 0)}) // b is this host itself
	require.True(t, v.Totals().Complete)
	require.Equal(t, 1, v.Totals().Unseen)
	require.Empty(t, alive(v))
	require.Equal(t, []string{"10.0.0.a"}, v.Tick(gossip.Heartbeat{Host: "b", Domain: "d"})[0].To)
	hear(v, beat("a", 1, 1))
	require.Zero(t, v.Totals().Unseen)
	v.AddListed([]gossip.Heartbeat{beat("c", 1, 0)})
	clock.Advance(2 * time.Second)
	require.Len(t, v.Totals().Hosts, 1)
}

// Silent hosts get some beats, so that they are heard again after a cut.
func TestSilentHostGetsSomeBeats(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	hear(v, beat("a", 1, 1))
	clock.Advance(time.Minute)
	sent := 0
	for range 20 {
		sent += len(v.Tick(gossip.Heartbeat{Host: "b", Domain: "d"})[0].To)
	}
	require.Equal(t, 4, sent)
}

// fleet is a set of hosts in several domains whose messages arrive at once.
type fleet struct {
	clock *timer.Manual
	views map[string]*gossip.Members // by address
	hosts []gossip.Heartbeat
	down  map[string]bool
	lost  map[core.HostID]bool
	far   int // messages between domains
}

func newFleet(domains, each int) *fleet {
	f := &fleet{clock: timer.NewManual(), views: make(map[string]*gossip.Members), down: make(map[string]bool), lost: make(map[core.HostID]bool)}
	for d := range domains {
		for n := range each {
			name := fmt.Sprintf("%c%d", 'a'+d, n)
			f.hosts = append(f.hosts, gossip.Heartbeat{Host: core.HostID(name), Domain: core.DomainID(name[:1]), Address: name, Ready: true})
		}
	}
	for _, b := range f.hosts {
		v := gossip.New(gossip.Config{Timer: f.clock, Self: b})
		v.AddListed(f.hosts)
		f.views[b.Address] = v
	}
	return f
}

func (f *fleet) deliver(from gossip.Heartbeat, d gossip.Digest, addresses []string) {
	for _, a := range addresses {
		if f.down[a] {
			continue
		}
		if a[:1] != from.Address[:1] {
			f.far++
		}
		onward := f.views[a].Receive(d)
		if len(onward) > 0 {
			passed := d
			passed.Forwarded = true
			f.deliver(gossip.Heartbeat{Address: a}, passed, onward)
		}
	}
}

func (f *fleet) run(length time.Duration) {
	for end := f.clock.Now() + length; f.clock.Now() < end; f.clock.Advance(400 * time.Millisecond) {
		for _, b := range f.hosts {
			if f.down[b.Address] {
				continue
			}
			own := b
			own.StoreDown = f.lost[b.Host]
			for _, m := range f.views[b.Address].Tick(own) {
				f.deliver(b, m.Digest, m.To)
			}
		}
	}
}

// alive returns how many hosts see others as they are.
func (f *fleet) wrong() (wrong int) {
	for a, v := range f.views {
		if f.down[a] {
			continue
		}
		for _, p := range v.Peers() {
			if p.Alive == f.down[p.Address] {
				wrong++
			}
		}
	}
	return wrong
}

func TestAllHostsHearOfAll(t *testing.T) {
	f := newFleet(6, 11)
	f.run(4 * time.Second)
	require.Zero(t, f.wrong())
	// Between domains, messages grow with the domains and not with the
	// square of the hosts.
	f.far = 0
	f.run(4 * time.Second)
	require.LessOrEqual(t, f.far, 10*6*5*2)
}

// Hosts that die, lead or not, must be noticed, and those that live must not
// be taken for dead meanwhile.
func TestDeadHostsAreNoticed(t *testing.T) {
	for _, down := range [][]string{{"a0"}, {"a0", "a1", "b0"}, {"c1"}, {"a0", "a1", "a2", "a3"}} {
		f := newFleet(4, 4)
		f.run(4 * time.Second)
		for _, a := range down {
			f.down[a] = true
		}
		for range 12 {
			f.run(400 * time.Millisecond)
			for a, v := range f.views {
				for _, p := range v.Peers() {
					if !f.down[a] && !f.down[p.Address] {
						require.True(t, p.Alive, "%s takes %s for dead while %v are", a, p.Host, down)
					}
				}
			}
		}
		f.run(2 * time.Second)
		require.Zero(t, f.wrong(), "%v", down)
		f.down = map[string]bool{}
		f.run(10 * time.Second)
		require.Zero(t, f.wrong(), "%v are back", down)
	}
}

// One host of each domain follows the store: the first that it serves.
func TestOneHostOfADomainFollowsTheStore(t *testing.T) {
	follows := func(f *fleet) (names []string) {
		for _, b := range f.hosts {
			if !f.down[b.Address] && f.views[b.Address].FollowsStore() {
				names = append(names, b.Address)
			}
		}
		return names
	}
	f := newFleet(2, 3)
	f.run(4 * time.Second)
	require.Equal(t, []string{"a0", "b0"}, follows(f))
	f.lost["a0"] = true
	f.run(time.Second)
	require.Equal(t, []string{"a0", "a1", "b0"}, follows(f), "a host that the store turns away tries on")
	f.down["b0"] = true
	f.run(2 * time.Second)
	require.Equal(t, []string{"a0", "a1", "b1"}, follows(f))
}

func TestNewestChangeIsFetchedNearby(t *testing.T) {
	f := newFleet(2, 2)
	for i := range f.hosts {
		f.hosts[i].Versions = map[core.FeedTable]uint64{core.FeedServers: 7}
	}
	f.run(4 * time.Second)
	version, from := f.views["b1"].NewestVersion(core.FeedServers)
	require.EqualValues(t, 7, version)
	require.Equal(t, "b0", from)
	f.hosts[0].Versions = map[core.FeedTable]uint64{core.FeedServers: 9}
	f.run(time.Second)
	version, from = f.views["b1"].NewestVersion(core.FeedServers)
	require.EqualValues(t, 9, version)
	require.Equal(t, "a0", from)
}

// A host that gave its last tokens must not be asked again before its next
// beat, or others with tokens are never asked.
func TestSpareTokens(t *testing.T) {
	v := view(timer.NewManual())
	spare := func(host core.HostID, domain core.DomainID, count uint64, n int) {
		b := beat(host, 1, count)
		b.Domain, b.SpareTokens = domain, map[core.WorkspaceID]int{"w": n}
		hear(v, b)
	}
	require.Empty(t, v.Lender("w"))
	spare("x", "far", 1, 9)
	spare("a", "d", 1, 1)
	spare("c", "d", 1, 2)
	require.Equal(t, "10.0.0.c", v.Lender("w"), "the most in the own domain")
	v.ClearSpare("w", "10.0.0.c")
	require.Equal(t, "10.0.0.a", v.Lender("w"))
	v.ClearSpare("w", "10.0.0.a")
	require.Equal(t, "10.0.0.x", v.Lender("w"))
	require.Empty(t, v.Lender("other"))
	spare("c", "d", 2, 1)
	require.Equal(t, "10.0.0.c", v.Lender("w"))
}

// Every host must know the demand of all others, and their work by domain,
// whoever sums it up: the rates are divided by it.
func TestSumsOfOtherDomains(t *testing.T) {
	f := newFleet(3, 4)
	for i := range f.hosts {
		f.hosts[i].Demand = map[core.WorkspaceID]float64{"w": 2}
		f.hosts[i].InFlight = map[core.ServerID]int{"s": 1}
		f.hosts[i].SpareTokens = map[core.WorkspaceID]int{"w": 1 + i%4}
	}
	f.run(4 * time.Second)
	check := func(demand float64, work int) {
		t.Helper()
		for a, v := range f.views {
			if f.down[a] {
				continue
			}
			got := v.Totals()
			require.InDelta(t, demand, got.Demand["w"], 1e-9, a)
			for domain, servers := range got.InFlight {
				want := work
				if domain == core.DomainID(a[:1]) {
					want-- // without itself
				}
				require.Equal(t, want, servers["s"], "%s of %s", domain, a)
			}
		}
	}
	check(22, 4)
	require.Equal(t, "a3", f.views["a0"].Lender("w"), "the most of the own domain")
	for _, p := range f.views["a0"].Peers() {
		if p.Domain == "b" {
			require.Equal(t, p.Host == "b3", p.SpareTokens["w"] > 0, "of another domain, only the most is known: %s", p.Host)
		}
	}
	// The host that sums up dies in each domain: its demand counts on, as it
	// may only be cut off; its work does not.
	f.down = map[string]bool{"a0": true, "b0": true, "c0": true}
	f.run(5 * time.Second)
	check(22, 3)
	f.run(30 * time.Second)
	check(16, 3)
}

// A domain that is cut off keeps its demand for a while, and has no work in
// flight that others know of.
func TestSumOfACutDomain(t *testing.T) {
	f := newFleet(2, 2)
	for i := range f.hosts {
		f.hosts[i].Demand, f.hosts[i].InFlight = map[core.WorkspaceID]float64{"w": 2}, map[core.ServerID]int{"s": 1}
	}
	f.run(4 * time.Second)
	f.down = map[string]bool{"b0": true, "b1": true}
	f.run(6 * time.Second)
	got := f.views["a0"].Totals()
	require.InDelta(t, 6, got.Demand["w"], 1e-9)
	require.NotContains(t, got.InFlight, core.DomainID("b"))
	f.run(30 * time.Second)
	require.InDelta(t, 2, f.views["a0"].Totals().Demand["w"], 1e-9)
}

// Datagrams may overtake one another: an older sum must not replace a newer
// one of the same host.
func TestLateSumIsIgnored(t *testing.T) {
	v := view(timer.NewManual())
	digest := func(boot, count uint64, demand float64) {
		b := beat("x", boot, count)
		b.Domain = "far"
		v.Receive(gossip.Digest{Domain: "far", Heartbeats: []gossip.Heartbeat{b}, Demand: map[core.WorkspaceID]float64{"w": demand}})
	}
	digest(1, 5, 10)
	digest(1, 4, 3)
	require.InDelta(t, 10, v.Totals().Demand["w"], 1e-9)
	digest(2, 1, 4)
	require.InDelta(t, 4, v.Totals().Demand["w"], 1e-9)
}
