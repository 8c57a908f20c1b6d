package mirror

import "time"

// listDelay is how long a host waits for the copy of the host that lists the table
// first after the store has come back from an older copy. It leaves that host one
// delay between its calls and the time to list and to send the table. Until then this
// host learns no changes, so that it must end well before changes have to be in force.
const listDelay = time.Second

// noteEra takes note of the newest era that the store has named. The changes after a
// version of an earlier era are lost or have other versions, so that the copy cannot
// follow them, whether or not the store has given that version out again.
func (m *Mirror) noteEra() {
	era := m.cfg.Feed.Era()
	if era <= m.era {
		return
	}
	m.era = era
	if m.version.IsZero() || m.version.Era >= era {
		return
	}
	m.mustList = true
	m.listAt = m.cfg.Timer.Now() + listDelay
}

// handleReturn handles a response that is of a later era than the copy. Its rows say
// nothing, as they are the changes after a version of another era.
func (m *Mirror) handleReturn() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordReached()
	m.noteEra()
	m.mustList = true
}
