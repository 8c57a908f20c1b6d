package mirror

import (
	"time"

	"azurering/core"
)

// renewWindow is how long after an outage owners may still renew rows that
// expired during it.
const renewWindow = 2 * time.Second

// holdUntil returns until when a row may be renewed whose removal the store
// reports now.
func (m *Mirror) holdUntil(now time.Duration) time.Duration {
	return min(m.renewUntil, now+m.cfg.Holds.Removal)
}

// recordHolds records until when the removed rows among changes may be renewed.
// Rows that were written or whose time is over are no longer held.
func (m *Mirror) recordHolds(changes []core.Record, until func(key string) time.Duration) {
	now := m.cfg.Timer.Now()
	for _, r := range changes {
		delete(m.holds, r.Key)
		if r.Removed {
			m.holds[r.Key] = until(r.Key)
		}
	}
	for key, end := range m.holds {
		if now >= end {
			delete(m.holds, key)
		}
	}
}

// holdsLeft returns how much longer each removed row may be renewed, or nil if
// there is none.
func (m *Mirror) holdsLeft() map[string]time.Duration {
	now := m.cfg.Timer.Now()
	var left map[string]time.Duration
	for key, end := range m.holds {
		if now >= end {
			continue
		}
		if left == nil {
			left = make(map[string]time.Duration, len(m.holds))
		}
		left[key] = end - now
	}
	return left
}

// heldRows returns the rows that the host of a copy holds as removals, apart from those
// that the copy has.
func heldRows(c Snapshot) []core.Record {
	has := make(map[string]bool, len(c.Rows))
	for _, r := range c.Rows {
		has[r.Key] = true
	}
	var held []core.Record
	for key := range c.Holds {
		if !has[key] {
			held = append(held, core.Record{Key: key, Version: c.Version, Removed: true})
		}
	}
	return held
}
