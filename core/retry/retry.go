// Package retry limits how many retries the entry hosts together send to the
// backend servers of a service. The proxy asks it before it sends a request
// to a further server.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"azurering/core"
)

// Fractions of the budget that the hosts use. The rest covers requests that
// are counted in another window than their retries.
const (
	ratioFraction = 0.75
	extraFraction = 0.7
	// maxHostFraction is the number of hosts, as a fraction of the extra retries, up
	// to which each may keep one whole retry. With the half of extraFraction that is
	// refilled in a window, that is all of the extra.
	maxHostFraction = 0.6
	// sparseFraction takes the place of extraFraction in larger fleets. It is lower
	// because chance decides there how many retries the hosts earn.
	sparseFraction = 0.4
	// sparseLifetime is the time, as a fraction of the window, for which a retry
	// can be used in larger fleets. Otherwise every host would hold one after a while.
	sparseLifetime = 1.0 / 8
)

// Config configures a Budget. Timer is required.
type Config struct {
	Timer      core.Timer
	Ratio      float64        // retries per request
	MinRetries float64        // further retries of a service per window, of all hosts together
	Window     time.Duration  // zero means 10 s
	Random     func() float64 // number from 0 to below 1; nil means rand.Float64
}

// Budget holds a bucket of retries per service. It is safe for concurrent
// use.
type Budget struct {
	cfg Config

	mu      sync.Mutex
	hosts   int // 0 while the other hosts are not known
	buckets map[core.ServiceID]*bucket
}

type bucket struct {
	tokens  float64       // one allows one retry
	updated time.Duration // time of the last refill
	earned  time.Duration // time at which the last token was earned, if the budget is sparse
}

// New returns a budget of which this host has no part until SetHosts is called, as
// others may use all of it. Until then requests alone earn retries.
func New(cfg Config) *Budget {
	if cfg.Window == 0 {
		cfg.Window = 10 * time.Second
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Budget{cfg: cfg, buckets: make(map[core.ServiceID]*bucket)}
}

// SetHosts sets the number of hosts that share the budget, this one included. Call
// it once the host knows the others.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hosts == 0 {
		clear(b.buckets) // they start again with this host's part
	}
	b.hosts = max(n, 1)
}

// Deposit counts a request to a service, which adds a fraction of a retry to
// the budget.
func (b *Budget) Deposit(s core.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(s)
	b.earn(k, b.cfg.Ratio*ratioFraction)
}

// Withdraw takes a retry from the budget of a service and reports whether there
// was one.
func (b *Budget) Withdraw(s core.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(s)
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

// part returns half of this host's extra retries of one window: the tokens with
// which a bucket starts, and those that it gets in one window without requests.
func (b *Budget) part() float64 {
	return b.cfg.MinRetries * extraFraction / 2 / float64(b.hosts)
}

// depth returns the capacity of a bucket.
func (b *Budget) depth() float64 { return max(b.part(), 1) }

// isSparse reports whether there are too many hosts for each to keep a whole retry,
// or may be. Chance then decides which hosts earn one.
func (b *Budget) isSparse() bool {
	return b.hosts == 0 || float64(b.hosts) > maxHostFraction*b.cfg.MinRetries
}

// earn adds a number of tokens to a bucket. In a sparse budget it adds one with that
// probability instead, so that all hosts together earn as much.
func (b *Budget) earn(k *bucket, tokens float64) {
	if !b.isSparse() {
		k.tokens = min(k.tokens+tokens, b.depth())
		return
	}
	if b.cfg.Random() < tokens {
		k.tokens, k.earned = 1, b.cfg.Timer.Now()
	}
}

// bucket returns the refilled bucket of a service. b.mu must be held.
func (b *Budget) bucket(s core.ServiceID) *bucket {
	now := b.cfg.Timer.Now()
	k := b.buckets[s]
	if k == nil {
		k = &bucket{updated: now}
		if !b.isSparse() {
			k.tokens = b.depth()
		}
		b.buckets[s] = k
	}
	elapsed := now - k.updated
	k.updated = now
	if !b.isSparse() {
		b.earn(k, elapsed.Seconds()*b.part()/b.cfg.Window.Seconds())
		return k
	}
	lifetime := time.Duration(sparseLifetime * float64(b.cfg.Window))
	if now > k.earned+lifetime {
		k.tokens = 0
	}
	if b.hosts > 0 {
		b.earn(k, min(elapsed, lifetime).Seconds()*b.cfg.MinRetries*sparseFraction/float64(b.hosts)/b.cfg.Window.Seconds())
	}
	return k
}
