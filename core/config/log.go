// Package config keeps the configuration log: one version after the other,
// published by compare-and-set in the table, followed through peers and
// store, and never reverted.
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
	// keptEntries bounds the entries held for hosts that lag a little. A
	// host that lags more gets the whole sheet.
	keptEntries = 256
	// listLimit bounds the entries of one store read.
	listLimit = 500
	// defaultSnapshotEvery keeps the log that a host without state reads
	// short: at 81,000 changes a day a snapshot is written every 9 minutes.
	defaultSnapshotEvery = 500
	outboxSize           = 128
	// pushTimeout bounds one push to one neighbour.
	pushTimeout = 2 * time.Second
)

// Config configures a log. Neighbours and OnApply may be nil.
type Config struct {
	Table   core.Table
	Objects core.ObjectStore
	Codec   core.ConfigCodec
	Peers   core.Peers
	// PushTargets returns the hosts to which new versions are pushed.
	PushTargets func() []core.HostID
	// OnApply is called with each new state in order of version, while the
	// log is locked. It must not call the log.
	OnApply func(State)
	// AdmitChange may refuse a change for reasons beyond the sheet itself, for
	// example a drain that leaves too little capacity.
	AdmitChange func(core.Sheet, core.Change) error
	// SnapshotEvery is the number of versions between snapshots. Zero means 500.
	SnapshotEvery uint64
}

// State is one version of the configuration. Its sheet must not be modified.
type State struct {
	Version uint64
	Sheet   core.Sheet
}

// Log follows the configuration log. It is safe for concurrent use.
type Log struct {
	cfg     Config
	state   atomic.Pointer[State]
	seen    atomic.Uint64
	outbox  *rings.Ring
	mu      sync.Mutex // guards applying and the fields below
	entries []core.LogEntry
	body    []byte // encoded sheet of bodyVersion, for hosts without state
	name    string
	bodyAt  uint64
}

// New returns a log without a version and registers its handlers.
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

// Current returns the version in force, with Version 0 before the first.
func (l *Log) Current() State { return *l.state.Load() }

// ObserveVersion records that a version exists somewhere.
func (l *Log) ObserveVersion(version uint64) {
	for {
		old := l.seen.Load()
		if version <= old || l.seen.CompareAndSwap(old, version) {
			return
		}
	}
}

// IsCurrent reports whether the host may serve: it has a version that is at
// least as new as any that it has heard of.
func (l *Log) IsCurrent() bool {
	version := l.Current().Version
	return version > 0 && version >= l.seen.Load()
}

// Lag returns how many versions the host has heard of but not applied.
func (l *Log) Lag() uint64 {
	version, seen := l.Current().Version, l.seen.Load()
	if seen <= version {
		return 0
	}
	return seen - version
}

// apply folds entries that are newer than the current version. A change
// applies only to the version before it; a sheet applies to any older one.
// It returns the entries that were applied.
func (l *Log) apply(ctx context.Context, entries []core.LogEntry, body bodySource) ([]core.LogEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var applied []core.LogEntry
	for _, e := range entries {
		current := l.Current()
		if e.Version <= current.Version {
			continue
		}
		next, err := l.fold(ctx, current, e, body)
		if err != nil {
			return applied, err
		}
		l.install(e, next)
		applied = append(applied, e)
	}
	return applied, nil
}

// bodySource returns the body of a sheet object.
type bodySource func(ctx context.Context, name string) ([]byte, error)

func (l *Log) fold(ctx context.Context, current State, e core.LogEntry, body bodySource) (core.Sheet, error) {
	switch e.Kind {
	case core.EntrySheet:
		raw, err := body(ctx, e.SheetObject)
		if err != nil {
			return core.Sheet{}, err
		}
		if objectName(raw) != e.SheetObject {
			return core.Sheet{}, codes.New(codes.SheetInvalid, "config: body of version %d does not match its hash", e.Version)
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

// errGap says that entries between the current version and the next one
// are missing.
var errGap = codes.New(codes.StoreAbsent, "config: versions are missing in the log")

func (l *Log) install(e core.LogEntry, next core.Sheet) {
	s := &State{Version: e.Version, Sheet: next}
	l.state.Store(s)
	l.ObserveVersion(e.Version)
	l.entries = append(l.entries, e)
	if len(l.entries) > keptEntries {
		l.entries = append([]core.LogEntry(nil), l.entries[len(l.entries)-keptEntries:]...)
	}
	l.cfg.OnApply(*s)
}

// after returns the kept entries after a version, or the whole sheet as one
// entry if some of them are not kept.
func (l *Log) after(version uint64) ([]core.LogEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.Current()
	if current.Version <= version {
		return nil, nil
	}
	for i, e := range l.entries {
		if e.Version == version+1 {
			return append([]core.LogEntry(nil), l.entries[i:]...), nil
		}
	}
	if err := l.encodeBody(current); err != nil {
		return nil, err
	}
	return []core.LogEntry{{Version: current.Version, Kind: core.EntrySheet, SheetObject: l.name}}, nil
}

func (l *Log) encodeBody(current State) error {
	if l.bodyAt == current.Version && l.body != nil {
		return nil
	}
	body, err := l.cfg.Codec.EncodeSheet(current.Sheet)
	if err != nil {
		return err
	}
	l.body, l.name, l.bodyAt = body, objectName(body), current.Version
	return nil
}

func objectName(body []byte) string {
	sum := sha256.Sum256(body)
	return "sheet-" + hex.EncodeToString(sum[:])
}

func versionKey(version uint64) string { return fmt.Sprintf("%020d", version) }
