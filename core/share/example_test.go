package share_test

import (
	"context"
	"fmt"
	"time"

	"azurering/core"
	"azurering/core/fakes"
	"azurering/core/share"
	"azurering/core/timer"
)

// The lender of a domain lends a workspace's rate to a host of the domain.
func ExampleLender() {
	clock, net, table := timer.NewManual(), &fakes.Network{}, &fakes.Table{}
	lender := share.NewLender(share.LenderConfig{
		Domain: "kushiro", Table: table, Timer: clock,
		ActingEpoch: func() (uint64, bool) { return 1, true },
		SeatCheck: func() (core.Write, bool) {
			return core.Write{Kind: core.WriteCheck, Space: core.SpaceSeat, Key: "kushiro"}, true
		},
		DomainOf: func(core.HostID) (core.DomainID, bool) { return "kushiro", true },
	})
	lender.SetLimits(share.Limits{Version: 1, Rates: map[core.Resource]share.Limit{
		"rate/loft": {Amount: core.Amount{Rate: 200_000, Burst: 400_000}, Domains: []core.DomainID{"kushiro", "nemuro"}},
	}})
	net.Peer("kushiro-1").Handle(core.KindLoanRequest, lender.Handle)
	lender.Step(context.Background()) // creates the row

	borrower := share.NewBorrower(share.BorrowerConfig{
		Host: "kushiro-2", Domain: "kushiro", Peers: net.Peer("kushiro-2"), Timer: clock,
		SeatHolder: func(core.DomainID) (core.HostID, bool) { return "kushiro-1", true },
	})
	borrower.SetDemand("rate/loft", core.Amount{Rate: 60_000, Burst: 1000})
	borrower.Step(context.Background())
	fmt.Println("lent all that is wanted:", borrower.Held("rate/loft", clock.Now()).Rate >= 60_000)
	clock.Advance(13 * time.Second)
	fmt.Println("after 13 s:", borrower.Held("rate/loft", clock.Now()).Rate)
	// Output:
	// lent all that is wanted: true
	// after 13 s: 0
}
