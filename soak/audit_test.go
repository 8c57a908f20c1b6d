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

// The bounds that the hosts are told, and those of the platform's rules.
const (
	smallRate   = 30.0 // requests a second of workspace small
	smallBurst  = 20.0
	rateOver    = 0.1
	rateSlack   = 20.0
	rateWindow  = 5 * time.Second
	retryRatio  = 0.2
	retryExtra  = 64.0
	retryWindow = 10 * time.Second
	drainTime   = 2 * time.Second
	applyTime   = 2 * time.Second
	contactTime = 3 * time.Second // a host is in touch so long after a trouble
	// deniedMost is how many requests with a valid key may be refused as
	// unknown.
	deniedMost = 5
)

// timed adds the checks whose bounds are times. They hold on a machine that
// is not overloaded, so that CI leaves them out.
var timed = os.Getenv("SOAK_TIMED") != ""

// audit checks the promises from what callers and servers saw.
type audit struct {
	world    *world
	attempts []attempt
	byID     map[string]*attempt
	runs     map[string][]stand.Execution
	arrivals []stand.Arrival
	troubles []trouble
	found    []string
}

// check returns what broke a promise so far.
func (w *world) check(j *journal) []string {
	// The attempts come first, so that one that ended has all its runs.
	a := &audit{world: w, attempts: j.list(), byID: make(map[string]*attempt), runs: make(map[string][]stand.Execution)}
	for _, r := range w.ledger.Runs() {
		a.runs[r.ID] = append(a.runs[r.ID], r)
	}
	a.arrivals = w.ledger.Arrivals()
	w.mu.Lock()
	a.troubles = append([]trouble(nil), w.troubles...)
	w.mu.Unlock()
	for i := range a.attempts {
		a.byID[a.attempts[i].id] = &a.attempts[i]
	}
	for _, h := range w.hosts {
		h.mu.Lock()
		if h.problem != "" {
			a.report("%s", h.problem)
		}
		h.mu.Unlock()
	}
	a.answers()
	a.servers()
	a.versions()
	a.rates()
	a.retries()
	if timed {
		a.leaving()
		a.denied()
	}
	return a.found
}

func (a *audit) report(format string, args ...any) {
	a.found = append(a.found, fmt.Sprintf(format, args...))
}

// answers checks that callers get their own whole answers, that orders run
// once, that refusals are true, and that planned work cuts nothing.
func (a *audit) answers() {
	for i := range a.attempts {
		x := &a.attempts[i]
		runs := a.runs[x.id]
		if x.wrong != "" {
			a.report("%s got a wrong answer: %s", x.id, x.wrong)
		}
		if x.route == "order" && len(runs) > 1 {
			a.report("order %s ran %d times", x.id, len(runs))
		}
		refused := x.status == http.StatusTooManyRequests || x.status == http.StatusServiceUnavailable
		if x.route == "order" && refused && len(runs) > 0 {
			a.report("order %s was refused with %d and ran at %s", x.id, x.status, runs[0].Server)
		}
		if x.status == 0 && len(runs) > 0 && x.done.Sub(x.sent) < requestLimit && !a.troubled(x.host, x.sent, x.done, scopeServers) {
			a.report("%s was cut at host %d and ran at %s, with planned work only", x.id, x.host, runs[0].Server)
		}
	}
}

// troubled reports whether a fault of some scopes was near a host.
func (a *audit) troubled(host int, from, to time.Time, scopes ...scope) bool {
	for _, t := range a.troubles {
		concerns := t.scope == scopeHosts || t.scope == scopeHost && t.host == host || slices.Contains(scopes, t.scope)
		over := t.to.IsZero() || t.to.Add(contactTime).After(from)
		if concerns && over && t.from.Before(to) {
			return true
		}
	}
	return false
}

// servers checks what reached the servers.
func (a *audit) servers() {
	a.world.mu.Lock()
	places := make(map[string]*backend)
	for id, b := range a.world.known {
		places[id] = b
	}
	a.world.mu.Unlock()
	for id, runs := range a.runs {
		for _, r := range runs {
			route, _, _ := strings.Cut(strings.TrimPrefix(r.Target, "/"), "/")
			b := places[r.Server]
			service := "desk"
			if route == "fetch" {
				service = "vault"
			}
			switch {
			case b.service != service:
				a.report("%s of route %s ran at a server of %s", id, route, b.service)
			case route == "home" && regions[b.domain] != "dohoku":
				a.report("%s ran outside its home, in %s", id, b.domain)
			case r.LeakedKey != "":
				a.report("%s reached server %s with its key", id, r.Server)
			case r.Target != fmt.Sprintf("/%s/x?n=%s", route, id) || route == "order" && r.Body != "order "+id:
				a.report("%s reached server %s changed: %s %q", id, r.Server, r.Target, r.Body)
			}
			if x := a.byID[id]; x != nil && r.Workspace != x.workspace {
				a.report("%s of workspace %s ran for %s", id, x.workspace, r.Workspace)
			}
		}
	}
}

// versions checks that no process goes back to an older configuration: one
// that took a key does not take a key that was withdrawn before.
func (a *audit) versions() {
	type process struct{ host, boot int }
	type seen struct {
		at  time.Time
		key int
	}
	taken := make(map[process][]seen)
	for _, x := range a.attempts {
		if x.boot > 0 && x.status == http.StatusOK {
			p := process{x.host, x.boot}
			taken[p] = append(taken[p], seen{x.done, x.key})
		}
	}
	for _, x := range a.attempts {
		if x.boot == 0 || len(a.runs[x.id]) == 0 {
			continue
		}
		for _, s := range taken[process{x.host, x.boot}] {
			if s.at.Before(x.sent) && s.key >= x.key+2 {
				a.report("%s ran with key %d at host %d, which had taken key %d before", x.id, x.key, x.host, s.key)
				break
			}
		}
	}
}

// rates checks the rate of workspace small: over the whole run, and over
// each window if times count.
func (a *audit) rates() {
	var runs []stand.Execution
	for id, list := range a.runs {
		// What was started before a window does not count in it.
		if x := a.byID[id]; x != nil && x.workspace == "small" {
			runs = append(runs, list...)
		}
	}
	if len(runs) == 0 {
		return
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
	most := func(d time.Duration) int {
		return int((smallRate*d.Seconds()+smallBurst)*(1+rateOver) + rateSlack)
	}
	if whole := runs[len(runs)-1].At.Sub(a.world.start); len(runs) > most(whole) {
		a.report("workspace small ran %d requests in %s, at most %d may", len(runs), whole, most(whole))
	}
	for from := 0; timed && from < len(runs); from++ {
		n, begin := 0, runs[from].At
		for _, r := range runs[from:] {
			if r.At.After(begin.Add(rateWindow)) {
				break
			}
			if !a.byID[r.ID].sent.Before(begin) {
				n++
			}
		}
		if n > most(rateWindow) {
			a.report("workspace small ran %d requests in %s from %s, at most %d may", n, rateWindow, a.since(begin), most(rateWindow))
			return
		}
	}
}

func (a *audit) since(t time.Time) time.Duration { return t.Sub(a.world.start).Round(time.Millisecond) }

// retries checks the retry budget of each service over the whole run.
func (a *audit) retries() {
	requests, more := make(map[string]int), make(map[string]int)
	first := make(map[string]bool)
	for _, x := range a.arrivals {
		if first[x.ID] {
			more[x.Service]++
		}
		first[x.ID] = true
	}
	for _, x := range a.attempts {
		service := "desk"
		if x.route == "fetch" {
			service = "vault"
		}
		requests[service]++
	}
	windows := time.Since(a.world.start)/retryWindow + 1
	for service, n := range more {
		if most := retryRatio*float64(requests[service]) + retryExtra*float64(windows); float64(n) > most {
			a.report("service %s got %d repeats, at most %.0f may come", service, n, most)
		}
	}
}

// leaving checks that a server that reported its leaving gets nothing after
// the time that hosts have to learn it.
func (a *audit) leaving() {
	a.world.mu.Lock()
	defer a.world.mu.Unlock()
	for id, runs := range a.runs {
		x := a.byID[id]
		for _, r := range runs {
			left := a.world.drained[r.Server]
			if x == nil || left.IsZero() || r.At.Before(left.Add(drainTime)) || a.troubled(x.host, left, r.At, scopeStore) {
				continue
			}
			a.report("%s reached server %s %s after it reported its leaving", id, r.Server, r.At.Sub(left))
		}
	}
}

// denied checks that valid keys are known.
func (a *audit) denied() {
	a.world.mu.Lock()
	defer a.world.mu.Unlock()
	n := 0
	for _, x := range a.attempts {
		if x.status != http.StatusUnauthorized || a.troubled(x.host, x.sent, x.done, scopeStore) {
			continue
		}
		if v := a.world.published[x.key]; !v.from.IsZero() && x.sent.After(v.from.Add(applyTime)) && (v.to.IsZero() || x.done.Before(v.to)) {
			n++
		}
	}
	if n > deniedMost {
		a.report("%d requests with a valid key were refused as unknown", n)
	}
}
