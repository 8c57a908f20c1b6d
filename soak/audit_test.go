package soak

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"azurering/platform/stand"
)

// Bounds in the hosts' settings and the platform's rules, and tolerances of the
// checks.
const (
	smallRate      = 30.0 // requests per second of workspace small
	smallBurst     = 20.0 // requests
	rateTolerance  = 0.1  // relative excess over rate and burst that is allowed
	rateSlack      = 20.0 // requests allowed beyond rate and burst
	rateWindow     = 5 * time.Second
	retryRatio     = 0.2  // retries per request
	retryAllowance = 64.0 // retries beyond the ratio per retryWindow
	retryWindow    = 10 * time.Second
	drainDelay     = 2 * time.Second        // for hosts to learn that a server drains
	applyDelay     = 2 * time.Second        // for hosts to apply a published version
	recoveryTime   = 3 * time.Second        // for a host to reconnect after a fault
	limitNotice    = 500 * time.Millisecond // for a host to obey a limit after a response named it
	// maxDenied bounds the requests with a valid key that are refused as
	// unauthorized.
	maxDenied = 5
)

// checkTimes enables the checks with time bounds. CI leaves them out, as they
// fail on an overloaded machine.
var checkTimes = os.Getenv("SOAK_TIMED") != ""

// checker checks the system's invariants against what callers and servers
// recorded.
type checker struct {
	cluster      *cluster
	attempts     []attempt
	attemptsByID map[string]*attempt
	runs         map[string][]stand.Execution // by request ID
	arrivals     []stand.Arrival
	disruptions  []disruption
	violations   []string
}

// check returns the invariant violations so far.
func (c *cluster) check(attempts *attemptLog) []string {
	// The attempts are read before the runs, so that all runs of an ended
	// attempt are included.
	checker := &checker{cluster: c, attempts: attempts.snapshot(), attemptsByID: make(map[string]*attempt), runs: make(map[string][]stand.Execution)}
	for _, r := range c.ledger.Runs() {
		checker.runs[r.ID] = append(checker.runs[r.ID], r)
	}
	checker.arrivals = c.ledger.Arrivals()
	c.mu.Lock()
	checker.disruptions = append([]disruption(nil), c.disruptions...)
	c.mu.Unlock()
	for i := range checker.attempts {
		checker.attemptsByID[checker.attempts[i].id] = &checker.attempts[i]
	}
	for _, h := range c.hosts {
		h.mu.Lock()
		if h.unexpectedExit != "" {
			checker.addViolation("%s", h.unexpectedExit)
		}
		h.mu.Unlock()
	}
	checker.checkAnswers()
	checker.checkServers()
	checker.checkVersions()
	checker.checkRates()
	checker.checkRetries()
	if checkTimes {
		checker.checkDrains()
		checker.checkDenied()
		checker.checkLimits()
	}
	return checker.violations
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkAnswers checks that callers get the complete responses to their own
// requests, that orders run at most once, that refused orders did not run, and
// that planned changes cut no connection of a request in flight.
func (c *checker) checkAnswers() {
	for i := range c.attempts {
		a := &c.attempts[i]
		runs := c.runs[a.id]
		if a.mismatch != "" {
			c.addViolation("%s got a wrong response: %s", a.id, a.mismatch)
		}
		if a.route == "order" && len(runs) > 1 {
			c.addViolation("order %s ran %d times", a.id, len(runs))
		}
		refused := a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
		if a.route == "order" && refused && len(runs) > 0 {
			c.addViolation("order %s was refused with %d and ran at %s", a.id, a.status, runs[0].Server)
		}
		if a.status == 0 && len(runs) > 0 && a.endedAt.Sub(a.sentAt) < requestTimeout && !c.disrupted(a.host, a.sentAt, a.endedAt, scopeServers) {
			c.addViolation("%s was cut off by host %d although it ran at %s and no fault affected it", a.id, a.host, runs[0].Server)
		}
	}
}

// disrupted reports whether a fault affected a host between two times,
// including recoveryTime after the fault. Faults of that host or of all hosts
// always count, and other faults if their scope is among scopes.
func (c *checker) disrupted(host int, from, to time.Time, scopes ...scope) bool {
	for _, d := range c.disruptions {
		affects := d.scope == scopeHosts || d.scope == scopeHost && d.host == host || slices.Contains(scopes, d.scope)
		if affects && d.overlaps(from, to) {
			return true
		}
	}
	return false
}

// storeDisrupted reports whether a fault of the store lasted, or ended less than
// recoveryTime before, at some time between from and to.
func (c *checker) storeDisrupted(from, to time.Time) bool {
	return slices.ContainsFunc(c.disruptions, func(d disruption) bool { return d.scope == scopeStore && d.overlaps(from, to) })
}

// overlaps reports whether the disruption lasted, or ended less than recoveryTime
// before, at some time between from and to.
func (d disruption) overlaps(from, to time.Time) bool {
	notRecovered := d.to.IsZero() || d.to.Add(recoveryTime).After(from)
	return notRecovered && d.from.Before(to)
}

// checkServers checks that requests reached servers of the right service,
// region and workspace, unchanged and without their key.
func (c *checker) checkServers() {
	c.cluster.mu.Lock()
	backends := make(map[string]*backend)
	for id, b := range c.cluster.allBackends {
		backends[id] = b
	}
	c.cluster.mu.Unlock()
	for id, runs := range c.runs {
		for _, r := range runs {
			route, _, _ := strings.Cut(strings.TrimPrefix(r.Target, "/"), "/")
			b := backends[r.Server]
			service := "desk"
			if route == "fetch" {
				service = "vault"
			}
			switch {
			case b.service != service:
				c.addViolation("%s of route %s ran at a server of service %s", id, route, b.service)
			case route == "home" && regions[b.domain] != "dohoku":
				c.addViolation("%s ran outside its home region, in failure domain %s", id, b.domain)
			case r.LeakedKey != "":
				c.addViolation("%s reached server %s with its API key", id, r.Server)
			case r.Target != fmt.Sprintf("/%s/x?n=%s", route, id) || route == "order" && r.Body != "order "+id:
				c.addViolation("%s reached server %s with a changed target or body: %s %q", id, r.Server, r.Target, r.Body)
			}
			if a := c.attemptsByID[id]; a != nil && r.Workspace != a.workspace {
				c.addViolation("%s of workspace %s ran as workspace %s", id, a.workspace, r.Workspace)
			}
		}
	}
}

// checkVersions checks that no process returns to an older configuration: after
// it accepted key n, it must not accept key n-2 or older, which every version
// with key n has withdrawn.
func (c *checker) checkVersions() {
	type process struct{ host, boot int }
	type acceptance struct {
		at  time.Time
		key int
	}
	accepted := make(map[process][]acceptance)
	for _, a := range c.attempts {
		if a.boot > 0 && a.status == http.StatusOK {
			p := process{a.host, a.boot}
			accepted[p] = append(accepted[p], acceptance{a.endedAt, a.key})
		}
	}
	for _, a := range c.attempts {
		if a.boot == 0 || len(c.runs[a.id]) == 0 {
			continue
		}
		for _, accept := range accepted[process{a.host, a.boot}] {
			if accept.at.Before(a.sentAt) && accept.key >= a.key+2 {
				c.addViolation("%s ran with withdrawn key %d at host %d, which had accepted key %d before", a.id, a.key, a.host, accept.key)
				break
			}
		}
	}
}

// checkRates checks the rate of workspace small over the whole run, and with
// checkTimes also over each rateWindow.
func (c *checker) checkRates() {
	var runs []stand.Execution
	for id, list := range c.runs {
		// Runs without a recorded attempt are left out, as a window counts only
		// requests that were sent within it.
		if a := c.attemptsByID[id]; a != nil && a.workspace == "small" {
			runs = append(runs, list...)
		}
	}
	if len(runs) == 0 {
		return
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
	limit := func(d time.Duration) int {
		return int((smallRate*d.Seconds()+smallBurst)*(1+rateTolerance) + rateSlack)
	}
	if total := runs[len(runs)-1].At.Sub(c.cluster.start); len(runs) > limit(total) {
		c.addViolation("workspace small ran %d requests in %s, limit %d", len(runs), total, limit(total))
	}
	for from := 0; checkTimes && from < len(runs); from++ {
		n, begin := 0, runs[from].At
		for _, r := range runs[from:] {
			if r.At.After(begin.Add(rateWindow)) {
				break
			}
			if !c.attemptsByID[r.ID].sentAt.Before(begin) {
				n++
			}
		}
		if n > limit(rateWindow) {
			c.addViolation("workspace small ran %d requests in %s from %s, limit %d", n, rateWindow, c.since(begin), limit(rateWindow))
			return
		}
	}
}

// since returns the time of an event relative to the start of the run.
func (c *checker) since(t time.Time) time.Duration {
	return t.Sub(c.cluster.start).Round(time.Millisecond)
}

// checkRetries checks the retry budget of each service over the whole run.
func (c *checker) checkRetries() {
	requests, repeats := make(map[string]int), make(map[string]int)
	arrived := make(map[string]bool)
	for _, a := range c.arrivals {
		if arrived[a.ID] {
			repeats[a.Service]++
		}
		arrived[a.ID] = true
	}
	for _, a := range c.attempts {
		service := "desk"
		if a.route == "fetch" {
			service = "vault"
		}
		requests[service]++
	}
	windows := time.Since(c.cluster.start)/retryWindow + 1
	for service, n := range repeats {
		if limit := retryRatio*float64(requests[service]) + retryAllowance*float64(windows); float64(n) > limit {
			c.addViolation("service %s got %d retries, limit %.0f", service, n, limit)
		}
	}
}

// checkDrains checks that a draining server gets no requests later than
// drainDelay after the store had its report or the removal of its entry. A store
// that was disturbed then, or a host that was disturbed shortly before the
// request, excuses one.
func (c *checker) checkDrains() {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	for id, runs := range c.runs {
		a := c.attemptsByID[id]
		for _, r := range runs {
			drainedAt := c.cluster.drainedAt[r.Server]
			if a == nil || drainedAt.IsZero() || r.At.Before(drainedAt.Add(drainDelay)) ||
				c.disrupted(a.host, r.At, r.At) || c.storeDisrupted(drainedAt, r.At) {
				continue
			}
			c.addViolation("%s reached server %s %s after it began to drain", id, r.Server, r.At.Sub(drainedAt))
		}
	}
}

// checkDenied checks that requests with a valid key are not refused as
// unauthorized.
func (c *checker) checkDenied() {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	n := 0
	for _, a := range c.attempts {
		if a.status != http.StatusUnauthorized || c.disrupted(a.host, a.sentAt, a.endedAt, scopeStore) {
			continue
		}
		if validity := c.cluster.keyValidity[a.key]; !validity.from.IsZero() && a.sentAt.After(validity.from.Add(applyDelay)) && (validity.to.IsZero() || a.endedAt.Before(validity.to)) {
			n++
		}
	}
	if n > maxDenied {
		c.addViolation("%d requests with a valid key were refused as unauthorized", n)
	}
}

// checkLimits checks the requests to servers that name limits. Requests of a host
// count from limitNotice after its first response that named one, unless the host
// was disturbed, or stopped, shortly before.
func (c *checker) checkLimits() {
	c.cluster.mu.Lock()
	backends := make(map[string]*backend)
	for id, b := range c.cluster.allBackends {
		if b.Server != nil { // else it is being started, and has named no limit
			backends[id] = b
		}
	}
	c.cluster.mu.Unlock()
	for id, b := range backends {
		limits := b.Limits()
		if len(limits) == 0 || b.linkDegraded.Load() {
			continue
		}
		told := make(map[int]time.Time) // by host
		for _, a := range c.attempts {
			if a.server != id || a.sentAt.Before(limits[0].At) {
				continue
			}
			if t, ok := told[a.host]; !ok || a.endedAt.Before(t) {
				told[a.host] = a.endedAt
			}
		}
		var counted []time.Time
		for _, r := range c.arrivals {
			a := c.attemptsByID[r.ID]
			if r.Server != id || a == nil || c.disrupted(a.host, r.At, r.At) || c.stopped(a.host, r.At) {
				continue
			}
			if t, ok := told[a.host]; ok && r.At.After(t.Add(limitNotice)) {
				counted = append(counted, r.At)
			}
		}
		for _, v := range stand.LimitViolations(limits, counted, 0) {
			c.addViolation("server %s, limits %v: %s", id, limits, v)
		}
	}
}

// stopped reports whether a host was stopped as planned less than recoveryTime
// before a time.
func (c *checker) stopped(host int, at time.Time) bool {
	return slices.ContainsFunc(c.cluster.hosts[host].stops(), func(d disruption) bool { return d.overlaps(at, at) })
}
