package order_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/order"
)

// move is one step of a random run.
type move struct {
	kind string
	host core.HostID
	key  string
	body string
	mode behaviour
	wait time.Duration
}

var moves = rapid.Custom(func(t *rapid.T) move {
	return move{
		kind: rapid.SampledFrom([]string{
			"ask", "ask", "ask", "ask", "ask", "advance", "advance", "kill", "pause", "resume", "cut", "join",
			"down", "up", "up", "limit", "late", "lost-ack", "lost-send", "land", "objects-down",
		}).Draw(t, "kind"),
		host: rapid.SampledFrom([]core.HostID{"a", "b", "c"}).Draw(t, "host"),
		key:  rapid.SampledFrom([]string{"k1", "k2", "k3", "k4", "issued-1", "issued-2", "issued-3"}).Draw(t, "key"),
		body: rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body"),
		mode: rapid.SampledFrom([]behaviour{
			backendRuns, backendRuns, backendSlow, backendNone, backendRefuses, backendLoses, backendMissed, backendTwice,
		}).Draw(t, "mode"),
		wait: time.Duration(rapid.IntRange(1, 20).Draw(t, "wait")) * 500 * time.Millisecond,
	}
})

// Guards against a key that runs twice, a "not run" that is false at once
// or later, an answer to another request, and claims that are never
// released, over random runs of three hosts.
func TestOrdersHoldOverRandomRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(moves, 5, 60).Draw(rt, "script")
		fault := ""
		synctest.Test(t, func(t *testing.T) { fault = play(t, script) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

func play(t *testing.T, script []move) string {
	l := newLab(t)
	incarnation := uint64(1)
	small := func(c *order.Config) { c.MaxInlineBytes, c.MaxBatch, c.PrefixPeriod = 40, 3, 20*time.Second }
	issued := make(map[string]string)
	for _, name := range []core.HostID{"a", "b", "c"} {
		l.boot(name, incarnation, small)
	}
	clean := true // no order may have been left with an unknown outcome
	for _, m := range script {
		h := l.hosts[m.host]
		switch m.kind {
		case "ask":
			key := m.key
			if strings.HasPrefix(key, "issued") {
				if issued[key] == "" {
					issued[key] = h.orders.KeyPrefix() + key
				}
				key = issued[key]
			}
			l.ask(h, key, m.body, m.wait, m.mode)
			clean = clean && m.mode != backendLoses && m.mode != backendMissed && m.mode != backendTwice
		case "advance":
			l.advance(m.wait)
		case "kill":
			h.kill()
			synctest.Wait()
			incarnation++
			l.boot(m.host, incarnation, small)
			clean = false
		default:
			l.disturb(h, m.kind)
		}
	}
	l.heal()
	if fault := l.pending(); fault != "" {
		return fault
	}
	for _, k := range []string{"k1", "k2", "k3", "k4"} {
		last := l.ask(l.hosts["c"], k, "x", 10*time.Second, backendRuns)
		l.advance(11 * time.Second)
		if !last.done || (clean && last.code() != codes.OK && last.code() != codes.OrderMismatch) {
			return fmt.Sprintf("key %s is not usable after all faults: %v", k, last.err)
		}
	}
	l.advance(time.Minute)
	fault := l.judge()
	l.stop()
	return fault
}

func (l *lab) disturb(h *host, kind string) {
	switch kind {
	case "pause", "resume":
		h.pause(kind == "pause")
	case "down":
		l.table.SetFault(fakes.FaultUnavailable)
	case "limit":
		l.table.SetFault(fakes.FaultThrottled)
	case "up":
		l.table.SetFault(fakes.FaultNone)
		l.objs.SetFault(fakes.FaultNone)
	case "objects-down":
		l.objs.SetFault(fakes.FaultUnavailable)
	case "land":
		l.land()
	}
	l.mu.Lock()
	switch kind {
	case "cut", "join":
		h.cut = kind == "cut"
	case "late":
		h.late = true
	case "lost-ack", "lost-send":
		h.lossy = fakes.Fault(kind)
	}
	l.mu.Unlock()
	synctest.Wait()
}

func (l *lab) pending() string {
	for name, h := range l.hosts {
		if n := h.orders.Stats().Pending; n != 0 {
			return fmt.Sprintf("host %s still has %d orders pending", name, n)
		}
	}
	return ""
}

func (l *lab) judge() string {
	for k, n := range l.runs {
		if n > 1 {
			return fmt.Sprintf("key %s ran %d times", k, n)
		}
	}
	bodies := make(map[string]string) // body that ran, by key
	for _, a := range l.asks {
		if l.sends[a.id] > 0 {
			bodies[a.key] = a.body
		}
	}
	for _, a := range l.asks {
		switch {
		case a.done && a.code() == codes.OrderNotRun && l.sends[a.id] > 0:
			return fmt.Sprintf("attempt %d of key %s was refused as not run, but ran", a.id, a.key)
		case a.done && a.code() == codes.OrderNotRun && a.ranYet > 0 && strings.HasPrefix(a.key, "x~"):
			return fmt.Sprintf("attempt %d of issued key %s was refused as not run after the key ran", a.id, a.key)
		case a.done && a.err == nil && string(a.result.Body) != answerTo(a.key, a.body):
			return fmt.Sprintf("attempt %d got %q for key %s and body %s", a.id, a.result.Body, a.key, a.body)
		case a.done && a.err == nil && bodies[a.key] != a.body:
			return fmt.Sprintf("attempt %d got an answer although body %s never ran", a.id, a.body)
		}
	}
	return ""
}
