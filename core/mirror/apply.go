package mirror

import "azurering/core"

// apply applies rows that were read at a version of the store: all rows if after is
// 0, or else the changes after that version. It returns what changed. It does
// nothing and returns false if the copy is as new, or if changes are missing
// in between. All rows enter the copy here, so that it never goes back.
func (m *Mirror) apply(after uint64, got core.Records) ([]core.Record, bool) {
	relists := after == 0 && m.mustList && got.Version == m.version
	if got.Version <= m.version && !relists || after > m.version {
		return nil, false
	}
	var changes []core.Record
	if after == 0 {
		changes = m.replace(got)
	} else {
		changes = m.merge(got)
	}
	m.version, m.mustList = got.Version, false
	m.settle()
	return changes, true
}

// replace sets the content to got and returns the changes.
func (m *Mirror) replace(got core.Records) []core.Record {
	var changes []core.Record
	seen := make(map[string]bool, len(got.Rows))
	for _, r := range got.Rows {
		seen[r.Key] = true
		if old, ok := m.rows[r.Key]; !ok || old.Version != r.Version {
			m.rows[r.Key] = r
			changes = append(changes, r)
		}
		m.newest = max(m.newest, r.Version)
	}
	for key := range m.rows {
		if !seen[key] {
			delete(m.rows, key)
			changes = append(changes, core.Record{Key: key, Version: got.Version, Removed: true})
			m.newest = max(m.newest, got.Version) // the version of the removal is not known
		}
	}
	m.history, m.historyStart = nil, got.Version
	return changes
}

// merge applies changes in their order and returns the last new one of each row.
func (m *Mirror) merge(got core.Records) []core.Record {
	var changes []core.Record
	for _, r := range got.Rows {
		if old, ok := m.rows[r.Key]; r.Version <= m.version || ok && old.Version >= r.Version {
			continue
		}
		if r.Removed {
			delete(m.rows, r.Key)
		} else {
			m.rows[r.Key] = r
		}
		changes = append(changes, r)
		m.newest = max(m.newest, r.Version)
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
