package rates

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/share"
)

// DemandReporter is where a Limiter tells its demand; *share.Holder is one.
type DemandReporter interface {
	// SetDemand sets what the host could use of a resource.
	SetDemand(r core.Resource, want core.Amount)
	// RequestMore asks at once for more of a resource: for slots, or for the
	// tokens, in thousandths of a request, that requests lack.
	RequestMore(r core.Resource, tokens int64)
}

// LimiterConfig configures a Limiter. Timer is required for Wait and Run.
type LimiterConfig struct {
	Timer core.Timer
	// MaxWait bounds the wait for tokens. Zero means 1 s.
	MaxWait time.Duration
	// MaxQueued bounds the requests that wait. Zero means 1024.
	MaxQueued int
	// HasCapacity, if set, reports whether the host can take one more request out
	// of the queue. While it cannot, workspaces take turns.
	HasCapacity func() bool
	// DefaultRetryAfter is the retry-after of a refusal if the loans say nothing: the
	// time in which an ask for loans is usually answered. Zero means 1 s.
	DefaultRetryAfter time.Duration
}

// Limiter admits requests against the loans of a host. It is safe for
// concurrent use.
type Limiter struct {
	cfg     LimiterConfig
	lender  atomic.Pointer[DemandReporter]
	mu      sync.Mutex // guards changes of index
	index   atomic.Pointer[index]
	queueMu sync.Mutex
	queue   FairQueue
}

// index finds buckets without a lock; it is copied for each change.
type index struct {
	workspaces map[core.WorkspaceID]*bucket
	resources  map[core.Resource]*bucket
}

// NewLimiter returns a Limiter that knows no workspaces.
func NewLimiter(cfg LimiterConfig) *Limiter {
	if cfg.MaxWait <= 0 {
		cfg.MaxWait = time.Second
	}
	if cfg.MaxQueued <= 0 {
		cfg.MaxQueued = 1024
	}
	if cfg.DefaultRetryAfter <= 0 {
		cfg.DefaultRetryAfter = time.Second
	}
	l := &Limiter{cfg: cfg, queue: FairQueue{MaxItems: cfg.MaxQueued}}
	l.index.Store(&index{})
	return l
}

// SetDemandReporter sets the lender. It is called before the first request.
func (l *Limiter) SetDemandReporter(lender DemandReporter) { l.lender.Store(&lender) }

// RefusedError is the error of a refused request. Its code is that of the
// resource: RateExceeded, ShiftCapped or LinkFull; or QueueFull.
type RefusedError struct {
	Code     codes.Code
	Resource core.Resource
	// RetryAfter is how long the present loans need until they could admit the
	// request, if nothing else came. It is LimiterConfig.Retry if they never
	// could.
	RetryAfter time.Duration
}

// Error implements error.
func (r *RefusedError) Error() string {
	return "rates: " + string(r.Resource) + " refused, retry after " + r.RetryAfter.String()
}

// Unwrap returns the coded error.
func (r *RefusedError) Unwrap() error {
	return codes.New(r.Code, "rates: %s refused, retry after %s", r.Resource, r.RetryAfter)
}

// SetLimits makes the resources of a configuration known and forgets all
// others. Buckets of known resources keep their tokens.
func (l *Limiter) SetLimits(limits share.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.index.Load()
	next := &index{
		workspaces: make(map[core.WorkspaceID]*bucket, len(limits.Rates)),
		resources:  make(map[core.Resource]*bucket, len(limits.Rates)),
	}
	for r := range limits.Rates {
		b := old.resources[r]
		name, ok := strings.CutPrefix(string(r), "rate/")
		if b == nil {
			// Waiting requests read the name without a lock, so it is set
			// before the bucket is found and never again.
			b = &bucket{resource: r, name: core.WorkspaceID(name)}
		}
		next.resources[r] = b
		if ok {
			next.workspaces[b.name] = b
		}
	}
	l.index.Store(next)
	for r := range old.resources {
		if next.resources[r] == nil {
			l.want(r, core.Amount{})
		}
	}
}

func (l *Limiter) want(r core.Resource, a core.Amount) {
	if lender := l.lender.Load(); lender != nil {
		(*lender).SetDemand(r, a)
	}
}

// SetLoans replaces the loans of a resource. It fits
// share.HolderConfig.Changed. Loans of unknown resources are ignored.
func (l *Limiter) SetLoans(now time.Duration, r core.Resource, parts []share.Loan) {
	if b := l.index.Load().resources[r]; b != nil {
		b.set(now, parts)
	}
}

// AddTokens adds tokens that a lender gave. Waiting requests get them first;
// what then is above the burst is dropped, because the lender reserves room
// for it only until the next ask. It fits share.HolderConfig.Tokens.
func (l *Limiter) AddTokens(now time.Duration, r core.Resource, tokens int64) {
	b := l.index.Load().resources[r]
	if b == nil || tokens <= 0 {
		return
	}
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	b.mu.Lock()
	b.refill(now)
	b.tokens += tokens
	b.mu.Unlock()
	l.pump(now)
	b.mu.Lock()
	b.clamp()
	b.mu.Unlock()
}

// need asks the lender for the tokens that a resource lacks.
func (l *Limiter) need(r core.Resource, tokens int64) {
	if lender := l.lender.Load(); lender != nil && tokens > 0 {
		(*lender).RequestMore(r, tokens)
	}
}

// Admit decides at once about a request of a workspace; weight is in
// thousandths of a request. The error is a *Refusal, or carries NoConfig
// for an unknown workspace and RequestBad for a weight below one. A request
// never overtakes those of its workspace that wait.
func (l *Limiter) Admit(now time.Duration, w core.WorkspaceID, weight int64) error {
	b := l.index.Load().workspaces[w]
	if b == nil {
		return codes.New(codes.NoConfig, "rates: workspace %s is not in the configuration", w)
	}
	return l.admit(now, b, weight)
}

// AdmitResource decides at once about the use of any rate resource, for example a
// shift's cap. Errors are those of Admit.
func (l *Limiter) AdmitResource(now time.Duration, r core.Resource, weight int64) error {
	b := l.index.Load().resources[r]
	if b == nil {
		return codes.New(codes.NoConfig, "rates: resource %s is not in the configuration", r)
	}
	return l.admit(now, b, weight)
}

func (l *Limiter) admit(now time.Duration, b *bucket, weight int64) error {
	if weight < 1 {
		return codes.New(codes.RequestBad, "rates: weight %d of a request is below 1", weight)
	}
	b.mu.Lock()
	b.demand.offer(now, weight)
	if b.queued == 0 && b.take(now, weight) {
		b.mu.Unlock()
		return nil
	}
	after := b.until(weight, b.queued)
	refusal := l.refuse(b, after)
	bare, lack := b.burst == 0, b.lack(now, weight)
	b.mu.Unlock()
	if bare {
		l.want(b.resource, b.wanted())
	}
	l.need(b.resource, lack)
	return refusal
}

// wanted returns the present want. A resource whose estimate is not yet
// updated wants at least what was offered.
func (b *bucket) wanted() core.Amount {
	b.mu.Lock()
	defer b.mu.Unlock()
	want := b.demand.want()
	want.Rate = max(want.Rate, b.demand.offered)
	return want
}

// refuse counts a refusal. The bucket is locked.
func (l *Limiter) refuse(b *bucket, after time.Duration) *RefusedError {
	b.stats.Refused++
	if b.burst == 0 {
		b.stats.RefusedWithoutLoan++
	}
	if after == never {
		after = l.cfg.DefaultRetryAfter
	}
	return &RefusedError{Code: codeOf(b.resource), Resource: b.resource, RetryAfter: after}
}

func codeOf(r core.Resource) codes.Code {
	switch {
	case strings.HasPrefix(string(r), "shift/"):
		return codes.ShiftCapped
	case strings.HasPrefix(string(r), "link/"):
		return codes.LinkFull
	default:
		return codes.RateExceeded
	}
}

// ReportDemand updates the demand estimates and tells them to the lender. Its owner
// calls it every 500 ms or so.
func (l *Limiter) ReportDemand(now time.Duration) {
	for r, b := range l.index.Load().resources {
		b.mu.Lock()
		before := b.demand.ever
		b.demand.update(now)
		want := b.demand.want()
		b.mu.Unlock()
		if before || !want.IsZero() {
			l.want(r, want)
		}
	}
}

// Held returns the rate and burst of the unexpired loans of a workspace.
func (l *Limiter) Held(now time.Duration, w core.WorkspaceID) core.Amount {
	b := l.index.Load().workspaces[w]
	if b == nil {
		return core.Amount{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return core.Amount{Rate: b.rate, Burst: b.burst}
}

// Stats returns the counts of a workspace.
func (l *Limiter) Stats(w core.WorkspaceID) Stats {
	b := l.index.Load().workspaces[w]
	if b == nil {
		return Stats{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// Run calls Pump and Tick until the context ends. It runs in the caller's
// goroutine.
func (l *Limiter) Run(ctx context.Context) {
	pump := l.cfg.Timer.NewTicker("rates-pump", 10*time.Millisecond)
	defer pump.Stop()
	var tick time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-pump.C():
		}
		now := l.cfg.Timer.Now()
		l.ProcessQueue(now)
		if now >= tick {
			l.ReportDemand(now)
			tick = now + 500*time.Millisecond
		}
	}
}
