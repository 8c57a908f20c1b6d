package mirror

import (
	"bytes"

	"azurering/core"
)

// apply applies rows that were read at a version of the store: all rows if after is
// zero, or else the changes after that version. It returns what changed. It does
// nothing and returns false if the copy is as new, or if changes are missing
// in between, as they always are between two eras. All rows enter the copy here, so
// that it never goes back.
func (m *Mirror) apply(after core.Version, got core.Records) ([]core.Record, bool) {
	whole := after.IsZero()
	relists := whole && m.mustList && got.Version == m.version
	if !m.version.Before(got.Version) && !relists || m.version.Before(after) || !whole && after.Era != got.Version.Era {
		return nil, false
	}
	var changes []core.Record
	if whole {
		changes = m.replace(got)
	} else {
		changes = m.merge(got)
	}
	m.version = got.Version
	m.mustList = m.version.Era < m.era
	m.settle()
	return changes, true
}

// replace sets the content to got and returns the changes.
func (m *Mirror) replace(got core.Records) []core.Record {
	var changes []core.Record
	seen := make(map[string]bool, len(got.Rows))
	if m.version.Era < got.Version.Era && !m.newest.IsZero() {
		// Other hosts adopt the table of a new era even if none of its rows has changed.
		m.newest = core.Version{Era: got.Version.Era}
	}
	for _, r := range got.Rows {
		seen[r.Key] = true
		old, ok := m.rows[r.Key]
		if ok && m.keeps(old, r) {
			m.keep(old, got.Version.Era)
			continue
		}
		if !ok || !isSameRow(old, r) {
			changes = append(changes, r)
		}
		m.rows[r.Key] = r
		m.newest = m.newest.Max(r.Version)
	}
	for key, old := range m.rows {
		if seen[key] {
			continue
		}
		removal := core.Record{Key: key, Version: got.Version, Removed: true}
		if m.keeps(old, removal) {
			m.keep(old, got.Version.Era)
			continue
		}
		delete(m.rows, key)
		changes = append(changes, removal)
		m.newest = m.newest.Max(got.Version) // the version of the removal is not known
	}
	m.history, m.historyStart = nil, got.Version
	return changes
}

// isSameRow reports whether two reads of a row show the same write of it. In two eras a
// version may stand for two writes, and a write may have two versions, so that only the
// values tell.
func isSameRow(a, b core.Record) bool {
	if a.Version.Era != b.Version.Era {
		return bytes.Equal(a.Value, b.Value)
	}
	return a.Version == b.Version
}

// merge applies changes in their order and returns the last new one of each row.
func (m *Mirror) merge(got core.Records) []core.Record {
	var changes []core.Record
	for _, r := range got.Rows {
		if old, ok := m.rows[r.Key]; !m.version.Before(r.Version) || ok && !old.Version.Before(r.Version) {
			continue
		}
		if r.Removed {
			delete(m.rows, r.Key)
		} else {
			m.rows[r.Key] = r
		}
		changes = append(changes, r)
		m.newest = m.newest.Max(r.Version)
	}
	changes = lastOfEachKey(changes)
	// An older change of the same row is of no use to hosts that ask later, and
	// rows can be large.
	m.history = lastOfEachKey(append(m.history, changes...))
	if over := len(m.history) - maxHistory; over > 0 {
		m.historyStart = m.history[over-1].Version
		m.history = append([]core.Record(nil), m.history[over:]...)
	}
	return changes
}

// lastOfEachKey returns the last change of each row, in order. A row that was
// removed and written again has then only been written.
func lastOfEachKey(changes []core.Record) []core.Record {
	last := make(map[string]int, len(changes))
	for i, r := range changes {
		last[r.Key] = i
	}
	kept := changes[:0]
	for i, r := range changes {
		if last[r.Key] == i {
			kept = append(kept, r)
		}
	}
	return kept
}
