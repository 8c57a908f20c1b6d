package quota_test

import (
	"fmt"
	"time"

	"azurering/core"
	"azurering/core/quota"
	"azurering/core/timer"
)

func ExampleLimiter() {
	clock := timer.NewManual()
	l := quota.New(quota.Config{Timer: clock, Host: "a", Slack: 20})
	l.SetWorkspaces(map[core.WorkspaceID]*core.WorkspaceConfig{
		"loft": {Workspace: core.Workspace{Name: "loft", Rate: 1000, Burst: 2000}},
	})
	l.SetPeers(quota.Peers{Complete: true}) // this host is the only one
	clock.Advance(10 * time.Second)
	for range 3 {
		wait, ok := l.Take("loft")
		fmt.Println(ok, wait)
	}
	// Output:
	// true 0s
	// true 0s
	// false 1s
}
