// Package mirror keeps a local copy of a table of the platform's store. Entry
// hosts use it for the tables of operators and of servers.
//
// A Mirror lists the table once and then follows its changes. While the
// store is unreachable, the copy stays as it is, and a newer copy from another
// host can be adopted. When the store has come back from an older copy of its
// content, the changes after the mirror's version no longer lead to the store's
// content, and the table is listed again.
package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/timer"
)

const (
	// minBackoff is the delay after the first failed call. It doubles with
	// each further failure up to maxBackoff. Jitter keeps hosts from retrying
	// at the same time.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// answerTimeout is how long after an answer was due the Feed waits for it.
	answerTimeout = 1500 * time.Millisecond
	// probeTimeout bounds a call that the store is to answer at once. A short one
	// shows more closely when an outage ended, and leaves time for a second call
	// within the time in which a change must be in force. The store answers in up
	// to 240 ms when it is slow.
	probeTimeout = 500 * time.Millisecond
	// probePeriod is the time without an answer after which calls get the Feed's
	// timeout again, in case the store has become slower than probeTimeout.
	probePeriod = 10 * time.Second
	// idleInterval is the time between two checks whether this host is to read
	// the store.
	idleInterval = 100 * time.Millisecond
	// maxHistory is the number of changes kept for hosts that ask for what
	// changed after a version.
	maxHistory = 512
)

// Config configures a Mirror. Feed, Timer, OnChange and OnStoreState are required.
type Config struct {
	Table core.FeedTable
	Feed  core.Feed
	Timer core.Timer
	// PollTimeout is how long one call to Feed.Follow waits for changes, unless the
	// copy becomes too old meanwhile.
	PollTimeout time.Duration
	// OnChange is called with each change, one call at a time, and after each
	// listing, even if no row changed.
	OnChange func(Change)
	// OnStoreState is called with the error when the store becomes unreachable,
	// and with nil when it is reachable again. It must not call the Mirror.
	OnStoreState func(err error)
	// FollowsStore reports whether this host follows the store itself rather than
	// adopt the copies of a host that does. Nil means that it always does.
	// FollowsStore is not called before the first read has succeeded or while calls
	// fail: the host reads the store itself then.
	FollowsStore func() bool
	// Confirms reports whether this host confirms to the others that their copies
	// are complete. Its calls wait for confirmWait only. Nil means that it never does.
	Confirms func() bool
	// ListsFirst reports whether this host lists the table at once after the store has
	// come back from an older copy. The others wait for the copy of that host. Nil means
	// that it always does.
	ListsFirst func() bool
	// Keeps reports whether a known row stays in the copy although the store, since it
	// has come back from an older copy, has it in another form, or has it no longer if
	// read is a removal. Hosts that adopt the copy get the known row. Nil means that no
	// row stays. Keeps must not call the Mirror.
	Keeps func(known, read core.Record) bool
	// AwaitsCopy reports whether an empty mirror waits for the copy of another host before
	// it uses what the store has: the store may lack what the other host has kept. It is
	// called only if the store names eras and can be reached. Nil means that an empty
	// mirror never waits.
	AwaitsCopy func() bool
	// OnConfirm is called after a read of the store has shown that the copy is
	// complete. Nil is allowed. It must not call the Mirror.
	OnConfirm func()
	// Holds bounds how long removed rows are held. The zero value means not at
	// all.
	Holds HoldLimits
}

// HoldLimits bounds how long a removed row is held because it may only have
// expired during an outage of the store, or is missing in the older copy from which
// the store has come back. Owners also remove rows for good, which looks the same.
type HoldLimits struct {
	MinOutage time.Duration // the shortest outage during which rows expire
	Removal   time.Duration // the longest time after this host has read the removal
	Outage    time.Duration // the longest time after the end of the outage
	Return    time.Duration // the time after this host has adopted a table without the row, in a new era
}

// Change holds the rows that changed in one step.
type Change struct {
	Rows []core.Record
	// Holds has the removed rows that may only have expired during an outage
	// of the store, and how much longer their owners may renew them.
	Holds   map[string]time.Duration
	Source  string       // address of the host whose copy was merged; empty for the store
	Version core.Version // version of the copy after the step
	// First is set if the copy was empty before the step. Holds then also has rows that
	// the host whose copy was merged holds.
	First bool
	// Replaced is the version of the copy before the step if the step was the first
	// one in a new era of the store, or zero. The changes from it to the content of
	// the new era include what the store has lost.
	Replaced core.Version
}

// Snapshot is the content of a mirror, or the changes after version After.
type Snapshot struct {
	Rows    []core.Record
	After   core.Version             // zero for the whole content
	Version core.Version             // version of the store up to which the copy is complete
	Newest  core.Version             // version of the newest change
	Holds   map[string]time.Duration // as in Change
	Source  string                   // address of the host that sent it; empty in a copy of this host
}

// Mirror is a copy of one table. It is safe for concurrent use.
type Mirror struct {
	cfg Config

	mu           sync.Mutex
	rows         map[string]core.Record
	history      []core.Record // newest changes, oldest first
	historyStart core.Version  // history holds all changes after this version
	version      core.Version  // the copy holds all changes up to it; it never decreases
	mustList     bool          // the store does not have the changes after version
	era          uint64        // the newest era of the store that this host knows from it
	listAt       time.Duration // until then a host that does not list first waits for the copy of one that does
	newest       core.Version
	failing      bool                     // the last call failed
	failingSince time.Duration            // end of the first call that failed
	lastOut      time.Duration            // latest time at which the store is known to have been unreachable
	confirmed    time.Duration            // the copy holds all changes that the store had acknowledged by then
	pending      []confirmation           // confirmations of versions that the copy has not reached
	renewUntil   time.Duration            // until when owners may renew rows that expired during the last outage
	holds        map[string]time.Duration // removed rows that may be renewed, and until when
	cancel       context.CancelCauseFunc  // cancels the call in progress; context.DeadlineExceeded if it is overdue
	waiting      bool                     // the call in progress waits for changes

	changedMu sync.Mutex // serializes calls of OnChange; locked before mu
}

// New returns an empty mirror.
func New(cfg Config) *Mirror {
	return &Mirror{cfg: cfg, rows: make(map[string]core.Record), holds: make(map[string]time.Duration)}
}

// Versions returns the version up to which the copy is complete, and the
// version of its newest change, or a later one if only a listing showed the
// change. Both are zero before the first read.
func (m *Mirror) Versions() (asOf, change core.Version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version, m.newest
}

// Failing reports whether the last call to the store failed.
func (m *Mirror) Failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failing
}

// Snapshot returns the changes after a version, or the whole content if after is
// zero or the history does not reach back that far. No history reaches back into an
// earlier era.
func (m *Mirror) Snapshot(after core.Version) Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Snapshot{Version: m.version, Newest: m.newest, Holds: m.holdsLeft()}
	if !after.IsZero() && !after.Before(m.historyStart) {
		c.After = after
		for _, r := range m.history {
			if after.Before(r.Version) {
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

// Merge applies a newer copy from another host and reports whether it did. It
// ignores a copy that is not newer, and changes that leave a gap after this
// mirror's version. The mirror follows the store from the new version on.
func (m *Mirror) Merge(c Snapshot) bool {
	m.changedMu.Lock()
	defer m.changedMu.Unlock()
	m.mu.Lock()
	before := m.version
	changes, ok := m.apply(c.After, core.Records{Rows: c.Rows, Version: c.Version})
	if !ok {
		m.mu.Unlock()
		return false
	}
	m.newest = m.newest.Max(c.Newest)
	if before.IsZero() {
		changes = append(changes, heldRows(c)...)
	}
	now := m.cfg.Timer.Now()
	change := m.newChange(before, changes, c.Source)
	m.recordHolds(changes, func(key string) time.Duration {
		if left, ok := c.Holds[key]; ok || change.Replaced.IsZero() {
			return now + left
		}
		return now + m.cfg.Holds.Return // the other host did not have the row before
	})
	change.Holds = m.holdsLeft()
	if m.cancel != nil {
		m.cancel(nil)
	}
	m.mu.Unlock()
	if len(changes) > 0 || !change.Replaced.IsZero() {
		m.cfg.OnChange(change)
	}
	return true
}

// newChange describes a step from a version to the current one.
func (m *Mirror) newChange(before core.Version, rows []core.Record, source string) Change {
	c := Change{Rows: rows, Source: source, Version: m.version, First: before.IsZero()}
	if !before.IsZero() && before.Era < m.version.Era {
		c.Replaced = before
	}
	return c
}

// Run lists and follows the table until ctx is done. It must be called only
// once at a time.
func (m *Mirror) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		timer.Every(ctx, m.cfg.Timer, "stale", idleInterval, nil, func(context.Context) { m.endStaleWait() })
	})
	backoff := minBackoff
	for ctx.Err() == nil {
		if !m.readsStore() {
			select {
			case <-ctx.Done():
			case <-m.cfg.Timer.After(idleInterval):
			}
			continue
		}
		err := m.poll(ctx)
		if err == nil {
			backoff = minBackoff
			continue
		}
		delay := backoff/2 + rand.N(backoff/2+1)
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-ctx.Done():
		case <-m.cfg.Timer.After(delay):
		}
	}
}

// follows reports whether this host follows the store.
func (m *Mirror) follows() bool { return m.cfg.FollowsStore == nil || m.cfg.FollowsStore() }

// readsStore reports whether this host makes the next read of the store
// itself.
func (m *Mirror) readsStore() bool {
	m.mu.Lock()
	m.noteEra()
	waits := m.mustList && m.cfg.Timer.Now() < m.listAt
	isEmpty := m.version.IsZero() && !m.failing
	must := m.version.IsZero() || m.mustList || m.failing || m.isStale(maxAge)
	m.mu.Unlock()
	if isEmpty && m.awaitsCopy() {
		return false
	}
	if waits {
		return m.cfg.ListsFirst == nil || m.cfg.ListsFirst()
	}
	return must || m.follows()
}

// poll makes one call to the store and applies its response.
func (m *Mirror) poll(ctx context.Context) error {
	call, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wait := m.cfg.PollTimeout
	if m.cfg.Confirms != nil && m.cfg.Confirms() {
		wait = confirmWait
	}
	m.mu.Lock()
	start := m.cfg.Timer.Now()
	from, after, request := m.version, m.version, call
	if m.mustList {
		after = core.Version{}
	}
	if m.failing || m.isStale(maxFollowerAge) {
		// Detect an outage and its end at once.
		wait = 0
	}
	if wait == 0 && (!m.failing || start < m.failingSince+probePeriod) {
		request = m.cancelAfter(call, probeTimeout)
	}
	m.cancel, m.waiting = cancel, !after.IsZero() && wait > 0
	m.mu.Unlock()
	var got core.Records
	var err error
	if after.IsZero() {
		got, err = m.cfg.Feed.List(call, m.cfg.Table)
	} else {
		got, err = m.cfg.Feed.Follow(request, m.cfg.Table, after, wait)
	}
	if err != nil {
		return m.handleError(ctx, call, start, err)
	}
	if from.IsZero() && m.awaitsCopy() {
		m.handleReached() // the store has named its era only now
		return nil
	}
	complete := start
	switch {
	case got.Partial:
		complete = 0
	case len(got.Rows) == 0 && m.cfg.Timer.Now() >= start+wait:
		complete = start + wait // the store has answered at the end of the wait
	}
	switch {
	case got.Version.Before(from):
		return codes.New(codes.StoreDown, "mirror: store answered from version %s, which is older than version %s of the copy", got.Version, from)
	case !after.IsZero() && got.Version.Era > after.Era:
		m.handleReturn()
		return nil
	}
	m.applyResponse(after, complete, got)
	return nil
}

// cancelAfter returns a context that ends with ctx or, with the cause
// context.DeadlineExceeded, after a time.
func (m *Mirror) cancelAfter(ctx context.Context, d time.Duration) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	timeout := m.cfg.Timer.After(d)
	go func() {
		select {
		case <-ctx.Done():
			cancel(nil)
		case <-timeout:
			cancel(context.DeadlineExceeded)
		}
	}()
	return ctx
}

// handleError records that a call failed, unless the call was canceled, which
// says nothing about the store. It returns an error if Run is to back off.
func (m *Mirror) handleError(ctx, call context.Context, start time.Duration, err error) error {
	if ctx.Err() != nil || call.Err() != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if codes.Is(err, codes.StoreAbsent) {
		// The rows stay valid; the next call lists the table.
		m.mustList = true
		m.recordReached()
		m.noteEra()
		return nil
	}
	now := m.cfg.Timer.Now()
	if !m.failing {
		m.failing, m.failingSince = true, now
		m.cfg.OnStoreState(err)
	}
	// An answer that never came was due answerTimeout ago at the latest.
	m.lastOut = max(start, now-answerTimeout)
	return err
}

// handleReached handles a response of which nothing is used.
func (m *Mirror) handleReached() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordReached()
}

// recordReached records that the store has answered.
func (m *Mirror) recordReached() {
	if m.failing {
		m.failing = false
		m.cfg.OnStoreState(nil)
	}
}

// applyResponse applies the response of a call that was made at version after. The
// response holds all changes that the store had acknowledged by a time, or 0 if that
// is not known.
func (m *Mirror) applyResponse(after core.Version, complete time.Duration, got core.Records) {
	m.changedMu.Lock()
	defer m.changedMu.Unlock()
	m.mu.Lock()
	now, before := m.cfg.Timer.Now(), m.version
	m.recordReached()
	m.confirm(now, complete)
	changes, _ := m.apply(after, got)
	change := m.newChange(before, changes, "")
	until := m.holdUntil(now)
	if !change.Replaced.IsZero() {
		until = now + m.cfg.Holds.Return
	}
	m.recordHolds(changes, func(string) time.Duration { return until })
	change.Holds = m.holdsLeft()
	m.mu.Unlock()
	if len(changes) > 0 || after.IsZero() {
		m.cfg.OnChange(change)
	}
	if m.cfg.OnConfirm != nil {
		m.cfg.OnConfirm()
	}
}
