package main

import (
	"sort"
	"sync"
	"time"
)

func init() { cases[15] = playQuota }

// The tenant of the case, and the bounds of its settings.
const (
	quotaRate   = 40.0 // requests a second
	quotaBurst  = 40.0
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20.0
)

// playQuota starts a deployment, lets the store come back from a copy some seconds old, and
// adds a machine to a zone later. Then one tenant sends three times its rate to all hosts.
func playQuota(w *world, trouble bool) (bool, error) {
	if err := w.startServers(3, 8, 30*time.Millisecond); err != nil {
		return false, err
	}
	if _, err := w.publish(3, usualConfig(newTenant("large", quotaRate, quotaBurst, "key-large"), newTenant("small", 0, 0, "key-small"))); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	older := w.store.copy()
	w.note("store", "a copy is made, ver=%d", older.ver)
	time.Sleep(300 * time.Millisecond)
	var hosts []*machine
	for _, zone := range []string{"kushiro", "nemuro", "wakkanai"} {
		m, err := w.newMachine(zone, true, usualLimits)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, m)
	}
	if err := startAll(hosts...); err != nil {
		return false, err
	}
	time.Sleep(2500 * time.Millisecond)
	w.drill(older, time.Second, trouble)
	time.Sleep(6 * time.Second)
	added, err := w.newMachine("kushiro", false, usualLimits)
	if err != nil {
		return false, err
	}
	if err := startAll(added); err != nil {
		return false, err
	}
	hosts = append(hosts, added)
	time.Sleep(6 * time.Second) // all machines are in touch, and each heartbeat has had a dozen tries
	w.load(hosts, "key-large", 3*quotaRate, 15*time.Second)
	return w.judgeQuota("large"), nil
}

// load sends a number of requests a second of one key for a time, evenly to hosts.
func (w *world) load(hosts []*machine, key string, perSecond float64, d time.Duration) {
	w.note("load", "key=%s perSecond=%g hosts=%d", key, perSecond, len(hosts))
	var clients []*client
	for _, m := range hosts {
		clients = append(clients, w.newClient(m))
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	var group sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		c := clients[n%len(clients)]
		group.Go(func() { c.send("GET", "/lookup/queue", key, 4*time.Second, "") })
		<-ticker.C
	}
	group.Wait()
}

// judgeQuota reports whether in some window more requests of a tenant arrived at servers
// that ran them than the rule allows.
func (w *world) judgeQuota(tenant string) bool {
	var times []time.Time
	for _, a := range w.allRuns() {
		if a.tenant == tenant {
			times = append(times, a.at)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	most, mostAt, start := 0, time.Time{}, 0
	for end := range times {
		for times[end].Sub(times[start]) >= quotaWindow {
			start++
		}
		if n := end - start + 1; n > most {
			most, mostAt = n, times[end]
		}
	}
	if most > 0 {
		w.noteAt(mostAt, "judge", "tenant=%s: %d requests ran in the %v before, %.0f are allowed", tenant, most, quotaWindow, allowed)
	}
	return float64(most) > allowed
}
