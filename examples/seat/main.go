// Command seat shows the lease of a domain's seat over a fake table: one
// host takes it, and after it dies another one takes over with a higher
// epoch. Time is virtual.
package main

import (
	"context"
	"fmt"
	"time"

	"azurering/core"
	"azurering/core/fakes"
	"azurering/core/seats"
	"azurering/core/timer"
)

const domain core.DomainID = "kushiro"

type host struct {
	name     core.HostID
	seat     *seats.Seat
	evidence *seats.Evidence
	dead     bool
}

func main() {
	if err := run(); err != nil {
		fmt.Println("error:", err)
	}
}

func run() error {
	clock, table, net := timer.NewManual(), &fakes.Table{}, &fakes.Network{}
	var fleet []*host
	for _, name := range []core.HostID{"entry-1", "entry-2"} {
		h, err := newHost(name, clock, table, net, func() []core.Host { return live(fleet) })
		if err != nil {
			return err
		}
		fleet = append(fleet, h)
	}
	var holder *host
	for second := range 60 {
		clock.Advance(time.Second)
		step(fleet, clock)
		now := acting(fleet)
		if now == holder {
			continue
		}
		if now == nil {
			fmt.Printf("second %d: nobody acts in the seat\n", second)
		} else {
			_, epoch := now.seat.Holder()
			fmt.Printf("second %d: %s acts in the seat, epoch %d\n", second, now.name, epoch)
		}
		if holder == nil && now != nil && !anyDead(fleet) {
			fmt.Printf("second %d: %s dies\n", second, now.name)
			now.dead = true
			net.SetDown(now.name, true)
		}
		holder = now
	}
	return nil
}

func newHost(name core.HostID, clock core.Timer, table core.Table, net *fakes.Network, hosts func() []core.Host) (*host, error) {
	domains := func() []core.DomainID { return []core.DomainID{domain} }
	h := &host{name: name, evidence: seats.NewEvidence(seats.EvidenceConfig{
		Timer: clock, Domains: domains,
		HasApplied: func(uint64, uint64) bool { return true }, AppliedState: func() (uint64, uint64) { return 1, 0 },
	})}
	seat, err := seats.New(seats.Config{
		Host: core.Host{Name: name, Domain: domain}, Table: table, Peers: net.Peer(name), Timer: clock,
		Evidence: h.evidence, Domains: domains, LocalHosts: hosts,
		RemoteHosts: func(core.DomainID) []core.Host { return nil },
	})
	h.seat = seat
	return h, err
}

// step lets each live host read the table, which is its evidence of being
// up to date, and tick its seat. An error of the table is retried by the
// next tick.
func step(fleet []*host, clock core.Timer) {
	for _, h := range fleet {
		if h.dead {
			continue
		}
		h.evidence.RecordStoreRead(core.SpaceConfig, clock.Now())
		h.evidence.RecordStoreRead(core.SpaceWithdrawn, clock.Now())
		_ = h.seat.Tick(context.Background())
	}
}

func acting(fleet []*host) *host {
	for _, h := range fleet {
		if _, ok := h.seat.Acting(); ok && !h.dead {
			return h
		}
	}
	return nil
}

func anyDead(fleet []*host) bool {
	for _, h := range fleet {
		if h.dead {
			return true
		}
	}
	return false
}

func live(fleet []*host) []core.Host {
	var out []core.Host
	for _, h := range fleet {
		if !h.dead {
			out = append(out, core.Host{Name: h.name, Domain: domain, State: core.HostLive})
		}
	}
	return out
}
