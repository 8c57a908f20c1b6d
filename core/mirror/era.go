package mirror

import (
	"time"

	"azurering/core"
)

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

// awaitsCopy reports whether this mirror, while it is empty, waits for the copy of another
// host.
func (m *Mirror) awaitsCopy() bool {
	return m.cfg.AwaitsCopy != nil && m.cfg.Feed.Era() > 0 && m.cfg.AwaitsCopy()
}

// keeps reports whether a row of the copy stays although the store has it in another form
// or not at all.
func (m *Mirror) keeps(known, read core.Record) bool {
	wasKept := known.Version.Number == 0
	return m.cfg.Keeps != nil && (wasKept || known.Version.Era < read.Version.Era) && m.cfg.Keeps(known, read)
}

// keep keeps a row in the copy of an era. Its version is before all that the store gives
// out in that era, so that each later write of the row replaces it.
func (m *Mirror) keep(r core.Record, era uint64) {
	r.Version = core.Version{Era: era}
	m.rows[r.Key] = r
}
