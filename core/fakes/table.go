// Package fakes provides in-memory implementations of the store and peer
// interfaces of core. Tests, benchmarks and examples use it to inject faults.
package fakes

import (
	"context"
	"sort"
	"sync"

	"azurering/core"
	"azurering/core/codes"
)

// Fault is the way in which calls of a fake store fail.
type Fault string

// The values of Fault.
const (
	FaultNone         Fault = ""
	FaultUnavailable  Fault = "down"      // every call fails, nothing is written
	FaultLostResponse Fault = "lost-ack"  // writes take effect, but their answer is lost
	FaultLostRequest  Fault = "lost-send" // writes do not take effect, and the caller cannot tell
	FaultThrottled    Fault = "limit"     // every call is throttled
)

type rowKey struct {
	space core.Space
	key   string
}

// Table is an in-memory core.Table. The zero value is ready to use. It is
// safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	rows     map[rowKey]core.Row
	fault    Fault
	nextOnly bool
	reads    int
	commits  int
}

// SetFault sets the fault of all later calls.
func (t *Table) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault, t.nextOnly = f, false
}

// FailNextCommit sets the fault of the next commit only. It replaces a fault
// set by SetFault; after that commit there is none.
func (t *Table) FailNextCommit(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault, t.nextOnly = f, true
}

// Counts returns the numbers of read calls and of commits so far, failed ones
// included.
func (t *Table) Counts() (reads, commits int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.commits
}

// readFault counts a read and returns the error of the current fault.
func (t *Table) readFault() error {
	t.reads++
	if t.nextOnly {
		return nil
	}
	switch t.fault {
	case FaultUnavailable:
		return codes.New(codes.StoreDown, "fakes: table is down")
	case FaultThrottled:
		return codes.New(codes.StoreLimit, "fakes: table is throttled")
	default:
		return nil
	}
}

// Get implements core.Table.
func (t *Table) Get(_ context.Context, space core.Space, key string) (core.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.readFault(); err != nil {
		return core.Row{}, err
	}
	row, ok := t.rows[rowKey{space, key}]
	if !ok {
		return core.Row{Space: space, Key: key}, nil
	}
	return row, nil
}

// List implements core.Table.
func (t *Table) List(_ context.Context, space core.Space, after string, limit int) ([]core.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.readFault(); err != nil {
		return nil, err
	}
	var rows []core.Row
	for k, row := range t.rows {
		if k.space == space && k.key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

// Commit implements core.Table.
func (t *Table) Commit(_ context.Context, writes []core.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	fault := t.fault
	if t.nextOnly {
		t.fault, t.nextOnly = FaultNone, false
	}
	switch fault {
	case FaultUnavailable:
		return codes.New(codes.StoreDown, "fakes: table is down")
	case FaultThrottled:
		return codes.New(codes.StoreLimit, "fakes: table is throttled")
	case FaultLostRequest:
		return codes.New(codes.StoreUnknown, "fakes: commit was lost")
	}
	if err := t.checkConditions(writes); err != nil {
		return err
	}
	t.apply(writes)
	if fault == FaultLostResponse {
		return codes.New(codes.StoreUnknown, "fakes: answer of the commit was lost")
	}
	return nil
}

func (t *Table) checkConditions(writes []core.Write) error {
	if err := validate(writes); err != nil {
		return err
	}
	var conflicts []core.Row
	for _, w := range writes {
		row := t.rows[rowKey{w.Space, w.Key}]
		if row.Version != w.ExpectVersion || (w.ExpectToken != "" && row.Token != w.ExpectToken) {
			row.Space, row.Key = w.Space, w.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) == 0 {
		return nil
	}
	first := conflicts[0]
	return codes.Wrap(&core.ConflictError{Rows: conflicts}, codes.StoreConflict,
		"fakes: row %s/%s has version %d or a token that the commit did not expect", first.Space, first.Key, first.Version)
}

// validate returns an error for a commit that exceeds a limit or is malformed,
// whatever the rows are.
func validate(writes []core.Write) error {
	if len(writes) > core.MaxCommitWrites {
		return codes.New(codes.Internal, "fakes: commit of %d writes exceeds the limit of %d", len(writes), core.MaxCommitWrites)
	}
	seen := make(map[rowKey]bool, len(writes))
	size := 0
	for _, w := range writes {
		k := rowKey{w.Space, w.Key}
		if w.Space == "" || w.Key == "" || seen[k] {
			return codes.New(codes.Internal, "fakes: commit contains row %s/%s twice or without a space or key", w.Space, w.Key)
		}
		seen[k] = true
		if w.Kind != core.WritePut && w.Kind != core.WriteDelete && w.Kind != core.WriteCheck {
			return codes.New(codes.Internal, "fakes: unknown kind of write %q", w.Kind)
		}
		size += w.Size()
		if w.Size() > core.MaxRowBytes || size > core.MaxCommitBytes {
			return codes.New(codes.Internal, "fakes: row %s/%s makes the commit too large", w.Space, w.Key)
		}
	}
	return nil
}

func (t *Table) apply(writes []core.Write) {
	if t.rows == nil {
		t.rows = make(map[rowKey]core.Row)
	}
	for _, w := range writes {
		k := rowKey{w.Space, w.Key}
		switch w.Kind {
		case core.WriteDelete:
			delete(t.rows, k)
		case core.WritePut:
			value := append([]byte(nil), w.Value...)
			t.rows[k] = core.Row{Space: w.Space, Key: w.Key, Version: w.ExpectVersion + 1, Token: w.Token, Value: value}
		}
	}
}
