// Command ring shows the timer service and the bounded ring: one goroutine
// takes readings at each tick, another one uses them.
package main

import (
	"context"
	"fmt"
	"time"

	"azurering/core/rings"
	"azurering/core/timer"
)

// reading is one item of the ring.
type reading struct{ number int }

func main() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := timer.NewReal()
	ring := rings.New(rings.Config{Name: "readings", Size: 4})
	go measure(ctx, clock, ring)

	for range 3 {
		item := <-ring.C()
		if r, ok := item.(reading); ok {
			fmt.Println("reading", r.number)
		}
	}
	cancel()

	// A full ring refuses an offer instead of growing.
	small := rings.New(rings.Config{Name: "small", Size: 2})
	for n := range 3 {
		fmt.Printf("offer %d: %v\n", n, small.Offer(reading{n}))
	}
	fmt.Println("waiting:", small.Len(), "dropped:", small.Dropped())
}

func measure(ctx context.Context, clock *timer.Real, ring *rings.Ring) {
	ticks := clock.NewTicker("measure", 20*time.Millisecond)
	defer ticks.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
		if ring.Put(ctx, reading{n}) != nil {
			return
		}
	}
}
