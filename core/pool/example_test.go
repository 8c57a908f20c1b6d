package pool_test

import (
	"fmt"

	"azurering/core"
	"azurering/core/pool"
	"azurering/core/timer"
)

// A pool hands out the slots that the host holds, and none of a server that
// leaves.
func ExamplePool() {
	clock := timer.NewManual()
	p := pool.New(pool.Config{Service: "desk", Host: "entry-1", Timer: clock, Slots: func(core.ServerID) int { return 1 }})
	p.SetServers(clock.Now(), []core.Server{{Name: "desk-1"}, {Name: "desk-2"}})
	p.SetLeaving(clock.Now(), "desk-1", true)
	lease, err := p.Pick(clock.Now(), pool.Request{Workspace: "loft-a"})
	fmt.Println(lease.Server.Name, err)
	_, err = p.Pick(clock.Now(), pool.Request{Workspace: "loft-a"})
	fmt.Println(err)
	lease.Release(clock.Now(), pool.OutcomeOK)
	// Output:
	// desk-2 <nil>
	// pool: no free slot for service desk (code 5002)
}
