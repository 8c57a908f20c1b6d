// Command config shows the configuration log over a fake platform: a sheet
// and a change reach the other host, one of two concurrent operators gets a
// conflict, and a lost answer of the store does not double a version.
package main

import (
	"context"
	"fmt"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/config"
	"azurering/core/fakes"
	"azurering/io/wire"
)

func main() {
	if err := run(); err != nil {
		fmt.Println("error:", err)
	}
}

func run() error {
	ctx := context.Background()
	table, objects, net := &fakes.Table{}, &fakes.Objects{}, &fakes.Network{}
	start := func(name, other core.HostID) *config.Log {
		return config.New(config.Config{
			Table: table, Objects: objects, Codec: wire.Codec{}, Peers: net.Peer(name),
			PushTargets: func() []core.HostID { return []core.HostID{other} },
		})
	}
	first, second := start("entry-1", "entry-2"), start("entry-2", "entry-1")
	sheet := core.Sheet{
		Name:       "association",
		Regions:    []core.Region{{Name: "doto", Domains: []core.DomainID{"kushiro", "nemuro"}}},
		Workspaces: []core.Workspace{{Name: "loft-a", Rate: 10_000, Burst: 20_000}},
	}
	if _, err := first.PublishSheet(ctx, sheet, 0); err != nil {
		return err
	}
	first.PushPending(ctx)
	fmt.Println("versions after the sheet:", first.Current().Version, second.Current().Version)

	rate := core.Change{Kind: core.ChangeRate, Workspace: core.Workspace{Name: "loft-a", Rate: 20_000, Burst: 40_000}}
	table.FailNextCommit(fakes.FaultLostResponse)
	result, err := second.PublishChange(ctx, rate, 1)
	fmt.Println("change whose answer was lost: version", result.Version, "error:", err)

	_, err = first.PublishChange(ctx, rate, 1)
	fmt.Println("another operator on version 1 gets a conflict:", codes.Is(err, codes.VersionConflict))

	table.SetFault(fakes.FaultUnavailable)
	_, err = first.PublishChange(ctx, rate, 0)
	fmt.Println("no change while the store is down:", codes.Is(err, codes.StoreDown))

	third := start("entry-3", "entry-1")
	if err := third.Pull(ctx, "entry-2"); err != nil {
		return err
	}
	fmt.Println("a new host pulls version", third.Current().Version, "from a peer meanwhile")
	fmt.Println("rate in force:", third.Current().Sheet.Workspaces[0].Rate/1000, "requests per second")
	return nil
}
