// Package mirror keeps a copy of a followed table of the platform's store.
//
// A Mirror lists the table once and then follows its changes. While the
// store is out of reach the copy stays as it is; a newer copy of another
// host can be adopted.
package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

const (
	// retryPause is the pause after a failed call; it is doubled up to
	// maxRetryPause, with jitter, so that hosts do not come back together.
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// outageEcho is how long after the last failed call a removal may still
	// be due to the outage. Entries that lapsed are back about 2 s after it.
	outageEcho = 2 * time.Second
	// idlePause is the time between two looks whether to follow the store.
	idlePause = 100 * time.Millisecond
	// historyRows bounds the changes that are kept for other hosts.
	historyRows = 512
)

// Config configures a Mirror. Feed, Timer and Changed are required.
type Config struct {
	Table core.FeedTable
	Feed  core.Feed
	Timer core.Timer
	// PollTimeout is how long one call waits for changes. A connection that went
	// silent is noticed after it.
	PollTimeout time.Duration
	// OnChange is called with each change, one call at a time. Lapsed says
	// that the store was out of reach a moment ago.
	OnChange func(rows []core.Record, lapsed bool)
	// OnStoreState is called when the store is lost or regained; err is nil when
	// it is regained.
	OnStoreState func(err error)
	// FollowsStore reports whether this host follows the store, or learns from a
	// host that does. Nil means that it does. The first read and those after
	// a failed one are always its own.
	FollowsStore func() bool
}

// Snapshot is the content of a mirror, or what changed in it after version
// After. AsOf is the version of the store up to which it is complete; Change
// is the version of its newest change.
type Snapshot struct {
	Rows        []core.Record
	After       uint64 // 0 for the whole content
	Version     uint64
	Newest      uint64
	AfterOutage bool // the store was out of reach a moment ago
}

// Mirror is a copy of one table. It is safe for concurrent use.
type Mirror struct {
	cfg Config

	mu       sync.Mutex
	rows     map[string]core.Record
	history  []core.Record // newest changes, oldest first
	since    uint64        // history holds all changes after it
	asOf     uint64
	change   uint64
	failing  bool
	failedAt time.Duration
	cancel   context.CancelFunc // ends the call under way

	apply sync.Mutex // serializes calls of Changed
}

// New returns an empty mirror.
func New(cfg Config) *Mirror {
	return &Mirror{cfg: cfg, rows: make(map[string]core.Record)}
}

// Versions returns the version up to which the copy is complete and that of
// its newest change; both are 0 before the first read.
func (m *Mirror) Versions() (asOf, change uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asOf, m.change
}

// Failing reports whether the last call to the store failed.
func (m *Mirror) Failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failing
}

// Snapshot returns what changed after a version, or the whole content if that is
// not known any more.
func (m *Mirror) Snapshot(after uint64) Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Snapshot{Version: m.asOf, Newest: m.change, AfterOutage: m.failing || m.isEcho()}
	if after > 0 && after >= m.since {
		c.After = after
		for _, r := range m.history {
			if r.Version > after {
				c.Rows = append(c.Rows, r)
			}
		}
		return c
	}
	for _, r := range m.rows {
		c.Rows = append(c.Rows, r)
	}
	return c
}

// isEcho reports whether a removal may still be due to an outage.
func (m *Mirror) isEcho() bool {
	return m.failedAt > 0 && m.cfg.Timer.Now() < m.failedAt+outageEcho
}

// Merge takes in a newer copy of another host and follows the store from
// there. An older copy, or changes that don't join on, are ignored.
func (m *Mirror) Merge(c Snapshot) bool {
	m.apply.Lock()
	defer m.apply.Unlock()
	m.mu.Lock()
	if c.Version <= m.asOf || c.After > m.asOf {
		m.mu.Unlock()
		return false
	}
	var changes []core.Record
	got := core.Records{Rows: c.Rows, Version: c.Version}
	if c.After > 0 {
		changes = m.merge(got)
	} else {
		changes = m.replace(got)
	}
	m.change = max(m.change, c.Newest)
	if m.cancel != nil {
		m.cancel()
	}
	m.mu.Unlock()
	if len(changes) > 0 {
		m.cfg.OnChange(changes, c.AfterOutage)
	}
	return true
}

// Run lists and follows the table until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := retryPause
	for ctx.Err() == nil {
		if !m.follows() {
			select {
			case <-ctx.Done():
			case <-m.cfg.Timer.After(idlePause):
			}
			continue
		}
		err := m.step(ctx)
		if err == nil {
			pause = retryPause
			continue
		}
		wait := pause/2 + rand.N(pause/2+1)
		pause = min(2*pause, maxRetryPause)
		select {
		case <-ctx.Done():
		case <-m.cfg.Timer.After(wait):
		}
	}
}

// follows reports whether the next read is this host's own.
func (m *Mirror) follows() bool {
	m.mu.Lock()
	own := m.asOf == 0 || m.failing
	m.mu.Unlock()
	return own || m.cfg.FollowsStore == nil || m.cfg.FollowsStore()
}

// step makes one call and takes in its answer.
func (m *Mirror) step(ctx context.Context) error {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	after, wait := m.asOf, m.cfg.PollTimeout
	if m.failing {
		wait = 0 // the end of an outage shows at once
	}
	m.cancel = cancel
	m.mu.Unlock()
	var got core.Records
	var err error
	if after == 0 {
		got, err = m.cfg.Feed.List(call, m.cfg.Table)
	} else {
		got, err = m.cfg.Feed.Follow(call, m.cfg.Table, after, wait)
	}
	if err != nil {
		return m.failed(ctx, call, err)
	}
	m.take(after, got)
	return nil
}

// failed takes in that a call failed. A call that was ended from outside
// says nothing of the store.
func (m *Mirror) failed(ctx, call context.Context, err error) error {
	if ctx.Err() != nil || call.Err() != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if codes.Is(err, codes.StoreAbsent) {
		// The rows stay in force; the next step lists them again.
		m.asOf = 0
		return nil
	}
	if !m.failing {
		m.cfg.OnStoreState(err)
	}
	m.failing, m.failedAt = true, m.cfg.Timer.Now()
	return err
}

// take takes in the answer of a call that was made at version after.
func (m *Mirror) take(after uint64, got core.Records) {
	m.apply.Lock()
	defer m.apply.Unlock()
	m.mu.Lock()
	now := m.cfg.Timer.Now()
	if m.failing {
		m.failing, m.failedAt = false, now
		m.cfg.OnStoreState(nil)
	}
	if m.asOf != after {
		// A copy was adopted meanwhile; the answer may be older.
		m.mu.Unlock()
		return
	}
	lapsed := m.isEcho()
	var changes []core.Record
	if after == 0 {
		changes = m.replace(got)
	} else {
		changes = m.merge(got)
	}
	m.mu.Unlock()
	if len(changes) > 0 || after == 0 {
		m.cfg.OnChange(changes, lapsed)
	}
}

// replace makes got the content and returns what changed by that.
func (m *Mirror) replace(got core.Records) []core.Record {
	var changes []core.Record
	seen := make(map[string]bool, len(got.Rows))
	for _, r := range got.Rows {
		seen[r.Key] = true
		if old, ok := m.rows[r.Key]; !ok || old.Version != r.Version {
			m.rows[r.Key] = r
			changes = append(changes, r)
		}
		m.change = max(m.change, r.Version)
	}
	for key := range m.rows {
		if !seen[key] {
			delete(m.rows, key)
			changes = append(changes, core.Record{Key: key, Version: got.Version, Removed: true})
		}
	}
	m.asOf = got.Version
	m.history, m.since = nil, got.Version
	return changes
}

// merge takes in changes in their order.
func (m *Mirror) merge(got core.Records) []core.Record {
	var changes []core.Record
	for _, r := range got.Rows {
		if old, ok := m.rows[r.Key]; ok && old.Version >= r.Version {
			continue
		}
		if r.Removed {
			delete(m.rows, r.Key)
		} else {
			m.rows[r.Key] = r
		}
		changes = append(changes, r)
		m.change = max(m.change, r.Version)
	}
	m.asOf = max(m.asOf, got.Version)
	m.history = append(m.history, changes...)
	if over := len(m.history) - historyRows; over > 0 {
		m.since = m.history[over-1].Version
		m.history = append([]core.Record(nil), m.history[over:]...)
	}
	return changes
}
