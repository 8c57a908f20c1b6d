package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"azurering/platform/stand"
)

// scope is the part of the system that a fault affects.
type scope string

// The values of scope.
const (
	scopeHost    scope = "host"  // the host that the event picks
	scopeHosts   scope = "hosts" // all hosts
	scopeStore   scope = "store"
	scopeServers scope = "servers"
	scopePlanned scope = "planned" // planned change, which justifies no violation
)

// disruption is the time of a fault, in which the affected part may fail.
type disruption struct {
	scope scope
	host  int // index, for scopeHost
	from  time.Time
	to    time.Time // zero while the fault lasts
}

// event is one fault in a schedule.
type event struct {
	at       time.Duration // since the start of the run
	fault    string        // name
	pick     int           // selects the host, server or failure domain, modulo their number
	choice   int           // selects the variant of the fault, modulo their number
	duration time.Duration
}

func (e event) String() string {
	return fmt.Sprintf("%.1fs %s pick=%d choice=%d for %.1fs", e.at.Seconds(), e.fault, e.pick, e.choice, e.duration.Seconds())
}

// fault defines a kind of fault or planned change. Schedules refer to it by name.
type fault struct {
	name   string
	weight int // relative frequency in schedules
	scope  scope
	inject func(c *cluster, e event)
}

// minLimitTime is how long a server names a limit at least: the time until its bound
// holds, and one window.
const minLimitTime = 7 * time.Second

var storeFaults = []stand.Fault{stand.FaultHang, stand.FaultUnavailable, stand.FaultThrottle, stand.FaultReset, stand.FaultLostResponse}

var linkModes = []linkMode{linkSlow, linkDropFromDialer, linkDropFromListener, linkDropAll, linkRefuse}

var faults = []fault{
	{"kill", 3, scopeHost, func(c *cluster, e event) {
		h := c.hostOf(e)
		h.terminate(syscall.SIGKILL)
		time.Sleep(e.duration)
		c.restart(h)
	}},
	{"pause", 3, scopeHost, func(c *cluster, e event) {
		h := c.hostOf(e)
		h.signal(syscall.SIGSTOP)
		time.Sleep(e.duration)
		h.signal(syscall.SIGCONT)
	}},
	{"stop", 3, scopePlanned, func(c *cluster, e event) {
		h := c.hostOf(e)
		defer h.beginStop()()
		h.terminate(syscall.SIGTERM)
		time.Sleep(e.duration / 4)
		c.restart(h)
	}},
	{"reload", 1, scopePlanned, func(c *cluster, e event) { c.hostOf(e).signal(syscall.SIGHUP) }},
	{"herd", 1, scopeHosts, func(c *cluster, e event) {
		var wg sync.WaitGroup
		for i, h := range c.hosts {
			if e.choice%4 > 0 && (i+e.pick)%2 == 0 {
				continue // three times in four half of the hosts, else all
			}
			wg.Go(func() {
				h.terminate(syscall.SIGKILL)
				c.restart(h)
			})
		}
		wg.Wait()
	}},
	{"store", 2, scopeStore, func(c *cluster, e event) {
		c.store.SetFault("", storeFaults[e.choice%len(storeFaults)])
		time.Sleep(e.duration)
		c.store.SetFault("", stand.FaultNone)
	}},
	{"store-host", 2, scopeHost, func(c *cluster, e event) {
		h := c.hostOf(e)
		c.store.SetFault(h.IP, storeFaults[e.choice%len(storeFaults)])
		time.Sleep(e.duration)
		c.store.SetFault(h.IP, stand.FaultNone)
	}},
	{"store-slow", 1, scopeStore, func(c *cluster, e event) {
		c.store.SetDelay(200 * time.Millisecond)
		time.Sleep(e.duration)
		c.store.SetDelay(0)
	}},
	{"store-forget", 2, scopeStore, func(c *cluster, _ event) { c.store.Compact() }},
	{"store-link", 2, scopeHost, func(c *cluster, e event) { degradeLink(c.hostOf(e).storeLink, e) }},
	{"caller-link", 2, scopeHost, func(c *cluster, e event) { degradeLink(c.hostOf(e).callerLink, e) }},
	{"server-link", 3, scopeServers, func(c *cluster, e event) {
		b := c.backendOf(e)
		b.linkDegraded.Store(true)
		degradeLink(b.link, e)
	}},
	{"server-crash", 2, scopeServers, func(c *cluster, e event) { c.replaceBackend(c.backendOf(e), e) }},
	{"server-lose", 2, scopeServers, func(c *cluster, e event) {
		b := c.backendOf(e)
		b.DropEveryNthResponse(2 + e.choice%3)
		time.Sleep(e.duration)
		b.DropEveryNthResponse(0)
	}},
	{"server-fail", 2, scopeServers, func(c *cluster, e event) {
		b := c.backendOf(e)
		b.FailEveryNthRequest(1 + e.choice%3)
		time.Sleep(e.duration)
		b.FailEveryNthRequest(0)
	}},
	{"server-slow", 2, scopeServers, func(c *cluster, e event) {
		b := c.backendOf(e)
		b.SetProcessingTime(700 * time.Millisecond)
		time.Sleep(e.duration)
		b.SetProcessingTime(50 * time.Millisecond)
	}},
	{"drain", 3, scopePlanned, func(c *cluster, e event) {
		if e.choice%4 == 0 {
			c.storeOutage(e)
			time.Sleep(time.Duration(e.pick%1900) * time.Millisecond)
		}
		c.drainBackend(c.backendOf(e), e.choice%2 == 0)
	}},
	{"rotate", 5, scopePlanned, func(c *cluster, e event) { c.rotateKeys(e.choice%2 == 0) }},
	{"evacuate", 2, scopePlanned, func(c *cluster, e event) {
		d := domains[e.pick%len(domains)]
		c.store.SetEvacuated(d, true)
		time.Sleep(e.duration)
		c.store.SetEvacuated(d, false)
	}},
	{"store-return", 0, scopeStore, func(c *cluster, e event) { // see newReturnSchedule
		older := c.store.Save()
		time.Sleep(e.duration)
		c.store.SetFault("", stand.FaultReset)
		time.Sleep(time.Duration(e.pick%1000) * time.Millisecond)
		rewritten := make(chan struct{})
		go func() {
			defer close(rewritten)
			c.store.ReturnAndRewrite(older, time.Duration(e.choice%1500)*time.Millisecond)
		}()
		c.store.SetFault("", stand.FaultNone)
		<-rewritten
	}},
	{"limit", 0, scopePlanned, func(c *cluster, e event) { // see newLimitSchedule
		b := c.backendOf(e)
		for i := range 1 + e.choice%2 {
			b.SetLimit(fmt.Sprintf("%.1f", 1+float64((e.choice/2+37*i)%150)/10))
			time.Sleep(minLimitTime + e.duration/2)
		}
		b.SetLimit("")
	}},
}

// degradeLink sets a faulty mode on a link for the event's duration. It then
// resets the connections, which may hang after lost bytes.
func degradeLink(l *link, e event) {
	l.setMode(linkModes[e.choice%len(linkModes)])
	time.Sleep(e.duration)
	l.setMode(linkPass)
	l.reset()
}

// newSchedule returns the random faults of a run. Many of them overlap.
func newSchedule(r *rand.Rand, duration time.Duration) []event {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	var events []event
	gapRange := 600 + r.IntN(2500) // milliseconds; faults start 100 to 100+gapRange ms apart
	for at := time.Second; at < duration; at += time.Duration(100+r.IntN(gapRange)) * time.Millisecond {
		n := r.IntN(total)
		for _, f := range faults {
			if n -= f.weight; n < 0 {
				events = append(events, event{
					at: at, fault: f.name, pick: r.IntN(1 << 16), choice: r.IntN(1 << 16),
					duration: time.Duration(300+r.IntN(4000)) * time.Millisecond,
				})
				break
			}
		}
	}
	return events
}

// newLimitSchedule returns events in which servers name limits. They are drawn by
// themselves, so that the seeds of newSchedule keep their meaning.
func newLimitSchedule(r *rand.Rand, duration time.Duration) []event {
	var events []event
	for at := time.Second + time.Duration(r.Int64N(int64(time.Second))); at < duration; at += 3*time.Second + time.Duration(r.Int64N(int64(3*time.Second))) {
		events = append(events, event{
			at: at, fault: "limit", pick: r.IntN(1 << 16), choice: r.IntN(1 << 16), duration: time.Duration(r.Int64N(int64(4 * time.Second))),
		})
	}
	return events
}

// newReturnSchedule returns events in which the store comes back from an older copy, up to
// three in a run. Like those of newLimitSchedule they are drawn by themselves.
func newReturnSchedule(r *rand.Rand, duration time.Duration) []event {
	var events []event
	for range r.IntN(4) {
		events = append(events, event{
			at: time.Second + time.Duration(r.Int64N(int64(duration))), fault: "store-return", pick: r.IntN(1 << 16), choice: r.IntN(1 << 16),
			duration: time.Duration(r.Int64N(int64(3 * time.Second))),
		})
	}
	return events
}

// runSchedule injects the faults of a schedule and waits until all have ended.
func (c *cluster) runSchedule(ctx context.Context, events []event) {
	var wg sync.WaitGroup
	for _, e := range events {
		sleep(ctx, time.Until(c.start.Add(e.at)))
		wg.Go(func() {
			for _, f := range faults {
				if f.name == e.fault {
					c.injectFault(f, e)
				}
			}
		})
	}
	wg.Wait()
}

// injectFault runs a fault and records its time and scope.
func (c *cluster) injectFault(f fault, e event) {
	end := c.beginDisruption(f.scope, e.pick%len(c.hosts))
	f.inject(c, e)
	end()
}

// beginDisruption records that a disruption begins, and when end is called.
func (c *cluster) beginDisruption(s scope, host int) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.disruptions)
	c.disruptions = append(c.disruptions, disruption{scope: s, host: host, from: time.Now()})
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.disruptions[n].to = time.Now()
	}
}

// storeOutage makes the store fail for every other host.
func (c *cluster) storeOutage(e event) {
	for i, h := range c.hosts {
		if (i+e.pick)%2 == 0 {
			continue
		}
		end := c.beginDisruption(scopeHost, i)
		defer end()
		c.store.SetFault(h.IP, storeFaults[e.choice/4%len(storeFaults)])
		defer c.store.SetFault(h.IP, stand.FaultNone)
	}
	time.Sleep(e.duration)
}

func (c *cluster) hostOf(e event) *host { return c.hosts[e.pick%len(c.hosts)] }

func (c *cluster) backendOf(e event) *backend {
	list := c.runningBackends()
	return list[e.pick%len(list)]
}

func (c *cluster) restart(h *host) {
	if err := h.start(); err != nil {
		c.t.Error(err)
	}
}

// replaceBackend crashes a server and starts another before the crashed one's
// entry expires. With an even choice the new server is of the other service at
// the same address, if more than two servers of the crashed one's service remain.
func (c *cluster) replaceBackend(b *backend, e event) {
	c.removeBackend(b)
	time.Sleep(e.duration / 2)
	service, listen := b.service, ""
	if e.choice%2 == 0 && c.countBackends(b.service) > 2 {
		service, listen = "vault", b.link.address()
		if b.service == "vault" {
			service = "desk"
		}
	}
	c.addBackend(service, b.domain, listen)
	time.Sleep(e.duration / 2)
	c.store.Remove("servers", b.id)
}

func (c *cluster) countBackends(service string) int {
	n := 0
	for _, b := range c.runningBackends() {
		if b.service == service {
			n++
		}
	}
	return n
}

// drainBackend drains and removes a server and starts one in its place. A silent
// server does not report that it drains: its entry is removed, and it serves on
// for the same time.
func (c *cluster) drainBackend(b *backend, silent bool) {
	if silent {
		c.store.Remove("servers", b.id)
	} else {
		b.Drain()
	}
	c.mu.Lock()
	if c.drainedAt[b.id].IsZero() {
		c.drainedAt[b.id] = time.Now()
	}
	c.mu.Unlock()
	time.Sleep(drainDelay + time.Second)
	c.store.Remove("servers", b.id)
	c.removeBackend(b)
	c.addBackend(b.service, b.domain, "")
}

// heal ends the faults of the store, hosts and host links, and starts hosts that
// are down.
func (c *cluster) heal() {
	c.store.SetFault("", stand.FaultNone)
	c.store.SetDelay(0)
	for _, h := range c.hosts {
		c.store.SetFault(h.IP, stand.FaultNone)
		h.storeLink.setMode(linkPass)
		h.callerLink.setMode(linkPass)
		h.signal(syscall.SIGCONT)
		c.restart(h)
	}
}
