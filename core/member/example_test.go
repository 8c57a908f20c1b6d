package member_test

import (
	"fmt"
	"time"

	"azurering/core"
	"azurering/core/member"
)

// Two hosts discover each other through the platform's list.
func ExampleGroup() {
	a := member.New(member.Config{Self: core.Host{Name: "a", Domain: "kushiro", Incarnation: 1}})
	b := member.New(member.Config{Self: core.Host{Name: "b", Domain: "nemuro", Incarnation: 1}})
	a.Roster(0, []core.Host{{Name: "b", Domain: "nemuro"}})
	fmt.Println("before contact:", len(a.Live("nemuro")))

	now := time.Second
	for _, to := range a.Tick(now).Beats {
		// The owner sends the heartbeat to the host and passes its answer
		// back.
		b.Receive(now, a.Beat(now, to.Name))
		a.Receive(now, b.Beat(now, "a"))
	}
	fmt.Println("after contact:", len(a.Live("nemuro")), len(b.Live("kushiro")))
	// Output:
	// before contact: 0
	// after contact: 1 1
}
