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

func receive(v *gossip.Members, b gossip.Heartbeat) {
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

// A host that is killed sends no heartbeats and must time out, so that
// callers are not directed to it.
func TestSilentHostIsNotAlive(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	receive(v, beat("a", 1, 1))
	require.Equal(t, []core.HostID{"a"}, alive(v))
	require.Empty(t, v.MaybeReadyHosts("d"), "the list has not been read")
	v.AddListed(nil)
	require.Equal(t, []core.HostID{"a", "b"}, v.MaybeReadyHosts("d"))
	clock.Advance(2 * time.Second)
	require.Empty(t, alive(v))
	require.Equal(t, []core.HostID{"b"}, v.MaybeReadyHosts("d"))
}

// A partitioned host still admits requests with its part of the rates. If the others
// took that part while it may only be partitioned, the workspace would exceed its rate.
// Its requests in flight are no longer counted, and its demand is not for long.
func TestSilentHostKeepsItsPartOfTheRates(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	receive(v, beat("a", 1, 1))
	clock.Advance(5 * time.Second)
	got := v.Totals()
	require.InDelta(t, 3, got.Demand["w"], 1e-9)
	require.Empty(t, got.InFlight["d"])
	require.Len(t, got.Hosts, 1)
	clock.Advance(30 * time.Second)
	require.Empty(t, v.Totals().Demand)
	require.Len(t, v.Totals().Hosts, 1)
	clock.Advance(9 * time.Minute)
	require.Len(t, v.Totals().Hosts, 1, "regions lose each other for minutes")
	clock.Advance(time.Minute)
	require.Empty(t, v.Totals().Hosts)
	leaving := beat("a", 1, 2)
	leaving.Ready = false
	receive(v, leaving)
	require.Len(t, v.Totals().Hosts, 1)
	clock.Advance(30 * time.Second)
	require.Empty(t, v.Totals().Hosts, "it has stopped")
}

// Guards against a host that takes the place of one that is only cut off and
// decides as if it were the only one, and against one that never does so for a host
// that has left or has been silent for long.
func TestCoordinatorIsContestedWhileAnEarlierOneIsSilent(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	own := gossip.Heartbeat{Host: "b", Domain: "d", Address: "10.0.0.2", Ready: true}
	distance := func(d core.DomainID) int { return map[core.DomainID]int{"near": 0, "d": 1, "far": 2}[d] }
	coordinator := func() core.Coordinator {
		v.Tick(own)
		return v.Coordinator("server", distance)
	}
	self := core.Coordinator{Host: "b", Address: "10.0.0.2"}
	contested := self
	contested.Contested = true
	near, far := beat("n", 1, 1), beat("f", 1, 1)
	near.Domain, far.Domain = "near", "far"

	receive(v, far)
	require.Equal(t, self, coordinator())
	receive(v, near)
	require.Equal(t, core.Coordinator{Host: "n", Address: "10.0.0.n"}, coordinator())
	clock.Advance(5 * time.Second)
	require.Equal(t, contested, coordinator(), "it may only be cut off")
	clock.Advance(30 * time.Second)
	require.Equal(t, self, coordinator())

	near.Seq++
	receive(v, near)
	near.Seq, near.Ready = near.Seq+1, false
	receive(v, near)
	require.Equal(t, self, coordinator())
	clock.Advance(5 * time.Second)
	require.Equal(t, self, coordinator(), "it has left")
}

// Datagrams can arrive out of order: an older heartbeat must not replace a
// newer one. A restarted host counts from 1 again and must not be ignored.
func TestLateHeartbeatsAreIgnored(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	receive(v, beat("a", 2, 5))
	for _, old := range []gossip.Heartbeat{beat("a", 2, 4), beat("a", 1, 9)} {
		old.Ready = false
		receive(v, old)
		require.True(t, v.Peers()[0].Ready)
	}
	restarted := beat("a", 3, 1) // a new run of the host
	restarted.Ready = false
	receive(v, restarted)
	require.False(t, v.Peers()[0].Ready)
}

// A listed host may admit requests although no heartbeat of it has arrived: the two may
// be partitioned since this host started. It must keep its part of the rates as long as
// a host that has fallen silent, and must not count as alive.
func TestListedHostKeepsItsPartOfTheRates(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	require.False(t, v.Totals().Complete, "the list was not read, so there may be more hosts")
	v.AddListed([]gossip.Heartbeat{beat("a", 1, 0), beat("b", 1, 0)}) // b is this host itself
	require.True(t, v.Totals().Complete)
	require.Empty(t, alive(v))
	require.Equal(t, []string{"10.0.0.a"}, v.Tick(gossip.Heartbeat{Host: "b", Domain: "d"})[0].To)
	receive(v, beat("a", 1, 1))
	v.AddListed([]gossip.Heartbeat{beat("c", 1, 0)})
	clock.Advance(2 * time.Second)
	require.Len(t, v.Totals().Hosts, 2)
	require.Empty(t, alive(v))
	clock.Advance(10 * time.Minute)
	require.Empty(t, v.Totals().Hosts)
}

// After a partition both sides take each other for dead. Without occasional
// heartbeats to dead hosts, neither would ever recover.
func TestDeadHostsAreProbed(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	receive(v, beat("a", 1, 1))
	clock.Advance(time.Minute)
	sent := 0
	for range 20 {
		sent += len(v.Tick(gossip.Heartbeat{Host: "b", Domain: "d"})[0].To)
	}
	require.Equal(t, 4, sent)
}

// fleet is a set of hosts in several domains whose messages arrive without
// delay.
type fleet struct {
	clock       *timer.Manual
	views       map[string]*gossip.Members // by address
	hosts       []gossip.Heartbeat
	down        map[string]bool
	lost        map[core.HostID]bool
	crossDomain int // number of messages between domains
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
			f.crossDomain++
		}
		targets := f.views[a].Receive(d)
		if len(targets) > 0 {
			forwarded := d
			forwarded.Forwarded = true
			f.deliver(gossip.Heartbeat{Address: a}, forwarded, targets)
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

// misjudged counts the pairs of hosts of which the first, a running one,
// takes the second for dead although it runs, or for alive although it is
// down.
func (f *fleet) misjudged() (n int) {
	for a, v := range f.views {
		if f.down[a] {
			continue
		}
		for _, p := range v.Peers() {
			if p.Alive == f.down[p.Address] {
				n++
			}
		}
	}
	return n
}

// Every host must learn of every other one, although only the leader of a
// domain exchanges digests with other domains.
func TestAllHostsKnowAllOthers(t *testing.T) {
	f := newFleet(6, 11)
	f.run(4 * time.Second)
	require.Zero(t, f.misjudged())
	// The number of messages between domains must depend on the number of
	// domains, not on the square of the number of hosts.
	f.crossDomain = 0
	f.run(4 * time.Second)
	require.LessOrEqual(t, f.crossDomain, 10*6*5*2)
}

// The death of hosts, leaders included, must be detected. While a new leader
// takes over, its domain's live hosts must not time out elsewhere.
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
						require.True(t, p.Alive, "%s takes %s for dead, but only %v are", a, p.Host, down)
					}
				}
			}
		}
		f.run(2 * time.Second)
		require.Zero(t, f.misjudged(), "%v", down)
		f.down = map[string]bool{}
		f.run(10 * time.Second)
		require.Zero(t, f.misjudged(), "after %v came back", down)
	}
}

// The store must be followed by one host of each domain, and by another one
// if that host dies or cannot read the store.
func TestOneHostOfADomainFollowsTheStore(t *testing.T) {
	followers := func(f *fleet) (names []string) {
		for _, b := range f.hosts {
			if !f.down[b.Address] && f.views[b.Address].FollowsStore() {
				names = append(names, b.Address)
			}
		}
		return names
	}
	f := newFleet(2, 3)
	f.run(4 * time.Second)
	require.Equal(t, []string{"a0", "b0"}, followers(f))
	f.lost["a0"] = true
	f.run(time.Second)
	require.Equal(t, []string{"a0", "a1", "b0"}, followers(f), "a host that cannot read the store keeps trying")
	f.down["b0"] = true
	f.run(2 * time.Second)
	require.Equal(t, []string{"a0", "a1", "b1"}, followers(f))
}

// Guards against late news of a leaving server when the host that follows the
// store freezes. The next one must take over in time for every host of the
// domain to know of a leave 1.5 s after it, so that no request reaches the
// server after 2 s: 0.3 s are left to read the store and to pass the change on.
func TestFollowerThatFallsSilentIsReplacedInTime(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	receive(v, beat("a", 1, 1))
	require.False(t, v.FollowsStore())
	clock.Advance(900 * time.Millisecond)
	require.False(t, v.FollowsStore(), "two lost heartbeats")
	clock.Advance(300 * time.Millisecond)
	require.True(t, v.FollowsStore())
	receive(v, beat("a", 1, 4))
	require.False(t, v.FollowsStore())
}

// A change must be fetched from a host of the own domain if one has it, or
// traffic between domains would grow with the number of hosts.
func TestNewestChangeIsFetchedFromOwnDomain(t *testing.T) {
	f := newFleet(2, 2)
	for i := range f.hosts {
		f.hosts[i].Versions = map[core.FeedTable]core.Version{core.FeedServers: {Number: 7}}
	}
	f.run(4 * time.Second)
	require.Equal(t, []string{"b0", "a0", "a1"}, f.views["b1"].Sources(core.FeedServers, core.Version{Number: 6}))
	require.Empty(t, f.views["b1"].Sources(core.FeedServers, core.Version{Number: 7}))
	f.hosts[0].Versions = map[core.FeedTable]core.Version{core.FeedServers: {Number: 9}}
	f.run(time.Second)
	require.Equal(t, []string{"a0"}, f.views["b1"].Sources(core.FeedServers, core.Version{Number: 7}))
	require.Equal(t, []string{"b0", "a0", "a1"}, f.views["b1"].Sources(core.FeedServers, core.Version{Number: 6}), "the other host of the domain comes first")
}

// Guards against a host that fetches from one that is still in an earlier era of the
// store, and against one that fetches nothing because the numbers of its era are lower.
func TestChangesAreFetchedFromTheNewestEra(t *testing.T) {
	f := newFleet(1, 4)
	for i, v := range []core.Version{{Era: 1, Number: 90}, {Era: 2, Number: 7}, {Era: 2, Number: 9}, {Number: 95}} {
		f.hosts[i].Versions = map[core.FeedTable]core.Version{core.FeedServers: v}
	}
	f.run(4 * time.Second)
	require.Equal(t, []string{"a2", "a1"}, f.views["a3"].Sources(core.FeedServers, core.Version{Era: 1, Number: 95}))
	require.Empty(t, f.views["a0"].Sources(core.FeedServers, core.Version{Era: 2, Number: 9}))
	for name, first := range map[string]bool{"a0": true, "a1": false, "a3": false} {
		require.Equal(t, first, f.views[name].ListsFirst(), name)
	}
}

// Guards against a host that starts and takes the copy of one that has been cut off from
// the changes of the others because both are in one domain, against one that takes the
// copy of a dead host, and against one that waits for a copy that no host has.
func TestStartingHostAsksTheHostWithTheNewestChange(t *testing.T) {
	f := newFleet(2, 2)
	f.run(4 * time.Second)
	v := f.views["b1"]
	require.True(t, v.HasHeardAll())
	require.Empty(t, v.NewestSource(core.FeedOperator))
	f.hosts[2].Versions = map[core.FeedTable]core.Version{core.FeedOperator: {Era: 1, Number: 90}}
	f.hosts[1].Versions = map[core.FeedTable]core.Version{core.FeedOperator: {Era: 2, Number: 5}}
	f.run(time.Second)
	require.Equal(t, []string{"b0", "a1"}, v.Sources(core.FeedOperator, core.Version{}))
	require.Equal(t, "a1", v.NewestSource(core.FeedOperator))
	v.AddListed([]gossip.Heartbeat{{Host: "c0", Domain: "c", Address: "c0", Versions: map[core.FeedTable]core.Version{core.FeedOperator: {Era: 3, Number: 9}}}})
	require.False(t, v.HasHeardAll())
	require.Equal(t, "a1", v.NewestSource(core.FeedOperator))
}

// A host that has lent its last tokens must not be asked again before its
// next heartbeat, or other hosts with spare tokens would never be asked.
func TestSpareTokens(t *testing.T) {
	v := view(timer.NewManual())
	spare := func(host core.HostID, domain core.DomainID, count uint64, n int) {
		b := beat(host, 1, count)
		b.Domain, b.SpareTokens = domain, map[core.WorkspaceID]int{"w": n}
		receive(v, b)
	}
	require.Empty(t, v.Lender("w"))
	spare("x", "far", 1, 9)
	spare("a", "d", 1, 1)
	spare("c", "d", 1, 2)
	require.Equal(t, "10.0.0.c", v.Lender("w"), "the host with the most tokens in this host's domain")
	v.ClearSpare("w", "10.0.0.c")
	require.Equal(t, "10.0.0.a", v.Lender("w"))
	v.ClearSpare("w", "10.0.0.a")
	require.Equal(t, "10.0.0.x", v.Lender("w"))
	require.Empty(t, v.Lender("other"))
	spare("c", "d", 2, 1)
	require.Equal(t, "10.0.0.c", v.Lender("w"))
}

// Rates and capacity are divided by these totals. Every host must arrive at
// the same demand and the same requests in flight by domain, whichever host
// leads a domain.
func TestTotalsOfOtherDomains(t *testing.T) {
	f := newFleet(3, 4)
	for i := range f.hosts {
		f.hosts[i].Demand = map[core.WorkspaceID]float64{"w": 2}
		f.hosts[i].InFlight = map[core.ServerID]int{"s": 1}
		f.hosts[i].SpareTokens = map[core.WorkspaceID]int{"w": 1 + i%4}
	}
	f.run(4 * time.Second)
	check := func(demand float64, inFlight int) {
		t.Helper()
		for a, v := range f.views {
			if f.down[a] {
				continue
			}
			got := v.Totals()
			require.InDelta(t, demand, got.Demand["w"], 1e-9, a)
			for domain, servers := range got.InFlight {
				want := inFlight
				if domain == core.DomainID(a[:1]) {
					want-- // without this host's own request
				}
				require.Equal(t, want, servers["s"], "%s of %s", domain, a)
			}
		}
	}
	check(22, 4)
	require.Equal(t, "a3", f.views["a0"].Lender("w"), "the host with the most tokens in its domain")
	for _, p := range f.views["a0"].Peers() {
		if p.Domain == "b" {
			require.Equal(t, p.Host == "b3", p.SpareTokens["w"] > 0, "of another domain, only the host with the most tokens reports any: %s", p.Host)
		}
	}
	// The leader of each domain dies. Its demand still counts, since it may
	// only be partitioned; its requests in flight do not.
	f.down = map[string]bool{"a0": true, "b0": true, "c0": true}
	f.run(5 * time.Second)
	check(22, 3)
	f.run(30 * time.Second)
	check(16, 3)
}

// The hosts of a partitioned domain still admit requests, so their demand
// must count for a while. Their requests in flight must not.
func TestTotalsOfAPartitionedDomain(t *testing.T) {
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

// Datagrams can arrive out of order: older totals must not replace newer ones
// from the same host.
func TestLateTotalsAreIgnored(t *testing.T) {
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

// Guards against a fleet in which nobody confirms that copies are complete, so that
// each host reads the store, or in which many hosts do.
func TestOneHostConfirmsForTheFleet(t *testing.T) {
	f := newFleet(3, 2)
	f.run(4 * time.Second)
	confirming := func() (names []core.HostID) {
		for _, h := range f.hosts {
			if f.views[h.Address].Confirms() {
				names = append(names, h.Host)
			}
		}
		return names
	}
	require.Equal(t, []core.HostID{"a0"}, confirming())
	f.lost = map[core.HostID]bool{"a0": true}
	f.run(2 * time.Second)
	require.Contains(t, confirming(), core.HostID("a1"))
	require.NotContains(t, confirming(), core.HostID("b0"))
}

// Guards against news that reach a host twice, or not all hosts.
func TestNewsReachAllHosts(t *testing.T) {
	f := newFleet(3, 3)
	f.run(4 * time.Second)
	addresses := make(map[string]core.HostID)
	for _, h := range f.hosts {
		addresses[h.Address] = h.Host
	}
	for _, sender := range f.hosts {
		news := gossip.News{Domain: sender.Domain}
		reached := map[core.HostID]bool{sender.Host: true}
		for _, a := range f.views[sender.Address].NewsTargets() {
			reached[addresses[a]] = true
			forwarded := news
			for _, b := range f.views[a].ForwardTargets(forwarded) {
				reached[addresses[b]] = true
				forwarded.Forwarded = true
				require.Empty(t, f.views[b].ForwardTargets(forwarded))
			}
		}
		require.Len(t, reached, len(f.hosts), sender.Host)
	}
}

// Guards against a host that counts as dead for ever, because its clock was set back
// before it started again: its heartbeats seem to be those of an earlier process.
// Late heartbeats of an earlier process must still be ignored while the new one is
// heard.
func TestHostWhoseClockWasSetBackIsHeardAgain(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	receive(v, beat("a", 5000, 100))
	receive(v, beat("a", 2000, 1))
	require.EqualValues(t, 5000, v.Peers()[0].StartedMs)
	clock.Advance(3 * time.Second)
	require.Empty(t, alive(v))
	receive(v, beat("a", 2000, 2))
	require.Equal(t, []core.HostID{"a"}, alive(v))
	require.EqualValues(t, 2000, v.Peers()[0].StartedMs)
	clock.Advance(400 * time.Millisecond)
	receive(v, beat("a", 2000, 1))
	require.EqualValues(t, 2, v.Peers()[0].Seq)
}
