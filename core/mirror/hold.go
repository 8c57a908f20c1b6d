package mirror

import (
	"time"

	"azurering/core"
)

// endOutage sets until when owners may renew the rows that expired during the
// outage that was found to have ended now. It may have ended at any time since
// lastOut.
func (m *Mirror) endOutage(now time.Duration) {
	m.renewUntil = 0
	if now-m.lastSuccess < m.cfg.Holds.MinOutage {
		return
	}
	m.renewUntil = min(now+renewWindow, m.lastOut+m.cfg.Holds.Outage)
}

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
