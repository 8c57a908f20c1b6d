// Package quota keeps each workspace inside its rate and burst over all
// hosts together, without asking anybody at a request.
//
// Each host has a token bucket per workspace that gets a share of the rate
// and burst. The shares follow the demand that the hosts report to one
// another; a host that is not heard keeps the share that it last had. A host
// that runs out asks one that has tokens to spare.
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
	// demandLife is the time constant of the demand's moving average.
	demandLife = 3 * time.Second
	// floorShare is the part of the rate that is divided evenly, so that a
	// host whose demand rises has something before others hear of it.
	floorShare = 0.25
	// reportAge is how old this host's report is that goes into its share:
	// those of other domains are as old when they arrive. With a newer one,
	// all hosts would overrate themselves while the demand rises.
	reportAge = 1200 * time.Millisecond
	// reportEvery is the least time between two reports that are kept.
	reportEvery = 300 * time.Millisecond
	// wholeBurst is the least part of a burst that a host can make use of:
	// a few requests in a row.
	wholeBurst = 4
	// heldShare is the part of a small rate that goes to its holders. The
	// rest follows the demand, for hosts that are cut off from them.
	heldShare = 0.85
	// excessLife is the time constant with which tokens beyond the depth go.
	excessLife = time.Second
	// unknownHosts is how many hosts share the rate before this host knows
	// how many there are.
	unknownHosts = 50
	// batchTime is the time whose demand one host asks another for: until
	// the next report.
	batchTime = 400 * time.Millisecond
	// refusedPause is the pause after an answer without tokens, so that a
	// workspace over its rate causes few questions.
	refusedPause = 25 * time.Millisecond
)

// Config configures a Limiter. Timer and Host are required.
type Config struct {
	Timer core.Timer
	Host  core.HostID
	// Slack is how many requests beyond its rate and burst a workspace may
	// start at most. It lets each of a few hosts keep one whole token.
	Slack float64
}

// Limiter holds the buckets of one host. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu      sync.Mutex
	buckets map[core.WorkspaceID]*bucket
	names   []core.HostID // other hosts, in order
	hosts   int           // hosts that may take requests, this one included
	certain bool          // all of them have reported their demand
}

// report is the demand that a host told the others.
type report struct {
	at     time.Duration
	demand float64
}

type bucket struct {
	name        core.WorkspaceID
	rate, burst float64 // of all hosts together; rate 0 means no limit
	share       float64
	tokens      float64
	at          time.Duration // when tokens and demand were brought up to date
	demand      float64       // requests a second here
	others      float64       // requests a second at other hosts
	reports     []report      // what this host reported, oldest first
	least       float64       // depth at least
	askAfter    time.Duration // when other hosts may be asked again
	before      int           // hosts that come before this one as holders
	ranked      bool          // before is valid for the hosts that are known
}

// New returns a limiter without workspaces.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, buckets: make(map[core.WorkspaceID]*bucket), hosts: unknownHosts}
}

// SetWorkspaces replaces the workspaces. A new bucket starts empty, as an
// earlier run of this host may have spent its tokens.
func (l *Limiter) SetWorkspaces(holders map[core.WorkspaceID]*core.WorkspaceConfig) {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.buckets {
		if holders[name] == nil {
			delete(l.buckets, name)
		}
	}
	for name, h := range holders {
		b := l.buckets[name]
		if b == nil {
			b = &bucket{name: name, at: now}
			l.buckets[name] = b
		}
		b.refill(now)
		lowered := b.burst > float64(h.Burst)/1000 || b.rate > float64(h.Rate)/1000
		b.rate, b.burst = float64(h.Rate)/1000, float64(h.Burst)/1000
		l.divide(b)
		if lowered {
			b.tokens = min(b.tokens, b.depth())
		}
	}
}

// Take takes one request of a workspace. If the workspace is over its share,
// wait is the time until the next token.
func (l *Limiter) Take(w core.WorkspaceID) (wait time.Duration, ok bool) {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[w]
	if b == nil || b.rate <= 0 {
		return 0, true
	}
	b.refill(now)
	b.demand += 1 / demandLife.Seconds()
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / (b.rate * b.share) * float64(time.Second)), false
}

// BorrowSize returns how many tokens to ask another host for, 0 for none. The next
// question is due after the answer to this one, which Receive takes in.
func (l *Limiter) BorrowSize(w core.WorkspaceID) float64 {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[w]
	if b == nil || now < b.askAfter {
		return 0
	}
	b.askAfter = now + refusedPause
	return 1 + math.Floor(b.demand*batchTime.Seconds())
}

// AddBorrowed takes in tokens that another host gave, and takes the first of
// them for the request that asked. It reports whether there was one. The
// request does not go through the bucket, where its token would be lost:
// tokens beyond the depth go with time, and a little less than a whole one
// admits nothing.
func (l *Limiter) AddBorrowed(w core.WorkspaceID, tokens float64) bool {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[w]
	if b == nil || tokens < 1 {
		return false
	}
	b.refill(now)
	b.tokens += tokens - 1
	b.askAfter = now
	return true
}

// Lend takes tokens for another host out of the bucket and returns how many.
// They are gone here even if the answer is lost.
func (l *Limiter) Lend(w core.WorkspaceID, want float64) float64 {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[w]
	if b == nil || b.rate <= 0 || want <= 0 {
		return 0
	}
	b.refill(now)
	given := min(want, math.Floor(b.tokens))
	b.tokens -= given
	return given
}

// SpareTokens returns the whole tokens of each workspace that others may ask for.
func (l *Limiter) SpareTokens() map[core.WorkspaceID]int {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	spare := make(map[core.WorkspaceID]int, len(l.buckets))
	for name, b := range l.buckets {
		if b.rate <= 0 {
			continue
		}
		b.refill(now)
		if b.tokens >= 1 {
			spare[name] = int(b.tokens)
		}
	}
	return spare
}

// Refund gives back the token of a request that no server ran.
func (l *Limiter) Refund(w core.WorkspaceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[w]; b != nil {
		b.tokens++
	}
}

// Demand returns the requests a second of each workspace here.
func (l *Limiter) Demand() map[core.WorkspaceID]float64 {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := make(map[core.WorkspaceID]float64, len(l.buckets))
	for name, b := range l.buckets {
		b.refill(now)
		if b.demand > 0.05 {
			demand[name] = b.demand
		}
	}
	return demand
}

// Peers is what is known of the other hosts.
type Peers struct {
	Demand   map[core.WorkspaceID]float64 // requests a second of all of them together
	Hosts    []core.HostID                // those that may take requests
	Unseen   int                          // how many of them have not reported yet
	Complete bool                         // there are no other hosts than these
}

// SetPeers takes in the demand at the other hosts, whose list it sorts. While some of them have
// not reported, each host gets an even share.
func (l *Limiter) SetPeers(o Peers) {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Sort(o.Hosts); !slices.Equal(o.Hosts, l.names) {
		l.names = o.Hosts
		for _, b := range l.buckets {
			b.ranked = false
		}
	}
	l.hosts, l.certain = len(o.Hosts)+1, o.Complete && o.Unseen == 0
	if !o.Complete {
		l.hosts = max(l.hosts, unknownHosts)
	}
	for name, b := range l.buckets {
		b.refill(now)
		b.others = o.Demand[name]
		b.report(now)
		l.divide(b)
	}
}

// divide sets the share of a bucket: an even part, and the rest by demand. A
// burst that is too small to be cut into pieces for all hosts is held by a
// few, whom the others ask.
func (l *Limiter) divide(b *bucket) {
	even := 1 / float64(l.hosts)
	b.least = 0
	if float64(l.hosts) <= l.cfg.Slack {
		b.least = 1
	}
	if !l.certain {
		b.share = even
		return
	}
	byDemand := even
	if own, known := b.reported(b.at); known && own+b.others > 0 {
		byDemand = own / (own + b.others)
	}
	if b.burst*even >= wholeBurst {
		b.share = floorShare*even + (1-floorShare)*byDemand
		return
	}
	b.share = (1 - heldShare) * byDemand
	if holders := max(int(b.burst/wholeBurst), 1); l.rank(b) < holders {
		b.share += heldShare / float64(holders)
	}
}

// report keeps the demand that the others are told now.
func (b *bucket) report(now time.Duration) {
	if n := len(b.reports); n > 0 && now < b.reports[n-1].at+reportEvery {
		return
	}
	b.reports = append(b.reports, report{at: now, demand: b.demand})
	for len(b.reports) > 1 && b.reports[1].at <= now-reportAge {
		b.reports = b.reports[1:]
	}
}

// reported returns the demand as the others know it, if this host has told
// it for long enough.
func (b *bucket) reported(now time.Duration) (demand float64, known bool) {
	if len(b.reports) == 0 || b.reports[0].at > now-reportAge {
		return 0, false
	}
	return b.reports[0].demand, true
}

// rank returns how many hosts come before this one among those that hold the
// burst of a workspace. All hosts rank one another alike.
func (l *Limiter) rank(b *bucket) int {
	if b.ranked {
		return b.before
	}
	own, before := rankHash(b.name, l.cfg.Host), 0
	for _, name := range l.names {
		if rankHash(b.name, name) < own {
			before++
		}
	}
	b.before, b.ranked = before, true
	return before
}

func rankHash(w core.WorkspaceID, h core.HostID) uint64 {
	return xxhash.Sum64String(string(w) + "/" + string(h))
}

// depth returns the tokens to which the bucket fills up.
func (b *bucket) depth() float64 { return max(b.burst*b.share, b.least) }

// refill adds the tokens since the last time. Those beyond the depth, which
// were received or are left from a larger share, stay for a while.
func (b *bucket) refill(now time.Duration) {
	passed := (now - b.at).Seconds()
	if passed <= 0 {
		return
	}
	b.at = now
	b.demand *= math.Exp(-passed / demandLife.Seconds())
	filled := b.tokens + passed*b.rate*b.share
	switch depth := b.depth(); {
	case filled <= depth:
		b.tokens = filled
	case b.tokens <= depth:
		b.tokens = depth
	default:
		b.tokens = depth + (b.tokens-depth)*math.Exp(-passed/excessLife.Seconds())
	}
}
