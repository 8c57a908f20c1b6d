// Package drain decides about planned drains, shifts and stops. Their state
// is derived from the configuration and from running counts, so any host
// can take over the report, and nothing has to be stored.
package drain

import (
	"slices"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// Fleet is what the checks look at.
type Fleet struct {
	Sheet *core.Sheet
	// Hosts are the known entry hosts. Without any, every domain counts as
	// having some.
	Hosts []core.Host
	// BusySlots is the number of slots in use per service over all domains.
	BusySlots map[core.ServiceID]float64
	// CapacityFactor is the factor by which the capacity left must exceed the load. It
	// is 1 by default.
	CapacityFactor float64
}

// maxWithin bounds the time that an operator can give a drain.
const maxWithin = 24 * time.Hour

// CheckDrain decides whether a drain or a stop may start. It refuses with
// ChangeInvalid what is unknown or already drained, what would take away the
// last domain able to serve a service or the last entry host, and what
// leaves less capacity than the current load.
func CheckDrain(s Fleet, d core.Drain) error {
	if d.Timeout < 0 || d.Timeout > maxWithin {
		return codes.New(codes.ChangeInvalid, "drain: time bound %s is not between 0 and %s", d.Timeout, maxWithin)
	}
	if d.Mode != core.ModeDrain && d.Mode != core.ModeStop {
		return codes.New(codes.ChangeInvalid, "drain: unknown mode %q", d.Mode)
	}
	if err := known(s, d); err != nil {
		return err
	}
	for _, old := range s.Sheet.Drains {
		if old.Kind == d.Kind && old.Target == d.Target && old.Mode == d.Mode {
			return codes.New(codes.ChangeInvalid, "drain: %s %s already has a %s", d.Kind, d.Target, d.Mode)
		}
	}
	after := *s.Sheet
	after.Drains = append(slices.Clone(s.Sheet.Drains), d)
	if len(s.Hosts) > 0 && len(reachable(s.Hosts, s.Sheet)) > 0 && len(reachable(s.Hosts, &after)) == 0 {
		return codes.New(codes.ChangeInvalid, "drain: %s %s leaves no entry host", d.Kind, d.Target)
	}
	return enough(s, &after, d)
}

func known(s Fleet, d core.Drain) error {
	found := false
	switch d.Kind {
	case core.DrainServer:
		found = slices.ContainsFunc(s.Sheet.Servers, func(x core.Server) bool { return string(x.Name) == d.Target })
	case core.DrainHost:
		found = slices.ContainsFunc(s.Hosts, func(h core.Host) bool { return string(h.Name) == d.Target })
	case core.DrainDomain:
		found = slices.ContainsFunc(s.Sheet.Regions, func(r core.Region) bool {
			return slices.Contains(r.Domains, core.DomainID(d.Target))
		})
	default:
		return codes.New(codes.ChangeInvalid, "drain: unknown kind %q", d.Kind)
	}
	if !found {
		return codes.New(codes.ChangeInvalid, "drain: no %s %q", d.Kind, d.Target)
	}
	return nil
}

// enough compares what is left of each service with its load. Services that
// the drain does not touch may be short already.
func enough(s Fleet, after *core.Sheet, d core.Drain) error {
	before, left := capacity(s.Hosts, s.Sheet), capacity(s.Hosts, after)
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
		if need := s.BusySlots[name] * spare; float64(left[name]) < need {
			return codes.New(codes.ChangeInvalid, "drain: without %s %s, %s has %d slots and needs %.0f", d.Kind, d.Target, name, left[name], need)
		}
	}
	return nil
}

// reachable returns the domains with an entry host that takes requests.
func reachable(hosts []core.Host, sheet *core.Sheet) map[core.DomainID]bool {
	out := make(map[core.DomainID]bool)
	for _, h := range hosts {
		if h.State != core.HostLive && h.State != "" || drained(sheet, core.DrainHost, string(h.Name)) {
			continue
		}
		if !drained(sheet, core.DrainDomain, string(h.Domain)) {
			out[h.Domain] = true
		}
	}
	return out
}

// capacity returns the slots per service that requests can reach.
func capacity(hosts []core.Host, sheet *core.Sheet) map[core.ServiceID]int {
	open := reachable(hosts, sheet)
	out := make(map[core.ServiceID]int)
	for _, server := range sheet.Servers {
		if len(hosts) > 0 && !open[server.Domain] {
			continue
		}
		if drained(sheet, core.DrainServer, string(server.Name)) || drained(sheet, core.DrainDomain, string(server.Domain)) {
			continue
		}
		out[server.Service] += server.Slots
	}
	return out
}

func drained(sheet *core.Sheet, kind core.DrainKind, target string) bool {
	return slices.ContainsFunc(sheet.Drains, func(d core.Drain) bool { return d.Kind == kind && d.Target == target })
}

// CheckShift decides whether a shift may start. It refuses with
// ChangeInvalid unknown or equal regions, a share or cap out of range, a
// name in use, shares of one region above the whole, and a target region
// that cannot serve a service which the region left can serve.
func CheckShift(s Fleet, sh core.Shift) error {
	if sh.Name == "" || slices.ContainsFunc(s.Sheet.Shifts, func(o core.Shift) bool { return o.Name == sh.Name }) {
		return codes.New(codes.ChangeInvalid, "drain: shift name %q is empty or in use", sh.Name)
	}
	from, to := regionOf(s.Sheet, sh.From), regionOf(s.Sheet, sh.To)
	if from == nil || to == nil || sh.From == sh.To {
		return codes.New(codes.ChangeInvalid, "drain: shift %s needs two regions of the sheet, not %q and %q", sh.Name, sh.From, sh.To)
	}
	if sh.SharePerMille < 1 || sh.SharePerMille > 1000 || sh.Cap < 1 {
		return codes.New(codes.ChangeInvalid, "drain: shift %s has share %d of 1000 and cap %d", sh.Name, sh.SharePerMille, sh.Cap)
	}
	sum := sh.SharePerMille
	for _, o := range s.Sheet.Shifts {
		if o.From == sh.From {
			sum += o.SharePerMille
		}
	}
	if sum > 1000 {
		return codes.New(codes.ChangeInvalid, "drain: shifts from %s would move %d of 1000 blocks", sh.From, sum)
	}
	here, there := capacity(s.Hosts, within(s.Sheet, from)), capacity(s.Hosts, within(s.Sheet, to))
	for _, service := range s.Sheet.Services {
		if here[service.Name] > 0 && there[service.Name] == 0 {
			return codes.New(codes.ChangeInvalid, "drain: region %s cannot serve %s", sh.To, service.Name)
		}
	}
	return nil
}

func regionOf(sheet *core.Sheet, name core.RegionID) *core.Region {
	for i := range sheet.Regions {
		if sheet.Regions[i].Name == name {
			return &sheet.Regions[i]
		}
	}
	return nil
}

// within returns the sheet with only the servers of a region.
func within(sheet *core.Sheet, r *core.Region) *core.Sheet {
	out := *sheet
	out.Servers = nil
	for _, server := range sheet.Servers {
		if slices.Contains(r.Domains, server.Domain) {
			out.Servers = append(out.Servers, server)
		}
	}
	return &out
}
