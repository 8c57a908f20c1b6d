package core

import (
	"context"
	"strconv"
)

// Space is a namespace for the keys of table rows.
type Space string

// The values of Space.
const (
	SpaceConfig    Space = "config"
	SpaceSnapshot  Space = "snapshot"
	SpaceWithdrawn Space = "withdrawn"
	SpaceSeat      Space = "seat"
	SpaceShare     Space = "share"
	SpaceOrder     Space = "order"
)

// Row is one row of the table.
type Row struct {
	Space Space
	Key   string
	// Version is the number of writes to the row. Zero means that the row
	// does not exist.
	Version uint64
	Token   string // random token of the last write
	Value   []byte
}

// WriteKind says what a Write does with its row.
type WriteKind string

// The values of WriteKind.
const (
	WritePut    WriteKind = "put"    // creates the row or replaces its value
	WriteDelete WriteKind = "delete" // removes the row
	WriteCheck  WriteKind = "check"  // checks the condition and writes nothing
)

// Write is one conditional write of a commit. Its condition is that the row's
// version is Expect, where zero means that the row does not exist. A row that
// is deleted and written again starts at version 1; ExpectToken protects such
// a newer row from a writer that knows the deleted one.
type Write struct {
	Kind          WriteKind
	Space         Space
	Key           string
	ExpectVersion uint64
	ExpectToken   string // if set, the token that the row must have
	Token         string
	Value         []byte
}

// ConflictError is the cause of a StoreConflict error of a store that reports
// the rows whose conditions failed, as DynamoDB does. Rows holds all of these
// rows as they were at the commit. A store may omit it; then the caller reads
// the rows.
type ConflictError struct{ Rows []Row }

// Error implements error.
func (e *ConflictError) Error() string {
	return "core: " + strconv.Itoa(len(e.Rows)) + " rows did not meet the conditions of the commit"
}

// MaxCommitWrites is the maximum number of writes in one commit, the limit of a
// DynamoDB transaction.
const MaxCommitWrites = 100

// The maximum sizes of a row and of a commit in bytes, as Write.Size counts
// them: the limits of a DynamoDB item and of a DynamoDB transaction.
const (
	MaxRowBytes    = 400 << 10
	MaxCommitBytes = 4 << 20
)

// rowOverhead is an upper bound for the bytes that the attribute names and the
// version add to a row.
const rowOverhead = 64

// Size returns an upper bound for the size in bytes of the row that is
// written, to be compared with MaxRowBytes and MaxCommitBytes.
func (w Write) Size() int {
	return rowOverhead + len(w.Space) + len(w.Key) + len(w.Token) + len(w.Value)
}

// Table is the platform's transactional key-value store. It is safe for
// concurrent use.
//
// Errors carry the codes StoreDown (not reached, nothing written),
// StoreLimit (throttled, nothing written), StoreConflict (a condition failed,
// nothing written) or StoreUnknown (a commit may or may not have taken
// effect; the caller reads its rows back and compares tokens).
type Table interface {
	// Get returns one row with a consistent read. A missing row has Version 0.
	Get(ctx context.Context, space Space, key string) (Row, error)
	// List returns up to limit rows of a space with keys greater than after,
	// in key order, with a consistent read.
	List(ctx context.Context, space Space, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. It may contain each row only once.
	Commit(ctx context.Context, writes []Write) error
}

// ObjectStore is the platform's object store. It is safe for concurrent use.
// Errors carry the codes StoreDown, StoreLimit, StoreUnknown or StoreAbsent.
type ObjectStore interface {
	// Put stores a body. Names are derived from the content, so a repeated
	// Put after an unknown outcome is harmless.
	Put(ctx context.Context, name string, body []byte) error
	// Get returns a body, or an error with the code StoreAbsent if there is
	// no such object.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Roster is the platform's directory of entry hosts. It may be outdated: new
// hosts can be missing and dead hosts still listed. It is safe for concurrent
// use.
type Roster interface {
	Hosts(ctx context.Context) ([]Host, error)
}
