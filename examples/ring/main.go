// Command ring shows the timer service and the bounded queue of package
// rings: one goroutine puts a reading into the queue at each tick, and
// another one consumes the readings.
package main

import (
	"context"
	"fmt"
	"time"

	"azurering/core/rings"
	"azurering/core/timer"
)

// reading is an item of the queue.
type reading struct{ number int }

func main() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := timer.NewReal()
	ring := rings.New(rings.Config{Name: "readings", Size: 4})
	go takeReadings(ctx, clock, ring)

	for range 3 {
		item := <-ring.C()
		if r, ok := item.(reading); ok {
			fmt.Println("reading", r.number)
		}
	}
	cancel()

	// A full ring rejects an offer instead of growing.
	smallRing := rings.New(rings.Config{Name: "small", Size: 2})
	for n := range 3 {
		fmt.Printf("offer %d: %v\n", n, smallRing.Offer(reading{n}))
	}
	fmt.Println("waiting:", smallRing.Len(), "dropped:", smallRing.Dropped())
}

func takeReadings(ctx context.Context, clock *timer.Real, ring *rings.Ring) {
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
