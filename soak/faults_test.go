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

// scope says what a fault concerns.
type scope string

// The scopes of faults.
const (
	scopeHost    scope = "host" // the one that was picked
	scopeHosts   scope = "hosts"
	scopeStore   scope = "store"
	scopeServers scope = "servers"
	scopePlanned scope = "planned" // planned work, which excuses nothing
)

// trouble is a time in which a part may not do what it should.
type trouble struct {
	scope scope
	host  int // index, for scopeHost
	from  time.Time
	to    time.Time // zero while it lasts
}

// event is one fault of a schedule.
type event struct {
	at     time.Duration
	fault  string
	pick   int // which host or server
	choice int // which variant
	length time.Duration
}

func (e event) String() string {
	return fmt.Sprintf("%.1fs %s pick=%d choice=%d for %.1fs", e.at.Seconds(), e.fault, e.pick, e.choice, e.length.Seconds())
}

// fault is a kind of event. It runs until the fault is over.
type fault struct {
	name   string
	weight int
	scope  scope
	run    func(w *world, e event)
}

var storeFaults = []stand.Fault{stand.FaultHang, stand.FaultUnavailable, stand.FaultThrottle, stand.FaultReset, stand.FaultLostResponse}

var linkModes = []mode{modeSlow, modeDeaf, modeMute, modeSilent, modeRefuse}

var faults = []fault{
	{"kill", 3, scopeHost, func(w *world, e event) {
		h := w.host(e)
		h.end(syscall.SIGKILL)
		time.Sleep(e.length)
		w.restart(h)
	}},
	{"pause", 3, scopeHost, func(w *world, e event) {
		h := w.host(e)
		h.signal(syscall.SIGSTOP)
		time.Sleep(e.length)
		h.signal(syscall.SIGCONT)
	}},
	{"stop", 3, scopePlanned, func(w *world, e event) {
		h := w.host(e)
		h.end(syscall.SIGTERM)
		time.Sleep(e.length / 4)
		w.restart(h)
	}},
	{"reload", 1, scopePlanned, func(w *world, e event) { w.host(e).signal(syscall.SIGHUP) }},
	{"herd", 1, scopeHosts, func(w *world, e event) {
		var group sync.WaitGroup
		for i, h := range w.hosts {
			if e.choice%4 > 0 && (i+e.pick)%2 == 0 {
				continue // mostly half of the hosts, at times all
			}
			group.Go(func() {
				h.end(syscall.SIGKILL)
				w.restart(h)
			})
		}
		group.Wait()
	}},
	{"store", 2, scopeStore, func(w *world, e event) {
		w.store.SetFault("", storeFaults[e.choice%len(storeFaults)])
		time.Sleep(e.length)
		w.store.SetFault("", stand.FaultNone)
	}},
	{"store-host", 2, scopeHost, func(w *world, e event) {
		h := w.host(e)
		w.store.SetFault(h.IP, storeFaults[e.choice%len(storeFaults)])
		time.Sleep(e.length)
		w.store.SetFault(h.IP, stand.FaultNone)
	}},
	{"store-slow", 1, scopeStore, func(w *world, e event) {
		w.store.SetDelay(200 * time.Millisecond)
		time.Sleep(e.length)
		w.store.SetDelay(0)
	}},
	{"store-forget", 2, scopeStore, func(w *world, _ event) { w.store.Compact() }},
	{"store-link", 2, scopeHost, func(w *world, e event) { spoil(w.host(e).store, e) }},
	{"caller-link", 2, scopeHost, func(w *world, e event) { spoil(w.host(e).callers, e) }},
	{"server-link", 3, scopeServers, func(w *world, e event) { spoil(w.backend(e).link, e) }},
	{"server-crash", 2, scopeServers, func(w *world, e event) { w.replace(w.backend(e), e) }},
	{"server-lose", 2, scopeServers, func(w *world, e event) {
		b := w.backend(e)
		b.DropEveryNthResponse(2 + e.choice%3)
		time.Sleep(e.length)
		b.DropEveryNthResponse(0)
	}},
	{"server-fail", 2, scopeServers, func(w *world, e event) {
		b := w.backend(e)
		b.FailEveryNthRequest(1 + e.choice%3)
		time.Sleep(e.length)
		b.FailEveryNthRequest(0)
	}},
	{"server-slow", 2, scopeServers, func(w *world, e event) {
		b := w.backend(e)
		b.SetProcessingTime(700 * time.Millisecond)
		time.Sleep(e.length)
		b.SetProcessingTime(50 * time.Millisecond)
	}},
	{"drain", 3, scopePlanned, func(w *world, e event) { w.drain(w.backend(e)) }},
	{"rotate", 5, scopePlanned, func(w *world, e event) { w.rotate(e.choice%2 == 0) }},
	{"evacuate", 2, scopePlanned, func(w *world, e event) {
		d := domains[e.pick%len(domains)]
		w.store.SetEvacuated(d, true)
		time.Sleep(e.length)
		w.store.SetEvacuated(d, false)
	}},
}

// spoil makes a link misbehave for a while and ends what hung.
func spoil(k *link, e event) {
	k.set(linkModes[e.choice%len(linkModes)])
	time.Sleep(e.length)
	k.set(modePass)
	k.reset()
}

// schedule draws the faults of a run. Many of them overlap.
func schedule(r *rand.Rand, length time.Duration) []event {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	var list []event
	pace := 600 + r.IntN(2500) // most time between two faults, in milliseconds
	for at := time.Second; at < length; at += time.Duration(100+r.IntN(pace)) * time.Millisecond {
		n := r.IntN(total)
		for _, f := range faults {
			if n -= f.weight; n < 0 {
				list = append(list, event{
					at: at, fault: f.name, pick: r.IntN(1 << 16), choice: r.IntN(1 << 16),
					length: time.Duration(300+r.IntN(4000)) * time.Millisecond,
				})
				break
			}
		}
	}
	return list
}

// play runs a schedule and waits for the end of all its faults.
func (w *world) play(ctx context.Context, list []event) {
	var group sync.WaitGroup
	for _, e := range list {
		wait(ctx, time.Until(w.start.Add(e.at)))
		group.Go(func() {
			for _, f := range faults {
				if f.name == e.fault {
					w.inflict(f, e)
				}
			}
		})
	}
	group.Wait()
}

func (w *world) inflict(f fault, e event) {
	w.mu.Lock()
	n := len(w.troubles)
	w.troubles = append(w.troubles, trouble{scope: f.scope, host: e.pick % len(w.hosts), from: time.Now()})
	w.mu.Unlock()
	f.run(w, e)
	w.mu.Lock()
	w.troubles[n].to = time.Now()
	w.mu.Unlock()
}

func (w *world) host(e event) *host { return w.hosts[e.pick%len(w.hosts)] }

func (w *world) backend(e event) *backend {
	list := w.list()
	return list[e.pick%len(list)]
}

func (w *world) restart(h *host) {
	if err := h.start(); err != nil {
		w.t.Error(err)
	}
}

// replace crashes a server, whose entry lapses a while later. Another server
// starts: at times one of the other service at the same address, before
// that.
func (w *world) replace(b *backend, e event) {
	w.removeBackend(b)
	time.Sleep(e.length / 2)
	service, listen := b.service, ""
	if e.choice%2 == 0 && w.count(b.service) > 2 {
		service, listen = "vault", b.link.address()
		if b.service == "vault" {
			service = "desk"
		}
	}
	w.addBackend(service, b.domain, listen)
	time.Sleep(e.length / 2)
	w.store.Remove("servers", b.id)
}

func (w *world) count(service string) int {
	n := 0
	for _, b := range w.list() {
		if b.service == service {
			n++
		}
	}
	return n
}

// drain takes a server away as planned and starts another.
func (w *world) drain(b *backend) {
	b.Drain()
	w.mu.Lock()
	if w.drained[b.id].IsZero() {
		w.drained[b.id] = time.Now()
	}
	w.mu.Unlock()
	time.Sleep(drainTime + time.Second)
	w.store.Remove("servers", b.id)
	w.removeBackend(b)
	w.addBackend(b.service, b.domain, "")
}

// heal ends all faults and starts what is down.
func (w *world) heal() {
	w.store.SetFault("", stand.FaultNone)
	w.store.SetDelay(0)
	for _, h := range w.hosts {
		w.store.SetFault(h.IP, stand.FaultNone)
		h.store.set(modePass)
		h.callers.set(modePass)
		h.signal(syscall.SIGCONT)
		w.restart(h)
	}
}
