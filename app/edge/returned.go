package edge

import (
	"sync"
	"time"

	"azurering/core"
)

const (
	// expiryBeats is the number of heartbeat intervals of servers after which the store
	// removes the entry of a silent one.
	expiryBeats = 3
	// expirySlack is how much later the removal reaches this host at most.
	expirySlack = time.Second
	// defaultServerHeartbeat is the interval if the settings name none.
	defaultServerHeartbeat = 1500 * time.Millisecond
)

// expiryTime is the time after a return of the store in which the removal of the entries
// of silent servers reaches this host.
func expiryTime(place core.HostSettings) time.Duration {
	interval := place.ServerHeartbeat
	if interval <= 0 {
		interval = defaultServerHeartbeat
	}
	return expiryBeats*interval + expirySlack
}

// returnedEntries holds entries of servers with which the store has come back although
// they had been removed before. The servers may have left for good; then the store
// removes the entries once more, by a new removal or because nobody renews them. It is
// safe for concurrent use.
type returnedEntries struct {
	timer core.Timer
	wait  time.Duration // until an entry counts as that of a live server

	mu      sync.Mutex
	entries map[string]returnedEntry
}

type returnedEntry struct {
	record core.Record
	source string // as returned by sourceName
	until  time.Duration
}

func newReturnedEntries(t core.Timer, wait time.Duration) *returnedEntries {
	return &returnedEntries{timer: t, wait: wait, entries: make(map[string]returnedEntry)}
}

func (e *returnedEntries) add(r core.Record, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries[r.Key] = returnedEntry{record: r, source: source, until: e.timer.Now() + e.wait}
}

// remove forgets an entry that has been written or removed in the new era.
func (e *returnedEntries) remove(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.entries, key)
}

// takeConfirmed removes the entries whose wait is over and hands them to use, one after
// the other. A call of remove meanwhile returns afterwards, so that the caller's change of
// the entry comes last.
func (e *returnedEntries) takeConfirmed(use func(returnedEntry)) {
	now := e.timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, entry := range e.entries {
		if now >= entry.until {
			delete(e.entries, key)
			use(entry)
		}
	}
}
