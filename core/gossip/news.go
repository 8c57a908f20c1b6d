package gossip

import (
	"time"

	"azurering/core"
)

// News is a message between hosts that says how complete the sender's copies of the
// store's tables are, and which backend servers have told it that they leave.
// Unlike heartbeats it is sent as soon as there is something to say. It goes to
// the same hosts as digests do.
type News struct {
	Domain    core.DomainID // of the sender
	Forwarded bool          // forwarded by a host of the receiver's domain
	Tables    map[core.FeedTable]TableNews
	Leaving   map[core.ServerID]int64 // start of each server that leaves, in Unix milliseconds
}

// TableNews says that a copy of a table, whose newest change has a version, holds
// all changes that the store had acknowledged a time ago.
type TableNews struct {
	Newest core.Version
	Age    time.Duration
}

// NewsTargets returns the addresses of the hosts to which this host sends news.
func (v *Members) NewsTargets() []string {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	return append(v.localTargets(now), v.remoteTargets(now)...)
}

// ForwardTargets returns the addresses of the hosts to which this host forwards news
// that it has received.
func (v *Members) ForwardTargets(n News) []string {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.forwardTargets(now, n.Domain, n.Forwarded)
}

// ListsFirst reports whether this host is the first of its domain to read the store's
// tables anew after the store has come back from an older copy. Unlike FollowsStore it
// does not depend on who could read the store before.
func (v *Members) ListsFirst() bool {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isLeader(now)
}

// Confirms reports whether this host reads the store often and confirms to all others
// that their copies are complete. That holds if no live host with a lower name can
// read the store. While hosts do not hear one another, several may do so, or none
// for a short time; the age of its copy shows that to each host.
func (v *Members) Confirms() bool {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.peers {
		if p.Host < v.self.Host && !p.StoreDown && p.seen && now < p.lastSeen+localTimeout {
			return false
		}
	}
	return true
}
