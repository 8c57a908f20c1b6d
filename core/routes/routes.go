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

	hosts    map[string][]*core.Rule // by host name, longest prefix first
	services map[core.ServiceID]*core.Backing
	keys     map[string]*core.Holder
	holders  map[core.WorkspaceID]*core.Holder
	keyed    bool
}

// Compile builds the table of a version. The rules must not change later.
func Compile(r core.Rules) *Table {
	t := &Table{
		Version: r.Version, Limits: r.Limits,
		hosts:    make(map[string][]*core.Rule),
		services: make(map[core.ServiceID]*core.Backing, len(r.Services)),
		keys:     make(map[string]*core.Holder),
		holders:  make(map[core.WorkspaceID]*core.Holder, len(r.Workspaces)),
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
func (t *Table) Match(host, path string) *core.Rule {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Keyed reports whether requests of routes that are not open need a key.
func (t *Table) Keyed() bool { return t.keyed }

// Holder returns the workspace that holds a key, or nil.
func (t *Table) Holder(key string) *core.Holder { return t.keys[key] }

// Workspaces returns all workspaces by name. The map must not be changed.
func (t *Table) Workspaces() map[core.WorkspaceID]*core.Holder { return t.holders }

// Service returns what the configuration says of a service, or nil.
func (t *Table) Service(name core.ServiceID) *core.Backing { return t.services[name] }

// Homes returns the regions in which a request may be served: those that
// both the route and the workspace allow. Bound is false if neither names
// any.
func Homes(r *core.Rule, h *core.Holder) (homes []core.RegionID, bound bool) {
	if h == nil || len(h.Homes) == 0 {
		return r.Homes, len(r.Homes) > 0
	}
	if len(r.Homes) == 0 {
		return h.Homes, true
	}
	for _, a := range r.Homes {
		for _, b := range h.Homes {
			if a == b {
				homes = append(homes, a)
			}
		}
	}
	return homes, true
}
