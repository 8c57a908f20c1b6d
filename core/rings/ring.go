// Package rings provides a bounded queue that passes items between
// goroutines. Entry hosts use it for messages from and to other hosts.
package rings

import (
	"context"
	"sync/atomic"

	"azurering/core/codes"
)

// Item is an element of a queue. Receivers switch on its concrete type.
type Item any

// Config configures a queue.
type Config struct {
	Name string // appears in errors
	// Size is the capacity in items. Zero or less means 256.
	Size int
}

// Ring is a bounded FIFO queue. It is safe for concurrent use by several
// senders and receivers.
type Ring struct {
	name    string
	items   chan Item
	dropped atomic.Uint64
}

// New returns an empty queue.
func New(cfg Config) *Ring {
	if cfg.Size <= 0 {
		cfg.Size = 256
	}
	return &Ring{name: cfg.Name, items: make(chan Item, cfg.Size)}
}

// Put adds an item, waiting while the queue is full. It returns the error of
// ctx if ctx is done first.
func (r *Ring) Put(ctx context.Context, item Item) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Offer adds an item without waiting. If the queue is full, it counts the
// item as dropped and returns an error with the code QueueFull.
func (r *Ring) Offer(item Item) error {
	select {
	case r.items <- item:
		return nil
	default:
		r.dropped.Add(1)
		return codes.New(codes.QueueFull, "rings: ring %s is full", r.name)
	}
}

// C returns the channel from which receivers take items.
func (r *Ring) C() <-chan Item { return r.items }

// Len returns the number of queued items.
func (r *Ring) Len() int { return len(r.items) }

// Dropped returns the number of items that Offer has dropped.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }
