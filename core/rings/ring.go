// Package rings provides the bounded ring that joins two goroutines, each
// with one duty.
package rings

import (
	"context"
	"sync/atomic"

	"azurering/core/codes"
)

// Item is what a ring carries. Receivers switch on the concrete type.
type Item any

// Config configures a ring.
type Config struct {
	Name string
	// Size is the number of items the ring holds. Zero means 256.
	Size int
}

// Ring is a bounded queue. It is safe for concurrent use by several senders
// and receivers.
type Ring struct {
	name    string
	items   chan Item
	dropped atomic.Uint64
}

// New returns an empty ring.
func New(cfg Config) *Ring {
	if cfg.Size <= 0 {
		cfg.Size = 256
	}
	return &Ring{name: cfg.Name, items: make(chan Item, cfg.Size)}
}

// Put adds an item and waits while the ring is full. It returns the
// context's error if that ends first.
func (r *Ring) Put(ctx context.Context, item Item) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Offer adds an item if there is room. Otherwise it counts the item as
// dropped and returns an error with the code QueueFull.
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

// Len returns the number of items that wait.
func (r *Ring) Len() int { return len(r.items) }

// Dropped returns how many items Offer refused.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }
