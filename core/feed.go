package core

import (
	"context"
	"time"
)

// FeedTable names a table of the platform's store that hosts read and follow.
type FeedTable string

// The values of FeedTable.
const (
	FeedOperator FeedTable = "operator" // configuration and evacuations of failure domains, written by operators
	FeedServers  FeedTable = "servers"  // entries of backend servers, written by themselves
	FeedHosts    FeedTable = "hosts"    // entry hosts, written by themselves
)

// Record is one row of a FeedTable. Version comes from a counter that covers
// the whole store. Removed marks a row that was deleted.
type Record struct {
	Key     string
	Value   []byte
	Version Version
	Removed bool
}

// Records is the result of a read as of Version of the store.
type Records struct {
	Rows    []Record
	Version Version
	Partial bool // there are more changes than the store returned at once
}

// Feed reads and follows tables of the platform's store. It is safe for
// concurrent use. Errors carry the codes StoreDown (not reached, nothing
// written), StoreLimit (throttled), StoreUnknown (a write may or may not have
// taken effect) or StoreAbsent (the store no longer has the history that
// Follow needs).
type Feed interface {
	// List returns all rows of a table.
	List(ctx context.Context, t FeedTable) (Records, error)
	// Follow returns the changes after a version. If there are none, it
	// waits for the next one, for at most wait. A result of a later era than the
	// version does not have all the changes between them.
	Follow(ctx context.Context, t FeedTable, after Version, wait time.Duration) (Records, error)
	// Put writes one row unconditionally.
	Put(ctx context.Context, t FeedTable, key string, value []byte) error
	// Era returns the newest era of the store that a response has named, or 0. The
	// store begins a new era when it comes back from an older copy of its content:
	// acknowledged writes are lost then, and versions are given out again.
	Era() uint64
}
