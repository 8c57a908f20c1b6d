package pacer_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/pacer"
	"azurering/core/picker"
	"azurering/core/timer"
)

const (
	step              = 10 * time.Millisecond
	heartbeatInterval = 400 * time.Millisecond
	processingTime    = 80 * time.Millisecond
	named             = 5 * time.Second // when the server first names its limit

	// The users' bound: from boundFrom after the first naming, at most boundFactor
	// times the limit and boundExtra requests in any boundWindow, from hosts that
	// were told at least noticeTime before.
	boundWindow = 4 * time.Second
	boundFactor = 1.5
	boundExtra  = 5
	boundFrom   = 3 * time.Second
	noticeTime  = 500 * time.Millisecond

	objects    = 300
	noticeLoss = 0.05 // fraction of the notices of limits that are lost
)

// fleet is a set of hosts and servers in virtual time. Server 0 names a limit.
type fleet struct {
	t       *testing.T
	clock   *timer.Manual
	random  *rand.Rand
	hosts   []*simHost
	servers []core.Instance
	limit   func(at time.Duration) float64 // negative for none
	all     bool                           // all servers name that limit
	cut     func(a, b *simHost) bool       // whether no message passes between two hosts; nil for never
	loss    float64                        // fraction of all messages between hosts that is lost
	pending []delivery
	arrived []arrival // at server 0
	refused int
	sent    int
}

type simHost struct {
	core.HostID
	domain   core.DomainID
	members  *gossip.Members
	picker   *picker.Picker
	pacer    *pacer.Pacer
	demand   float64 // requests per second
	boots    uint64
	seq      int           // position of the heartbeats in their interval, in steps
	told     time.Duration // first answer that named the limit
	down     bool
	frozen   bool
	leaving  bool
	excused  time.Duration // arrivals until then do not count
	nextBeat time.Duration
}

type delivery struct {
	at time.Duration
	do func()
}

type arrival struct {
	at   time.Duration
	host *simHost
}

var simRegions = map[core.DomainID]core.RegionID{"a": "north", "b": "north", "c": "south"}

func newFleet(t *testing.T, seed uint64, hosts, servers int) *fleet {
	f := &fleet{t: t, clock: timer.NewManual(), random: rand.New(rand.NewPCG(seed, 1)), limit: func(time.Duration) float64 { return -1 }}
	f.clock.Advance(step)
	for i := range servers {
		f.servers = append(f.servers, core.Instance{
			Server: core.Server{Name: core.ServerID(fmt.Sprintf("i-%d", i)), Service: "s", Domain: []core.DomainID{"a", "b", "c"}[i%3], Address: "x", Slots: 6},
			State:  core.InstanceReady, StartedMs: 1,
		})
	}
	for i := range hosts {
		h := &simHost{HostID: core.HostID(fmt.Sprintf("h%02d", i)), domain: []core.DomainID{"a", "b", "c"}[i%3], seq: f.random.IntN(40)}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		f.boot(h)
	}
	return f
}

// boot starts the process of a host, which knows nothing of before.
func (f *fleet) boot(h *simHost) {
	h.boots++
	h.down, h.leaving, h.told = false, false, 0
	h.members = gossip.New(gossip.Config{Timer: f.clock, Self: f.heartbeat(h)})
	var listed []gossip.Heartbeat
	for _, other := range f.hosts {
		listed = append(listed, f.heartbeat(other))
	}
	h.members.AddListed(listed)
	h.picker = picker.New(picker.Config{
		Timer: f.clock, Host: h.HostID, Domain: h.domain, Region: simRegions[h.domain], Regions: simRegions,
		DomainHosts: h.members.MaybeReadyHosts, Service: func(core.ServiceID) *core.ServiceConfig { return &core.ServiceConfig{} },
		RequestCheck: func(core.Instance) {},
	})
	for _, s := range f.servers {
		h.picker.Update(s)
	}
	h.pacer = pacer.New(pacer.Config{
		Timer: f.clock, Host: h.HostID, Picker: h.picker,
		Coordinator: func(i core.Instance) core.Coordinator {
			return h.members.Coordinator(string(i.Name), func(d core.DomainID) int {
				if d == i.Domain {
					return 0
				}
				return 1
			})
		},
		Request: func(_ context.Context, address string, r core.PermitRequest) (core.PermitReply, error) {
			for _, other := range f.hosts {
				if string(other.HostID) != address || f.isLost(h, other) || other.down || other.frozen {
					continue
				}
				reply := other.pacer.Grant(r)
				if f.isLost(other, h) {
					break
				}
				return reply, nil
			}
			return core.PermitReply{}, errors.New("no reply")
		},
		OnResult: func(core.Instance, pacer.Result) {}, OnCoordination: func(pacer.Coordination) {},
	})
	h.nextBeat = 0
}

func (f *fleet) heartbeat(h *simHost) gossip.Heartbeat {
	return gossip.Heartbeat{Host: h.HostID, Domain: h.domain, Address: string(h.HostID), StartedMs: h.boots, Ready: !h.leaving}
}

// isLost reports whether a message between two hosts does not arrive.
func (f *fleet) isLost(from, to *simHost) bool {
	return f.cut != nil && f.cut(from, to) || f.loss > 0 && f.random.Float64() < f.loss
}

func (f *fleet) later(after time.Duration, do func()) {
	f.pending = append(f.pending, delivery{at: f.clock.Now() + after, do: do})
}

// run advances the time to until. event is called with each step.
func (f *fleet) run(until time.Duration, event func(now time.Duration)) {
	for n := 0; f.clock.Now() < until; n++ {
		f.clock.Advance(step)
		now := f.clock.Now()
		event(now)
		due := f.pending
		f.pending = nil
		for _, d := range due {
			if d.at > now {
				f.pending = append(f.pending, d)
				continue
			}
			d.do()
		}
		for _, h := range f.hosts {
			if h.down || h.frozen {
				continue
			}
			if now >= h.nextBeat && n%int(heartbeatInterval/step) == h.seq || h.nextBeat == 0 {
				h.nextBeat = now + heartbeatInterval/2
				f.beat(h)
			}
			if h.leaving {
				continue // its callers have gone to others
			}
			for x := f.random.Float64(); x < h.demand*step.Seconds(); x++ {
				f.request(h)
			}
		}
	}
}

func (f *fleet) beat(h *simHost) {
	for _, m := range h.members.Tick(f.heartbeat(h)) {
		f.deliver(h, m.Digest, m.To)
	}
	h.picker.SetRemoteInFlight(h.members.Totals().InFlight)
	h.picker.Tick()
	for _, m := range h.pacer.Refresh() {
		for _, other := range f.hosts {
			if other == h || m.To != "" && m.To != string(other.HostID) || f.random.Float64() < noticeLoss || f.isLost(h, other) {
				continue
			}
			f.later(2*step, func() {
				if !other.down && !other.frozen {
					other.pacer.Notice(m.Notice)
				}
			})
		}
	}
}

func (f *fleet) deliver(from *simHost, d gossip.Digest, to []string) {
	for _, h := range f.hosts {
		for _, address := range to {
			if string(h.HostID) != address || f.isLost(from, h) {
				continue
			}
			f.later(step, func() {
				if h.down || h.frozen {
					return
				}
				if to := h.members.Receive(d); len(to) > 0 {
					forwarded := d
					forwarded.Forwarded = true
					f.deliver(h, forwarded, to)
				}
			})
		}
	}
}

// request serves one request at a host as the proxy does.
func (f *fleet) request(h *simHost) {
	f.sent++
	for range 30 {
		lease, err := h.picker.Acquire(picker.Request{Service: "s", Object: fmt.Sprint(f.random.IntN(objects)), Sticky: true, MaxLatency: 250 * time.Millisecond})
		if err != nil {
			f.refused++
			return
		}
		if lease.Limit.Named {
			if permit := h.pacer.Permit(context.Background(), lease.Instance); !permit.Granted {
				lease.Decline(permit.Wait)
				continue
			}
		}
		boots := h.boots
		way := time.Duration(1+f.random.IntN(3)) * step
		f.later(way, func() {
			if lease.Name == f.servers[0].Name {
				f.arrived = append(f.arrived, arrival{at: f.clock.Now(), host: h})
			}
		})
		f.later(way+processingTime, func() {
			meta := core.ReplyMeta{Stamped: true}
			if limit := f.limit(f.clock.Now()); (f.all || lease.Name == f.servers[0].Name) && limit >= 0 {
				meta.RateLimit = core.RateLimit{State: core.RateLimitNamed, PerSecond: limit}
			}
			if h.boots != boots || h.down {
				return
			}
			if lease.Name == f.servers[0].Name && meta.RateLimit.State == core.RateLimitNamed && h.told == 0 {
				h.told = f.clock.Now()
			}
			h.picker.RecordLimit(lease.Instance, meta)
			lease.Release(picker.OutcomeAnswered, nil)
		})
		return
	}
	f.refused++
}

// check checks the users' bound. Where the limit changes, the higher figure counts
// for noticeTime and the time of an answer more.
func (f *fleet) check(until time.Duration) {
	var counted []time.Duration
	for _, a := range f.arrived {
		if a.host.told > 0 && a.at >= a.host.told+noticeTime && a.at > a.host.excused && a.at < until {
			counted = append(counted, a.at)
		}
	}
	start := 0
	for end, at := range counted {
		for counted[start] < at-boundWindow {
			start++
		}
		if at < named+boundFrom {
			continue
		}
		allowed := 0.0
		for u := at - boundWindow; u < at; u += step {
			highest := 0.0
			for past := max(u-noticeTime-processingTime, named); past <= max(u, named); past += step {
				highest = max(highest, f.limit(past))
			}
			allowed += boundFactor * highest * step.Seconds()
		}
		require.LessOrEqual(f.t, float64(end-start+1), allowed+boundExtra, "requests in the 4 s to %v", at)
	}
}

// countBetween returns the arrivals at the limited server between two times.
func (f *fleet) countBetween(from, to time.Duration) int {
	n := 0
	for _, a := range f.arrived {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n
}

// freezeInTurn freezes a host each interval, for the given time.
func freezeInTurn(interval, length time.Duration) func(f *fleet, now time.Duration) {
	return func(f *fleet, now time.Duration) {
		for i, h := range f.hosts {
			at := 9*time.Second + time.Duration(i)*interval
			switch now {
			case at:
				h.frozen = true
			case at + length:
				h.frozen, h.excused = false, now+3*time.Second
			}
		}
	}
}

// Guards against hosts that together send a server more requests than it named,
// however many they are, however small the limit and however uneven the demand,
// while the limit changes and hosts start, leave, die, freeze, are cut off, lose
// messages or move their callers. Also against a limit of which little is used, or
// that stays after its end.
func TestHostsTogetherKeepALimit(t *testing.T) {
	const end, over = 40 * time.Second, 50 * time.Second
	for _, c := range []struct {
		name           string
		hosts          int
		limit          float64
		limit2, limit3 float64 // from 15 s and from 25 s
		event          func(f *fleet, now time.Duration)
	}{
		{"one host", 1, 6.2, 6.2, 6.2, nil},
		{"ten hosts", 10, 6.2, 14.5, 4, nil},
		{"seventy hosts", 70, 6.2, 14.5, 3, nil},
		{"many hosts, very small limit", 70, 0.4, 0.4, 0.4, nil},
		{"ten hosts, large limit", 10, 40, 20, 60, nil},
		{"nothing accepted", 10, 0, 0, 0, nil},
		{"restarts in turn", 10, 8, 8, 8, func(f *fleet, now time.Duration) {
			for i, h := range f.hosts {
				at := 9*time.Second + time.Duration(i)*1300*time.Millisecond
				switch now {
				case at:
					h.leaving = true
					f.beat(h)
				case at + 3*time.Second:
					h.down = true
				case at + 4*time.Second:
					f.boot(h)
				}
			}
		}},
		{"kills in turn", 10, 8, 8, 8, func(f *fleet, now time.Duration) {
			for i, h := range f.hosts {
				at := 9*time.Second + time.Duration(i)*2*time.Second
				switch now {
				case at:
					h.down = true
				case at + 2500*time.Millisecond:
					f.boot(h)
					h.excused = now + 3*time.Second
				}
			}
		}},
		{"freezes in turn", 10, 8, 8, 8, freezeInTurn(1500*time.Millisecond, 2700*time.Millisecond)},
		{"all servers name it", 10, 6.2, 14.5, 4, func(f *fleet, _ time.Duration) { f.all = true }},
		{"messages get lost", 10, 8, 8, 8, func(f *fleet, _ time.Duration) { f.loss = 0.1 }},
		{"many messages get lost", 10, 8, 8, 8, func(f *fleet, _ time.Duration) { f.loss = 0.3 }},
		// Servers remain in reach of the hosts that are cut off from the others. All
		// of them count, although the users' bound would leave these out.
		{"hosts cut off in turn", 10, 8, 8, 8, func(f *fleet, now time.Duration) {
			for i, h := range f.hosts[:6] {
				if now == 9*time.Second+time.Duration(i)*5*time.Second {
					f.cut = func(a, b *simHost) bool { return a == h || b == h }
				}
			}
		}},
		{"domains cut off in turn", 10, 8, 8, 8, func(f *fleet, now time.Duration) {
			for i, d := range []core.DomainID{"a", "b", "c"} {
				if now == 9*time.Second+time.Duration(i)*10*time.Second {
					f.cut = func(a, b *simHost) bool { return (a.domain == d) != (b.domain == d) }
				}
			}
		}},
		{"short freezes in turn", 10, 8, 8, 8, freezeInTurn(900*time.Millisecond, 1700*time.Millisecond)},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				f := newFleet(t, seed, c.hosts, 9)
				f.limit = func(at time.Duration) float64 {
					switch {
					case at < named || at >= end:
						return -1
					case at < 15*time.Second:
						return c.limit
					case at < 25*time.Second:
						return c.limit2
					}
					return c.limit3
				}
				weights := 0.0
				for i := range f.hosts {
					weights += 1 / float64(i+1)
				}
				for i, h := range f.hosts {
					h.demand = 300 / float64(i+1) / weights
				}
				f.run(over, func(now time.Duration) {
					if now == 20*time.Second { // the callers move to other hosts
						for i, h := range f.hosts {
							h.demand = 300 / float64(len(f.hosts)-i) / weights
						}
					}
					if c.event != nil {
						c.event(f, now)
					}
				})
				f.check(end)
				if !f.all {
					require.Less(t, float64(f.refused), 0.02*float64(f.sent), "the other servers have room")
				}
				if c.event == nil || f.all {
					for _, span := range []struct {
						from  time.Duration
						limit float64
					}{{9 * time.Second, c.limit}, {18 * time.Second, c.limit2}, {28 * time.Second, c.limit3}} {
						used := float64(f.countBetween(span.from, span.from+5*time.Second)) / 5
						t.Logf("seed %d: %.1f of %.1f a second used", seed, used, span.limit)
						require.LessOrEqual(t, used, span.limit*1.1+0.5, "the named rate is what the server accepts")
						if f.all {
							require.GreaterOrEqual(t, used, span.limit*0.8, "all servers are at their limits")
						}
						if span.limit < 20 {
							require.GreaterOrEqual(t, used, math.Floor(span.limit)*0.5, "requests that the server accepts go elsewhere")
						}
					}
				}
				before, after := f.countBetween(0, named), f.countBetween(over-5*time.Second, over)
				t.Logf("seed %d: %d requests in 5 s before the limit, %d in the last 5 s", seed, before, after)
				require.Greater(t, float64(after)/5, 0.5*float64(before)/5, "the server gets its requests again")
			}
		})
	}
}
