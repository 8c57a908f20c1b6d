// Package quota keeps each workspace inside its rate and burst over all
// hosts together, without asking anybody at a request.
//
// Each host has a token bucket per workspace that gets a share of the rate
// and burst. The shares follow the demand that the hosts report to one
// another; a host that is not heard keeps the share that it last had.
package quota

import (
	"math"
	"sync"
	"time"

	"azurering/core"
)

const (
	// demandLife is the time constant of the demand's moving average.
	demandLife = time.Second
	// floorShare is the part of the rate that is divided evenly, so that a
	// host whose demand rises has something before others hear of it.
	floorShare = 0.25
	// margin keeps the sum of the shares below the rate while reports of
	// demand are on their way.
	margin = 0.97
	// unknownHosts is how many hosts share the rate before this host knows
	// how many there are.
	unknownHosts = 50
)

// Config configures a Limiter. Timer is required.
type Config struct {
	Timer core.Timer
}

// Limiter holds the buckets of one host. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu      sync.Mutex
	buckets map[core.WorkspaceID]*bucket
	hosts   int  // hosts that may take requests, this one included
	certain bool // all of them have reported their demand
}

type bucket struct {
	rate, burst float64 // of all hosts together; rate 0 means no limit
	share       float64
	tokens      float64
	at          time.Duration // when tokens and demand were brought up to date
	demand      float64       // requests a second here
	others      float64       // requests a second at other hosts
}

// New returns a limiter without workspaces.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, buckets: make(map[core.WorkspaceID]*bucket), hosts: unknownHosts}
}

// SetWorkspaces replaces the workspaces. A new bucket starts empty, as an
// earlier run of this host may have spent its tokens.
func (l *Limiter) SetWorkspaces(holders map[core.WorkspaceID]*core.Holder) {
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
			b = &bucket{at: now}
			l.buckets[name] = b
		}
		b.refill(now)
		b.rate, b.burst = float64(h.Rate)/1000, float64(h.Burst)/1000
		b.divide(l.hosts, l.certain)
		b.tokens = min(b.tokens, b.depth())
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

// Return gives back the token of a request that no server ran.
func (l *Limiter) Return(w core.WorkspaceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[w]; b != nil {
		b.tokens = min(b.tokens+1, b.depth())
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

// Others is what is known of the other hosts.
type Others struct {
	Demand  map[core.WorkspaceID]float64 // requests a second of all of them together
	Hosts   int                          // how many there are
	Unheard int                          // those that have not reported yet
}

// SetOthers takes in the demand at the other hosts. While some of them have
// not reported, each host gets an even share.
func (l *Limiter) SetOthers(o Others) {
	now := l.cfg.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts, l.certain = o.Hosts+1, o.Unheard == 0
	for name, b := range l.buckets {
		b.refill(now)
		b.others = o.Demand[name]
		b.divide(l.hosts, l.certain)
		b.tokens = min(b.tokens, b.depth())
	}
}

// divide sets the share: an even part, and the rest by demand.
func (b *bucket) divide(hosts int, certain bool) {
	even := 1 / float64(hosts)
	b.share = even
	if total := b.demand + b.others; certain && total > 0 {
		b.share = floorShare*even + (1-floorShare)*b.demand/total
	}
}

// depth returns the tokens that the bucket holds at most. It is at least
// one, or the bucket could never be used.
func (b *bucket) depth() float64 { return max(b.burst*b.share*margin, 1) }

func (b *bucket) refill(now time.Duration) {
	passed := (now - b.at).Seconds()
	if passed <= 0 {
		return
	}
	b.at = now
	b.tokens = min(b.tokens+passed*b.rate*b.share*margin, b.depth())
	b.demand *= math.Exp(-passed / demandLife.Seconds())
}
