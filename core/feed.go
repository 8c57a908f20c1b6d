package core

import (
	"context"
	"time"
)

// FeedTable names a table of the platform's store that hosts follow.
type FeedTable string

// The tables that hosts follow.
const (
	FeedOperator FeedTable = "operator" // configuration and evacuations, written by operators
	FeedServers  FeedTable = "servers"  // entries of backend servers, written by themselves
	FeedHosts    FeedTable = "hosts"    // entry hosts, written by themselves
)

// Record is one row of a followed table. Version is taken from a counter of
// the whole store. Removed marks a row that was dropped.
type Record struct {
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// Records is the answer of a read: what it found as of Version.
type Records struct {
	Rows    []Record
	Version uint64
}

// Feed reads and follows tables of the platform's store. It is safe for
// concurrent use. Errors carry StoreDown (nothing was done), StoreLimit
// (turned away), StoreUnknown (a write may or may not have taken effect) or
// StoreAbsent (the history that Follow needs is gone).
type Feed interface {
	// List returns all rows of a table.
	List(ctx context.Context, t FeedTable) (Records, error)
	// Follow waits up to wait for changes after a version.
	Follow(ctx context.Context, t FeedTable, after uint64, wait time.Duration) (Records, error)
	// Put writes one row without a condition.
	Put(ctx context.Context, t FeedTable, key string, value []byte) error
}
