// Command seat shows leader election within a failure domain on an in-memory
// table: one host acquires the lease of the domain's seat, and after it dies
// another host takes over with a higher epoch. Time is virtual.
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
		h, err := newHost(name, clock, table, net, func() []core.Host { return liveHosts(fleet) })
		if err != nil {
			return err
		}
		fleet = append(fleet, h)
	}
	var holder *host
	for second := range 60 {
		clock.Advance(time.Second)
		tickSeats(fleet, clock)
		current := actingHost(fleet)
		if current == holder {
			continue
		}
		if current == nil {
			fmt.Printf("second %d: nobody acts in the seat\n", second)
		} else {
			_, epoch := current.seat.Holder()
			fmt.Printf("second %d: %s acts in the seat, epoch %d\n", second, current.name, epoch)
		}
		if holder == nil && current != nil && !anyDead(fleet) {
			fmt.Printf("second %d: %s dies\n", second, current.name)
			current.dead = true
			net.SetDown(current.name, true)
		}
		holder = current
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

// tickSeats runs one step of each live host: it records a read of the table,
// which proves that the host's data is up to date, and ticks the host's
// seat. Table errors are ignored because the next tick retries.
func tickSeats(fleet []*host, clock core.Timer) {
	for _, h := range fleet {
		if h.dead {
			continue
		}
		h.evidence.RecordStoreRead(core.SpaceConfig, clock.Now())
		h.evidence.RecordStoreRead(core.SpaceWithdrawn, clock.Now())
		_ = h.seat.Tick(context.Background())
	}
}

func actingHost(fleet []*host) *host {
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

func liveHosts(fleet []*host) []core.Host {
	var out []core.Host
	for _, h := range fleet {
		if !h.dead {
			out = append(out, core.Host{Name: h.name, Domain: domain, State: core.HostLive})
		}
	}
	return out
}
