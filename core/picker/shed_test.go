package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/picker"
	"azurering/core/timer"
)

// shedFleet plays hosts that send requests to servers of a service, in virtual time.
// A server runs three requests at a time, lets four wait, and refuses others.
type shedFleet struct {
	clock   *timer.Manual
	random  *rand.Rand
	hosts   []*picker.Picker
	servers map[core.ServerID]*shedServer

	requests, refusals int // since the last reset
}

type shedServer struct {
	work    time.Duration
	running []runningRequest // the first slots of them run, the others wait
}

type runningRequest struct {
	lease *picker.Lease
	host  int
	left  time.Duration // of its work
}

const (
	shedSlots = 3
	shedQueue = 4
)

// step plays 10 ms with the given number of requests a second.
func (f *shedFleet) step(perSecond float64) {
	const tick = 10 * time.Millisecond
	f.clock.Advance(tick)
	for _, s := range f.servers {
		f.run(s, tick)
	}
	for i := range f.hosts {
		// Heartbeats arrive every 400 ms.
		if f.clock.Now()%(400*time.Millisecond) == time.Duration(i%40)*tick {
			f.hosts[i].SetRemoteInFlight(f.inFlightOfOthers(i))
		}
	}
	for f.random.Float64() < perSecond*tick.Seconds()/(1+perSecond*tick.Seconds()) {
		f.send(f.random.IntN(len(f.hosts)), stickyAsk(fmt.Sprint(f.random.IntN(400))))
	}
}

func (f *shedFleet) run(s *shedServer, tick time.Duration) {
	var left []runningRequest
	for i, r := range s.running {
		if i < shedSlots {
			r.left -= tick
		}
		if r.left > 0 {
			left = append(left, r)
			continue
		}
		r.lease.Release(picker.OutcomeAnswered, &picker.Load{Running: min(len(s.running), shedSlots), Queued: max(len(s.running)-shedSlots, 0)})
	}
	s.running = left
}

func (f *shedFleet) inFlightOfOthers(host int) map[core.DomainID]map[core.ServerID]int {
	counts := make(map[core.ServerID]int)
	for id, s := range f.servers {
		for _, r := range s.running {
			if r.host != host {
				counts[id]++
			}
		}
	}
	return map[core.DomainID]map[core.ServerID]int{"a": counts}
}

// send sends a request to at most three servers.
func (f *shedFleet) send(host int, ask picker.Request) {
	f.requests++
	for range 3 {
		lease, err := f.hosts[host].Acquire(ask)
		if err != nil {
			return
		}
		s := f.servers[lease.Name]
		if len(s.running) < shedSlots+shedQueue {
			s.running = append(s.running, runningRequest{lease: lease, host: host, left: s.work})
			return
		}
		f.refusals++
		lease.Release(picker.OutcomeShed, &picker.Load{Running: shedSlots, Queued: shedQueue})
		ask.Exclude = append(ask.Exclude, lease.Name)
	}
}

// Guards against hosts that together send so many requests to full servers, each
// pausing by itself after a refusal, that the repeats use up the retry budget of the
// service while other servers have room.
func TestHostsTogetherSpareFullServers(t *testing.T) {
	const (
		servers, slow = 28, 6
		retryRatio    = 0.2
		extraRetries  = 60 // in window
		window        = 10 * time.Second
	)
	for _, hosts := range []int{10, 70, 300} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			f := &shedFleet{clock: timer.NewManual(), random: rand.New(rand.NewPCG(20, uint64(hosts))), servers: make(map[core.ServerID]*shedServer)}
			for i := range hosts {
				f.hosts = append(f.hosts, picker.New(picker.Config{
					Timer: f.clock, Host: core.HostID(fmt.Sprint(i)), Domain: "a", Region: "north", Regions: regions,
					DomainHosts:  func(core.DomainID) []core.HostID { return nil },
					Service:      func(core.ServiceID) *core.ServiceConfig { return nil },
					RequestCheck: func(core.Instance) {},
				}))
			}
			for n := range servers {
				s := instance(n, "a")
				f.servers[s.Name] = &shedServer{work: 250 * time.Millisecond}
				if n < slow {
					f.servers[s.Name].work *= 8
				}
				for _, h := range f.hosts {
					h.Update(s)
				}
			}
			for range 3 {
				f.requests, f.refusals = 0, 0
				for until := f.clock.Now() + window; f.clock.Now() < until; {
					f.step(servers * shedSlots * 4 * 0.4) // 0.4 of what the servers run if none is slow
				}
				t.Logf("%d requests, %d refused by servers", f.requests, f.refusals)
				require.LessOrEqual(t, float64(f.refusals), retryRatio*float64(f.requests)+extraRetries)
			}
		})
	}
}
