package main

import (
	"sync"
	"time"
)

func init() { cases[11] = playWithdraw }

const (
	contactTime = 3 * time.Second // contactS
	applyTime   = 2 * time.Second // configApplyS
	// The copy with which the store comes back is made copyBefore before the operator adds a
	// key. The store goes away addedBefore after that, for awayTime.
	copyBefore  = time.Second
	addedBefore = 200 * time.Millisecond
	awayTime    = 2 * time.Second
	watchTime   = 20 * time.Second
)

// playWithdraw lets the operator add a key, the store go away and come back from a copy
// some seconds old, and the operator withdraw the older key then. Clients go on using it.
func playWithdraw(w *world, trouble bool) (bool, error) {
	if err := w.startServers(3, 8, 30*time.Millisecond); err != nil {
		return false, err
	}
	withKeys := func(keys ...string) []resource { return usualConfig(newTenant("large", 0, 0, keys...)) }
	if _, err := w.publish(3, withKeys("key-old")); err != nil {
		return false, err
	}
	var hosts []*machine
	for _, zone := range []string{"kushiro", "nemuro", "wakkanai", "kushiro", "nemuro", "wakkanai"} {
		m, err := w.newMachine(zone, true, usualLimits)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, m)
	}
	if err := startAll(hosts...); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // from here on the copy has all that hosts write at their start
	older := w.store.copy()
	w.note("store", "a copy is made, ver=%d", older.ver)
	time.Sleep(copyBefore)
	if _, err := w.publish(5, withKeys("key-old", "key-new")); err != nil {
		return false, err
	}
	time.Sleep(addedBefore)
	back := w.drill(older, awayTime, trouble)
	if trouble {
		// The operator writes again what is lost.
		if _, err := w.publish(5, withKeys("key-old", "key-new")); err != nil {
			return false, err
		}
	}
	confirmed, err := w.publish(7, withKeys("key-new"))
	if err != nil {
		return false, err
	}
	w.note("config", "version=7 no longer has key-old")
	from := back.Add(contactTime)
	if later := confirmed.Add(applyTime); later.After(from) {
		from = later
	}
	w.noteAt(from, "judge", "from here on all hosts are in touch, and requests with key-old must not run")
	return w.useKey(hosts, "key-old", from, watchTime), nil
}

// useKey sends requests with a key to all hosts for a time, and reports whether one that
// was sent after a moment has run.
func (w *world) useKey(hosts []*machine, key string, from time.Time, d time.Duration) bool {
	var group sync.WaitGroup
	var mu sync.Mutex
	var late []exchange
	for _, m := range hosts {
		group.Go(func() {
			c := w.newClient(m)
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				x := c.send("GET", "/lookup/queue", key, 4*time.Second, "")
				if x.sent.After(from) && x.stamp != "" {
					mu.Lock()
					late = append(late, x)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	ran := make(map[string]bool)
	for _, a := range w.allRuns() {
		ran[a.id] = true
	}
	n := 0
	for _, x := range late {
		if ran[x.id] {
			n++
			w.noteAt(x.sent, "judge", "id=%s host=%s ran with the withdrawn key %.1f s after the bound", x.id, x.host, x.sent.Sub(from).Seconds())
		}
	}
	w.note("judge", "%d requests ran with a withdrawn key, none may", n)
	return n > 0
}
