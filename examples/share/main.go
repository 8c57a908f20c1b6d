// Command share shows how two failure domains share the rate of a workspace
// over a fake table, and how hosts get loans of it. One domain has most of the
// demand: its host borrows from the other domain at once, and the shares
// follow. Time is virtual.
package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"azurering/core"
	"azurering/core/fakes"
	"azurering/core/share"
	"azurering/core/timer"
)

const resource core.Resource = "rate/loft-a"

var domains = []core.DomainID{"kushiro", "nemuro"}

func others(own core.DomainID) []core.DomainID {
	return slices.DeleteFunc(slices.Clone(domains), func(d core.DomainID) bool { return d == own })
}

type node struct {
	domain core.DomainID
	keeper *share.Lender
	holder *share.Borrower
}

func main() {
	ctx := context.Background()
	clock, table, net := timer.NewManual(), &fakes.Table{}, &fakes.Network{}
	limit := core.Amount{Rate: 100_000, Burst: 200_000}
	limits := share.Limits{Version: 1, Rates: map[core.Resource]share.Limit{
		resource: {Amount: limit, Domains: domains},
	}}
	nodes := []*node{newNode("kushiro", clock, table, net), newNode("nemuro", clock, table, net)}
	for _, n := range nodes {
		n.keeper.SetLimits(limits)
	}
	nodes[0].holder.SetDemand(resource, core.Amount{Rate: 90_000, Burst: 180_000})
	nodes[1].holder.SetDemand(resource, core.Amount{Rate: 5_000, Burst: 10_000})
	for second := 1; second <= 120; second++ {
		clock.Advance(time.Second)
		for _, n := range nodes {
			n.keeper.Step(ctx)
			n.holder.Step(ctx)
			n.holder.BorrowForeign(ctx)
		}
		if second%40 != 0 && second != 4 {
			continue
		}
		fmt.Printf("second %d\n", second)
		lent := core.Amount{}
		for _, n := range nodes {
			own, _ := n.keeper.Usable(resource)
			loan := n.holder.Held(resource, clock.Now())
			fmt.Printf("  %s: share %d/s, loan of its host %d/s\n", n.domain, own.Rate/1000, loan.Rate/1000)
			lent = lent.Add(loan)
		}
		fmt.Println("  all loans fit the limit:", lent.Fits(limit))
	}
}

// newNode returns the only host of a domain, which holds its seat.
func newNode(d core.DomainID, clock core.Timer, table core.Table, net *fakes.Network) *node {
	host := core.HostID(d + "-1")
	peer := net.Peer(host)
	n := &node{domain: d}
	n.keeper = share.NewLender(share.LenderConfig{
		Domain: d, Table: table, Timer: clock,
		ActingEpoch: func() (uint64, bool) { return 1, true },
		// No seat row is written here; each commit checks that this stays so.
		SeatCheck: func() (core.Write, bool) {
			return core.Write{Kind: core.WriteCheck, Space: core.SpaceSeat, Key: string(d)}, true
		},
		DomainOf: func(h core.HostID) (core.DomainID, bool) {
			return core.DomainID(strings.TrimSuffix(string(h), "-1")), true
		},
	})
	peer.Handle(core.KindLoanRequest, n.keeper.Handle)
	n.holder = share.NewBorrower(share.BorrowerConfig{
		Host: host, Incarnation: 1, Domain: d, Peers: peer, Timer: clock,
		ForeignDomains: func() []core.DomainID { return others(d) },
		SeatHolder:     func(other core.DomainID) (core.HostID, bool) { return core.HostID(other + "-1"), true },
	})
	return n
}
