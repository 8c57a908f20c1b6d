// Package retry bounds how many requests are sent to a further server, over
// all hosts together.
package retry

import (
	"sync"
	"time"

	"azurering/core"
)

// The parts of the budget that a host uses. The rest covers requests that
// are counted in another window than their retries.
const (
	ratioPart = 0.75
	extraPart = 0.7
)

// Config configures a Budget. Timer is required.
type Config struct {
	Timer      core.Timer
	Ratio      float64       // retries a request
	MinRetries float64       // retries beyond the ratio in one window, of all hosts together
	Window     time.Duration // zero means 10 s
}

// Budget holds one bucket per service. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu      sync.Mutex
	hosts   int
	buckets map[core.ServiceID]*bucket
}

type bucket struct {
	tokens float64
	at     time.Duration
}

// New returns a budget.
func New(cfg Config) *Budget {
	if cfg.Window == 0 {
		cfg.Window = 10 * time.Second
	}
	return &Budget{cfg: cfg, hosts: 1, buckets: make(map[core.ServiceID]*bucket)}
}

// SetHosts takes in the number of hosts that share the budget.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(n, 1)
}

// Deposit counts a request to a service, which earns a part of a retry.
func (b *Budget) Deposit(s core.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(s)
	k.tokens = min(k.tokens+b.cfg.Ratio*ratioPart, b.depth())
}

// Withdraw takes a retry and reports whether there was one.
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

// depth is half of the extra that this host may use in one window; the
// other half comes with time.
func (b *Budget) depth() float64 {
	return max(b.cfg.MinRetries*extraPart/2/float64(b.hosts), 1)
}

func (b *Budget) bucket(s core.ServiceID) *bucket {
	now := b.cfg.Timer.Now()
	k := b.buckets[s]
	if k == nil {
		k = &bucket{tokens: b.depth(), at: now}
		b.buckets[s] = k
	}
	perSecond := b.cfg.MinRetries * extraPart / 2 / float64(b.hosts) / b.cfg.Window.Seconds()
	k.tokens = min(k.tokens+(now-k.at).Seconds()*perSecond, b.depth())
	k.at = now
	return k
}
