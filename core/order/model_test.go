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

// step is one step of a random script.
type step struct {
	kind string
	host core.HostID
	key  string
	body string
	mode behaviour
	wait time.Duration
}

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		kind: rapid.SampledFrom([]string{
			"ask", "ask", "ask", "ask", "ask", "advance", "advance", "kill", "pause", "resume", "cut", "join",
			"down", "up", "up", "limit", "late", "lost-ack", "lost-send", "land", "objects-down",
		}).Draw(t, "kind"),
		host: rapid.SampledFrom([]core.HostID{"a", "b", "c"}).Draw(t, "host"),
		key:  rapid.SampledFrom([]string{"k1", "k2", "k3", "k4", "issued-1", "issued-2", "issued-3"}).Draw(t, "key"),
		body: rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body"),
		mode: rapid.SampledFrom([]behaviour{
			backendRuns, backendRuns, backendSlow, backendUnreached, backendRefuses, backendAnswerLost, backendUnknown, backendPlainError,
		}).Draw(t, "mode"),
		wait: time.Duration(rapid.IntRange(1, 20).Draw(t, "wait")) * 500 * time.Millisecond,
	}
})

// Guards against keys that run twice, answers of "not run" that are or become
// false, answers to another request, and claims that are never released, in
// random scripts of faults at three hosts.
func TestOrdersHoldOverRandomRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(steps, 5, 60).Draw(rt, "script")
		fault := ""
		synctest.Test(t, func(t *testing.T) { fault = runScript(t, script) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// runScript runs a script and returns the fault that it found, or "".
func runScript(t *testing.T, script []step) string {
	sim := newSimCluster(t)
	incarnation := uint64(1)
	small := func(c *order.Config) { c.MaxInlineBytes, c.MaxBatch, c.PrefixPeriod = 40, 3, 20*time.Second }
	issued := make(map[string]string)
	for _, name := range []core.HostID{"a", "b", "c"} {
		sim.startHost(name, incarnation, small)
	}
	allOutcomesKnown := true // no order was left with an unknown outcome
	for _, m := range script {
		h := sim.hosts[m.host]
		switch m.kind {
		case "ask":
			key := m.key
			if strings.HasPrefix(key, "issued") {
				if issued[key] == "" {
					issued[key] = h.orders.KeyPrefix() + key
				}
				key = issued[key]
			}
			sim.submit(h, key, m.body, m.wait, m.mode)
			allOutcomesKnown = allOutcomesKnown && m.mode != backendAnswerLost && m.mode != backendUnknown && m.mode != backendPlainError
		case "advance":
			sim.advance(m.wait)
		case "kill":
			h.kill()
			synctest.Wait()
			incarnation++
			sim.startHost(m.host, incarnation, small)
			allOutcomesKnown = false
		default:
			sim.injectFault(h, m.kind)
		}
	}
	sim.clearFaults()
	if fault := sim.checkPending(); fault != "" {
		return fault
	}
	for _, k := range []string{"k1", "k2", "k3", "k4"} {
		last := sim.submit(sim.hosts["c"], k, "x", 10*time.Second, backendRuns)
		sim.advance(11 * time.Second)
		if !last.done || (allOutcomesKnown && last.code() != codes.OK && last.code() != codes.OrderMismatch) {
			return fmt.Sprintf("key %s is not usable after all faults: %v", k, last.err)
		}
	}
	sim.advance(time.Minute)
	fault := sim.checkInvariants()
	sim.stop()
	return fault
}

func (sim *simCluster) injectFault(h *host, kind string) {
	switch kind {
	case "pause", "resume":
		h.setPaused(kind == "pause")
	case "down":
		sim.table.SetFault(fakes.FaultUnavailable)
	case "limit":
		sim.table.SetFault(fakes.FaultThrottled)
	case "up":
		sim.table.SetFault(fakes.FaultNone)
		sim.objs.SetFault(fakes.FaultNone)
	case "objects-down":
		sim.objs.SetFault(fakes.FaultUnavailable)
	case "land":
		sim.deliverDelayed()
	}
	sim.mu.Lock()
	switch kind {
	case "cut", "join":
		h.storeCut = kind == "cut"
	case "late":
		h.delayNext = true
	case "lost-ack", "lost-send":
		h.nextFault = fakes.Fault(kind)
	}
	sim.mu.Unlock()
	synctest.Wait()
}

// checkPending returns a description of a host that still has orders pending,
// or "".
func (sim *simCluster) checkPending() string {
	for name, h := range sim.hosts {
		if n := h.orders.Stats().Pending; n != 0 {
			return fmt.Sprintf("host %s still has %d orders pending", name, n)
		}
	}
	return ""
}

// checkInvariants returns a description of an invariant that the run
// violated, or "".
func (sim *simCluster) checkInvariants() string {
	for k, n := range sim.runsByKey {
		if n > 1 {
			return fmt.Sprintf("key %s ran %d times", k, n)
		}
	}
	bodies := make(map[string]string) // body that ran, by key
	for _, a := range sim.attempts {
		if sim.runsByAttempt[a.id] > 0 {
			bodies[a.key] = a.body
		}
	}
	for _, a := range sim.attempts {
		switch {
		case a.done && a.code() == codes.OrderNotRun && sim.runsByAttempt[a.id] > 0:
			return fmt.Sprintf("attempt %d of key %s was refused as not run, but ran", a.id, a.key)
		case a.done && a.code() == codes.OrderNotRun && a.runsAtEnd > 0 && strings.HasPrefix(a.key, "x~"):
			return fmt.Sprintf("attempt %d of issued key %s was refused as not run after the key ran", a.id, a.key)
		case a.done && a.err == nil && string(a.result.Body) != answerTo(a.key, a.body):
			return fmt.Sprintf("attempt %d got %q for key %s and body %s", a.id, a.result.Body, a.key, a.body)
		case a.done && a.err == nil && bodies[a.key] != a.body:
			return fmt.Sprintf("attempt %d got an answer although body %s never ran", a.id, a.body)
		}
	}
	return ""
}
