// Package quota enforces the rate and burst of each workspace across all
// entry hosts. The proxy asks it whether to admit a request, which takes no
// call to another host as long as this host has tokens.
//
// Each host has a token bucket per workspace that gets a share of the rate and
// burst: an even part, less what it has lent to other hosts, plus what it has
// borrowed. A share grows only by a loan that has made the share of another host
// smaller before, so that the shares of all hosts add up to one at most whatever
// messages arrive. Loans end by time: a host that is partitioned from its lenders
// falls back to its own part. A host that runs out of tokens before it has borrowed
// enough of the rate borrows single tokens.
package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

const (
	// demandTau is the time constant of the demand's moving average.
	demandTau = 3 * time.Second
	// minHostBurst is the smallest part of a burst, in tokens, that is of use
	// to a host: it admits a few requests in a row.
	minHostBurst = 4
	// holderFraction is the fraction of a small rate that goes to its holders
	// (see divide). The rest is for hosts that are partitioned from the holders.
	holderFraction = 0.95
	// excessTau is the time constant with which tokens beyond the bucket's
	// depth decay.
	excessTau = time.Second
	// assumedHosts is the least number of hosts among which a rate is divided
	// while this host does not know how many there are.
	assumedHosts = 50
	// borrowHorizon is the time for whose demand a host borrows tokens: until
	// the next report.
	borrowHorizon = 400 * time.Millisecond
	// borrowBackoff is the minimum time between two attempts to borrow if the
	// first got no tokens, so that a workspace over its rate causes little
	// traffic.
	borrowBackoff = 25 * time.Millisecond
	// maxWait bounds the time until a host's bucket has a whole token, which is long
	// while most of its share is lent.
	maxWait = time.Minute
	// Shares are logged if they have changed by minShareChange, as a fraction of
	// the last one logged, and at most once in shareChangeInterval.
	minShareChange      = 0.1
	shareChangeInterval = time.Second
)

// Config configures a Limiter. Timer and Host are required.
type Config struct {
	Timer core.Timer
	Host  core.HostID
	// Slack is the number of requests by which a workspace may exceed its
	// rate and burst. If there are at most so many hosts, each of them may
	// keep one whole token.
	Slack float64
}

// Limiter holds the token buckets of one host. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu      sync.Mutex
	buckets map[core.WorkspaceID]*bucket
	removed map[core.WorkspaceID]*bucket // of workspaces that were removed, while parts of their rates are lent
	others  []core.HostID                // other hosts, sorted
	hosts   int                          // number of hosts that may admit requests, this one included
	// usableAt is the time from which this host may use its whole base share. An earlier
	// process of the host may have lent a part of it until then.
	usableAt time.Duration
	recalled map[string]time.Duration // by address: when a host told that its process is new
}

type bucket struct {
	name        core.WorkspaceID
	rate, burst float64                // requests per second and requests, of all hosts together; rate 0 means no limit
	base        float64                // this host's part of rate and burst, as a fraction, before loans
	share       float64                // the same after loans
	lent        map[core.HostID][]loan // by borrower; the largest that has not ended counts
	borrowed    map[string]loan        // by the address of the lender
	changesAt   time.Duration          // when the next loan ends, or usableAt
	tokens      float64                // one admits one request
	updated     time.Duration          // time of the last update of tokens and demand
	demand      float64                // requests per second at this host
	otherDemand float64                // requests per second at the other hosts, for logs
	pooled      bool                   // the burst is too small to be divided among all hosts
	minDepth    float64                // minimum depth, in tokens
	nextBorrow  time.Duration          // earliest time of the next attempt to borrow
	rank        int                    // number of hosts that rank before this one as holders
	rankValid   bool                   // the rank is valid for the known hosts
	reported    float64                // share in the last ShareChange
	reportedAt  time.Duration          // time of that
}

// New returns a limiter that has no workspaces and admits all requests.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg: cfg, buckets: make(map[core.WorkspaceID]*bucket), hosts: assumedHosts, usableAt: cfg.Timer.Now() + loanTime,
		recalled: make(map[string]time.Duration), removed: make(map[core.WorkspaceID]*bucket),
	}
}

// SetWorkspaces replaces the workspaces, whose rates and bursts are in
// thousandths of a request. The bucket of a new workspace starts empty, since
// an earlier run of this host may have spent its tokens.
func (l *Limiter) SetWorkspaces(holders map[core.WorkspaceID]*core.WorkspaceConfig) {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, b := range l.buckets {
		if holders[name] == nil {
			l.removed[name] = b
			delete(l.buckets, name)
		}
	}
	for name, b := range l.removed {
		if l.refill(b, now); len(b.lent) == 0 {
			delete(l.removed, name)
		}
	}
	for name, h := range holders {
		b := l.buckets[name]
		if b == nil {
			b = l.removed[name]
			delete(l.removed, name)
			l.buckets[name] = b
		}
		if b == nil {
			b = &bucket{
				name: name, updated: now, changesAt: math.MaxInt64, lent: make(map[core.HostID][]loan), borrowed: make(map[string]loan),
			}
			l.buckets[name] = b
		}
		l.refill(b, now)
		lowered := b.burst > float64(h.Burst)/1000 || b.rate > float64(h.Rate)/1000
		b.rate, b.burst = float64(h.Rate)/1000, float64(h.Burst)/1000
		l.divide(b)
		if lowered {
			b.tokens = min(b.tokens, b.depth())
		}
	}
}

// Take takes a token for one request of a workspace and reports whether there
// was one. If not, wait is the time until this host's bucket has a whole
// token. A workspace that is unknown or has no rate is not limited.
func (l *Limiter) Take(w core.WorkspaceID) (wait time.Duration, ok bool) {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[w]
	if b == nil || b.rate <= 0 {
		return 0, true
	}
	l.refill(b, now)
	b.demand += 1 / demandTau.Seconds()
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration(min((1-b.tokens)/(b.rate*b.share), maxWait.Seconds()) * float64(time.Second)), false
}

// BorrowSize returns how many tokens to borrow from another host for a request that
// Take refused. It returns 0 for a short time after an attempt to borrow,
// unless Receive has recorded tokens since.
func (l *Limiter) BorrowSize(w core.WorkspaceID) float64 {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[w]
	if b == nil || now < b.nextBorrow {
		return 0
	}
	b.nextBorrow = now + borrowBackoff
	return 1 + math.Floor(b.demand*borrowHorizon.Seconds())
}

// AddBorrowed adds borrowed tokens to the bucket, except for one, which admits
// the request for which they were borrowed. It reports whether there was one.
// That token does not go through the bucket, where it could be lost: tokens
// beyond the depth decay, and slightly less than a whole token admits
// nothing.
func (l *Limiter) AddBorrowed(w core.WorkspaceID, tokens float64) bool {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[w]
	if b == nil || tokens < 1 {
		return false
	}
	l.refill(b, now)
	b.tokens += tokens - 1
	b.nextBorrow = now
	return true
}

// Lend removes up to want whole tokens from the bucket to lend them to
// another host, and returns how many. They are gone even if the reply is
// lost.
func (l *Limiter) Lend(w core.WorkspaceID, want float64) float64 {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[w]
	if b == nil || b.rate <= 0 || want <= 0 {
		return 0
	}
	l.refill(b, now)
	n := min(want, math.Floor(b.tokens))
	b.tokens -= n
	return n
}

// SpareTokens returns the number of whole tokens of each workspace that other hosts
// may borrow. Workspaces without any are left out.
func (l *Limiter) SpareTokens() map[core.WorkspaceID]int {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	spare := make(map[core.WorkspaceID]int, len(l.buckets))
	for name, b := range l.buckets {
		if b.rate <= 0 {
			continue
		}
		l.refill(b, now)
		if b.tokens >= 1 {
			spare[name] = int(b.tokens)
		}
	}
	return spare
}

// Refund puts back the token of a request that was admitted but that no
// server executed.
func (l *Limiter) Refund(w core.WorkspaceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[w]; b != nil {
		b.tokens++
	}
}

// ShareChange is a change of this host's share of a workspace's rate, for logs.
type ShareChange struct {
	Workspace   core.WorkspaceID
	Share       float64 // fraction of rate and burst
	Before      float64 // share in the last change
	Lent        float64 // part of the base share that other hosts have now
	Borrowed    float64 // part of Share that other hosts have lent
	Rate        float64 // requests per second, of all hosts together
	Demand      float64 // requests per second at this host
	OtherDemand float64 // requests per second at the other hosts, as known here
}

// ShareChanges returns the shares that have changed by a tenth or more since they were
// returned last, each at most once a second.
func (l *Limiter) ShareChanges() []ShareChange {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []ShareChange
	for name, b := range l.buckets {
		if b.rate <= 0 || math.Abs(b.share-b.reported) < minShareChange*b.reported || now < b.reportedAt+shareChangeInterval {
			continue
		}
		l.refill(b, now)
		list = append(list, ShareChange{
			Workspace: name, Share: b.share, Before: b.reported, Lent: b.lentShare(), Borrowed: b.borrowedShare(), Rate: b.rate, Demand: b.demand, OtherDemand: b.otherDemand,
		})
		b.reported, b.reportedAt = b.share, now
	}
	return list
}

// Demand returns the requests per second of each workspace at this host,
// refused ones included. Workspaces with next to none are left out.
func (l *Limiter) Demand() map[core.WorkspaceID]float64 {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := make(map[core.WorkspaceID]float64, len(l.buckets))
	for name, b := range l.buckets {
		l.refill(b, now)
		if b.demand > 0.05 {
			demand[name] = b.demand
		}
	}
	return demand
}

// Peers describes the other hosts.
type Peers struct {
	Demand   map[core.WorkspaceID]float64 // requests per second of all of them together, for logs
	Hosts    []core.HostID                // those that may admit requests
	Complete bool                         // Hosts is complete
}

// SetPeers records the other hosts and divides the rates anew. SetPeers sorts o.Hosts
// in place and keeps it.
func (l *Limiter) SetPeers(o Peers) {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Sort(o.Hosts); !slices.Equal(o.Hosts, l.others) {
		l.others = o.Hosts
		for _, b := range l.buckets {
			b.rankValid = false
		}
	}
	l.hosts = len(o.Hosts) + 1
	if !o.Complete {
		l.hosts = max(l.hosts, assumedHosts)
	}
	for name, b := range l.buckets {
		l.refill(b, now)
		b.otherDemand = o.Demand[name]
		l.divide(b)
	}
}

// divide sets the base share of a bucket: an even part of the rate. If a burst is too
// small to be divided among all hosts, a few of them, its holders, get most of it, and
// the others borrow from them.
func (l *Limiter) divide(b *bucket) {
	even := 1 / float64(l.hosts)
	b.minDepth = 0
	if float64(l.hosts) <= l.cfg.Slack {
		b.minDepth = 1
	}
	b.base = even
	b.pooled = b.burst*even < minHostBurst
	if b.pooled {
		b.base = (1 - holderFraction) * even
		if holders := max(int(b.burst/minHostBurst), 1); l.rank(b) < holders {
			b.base += holderFraction / float64(holders)
		}
	}
	l.updateShare(b)
}

// rank returns the number of hosts that come before this one in the order in
// which hosts become holders of a workspace's burst (rendezvous hashing). All
// hosts that know the same hosts compute the same order.
func (l *Limiter) rank(b *bucket) int {
	if b.rankValid {
		return b.rank
	}
	own, rank := rankHash(b.name, l.cfg.Host), 0
	for _, name := range l.others {
		if rankHash(b.name, name) < own {
			rank++
		}
	}
	b.rank, b.rankValid = rank, true
	return rank
}

func rankHash(w core.WorkspaceID, h core.HostID) uint64 {
	return xxhash.Sum64String(string(w) + "/" + string(h))
}

// depth returns the number of tokens up to which the bucket fills.
func (b *bucket) depth() float64 { return max(b.burst*b.share, b.minDepth) }

// refill adds the tokens of the time since the last update and lets the demand decay.
// It ends loans at their time.
func (l *Limiter) refill(b *bucket, now time.Duration) {
	for b.changesAt <= now {
		b.accrue(b.changesAt)
		l.updateShare(b)
	}
	b.accrue(now)
}

// accrue adds the tokens of the time since the last update at the current share.
// Tokens beyond the depth, which were borrowed, decay.
func (b *bucket) accrue(now time.Duration) {
	elapsed := (now - b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.demand *= math.Exp(-elapsed / demandTau.Seconds())
	filled := b.tokens + elapsed*b.rate*b.share
	switch depth := b.depth(); {
	case filled <= depth:
		b.tokens = filled
	case b.tokens <= depth:
		b.tokens = depth
	default:
		b.tokens = depth + (b.tokens-depth)*math.Exp(-elapsed/excessTau.Seconds())
	}
}
