// Package sheet validates configuration sheets and applies changes to them. The
// configuration log uses it before a version is published and when one is
// applied, and the command line to check a sheet.
package sheet

import (
	"fmt"
	"net/netip"
	"strings"

	"azurering/core"
	"azurering/core/codes"
)

const (
	maxNameLength = 64 // bytes
	// maxRate bounds rates and bursts, in thousandths of a request (per second),
	// so that sums over all workspaces do not overflow.
	maxRate           = 1_000_000_000_000
	maxListedProblems = 50
)

// checker collects the problems of a sheet. The known names are filled in while
// the sheet is checked, so declarations come before their uses.
type checker struct {
	problems        []string
	knownRegions    map[core.RegionID]bool
	knownDomains    map[core.DomainID]bool
	knownWorkspaces map[core.WorkspaceID]bool
	knownServices   map[core.ServiceID]bool
}

// Check validates a whole sheet. Its error carries SheetInvalid and lists up to
// 50 problems, one per line.
func Check(s core.Sheet) error {
	c := &checker{
		knownRegions:    make(map[core.RegionID]bool),
		knownDomains:    make(map[core.DomainID]bool),
		knownWorkspaces: make(map[core.WorkspaceID]bool),
		knownServices:   make(map[core.ServiceID]bool),
	}
	c.checkRegionsAndLinks(s)
	c.checkWorkspaces(s)
	c.checkServices(s)
	c.checkServers(s)
	c.checkKeys(s)
	c.checkBlocks(s)
	c.checkPlans(s)
	return c.err()
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	shown := c.problems
	more := ""
	if len(shown) > maxListedProblems {
		more = fmt.Sprintf("\n(and %d more)", len(shown)-maxListedProblems)
		shown = shown[:maxListedProblems]
	}
	return codes.New(codes.SheetInvalid, "sheet: %d problems:\n%s%s", len(c.problems), strings.Join(shown, "\n"), more)
}

func (c *checker) report(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// checkName checks a name and reports whether it is valid.
func (c *checker) checkName(kind, name string) bool {
	if name == "" {
		c.report("%s has no name", kind)
		return false
	}
	if len(name) > maxNameLength {
		c.report("%s %q is longer than %d bytes", kind, name, maxNameLength)
		return false
	}
	for _, r := range name {
		if (r >= 'a' && r <= 'z') || (r >= '0' && r <= '9') || r == '-' || r == '.' || r == '_' {
			continue
		}
		c.report("%s %q contains %q; allowed are a-z 0-9 - . _", kind, name, r)
		return false
	}
	return true
}

func (c *checker) checkRegionsAndLinks(s core.Sheet) {
	if len(s.Regions) == 0 {
		c.report("sheet has no regions")
	}
	for _, r := range s.Regions {
		c.checkName("region", string(r.Name))
		if c.knownRegions[r.Name] {
			c.report("region %q is listed twice", r.Name)
		}
		c.knownRegions[r.Name] = true
		if len(r.Domains) == 0 {
			c.report("region %q has no failure domains", r.Name)
		}
		for _, d := range r.Domains {
			c.checkName("failure domain", string(d))
			if c.knownDomains[d] {
				c.report("failure domain %q is listed twice", d)
			}
			c.knownDomains[d] = true
		}
	}
	for _, l := range s.Links {
		if !c.knownRegions[l.From] || !c.knownRegions[l.To] || l.From == l.To {
			c.report("link from %q to %q must connect two different known regions", l.From, l.To)
		}
		if l.BandwidthMbps <= 0 {
			c.report("link from %q to %q: mbits is %d, must be above 0", l.From, l.To, l.BandwidthMbps)
		}
		if l.Delay < 0 {
			c.report("link from %q to %q: delay is negative, must be 0 or more", l.From, l.To)
		}
	}
}

func (c *checker) checkWorkspaces(s core.Sheet) {
	for _, w := range s.Workspaces {
		c.checkName("workspace", string(w.Name))
		if c.knownWorkspaces[w.Name] {
			c.report("workspace %q is listed twice", w.Name)
		}
		c.knownWorkspaces[w.Name] = true
		if w.Rate <= 0 || w.Rate > maxRate {
			c.report("workspace %q: rate is %d thousandths per second, must be 1 to %d", w.Name, w.Rate, int64(maxRate))
		}
		if w.Burst < 1000 || w.Burst > maxRate {
			c.report("workspace %q: burst is %d thousandths, must be 1000 to %d", w.Name, w.Burst, int64(maxRate))
		}
	}
}

func (c *checker) checkServices(s core.Sheet) {
	for _, v := range s.Services {
		c.checkName("service", string(v.Name))
		if c.knownServices[v.Name] {
			c.report("service %q is listed twice", v.Name)
		}
		c.knownServices[v.Name] = true
		if v.SlowStart < 0 {
			c.report("service %q: warm is negative, must be 0 or more", v.Name)
		}
		paths := make(map[string]bool)
		for _, r := range v.Routes {
			c.checkRoute(v, r)
			if paths[r.Path] {
				c.report("service %q: route %q is listed twice", v.Name, r.Path)
			}
			paths[r.Path] = true
		}
	}
}

func (c *checker) checkRoute(v core.Service, r core.Route) {
	if !strings.HasPrefix(r.Path, "/") || strings.Contains(r.Path, "..") {
		c.report("service %q: route %q must start with / and must not contain ..", v.Name, r.Path)
	}
	if r.Timeout < 0 {
		c.report("service %q: route %q: timeout is negative, must be 0 or more", v.Name, r.Path)
	}
	switch r.Kind {
	case core.RouteIdempotent, core.RouteOrder:
	default:
		c.report("service %q: route %q: kind is %q, must be idempotent or order", v.Name, r.Path, r.Kind)
	}
	switch r.Class {
	case core.ClassLookup, core.ClassOrder, core.ClassDownload:
	default:
		c.report("service %q: route %q: class is %q, must be lookup, order or download", v.Name, r.Path, r.Class)
	}
	switch r.Access {
	case core.AccessOpen:
		if !c.knownWorkspaces[r.Workspace] {
			c.report("service %q: open route %q names unknown workspace %q", v.Name, r.Path, r.Workspace)
		}
	case core.AccessKeyed:
		if r.Workspace != "" {
			c.report("service %q: keyed route %q must not name a workspace", v.Name, r.Path)
		}
	default:
		c.report("service %q: route %q: access is %q, must be open or keyed", v.Name, r.Path, r.Access)
	}
}

func (c *checker) checkServers(s core.Sheet) {
	seen := make(map[core.ServerID]bool)
	for _, v := range s.Servers {
		c.checkName("backend server", string(v.Name))
		if seen[v.Name] {
			c.report("backend server %q is listed twice", v.Name)
		}
		seen[v.Name] = true
		if !c.knownServices[v.Service] {
			c.report("backend server %q: unknown service %q", v.Name, v.Service)
		}
		if !c.knownDomains[v.Domain] {
			c.report("backend server %q: unknown failure domain %q", v.Name, v.Domain)
		}
		if _, err := netip.ParseAddrPort(v.Address); err != nil {
			c.report("backend server %q: address %q is not an IP address and port", v.Name, v.Address)
		}
		if v.Slots < 1 || v.Slots > 100_000 {
			c.report("backend server %q: slots is %d, must be 1 to 100000", v.Name, v.Slots)
		}
		if v.MaxConns < 1 {
			c.report("backend server %q: conns is %d, must be above 0", v.Name, v.MaxConns)
		}
	}
}

func (c *checker) checkKeys(s core.Sheet) {
	names := make(map[core.KeyID]bool)
	hashes := make(map[[32]byte]core.KeyID)
	for _, k := range s.Keys {
		c.checkName("key", string(k.Name))
		if names[k.Name] {
			c.report("key %q is listed twice", k.Name)
		}
		names[k.Name] = true
		if other, ok := hashes[k.Hash]; ok {
			c.report("keys %q and %q have the same hash", other, k.Name)
		}
		hashes[k.Hash] = k.Name
		if !c.knownWorkspaces[k.Workspace] {
			c.report("key %q: unknown workspace %q", k.Name, k.Workspace)
		}
	}
}

func (c *checker) checkBlocks(s core.Sheet) {
	seen := make(map[netip.Prefix]bool, len(s.Blocks))
	for _, b := range s.Blocks {
		if !b.Prefix.IsValid() || b.Prefix != b.Prefix.Masked() {
			c.report("block %q is not a valid prefix or has host bits set", b.Prefix)
			continue
		}
		if seen[b.Prefix] {
			c.report("block %q is listed twice", b.Prefix)
		}
		seen[b.Prefix] = true
		if !c.knownDomains[b.Domain] {
			c.report("block %q: unknown failure domain %q", b.Prefix, b.Domain)
		}
	}
}

func (c *checker) checkPlans(s core.Sheet) {
	plans := make(map[string]bool)
	for _, v := range s.Shifts {
		c.checkShift(v)
		if plans[v.Name] {
			c.report("shift %q is listed twice", v.Name)
		}
		plans[v.Name] = true
	}
	for _, d := range s.Drains {
		c.checkDrain(s, d)
		if plans[d.Target] {
			c.report("drain of %q: name is used by another shift or drain", d.Target)
		}
		plans[d.Target] = true
	}
}

func (c *checker) checkShift(v core.Shift) {
	c.checkName("shift", v.Name)
	if !c.knownRegions[v.From] || !c.knownRegions[v.To] || v.From == v.To {
		c.report("shift %q: from %q to %q must name two different known regions", v.Name, v.From, v.To)
	}
	if v.SharePerMille < 1 || v.SharePerMille > 1000 {
		c.report("shift %q: share is %d thousandths, must be 1 to 1000", v.Name, v.SharePerMille)
	}
	if v.Cap < 1 || v.Cap > maxRate {
		c.report("shift %q: cap is %d thousandths per second, must be 1 to %d", v.Name, v.Cap, int64(maxRate))
	}
}

func (c *checker) checkDrain(s core.Sheet, d core.Drain) {
	if d.Mode != core.ModeDrain && d.Mode != core.ModeStop {
		c.report("drain of %q: mode is %q, must be drain or stop", d.Target, d.Mode)
	}
	if d.Timeout < 0 {
		c.report("drain of %q: within is negative, must be 0 or more", d.Target)
	}
	switch d.Kind {
	case core.DrainServer:
		if !hasServer(s, core.ServerID(d.Target)) {
			c.report("drain of %q: unknown backend server", d.Target)
		}
	case core.DrainDomain:
		if !c.knownDomains[core.DomainID(d.Target)] {
			c.report("drain of %q: unknown failure domain", d.Target)
		}
	case core.DrainHost:
		c.checkName("drained entry host", d.Target)
	default:
		c.report("drain of %q: kind is %q, must be server, host or domain", d.Target, d.Kind)
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
