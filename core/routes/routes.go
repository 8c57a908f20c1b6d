// Package routes compiles a version of the configuration into a routing
// table. The proxy uses it to find the route of a request and the workspace
// that an API key belongs to.
package routes

import (
	"sort"
	"strings"

	"azurering/core"
)

// Table is the routing table of one version of the configuration. It is
// read-only and safe for concurrent use.
type Table struct {
	Version uint64
	Limits  core.Limits

	hosts       map[string][]*core.RoutingRule // by host name, longest prefix first
	splits      []*core.RoutingRule            // those with several parts
	services    map[core.ServiceID]*core.ServiceConfig
	keys        map[string]*core.WorkspaceConfig
	workspaces  map[core.WorkspaceID]*core.WorkspaceConfig
	requiresKey bool
}

// Compile builds the table of r. The table refers to the slices of r, which
// must not be changed afterwards.
func Compile(r core.RoutingConfig) *Table {
	t := &Table{
		Version: r.Version, Limits: r.Limits,
		hosts:       make(map[string][]*core.RoutingRule),
		services:    make(map[core.ServiceID]*core.ServiceConfig, len(r.Services)),
		keys:        make(map[string]*core.WorkspaceConfig),
		workspaces:  make(map[core.WorkspaceID]*core.WorkspaceConfig, len(r.Workspaces)),
		requiresKey: len(r.Workspaces) > 0,
	}
	for i := range r.Routes {
		host := strings.ToLower(r.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &r.Routes[i])
		if len(r.Routes[i].Split) > 1 {
			t.splits = append(t.splits, &r.Routes[i])
		}
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range r.Services {
		t.services[r.Services[i].Name] = &r.Services[i]
	}
	for i := range r.Workspaces {
		holder := &r.Workspaces[i]
		t.workspaces[holder.Name] = holder
		for _, key := range holder.Keys {
			t.keys[key] = holder
		}
	}
	return t
}

// Match returns the route of the host name with the longest matching prefix of
// the path, or nil. The host name is not case-sensitive and may be followed by a port.
func (t *Table) Match(host, path string) *core.RoutingRule {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Splits returns the routes whose traffic is split between services. The slice must not
// be changed.
func (t *Table) Splits() []*core.RoutingRule { return t.splits }

// RequiresKey reports whether requests need an API key, except on routes that are
// open. That holds if the configuration has any workspaces.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// WorkspaceOf returns the workspace that an API key belongs to, or nil.
func (t *Table) WorkspaceOf(key string) *core.WorkspaceConfig { return t.keys[key] }

// Workspaces returns all workspaces by name. The map must not be changed.
func (t *Table) Workspaces() map[core.WorkspaceID]*core.WorkspaceConfig { return t.workspaces }

// Service returns the configuration of a service, or nil.
func (t *Table) Service(name core.ServiceID) *core.ServiceConfig { return t.services[name] }

// HomeRegions returns the regions in which a request may be served: those allowed
// by both the route and the workspace. If one of them names no regions, only
// the other counts. Bound is false if neither names any; then the request may
// be served in all regions. h may be nil.
func HomeRegions(r *core.RoutingRule, h *core.WorkspaceConfig) (homes []core.RegionID, bound bool) {
	if h == nil || len(h.HomeRegions) == 0 {
		return r.HomeRegions, len(r.HomeRegions) > 0
	}
	if len(r.HomeRegions) == 0 {
		return h.HomeRegions, true
	}
	for _, a := range r.HomeRegions {
		for _, b := range h.HomeRegions {
			if a == b {
				homes = append(homes, a)
			}
		}
	}
	return homes, true
}
