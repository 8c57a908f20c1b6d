// Package drain implements planned drains and stops of servers, entry hosts and
// failure domains, and shifts of traffic between regions: the checks before one
// starts, the tracking of its progress, and the shutdown sequence of an entry
// host. Progress is derived from the configuration and the hosts' counts of work
// in flight, so nothing is stored and any entry host can report it.
package drain

import (
	"slices"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// Fleet is the input of CheckDrain and CheckShift.
type Fleet struct {
	Sheet *core.Sheet
	// Hosts are the known entry hosts. If it is empty, every domain counts as
	// having a live host.
	Hosts []core.Host
	// BusySlots is the number of slots in use per service, summed over all domains.
	BusySlots map[core.ServiceID]float64
	// CapacityFactor is the minimum ratio of remaining capacity to load. Zero means 1.
	CapacityFactor float64
}

// maxWithin bounds the time bound of a drain.
const maxWithin = 24 * time.Hour

// CheckDrain returns an error with ChangeInvalid if a drain or stop must not start: its
// fields are invalid, its target is unknown or already drained in this mode, it
// would remove the last entry host or the last servers that a service's requests
// can reach, or it would leave a service less capacity than its load.
func CheckDrain(s Fleet, d core.Drain) error {
	if d.Timeout < 0 || d.Timeout > maxWithin {
		return codes.New(codes.ChangeInvalid, "drain: time bound is %s, must be between 0 and %s", d.Timeout, maxWithin)
	}
	if d.Mode != core.ModeDrain && d.Mode != core.ModeStop {
		return codes.New(codes.ChangeInvalid, "drain: unknown mode %q; must be drain or stop", d.Mode)
	}
	if err := checkTarget(s, d); err != nil {
		return err
	}
	for _, old := range s.Sheet.Drains {
		if old.Kind == d.Kind && old.Target == d.Target && old.Mode == d.Mode {
			return codes.New(codes.ChangeInvalid, "drain: %s %s already has a drain with mode %s", d.Kind, d.Target, d.Mode)
		}
	}
	after := *s.Sheet
	after.Drains = append(slices.Clone(s.Sheet.Drains), d)
	if len(s.Hosts) > 0 && len(servingDomains(s.Hosts, s.Sheet)) > 0 && len(servingDomains(s.Hosts, &after)) == 0 {
		return codes.New(codes.ChangeInvalid, "drain: draining %s %s leaves no entry host", d.Kind, d.Target)
	}
	return checkCapacity(s, &after, d)
}

func checkTarget(s Fleet, d core.Drain) error {
	isKnown := false
	switch d.Kind {
	case core.DrainServer:
		isKnown = slices.ContainsFunc(s.Sheet.Servers, func(x core.Server) bool { return string(x.Name) == d.Target })
	case core.DrainHost:
		isKnown = slices.ContainsFunc(s.Hosts, func(h core.Host) bool { return string(h.Name) == d.Target })
	case core.DrainDomain:
		isKnown = slices.ContainsFunc(s.Sheet.Regions, func(r core.Region) bool {
			return slices.Contains(r.Domains, core.DomainID(d.Target))
		})
	default:
		return codes.New(codes.ChangeInvalid, "drain: unknown kind %q; must be server, host or domain", d.Kind)
	}
	if !isKnown {
		return codes.New(codes.ChangeInvalid, "drain: no %s named %q", d.Kind, d.Target)
	}
	return nil
}

// checkCapacity compares the remaining capacity of each service with its load.
// Services that the drain does not affect may already be short of capacity.
func checkCapacity(s Fleet, after *core.Sheet, d core.Drain) error {
	before, left := reachableSlots(s.Hosts, s.Sheet), reachableSlots(s.Hosts, after)
	spare := s.CapacityFactor
	if spare <= 0 {
		spare = 1
	}
	for _, service := range s.Sheet.Services {
		name := service.Name
		if left[name] >= before[name] {
			continue
		}
		if left[name] == 0 {
			return codes.New(codes.ChangeInvalid, "drain: %s %s is the last that can serve %s", d.Kind, d.Target, name)
		}
		if required := s.BusySlots[name] * spare; float64(left[name]) < required {
			return codes.New(codes.ChangeInvalid, "drain: without %s %s, service %s has %d slots and needs %.0f", d.Kind, d.Target, name, left[name], required)
		}
	}
	return nil
}

// servingDomains returns the domains with a live entry host that is not drained.
func servingDomains(hosts []core.Host, sheet *core.Sheet) map[core.DomainID]bool {
	out := make(map[core.DomainID]bool)
	for _, h := range hosts {
		if h.State != core.HostLive && h.State != "" || isDrained(sheet, core.DrainHost, string(h.Name)) {
			continue
		}
		if !isDrained(sheet, core.DrainDomain, string(h.Domain)) {
			out[h.Domain] = true
		}
	}
	return out
}

// reachableSlots returns, per service, the slots of servers that are not drained
// and in a domain with a serving entry host.
func reachableSlots(hosts []core.Host, sheet *core.Sheet) map[core.ServiceID]int {
	serving := servingDomains(hosts, sheet)
	out := make(map[core.ServiceID]int)
	for _, server := range sheet.Servers {
		if len(hosts) > 0 && !serving[server.Domain] {
			continue
		}
		if isDrained(sheet, core.DrainServer, string(server.Name)) || isDrained(sheet, core.DrainDomain, string(server.Domain)) {
			continue
		}
		out[server.Service] += server.Slots
	}
	return out
}

func isDrained(sheet *core.Sheet, kind core.DrainKind, target string) bool {
	return slices.ContainsFunc(sheet.Drains, func(d core.Drain) bool { return d.Kind == kind && d.Target == target })
}

// CheckShift returns an error with ChangeInvalid if a shift must not start: a
// region is unknown or both are equal, the share or cap is out of range, the name
// is empty or in use, the shares of the source region sum to more than 1000, or
// the target region cannot serve a service that the source region serves.
func CheckShift(s Fleet, shift core.Shift) error {
	if shift.Name == "" || slices.ContainsFunc(s.Sheet.Shifts, func(other core.Shift) bool { return other.Name == shift.Name }) {
		return codes.New(codes.ChangeInvalid, "drain: shift name %q is empty or in use", shift.Name)
	}
	from, to := findRegion(s.Sheet, shift.From), findRegion(s.Sheet, shift.To)
	if from == nil || to == nil || shift.From == shift.To {
		return codes.New(codes.ChangeInvalid, "drain: shift %s must name two regions of the sheet, not %q and %q", shift.Name, shift.From, shift.To)
	}
	if shift.SharePerMille < 1 || shift.SharePerMille > 1000 || shift.Cap < 1 {
		return codes.New(codes.ChangeInvalid, "drain: shift %s has share %d and cap %d; share must be 1 to 1000 and cap at least 1", shift.Name, shift.SharePerMille, shift.Cap)
	}
	total := shift.SharePerMille
	for _, other := range s.Sheet.Shifts {
		if other.From == shift.From {
			total += other.SharePerMille
		}
	}
	if total > 1000 {
		return codes.New(codes.ChangeInvalid, "drain: shifts from %s would move %d of 1000 parts of its client blocks", shift.From, total)
	}
	fromSlots, toSlots := reachableSlots(s.Hosts, restrictToRegion(s.Sheet, from)), reachableSlots(s.Hosts, restrictToRegion(s.Sheet, to))
	for _, service := range s.Sheet.Services {
		if fromSlots[service.Name] > 0 && toSlots[service.Name] == 0 {
			return codes.New(codes.ChangeInvalid, "drain: region %s cannot serve %s", shift.To, service.Name)
		}
	}
	return nil
}

func findRegion(sheet *core.Sheet, name core.RegionID) *core.Region {
	for i := range sheet.Regions {
		if sheet.Regions[i].Name == name {
			return &sheet.Regions[i]
		}
	}
	return nil
}

// restrictToRegion returns a copy of the sheet with only the servers of a region.
func restrictToRegion(sheet *core.Sheet, r *core.Region) *core.Sheet {
	out := *sheet
	out.Servers = nil
	for _, server := range sheet.Servers {
		if slices.Contains(r.Domains, server.Domain) {
			out.Servers = append(out.Servers, server)
		}
	}
	return &out
}
