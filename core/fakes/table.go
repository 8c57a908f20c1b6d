// Package fakes provides in-memory stand-ins for the interfaces of core,
// with faults that tests and the demo turn on.
package fakes

import (
	"context"
	"sort"
	"sync"

	"azurering/core"
	"azurering/core/codes"
)

// Fault says how a fake store misbehaves.
type Fault string

// The values of Fault.
const (
	FaultNone         Fault = ""
	FaultUnavailable  Fault = "down"      // every call fails, nothing is written
	FaultLostResponse Fault = "lost-ack"  // commits take effect, their answer is lost
	FaultLostRequest  Fault = "lost-send" // commits do not take effect, the caller cannot tell
	FaultThrottled    Fault = "limit"     // every call is throttled
)

type rowKey struct {
	space core.Space
	key   string
}

// Table is an in-memory core.Table. The zero value is ready to use. It is
// safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	rows   map[rowKey]core.Row
	fault  Fault
	once   bool
	reads  int
	writes int
}

// SetFault sets the fault of all later calls.
func (t *Table) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault, t.once = f, false
}

// FailNextCommit sets the fault of the next commit only.
func (t *Table) FailNextCommit(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault, t.once = f, true
}

// Counts returns the numbers of reads and of commits so far.
func (t *Table) Counts() (reads, commits int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

func (t *Table) readFault() error {
	t.reads++
	if t.once {
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
	t.writes++
	fault := t.fault
	if t.once {
		t.fault, t.once = FaultNone, false
	}
	switch fault {
	case FaultUnavailable:
		return codes.New(codes.StoreDown, "fakes: table is down")
	case FaultThrottled:
		return codes.New(codes.StoreLimit, "fakes: table is throttled")
	case FaultLostRequest:
		return codes.New(codes.StoreUnknown, "fakes: commit was lost")
	}
	if err := t.check(writes); err != nil {
		return err
	}
	t.apply(writes)
	if fault == FaultLostResponse {
		return codes.New(codes.StoreUnknown, "fakes: answer of the commit was lost")
	}
	return nil
}

func (t *Table) check(writes []core.Write) error {
	if err := checkForm(writes); err != nil {
		return err
	}
	var refused []core.Row
	for _, w := range writes {
		row := t.rows[rowKey{w.Space, w.Key}]
		if row.Version != w.ExpectVersion || (w.ExpectToken != "" && row.Token != w.ExpectToken) {
			row.Space, row.Key = w.Space, w.Key
			refused = append(refused, row)
		}
	}
	if len(refused) == 0 {
		return nil
	}
	first := refused[0]
	return codes.Wrap(&core.ConflictError{Rows: refused}, codes.StoreConflict,
		"fakes: row %s/%s has version %d or a token that the commit does not expect", first.Space, first.Key, first.Version)
}

// checkForm refuses a commit that no table could apply.
func checkForm(writes []core.Write) error {
	if len(writes) > core.MaxCommitWrites {
		return codes.New(codes.Internal, "fakes: commit of %d writes is over the limit of %d", len(writes), core.MaxCommitWrites)
	}
	seen := make(map[rowKey]bool, len(writes))
	size := 0
	for _, w := range writes {
		k := rowKey{w.Space, w.Key}
		if w.Space == "" || w.Key == "" || seen[k] {
			return codes.New(codes.Internal, "fakes: commit names row %s/%s twice or without a key", w.Space, w.Key)
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
