// Package routes compiles a version of the configuration into tables that
// find the route of a request and the workspace of a key.
package routes

import (
	"sort"
	"strings"

	"azurering/core"
)

// Table is one compiled version. It is read-only and safe for concurrent use.
type Table struct {
	Version uint64
	Limits  core.Limits

	hosts    map[string][]*core.RoutingRule // by host name, longest prefix first
	services map[core.ServiceID]*core.ServiceConfig
	keys     map[string]*core.WorkspaceConfig
	holders  map[core.WorkspaceID]*core.WorkspaceConfig
	keyed    bool
}

// Compile builds the table of a version. The rules must not change later.
func Compile(r core.RoutingConfig) *Table {
	t := &Table{
		Version: r.Version, Limits: r.Limits,
		hosts:    make(map[string][]*core.RoutingRule),
		services: make(map[core.ServiceID]*core.ServiceConfig, len(r.Services)),
		keys:     make(map[string]*core.WorkspaceConfig),
		holders:  make(map[core.WorkspaceID]*core.WorkspaceConfig, len(r.Workspaces)),
		keyed:    len(r.Workspaces) > 0,
	}
	for i := range r.Routes {
		host := strings.ToLower(r.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &r.Routes[i])
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range r.Services {
		t.services[r.Services[i].Name] = &r.Services[i]
	}
	for i := range r.Workspaces {
		holder := &r.Workspaces[i]
		t.holders[holder.Name] = holder
		for _, key := range holder.Keys {
			t.keys[key] = holder
		}
	}
	return t
}

// Match returns the route with the longest prefix of the path, or nil. The
// host may carry a port.
func (t *Table) Match(host, path string) *core.RoutingRule {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether requests of routes that are not open need a key.
func (t *Table) RequiresKey() bool { return t.keyed }

// WorkspaceOf returns the workspace that holds a key, or nil.
func (t *Table) WorkspaceOf(key string) *core.WorkspaceConfig { return t.keys[key] }

// Workspaces returns all workspaces by name. The map must not be changed.
func (t *Table) Workspaces() map[core.WorkspaceID]*core.WorkspaceConfig { return t.holders }

// Service returns what the configuration says of a service, or nil.
func (t *Table) Service(name core.ServiceID) *core.ServiceConfig { return t.services[name] }

// HomeRegions returns the regions in which a request may be served: those that
// both the route and the workspace allow. Bound is false if neither names
// any.
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
