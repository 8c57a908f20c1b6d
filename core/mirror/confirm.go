package mirror

import (
	"context"
	"time"

	"azurering/core"
)

const (
	// confirmWait is how long the calls of the host wait that confirms the copies of
	// all others.
	confirmWait = 400 * time.Millisecond
	// maxFollowerAge is the age of the copy after which a host that follows the store
	// gives up a call that waits for changes and makes another one. Confirmations come
	// more often than that.
	maxFollowerAge = 700 * time.Millisecond
	// maxAge is the age after which any other host reads the store itself. It leaves
	// time for one lost confirmation.
	maxAge = 900 * time.Millisecond
	// maxPending bounds the confirmations that wait for their version.
	maxPending = 16
)

// confirmation says that a copy with a version is complete up to a time.
type confirmation struct {
	version core.Version
	at      time.Duration
}

// Age returns how long ago the copy was last known to hold all changes that the
// store had acknowledged.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cfg.Timer.Now() - m.confirmed
}

// Confirm handles the news that a copy of another host, whose newest change has a
// version, holds all changes that the store had acknowledged a time ago. A
// copy that has reached that version is as complete.
func (m *Mirror) Confirm(version core.Version, age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version.Before(m.newest) {
		return // the news was sent before the newest change
	}
	now := m.cfg.Timer.Now()
	if !m.version.Before(version) {
		m.confirm(now, now-age)
		return
	}
	m.pending = append(m.pending, confirmation{version: version, at: now - age})
	if over := len(m.pending) - maxPending; over > 0 {
		m.pending = append([]confirmation(nil), m.pending[over:]...)
	}
}

// settle applies the pending confirmations that the copy has reached. Those of an
// earlier era say nothing about the copy.
func (m *Mirror) settle() {
	now, kept := m.cfg.Timer.Now(), m.pending[:0]
	for _, c := range m.pending {
		switch {
		case m.version.Before(c.version):
			kept = append(kept, c)
		case c.version.Era == m.version.Era:
			m.confirm(now, c.at)
		}
	}
	m.pending = kept
}

// confirm records that the copy holds all changes that the store had acknowledged
// by a time. If nobody could say so for long enough before, the store was out, and
// owners may renew the rows that expired meanwhile.
func (m *Mirror) confirm(now, at time.Duration) {
	if at <= m.confirmed {
		return
	}
	if at-m.confirmed >= m.cfg.Holds.MinOutage && m.lastOut > m.confirmed {
		// The outage may have ended at any time since lastOut.
		m.renewUntil = min(now+renewWindow, m.lastOut+m.cfg.Holds.Outage)
	}
	m.confirmed = at
}

// isStale reports whether the copy is older than a time.
func (m *Mirror) isStale(age time.Duration) bool { return m.cfg.Timer.Now()-m.confirmed > age }

// endStaleWait ends the call in progress if it waits for changes on a copy that is
// too old: its connection may be dead.
func (m *Mirror) endStaleWait() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting && m.cancel != nil && m.isStale(maxFollowerAge) {
		m.waiting = false
		m.cancel(context.DeadlineExceeded)
	}
}
