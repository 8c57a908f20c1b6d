package member_test

import (
	"fmt"
	"time"

	"azurering/core"
	"azurering/core/member"
)

// Two hosts find each other through the platform's list.
func ExampleGroup() {
	a := member.New(member.Config{Self: core.Host{Name: "a", Domain: "kushiro", Incarnation: 1}})
	b := member.New(member.Config{Self: core.Host{Name: "b", Domain: "nemuro", Incarnation: 1}})
	a.AddCandidates(0, []core.Host{{Name: "b", Domain: "nemuro"}})
	fmt.Println("before contact:", len(a.Live("nemuro")))

	now := time.Second
	for _, to := range a.Tick(now).Targets {
		// The owner sends the beat to the host and returns the answer.
		b.HandleHeartbeat(now, a.NewHeartbeat(now, to.Name))
		a.HandleHeartbeat(now, b.NewHeartbeat(now, "a"))
	}
	fmt.Println("after contact:", len(a.Live("nemuro")), len(b.Live("kushiro")))
	// Output:
	// before contact: 0
	// after contact: 1 1
}
