// Package config implements the replicated log of configuration versions. Each
// version is published with compare-and-set in the metadata table, and hosts
// learn new versions from their peers and from the store. A host never goes back
// to an older version. Entry hosts serve by the current version, and the control
// API publishes through this package.
package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/rings"
	"azurering/core/sheet"
)

const (
	// maxRecentEntries bounds the entries kept for hosts that lag behind. A host
	// that lags further behind gets the whole sheet.
	maxRecentEntries = 256
	// listPageSize bounds the entries of one read from the store.
	listPageSize = 500
	// defaultSnapshotEvery, in versions, bounds the log that a host without state
	// has to read: at 81,000 changes a day a snapshot is written every 9 minutes.
	defaultSnapshotEvery = 500
	outboxSize           = 128
	// pushTimeout bounds the push of one queue item to all neighbours, which runs in
	// parallel.
	pushTimeout = 2 * time.Second
)

// Config configures a Log. PushTargets, OnApply and AdmitChange may be nil.
type Config struct {
	Table   core.Table
	Objects core.ObjectStore
	Codec   core.ConfigCodec
	Peers   core.Peers
	// PushTargets returns the hosts to which new versions are pushed.
	PushTargets func() []core.HostID
	// OnApply is called with each new state in order of version. The log's lock
	// is held, so it must not call the log.
	OnApply func(State)
	// AdmitChange returns an error to reject a change for reasons beyond the sheet
	// itself, for example a drain that leaves too little capacity. It may be
	// called several times for one change.
	AdmitChange func(core.Sheet, core.Change) error
	// SnapshotEvery is the number of versions between snapshots. Zero means
	// 500.
	SnapshotEvery uint64
}

// State is a version of the configuration. Its sheet must not be modified.
type State struct {
	Version uint64
	Sheet   core.Sheet
}

// Log is a host's replica of the configuration log. It is safe for concurrent
// use.
type Log struct {
	cfg         Config
	state       atomic.Pointer[State]
	highestSeen atomic.Uint64
	outbox      *rings.Ring
	mu          sync.Mutex // serializes apply and guards the fields below
	recent      []core.LogEntry
	body        []byte // encoded sheet of bodyVersion, for hosts that lag far behind
	bodyName    string
	bodyVersion uint64
}

// New returns a log without any version and registers its message handlers at the
// peers.
func New(cfg Config) *Log {
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = defaultSnapshotEvery
	}
	if cfg.PushTargets == nil {
		cfg.PushTargets = func() []core.HostID { return nil }
	}
	if cfg.OnApply == nil {
		cfg.OnApply = func(State) {}
	}
	if cfg.AdmitChange == nil {
		cfg.AdmitChange = func(core.Sheet, core.Change) error { return nil }
	}
	l := &Log{cfg: cfg, outbox: rings.New(rings.Config{Name: "config-push", Size: outboxSize})}
	l.state.Store(&State{})
	cfg.Peers.Handle(core.KindConfigPull, l.handlePull)
	cfg.Peers.Handle(core.KindConfigPush, l.handlePush)
	cfg.Peers.Handle(core.KindObjectPull, l.handleObject)
	return l
}

// Current returns the version in force. Its Version is 0 until the first one is
// applied.
func (l *Log) Current() State { return *l.state.Load() }

// ObserveVersion records that a version exists, for example because a heartbeat named it.
func (l *Log) ObserveVersion(version uint64) {
	for {
		old := l.highestSeen.Load()
		if version <= old || l.highestSeen.CompareAndSwap(old, version) {
			return
		}
	}
}

// IsCurrent reports whether the host may serve: it has applied a version, and none
// that it has seen is newer.
func (l *Log) IsCurrent() bool {
	version := l.Current().Version
	return version > 0 && version >= l.highestSeen.Load()
}

// Lag returns the number of versions that the host has seen but not applied.
func (l *Log) Lag() uint64 {
	version, seen := l.Current().Version, l.highestSeen.Load()
	if seen <= version {
		return 0
	}
	return seen - version
}

// apply applies the entries that are newer than the current version and returns
// them. A change applies only to the version right before it; a sheet applies to
// any older version. If entries are missing it returns errGap.
func (l *Log) apply(ctx context.Context, entries []core.LogEntry, fetchBody bodyFetcher) ([]core.LogEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var applied []core.LogEntry
	for _, e := range entries {
		current := l.Current()
		if e.Version <= current.Version {
			continue
		}
		next, err := l.next(ctx, current, e, fetchBody)
		if err != nil {
			return applied, err
		}
		l.setCurrent(e, next)
		applied = append(applied, e)
	}
	return applied, nil
}

// bodyFetcher returns the body of a sheet object by its name.
type bodyFetcher func(ctx context.Context, name string) ([]byte, error)

func (l *Log) next(ctx context.Context, current State, e core.LogEntry, fetchBody bodyFetcher) (core.Sheet, error) {
	switch e.Kind {
	case core.EntrySheet:
		raw, err := fetchBody(ctx, e.SheetObject)
		if err != nil {
			return core.Sheet{}, err
		}
		if objectName(raw) != e.SheetObject {
			return core.Sheet{}, codes.New(codes.SheetInvalid, "config: sheet body of version %d does not match its hash", e.Version)
		}
		return l.cfg.Codec.DecodeSheet(raw)
	case core.EntryChange:
		if e.Version != current.Version+1 {
			return core.Sheet{}, errGap
		}
		return sheet.Apply(current.Sheet, e.Change)
	default:
		return core.Sheet{}, codes.New(codes.ChangeInvalid, "config: version %d has the unknown kind %q", e.Version, e.Kind)
	}
}

// errGap is returned if entries between the current version and the next one are
// missing.
var errGap = codes.New(codes.StoreAbsent, "config: versions are missing in the log")

func (l *Log) setCurrent(e core.LogEntry, next core.Sheet) {
	s := &State{Version: e.Version, Sheet: next}
	l.state.Store(s)
	l.ObserveVersion(e.Version)
	l.recent = append(l.recent, e)
	if len(l.recent) > maxRecentEntries {
		l.recent = append([]core.LogEntry(nil), l.recent[len(l.recent)-maxRecentEntries:]...)
	}
	l.cfg.OnApply(*s)
}

// entriesAfter returns the entries after a version. If some of them are no longer
// kept it returns a single entry with the whole sheet.
func (l *Log) entriesAfter(version uint64) ([]core.LogEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.Current()
	if current.Version <= version {
		return nil, nil
	}
	for i, e := range l.recent {
		if e.Version == version+1 {
			return append([]core.LogEntry(nil), l.recent[i:]...), nil
		}
	}
	if err := l.encodeBody(current); err != nil {
		return nil, err
	}
	return []core.LogEntry{{Version: current.Version, Kind: core.EntrySheet, SheetObject: l.bodyName}}, nil
}

func (l *Log) encodeBody(current State) error {
	if l.bodyVersion == current.Version && l.body != nil {
		return nil
	}
	body, err := l.cfg.Codec.EncodeSheet(current.Sheet)
	if err != nil {
		return err
	}
	l.body, l.bodyName, l.bodyVersion = body, objectName(body), current.Version
	return nil
}

func objectName(body []byte) string {
	sum := sha256.Sum256(body)
	return "sheet-" + hex.EncodeToString(sum[:])
}

func versionKey(version uint64) string { return fmt.Sprintf("%020d", version) }
