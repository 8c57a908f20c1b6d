package gossip

import (
	"cmp"
	"sort"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

// Sources returns the addresses of the live hosts that report a newer change of a
// table than a version: those of this host's domain first, then those with the
// newest change.
func (v *Members) Sources(t core.FeedTable, after core.Version) []string {
	return v.rankedPeers(
		func(b *Heartbeat) bool { return after.Before(b.Versions[t]) },
		func(a, b *Heartbeat) int { return a.Versions[t].Compare(b.Versions[t]) },
	)
}

// NewestSource returns the address of the live host with the newest change of a table, or
// "" if no live host reports any.
func (v *Members) NewestSource(t core.FeedTable) string {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var newest *peer
	for _, p := range v.peers {
		if p.Versions[t].IsZero() || !v.isAlive(now, p) {
			continue
		}
		if newest == nil || cmp.Or(p.Versions[t].Compare(newest.Versions[t]), cmp.Compare(newest.Host, p.Host)) > 0 {
			newest = p
		}
	}
	if newest == nil {
		return ""
	}
	return newest.Address
}

// Lender returns the address of the live host from which to borrow rate tokens
// of a workspace: the first one of Lenders. It returns "" if no host has any.
func (v *Members) Lender(w core.WorkspaceID) string {
	if lenders := v.Lenders(w); len(lenders) > 0 {
		return lenders[0]
	}
	return ""
}

// Lenders returns the addresses of the live hosts that have spare tokens of a
// workspace: those of this host's domain first, then those with the most.
func (v *Members) Lenders(w core.WorkspaceID) []string {
	return v.rankedPeers(
		func(b *Heartbeat) bool { return b.SpareTokens[w] > 0 },
		func(a, b *Heartbeat) int { return cmp.Compare(a.SpareTokens[w], b.SpareTokens[w]) },
	)
}

// rankedPeers returns the addresses of the live hosts that are included: those of this
// host's domain first, then the highest ones. Remaining ties go to the lowest name.
func (v *Members) rankedPeers(includes func(*Heartbeat) bool, compare func(a, b *Heartbeat) int) []string {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []*peer
	for _, p := range v.peers {
		if includes(&p.Heartbeat) && v.isAlive(now, p) {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if local := a.Domain == v.cfg.Self.Domain; local != (b.Domain == v.cfg.Self.Domain) {
			return local
		}
		if order := compare(&a.Heartbeat, &b.Heartbeat); order != 0 {
			return order > 0
		}
		return a.Host < b.Host
	})
	addresses := make([]string, 0, len(list))
	for _, p := range list {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// ClearSpare records that the host with an address had no tokens of a workspace
// left. Lender does not return the host again until its next heartbeat reports
// spare tokens.
func (v *Members) ClearSpare(w core.WorkspaceID, address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.peers {
		if p.Address != address || p.SpareTokens[w] == 0 {
			continue
		}
		spare := make(map[core.WorkspaceID]int, len(p.SpareTokens))
		for name, n := range p.SpareTokens {
			if name != w {
				spare[name] = n
			}
		}
		p.SpareTokens = spare
	}
}

// Coordinator returns the host that decides for all hosts about a key: of the live
// and ready hosts with the smallest distance, the one with the lowest hash for the
// key. Hosts with the same view return the same host. If no host is ready, that is
// this one.
func (v *Members) Coordinator(key string, distance func(core.DomainID) int) core.Coordinator {
	now := v.cfg.Timer.Now()
	rank := func(b *Heartbeat) ranked {
		return ranked{Heartbeat: b, distance: distance(b.Domain), hash: xxhash.Sum64String(key + "/" + string(b.Host))}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var first, silent ranked
	if v.self.Ready {
		first = rank(&v.self)
	}
	for _, p := range v.peers {
		switch r := rank(&p.Heartbeat); {
		case p.Ready && v.isAlive(now, p):
			if r.before(first) {
				first = r
			}
		case (p.Ready || !p.seen) && !v.isAlive(now, p) && v.mayAct(now, p):
			if r.before(silent) {
				silent = r
			}
		}
	}
	if first.Heartbeat == nil {
		return core.Coordinator{Host: v.self.Host, Address: v.self.Address}
	}
	return core.Coordinator{Host: first.Host, Address: first.Address, Contested: silent.Heartbeat != nil && silent.before(first)}
}

// ranked is a host and its place in the order in which hosts decide about a key.
type ranked struct {
	*Heartbeat
	distance int
	hash     uint64
}

// before reports whether r decides rather than other, which may be empty.
func (r ranked) before(other ranked) bool {
	if other.Heartbeat == nil || r.distance != other.distance {
		return other.Heartbeat == nil || r.distance < other.distance
	}
	return r.hash < other.hash
}
