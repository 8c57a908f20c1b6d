// Package sheet validates sheets and folds changes into them.
package sheet

import (
	"fmt"
	"net/netip"
	"strings"

	"azurering/core"
	"azurering/core/codes"
)

const (
	maxNameLength = 64
	// maxRate bounds rates and bursts, in thousandths, so that sums over all
	// workspaces stay far from overflow.
	maxRate   = 1_000_000_000_000
	maxFaults = 50
)

// checker collects the faults of one sheet.
type checker struct {
	faults  []string
	regions map[core.RegionID]bool
	domains map[core.DomainID]bool
	spaces  map[core.WorkspaceID]bool
	service map[core.ServiceID]bool
}

// Check validates a whole sheet. Its error carries SheetInvalid and lists
// up to 50 faults, one a line.
func Check(s core.Sheet) error {
	c := &checker{
		regions: make(map[core.RegionID]bool),
		domains: make(map[core.DomainID]bool),
		spaces:  make(map[core.WorkspaceID]bool),
		service: make(map[core.ServiceID]bool),
	}
	c.regionsAndLinks(s)
	c.workspaces(s)
	c.services(s)
	c.servers(s)
	c.keys(s)
	c.blocks(s)
	c.plans(s)
	return c.err()
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	shown := c.faults
	more := ""
	if len(shown) > maxFaults {
		more = fmt.Sprintf("\n(and %d more)", len(shown)-maxFaults)
		shown = shown[:maxFaults]
	}
	return codes.New(codes.SheetInvalid, "sheet: %d faults:\n%s%s", len(c.faults), strings.Join(shown, "\n"), more)
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// name checks one name and reports whether it is usable.
func (c *checker) name(what, name string) bool {
	if name == "" {
		c.fault("%s has no name", what)
		return false
	}
	if len(name) > maxNameLength {
		c.fault("%s %q is longer than %d characters", what, name, maxNameLength)
		return false
	}
	for _, r := range name {
		if (r >= 'a' && r <= 'z') || (r >= '0' && r <= '9') || r == '-' || r == '.' || r == '_' {
			continue
		}
		c.fault("%s %q has the character %q; allowed are a-z 0-9 - . _", what, name, r)
		return false
	}
	return true
}

func (c *checker) regionsAndLinks(s core.Sheet) {
	if len(s.Regions) == 0 {
		c.fault("sheet has no regions")
	}
	for _, r := range s.Regions {
		c.name("region", string(r.Name))
		if c.regions[r.Name] {
			c.fault("region %q stands twice", r.Name)
		}
		c.regions[r.Name] = true
		if len(r.Domains) == 0 {
			c.fault("region %q has no failure domains", r.Name)
		}
		for _, d := range r.Domains {
			c.name("failure domain", string(d))
			if c.domains[d] {
				c.fault("failure domain %q stands twice", d)
			}
			c.domains[d] = true
		}
	}
	for _, l := range s.Links {
		if !c.regions[l.From] || !c.regions[l.To] || l.From == l.To {
			c.fault("link %q to %q does not join two known regions", l.From, l.To)
		}
		if l.BandwidthMbps <= 0 {
			c.fault("link %q to %q: mbits is %d, must be above 0", l.From, l.To, l.BandwidthMbps)
		}
		if l.Delay < 0 {
			c.fault("link %q to %q: delay is negative", l.From, l.To)
		}
	}
}

func (c *checker) workspaces(s core.Sheet) {
	for _, w := range s.Workspaces {
		c.name("workspace", string(w.Name))
		if c.spaces[w.Name] {
			c.fault("workspace %q stands twice", w.Name)
		}
		c.spaces[w.Name] = true
		if w.Rate <= 0 || w.Rate > maxRate {
			c.fault("workspace %q: rate is %d thousandths a second, must be 1 to %d", w.Name, w.Rate, int64(maxRate))
		}
		if w.Burst < 1000 || w.Burst > maxRate {
			c.fault("workspace %q: burst is %d thousandths, must be 1000 to %d", w.Name, w.Burst, int64(maxRate))
		}
	}
}

func (c *checker) services(s core.Sheet) {
	for _, v := range s.Services {
		c.name("service", string(v.Name))
		if c.service[v.Name] {
			c.fault("service %q stands twice", v.Name)
		}
		c.service[v.Name] = true
		if v.SlowStart < 0 {
			c.fault("service %q: warm is negative", v.Name)
		}
		paths := make(map[string]bool)
		for _, r := range v.Routes {
			c.route(v, r)
			if paths[r.Path] {
				c.fault("service %q: route %q stands twice", v.Name, r.Path)
			}
			paths[r.Path] = true
		}
	}
}

func (c *checker) route(v core.Service, r core.Route) {
	if !strings.HasPrefix(r.Path, "/") || strings.Contains(r.Path, "..") {
		c.fault("service %q: route %q must start with / and have no ..", v.Name, r.Path)
	}
	if r.Timeout < 0 {
		c.fault("service %q: route %q: timeout is negative", v.Name, r.Path)
	}
	switch r.Kind {
	case core.RouteIdempotent, core.RouteOrder:
	default:
		c.fault("service %q: route %q: kind is %q, must be idempotent or order", v.Name, r.Path, r.Kind)
	}
	switch r.Class {
	case core.ClassLookup, core.ClassOrder, core.ClassDownload:
	default:
		c.fault("service %q: route %q: class is %q, must be lookup, order or download", v.Name, r.Path, r.Class)
	}
	switch r.Access {
	case core.AccessOpen:
		if !c.spaces[r.Workspace] {
			c.fault("service %q: open route %q names the unknown workspace %q", v.Name, r.Path, r.Workspace)
		}
	case core.AccessKeyed:
		if r.Workspace != "" {
			c.fault("service %q: keyed route %q must not name a workspace", v.Name, r.Path)
		}
	default:
		c.fault("service %q: route %q: access is %q, must be open or keyed", v.Name, r.Path, r.Access)
	}
}

func (c *checker) servers(s core.Sheet) {
	seen := make(map[core.ServerID]bool)
	for _, v := range s.Servers {
		c.name("backend server", string(v.Name))
		if seen[v.Name] {
			c.fault("backend server %q stands twice", v.Name)
		}
		seen[v.Name] = true
		if !c.service[v.Service] {
			c.fault("backend server %q: unknown service %q", v.Name, v.Service)
		}
		if !c.domains[v.Domain] {
			c.fault("backend server %q: unknown failure domain %q", v.Name, v.Domain)
		}
		if _, err := netip.ParseAddrPort(v.Address); err != nil {
			c.fault("backend server %q: address %q is not an IP address and port", v.Name, v.Address)
		}
		if v.Slots < 1 || v.Slots > 100_000 {
			c.fault("backend server %q: slots is %d, must be 1 to 100000", v.Name, v.Slots)
		}
		if v.MaxConns < 1 {
			c.fault("backend server %q: conns is %d, must be above 0", v.Name, v.MaxConns)
		}
	}
}

func (c *checker) keys(s core.Sheet) {
	names := make(map[core.KeyID]bool)
	hashes := make(map[[32]byte]core.KeyID)
	for _, k := range s.Keys {
		c.name("key", string(k.Name))
		if names[k.Name] {
			c.fault("key %q stands twice", k.Name)
		}
		names[k.Name] = true
		if other, ok := hashes[k.Hash]; ok {
			c.fault("keys %q and %q have the same hash", other, k.Name)
		}
		hashes[k.Hash] = k.Name
		if !c.spaces[k.Workspace] {
			c.fault("key %q: unknown workspace %q", k.Name, k.Workspace)
		}
	}
}

func (c *checker) blocks(s core.Sheet) {
	seen := make(map[netip.Prefix]bool, len(s.Blocks))
	for _, b := range s.Blocks {
		if !b.Prefix.IsValid() || b.Prefix != b.Prefix.Masked() {
			c.fault("block %q is not a masked prefix", b.Prefix)
			continue
		}
		if seen[b.Prefix] {
			c.fault("block %q stands twice", b.Prefix)
		}
		seen[b.Prefix] = true
		if !c.domains[b.Domain] {
			c.fault("block %q: unknown failure domain %q", b.Prefix, b.Domain)
		}
	}
}

func (c *checker) plans(s core.Sheet) {
	plans := make(map[string]bool)
	for _, v := range s.Shifts {
		c.shift(v)
		if plans[v.Name] {
			c.fault("shift %q stands twice", v.Name)
		}
		plans[v.Name] = true
	}
	for _, d := range s.Drains {
		c.drain(s, d)
		if plans[d.Target] {
			c.fault("drain of %q: the name is used by another shift or drain", d.Target)
		}
		plans[d.Target] = true
	}
}

func (c *checker) shift(v core.Shift) {
	c.name("shift", v.Name)
	if !c.regions[v.From] || !c.regions[v.To] || v.From == v.To {
		c.fault("shift %q: from %q to %q does not join two known regions", v.Name, v.From, v.To)
	}
	if v.SharePerMille < 1 || v.SharePerMille > 1000 {
		c.fault("shift %q: share is %d thousandths, must be 1 to 1000", v.Name, v.SharePerMille)
	}
	if v.Cap < 1 || v.Cap > maxRate {
		c.fault("shift %q: cap is %d thousandths a second, must be 1 to %d", v.Name, v.Cap, int64(maxRate))
	}
}

func (c *checker) drain(s core.Sheet, d core.Drain) {
	if d.Mode != core.ModeDrain && d.Mode != core.ModeStop {
		c.fault("drain of %q: mode is %q, must be drain or stop", d.Target, d.Mode)
	}
	if d.Timeout < 0 {
		c.fault("drain of %q: within is negative", d.Target)
	}
	switch d.Kind {
	case core.DrainServer:
		if !hasServer(s, core.ServerID(d.Target)) {
			c.fault("drain of %q: unknown backend server", d.Target)
		}
	case core.DrainDomain:
		if !c.domains[core.DomainID(d.Target)] {
			c.fault("drain of %q: unknown failure domain", d.Target)
		}
	case core.DrainHost:
		c.name("drained entry host", d.Target)
	default:
		c.fault("drain of %q: kind is %q, must be server, host or domain", d.Target, d.Kind)
	}
}

func hasServer(s core.Sheet, id core.ServerID) bool {
	for _, v := range s.Servers {
		if v.Name == id {
			return true
		}
	}
	return false
}
