package drain_test

import (
	"fmt"
	"time"

	"azurering/core"
	"azurering/core/drain"
)

// A stopping host leaves the look-ups, waits for cached answers to expire,
// finishes its requests and ends.
func ExampleStop() {
	requests := int64(2)
	s := drain.NewShutdown(drain.ShutdownConfig{Hooks: drain.Hooks{
		InFlight: func() int64 { return requests },
		End:      func() { fmt.Println("end") },
	}})
	s.Begin(0, core.Drain{Kind: core.DrainHost, Target: "entry-1", Mode: core.ModeStop})
	fmt.Println(s.Tick(10 * time.Second).Phase)
	r := s.Tick(40 * time.Second)
	fmt.Println(r.Phase, r.InFlight)
	requests = 0
	fmt.Println(s.Tick(41 * time.Second).Phase)
	// Output:
	// announced
	// finishing 2
	// end
	// ended
}

// A tracker adds up what the hosts count.
func ExampleTracker() {
	sheet := &core.Sheet{Drains: []core.Drain{{Kind: core.DrainServer, Target: "desk-1", Mode: core.ModeDrain}}}
	hosts := []core.Host{{Name: "a", State: core.HostLive}, {Name: "b", State: core.HostLive}}
	t := drain.NewTracker()
	t.Apply(0, sheet)
	t.Record(0, []drain.Count{{Host: "a", Kind: core.DrainServer, Target: "desk-1", InFlight: 3}})
	p := t.Drains(10*time.Second, hosts)[0]
	fmt.Println(p.Phase, p.InFlight, p.MissingHosts, p.TimeLeft)
	// Output: emptying 3 [b] 50s
}
