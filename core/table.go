package core

import (
	"context"
	"strconv"
)

// Space groups the rows of one kind in the table.
type Space string

// The spaces of the table.
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
	// Version counts the writes of the row, from 1. Zero means that the row
	// does not exist.
	Version uint64
	Token   string // random token of the last write
	Value   []byte
}

// WriteKind says what a Write does with its row.
type WriteKind string

// The values of WriteKind.
const (
	WritePut    WriteKind = "put"    // replaces the value
	WriteDelete WriteKind = "delete" // removes the row
	WriteCheck  WriteKind = "check"  // only checks the condition
)

// Write is one conditional write of a commit: it takes effect only if the
// row's version is Expect (zero: the row does not exist). A row that was
// deleted and written again starts at version 1, so a writer that must not
// touch the newer row also sets ExpectToken.
type Write struct {
	Kind          WriteKind
	Space         Space
	Key           string
	ExpectVersion uint64
	ExpectToken   string // if set, the token that the row must have
	Token         string
	Value         []byte
}

// ConflictError is the cause of a StoreConflict from a store that tells
// which rows refused the commit, as DynamoDB does. Rows holds all of them
// as they were then. It is optional: without it the caller reads the rows.
type ConflictError struct{ Rows []Row }

// Error implements error.
func (e *ConflictError) Error() string {
	return "core: " + strconv.Itoa(len(e.Rows)) + " rows refused the commit"
}

// MaxCommitWrites is the largest number of writes in one commit, the limit of
// a DynamoDB transaction.
const MaxCommitWrites = 100

// The largest row and the largest commit in bytes, by Write.Size: the limits
// of a DynamoDB item and of a DynamoDB transaction.
const (
	MaxRowBytes    = 400 << 10
	MaxCommitBytes = 4 << 20
)

// rowOverhead is an upper bound of what names and version of a row add to
// its size.
const rowOverhead = 64

// Size returns the bytes of the row that a write puts, as far as limits are
// concerned.
func (w Write) Size() int {
	return rowOverhead + len(w.Space) + len(w.Key) + len(w.Token) + len(w.Value)
}

// Table is the platform's transactional table service. It is safe for
// concurrent use.
//
// Errors carry the codes StoreDown (not reached, nothing written),
// StoreLimit (throttled, nothing written), StoreConflict (a condition did
// not hold, nothing written) or StoreUnknown (a commit may or may not have
// taken effect; the caller reads its rows back and compares tokens).
type Table interface {
	// Get returns one row by a consistent read. A missing row has Version 0.
	Get(ctx context.Context, space Space, key string) (Row, error)
	// List returns up to limit rows of a space with keys greater than after,
	// in key order, by a consistent read.
	List(ctx context.Context, space Space, after string, limit int) ([]Row, error)
	// Commit applies all writes or none of them. A row may occur only once.
	Commit(ctx context.Context, writes []Write) error
}

// ObjectStore is the platform's object store. It is safe for concurrent use.
// Errors carry the codes StoreDown, StoreLimit, StoreUnknown or StoreAbsent.
type ObjectStore interface {
	// Put stores a body. Names are derived from the content, so a repeated
	// Put after an unknown outcome is harmless.
	Put(ctx context.Context, name string, body []byte) error
	// Get returns a body, or StoreAbsent.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Roster is the platform's list of entry hosts. It lags: it may miss new
// hosts and still name dead ones. It is safe for concurrent use.
type Roster interface {
	Hosts(ctx context.Context) ([]Host, error)
}
