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

// DemandReporter receives the demand of a Limiter; *share.Borrower implements it.
type DemandReporter interface {
	// SetDemand sets the demand of the host for a resource.
	SetDemand(r core.Resource, want core.Amount)
	// RequestMore requests more of a resource at once: slots, or the tokens, in
	// thousandths of a request, that requests need.
	RequestMore(r core.Resource, tokens int64)
}

// LimiterConfig configures a Limiter. Timer is required for Wait and Run.
type LimiterConfig struct {
	Timer core.Timer
	// MaxWait limits how long a request waits for tokens. Zero means 1 s.
	MaxWait time.Duration
	// MaxQueued limits the number of waiting requests. Zero means 1024.
	MaxQueued int
	// HasCapacity, if set, reports whether the host has capacity for one more request.
	// While it has none, requests wait, and workspaces take turns when it has
	// some again. A call need not be followed by an admission.
	HasCapacity func() bool
	// DefaultRetryAfter is the retry-after of a refusal if the present loans can never
	// admit the request: the time in which a loan request is usually answered.
	// Zero means 1 s.
	DefaultRetryAfter time.Duration
}

// Limiter admits requests against the loans of a host. It is safe for
// concurrent use.
type Limiter struct {
	cfg      LimiterConfig
	reporter atomic.Pointer[DemandReporter]
	mu       sync.Mutex // serializes changes of index
	index    atomic.Pointer[index]
	queueMu  sync.Mutex
	queue    FairQueue
}

// index maps names to buckets. It is copied for each change, so that readers
// need no lock.
type index struct {
	workspaces map[core.WorkspaceID]*bucket
	resources  map[core.Resource]*bucket
}

// NewLimiter returns a Limiter without resources; see SetLimits.
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

// SetDemandReporter sets the receiver of the demands. Call it before the first
// request.
func (l *Limiter) SetDemandReporter(reporter DemandReporter) { l.reporter.Store(&reporter) }

// RefusedError is the error of a refused request. Its code is QueueFull, or depends
// on the resource: RateExceeded, ShiftCapped or LinkFull.
type RefusedError struct {
	Code     codes.Code
	Resource core.Resource
	// RetryAfter is how long the present loans need to admit the request after those
	// that already wait. It is LimiterConfig.DefaultRetryAfter if they never can.
	RetryAfter time.Duration
}

// Error implements error.
func (r *RefusedError) Error() string {
	return "rates: " + string(r.Resource) + " refused, retry after " + r.RetryAfter.String()
}

// Unwrap returns an error that carries the code, for codes.Of.
func (r *RefusedError) Unwrap() error {
	return codes.New(r.Code, "rates: %s refused, retry after %s", r.Resource, r.RetryAfter)
}

// SetLimits replaces the known resources by those of a configuration. Buckets
// of resources that stay keep their tokens; the demand for removed resources
// is reported as zero.
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
		workspace, isWorkspace := strings.CutPrefix(string(r), "rate/")
		if b == nil {
			// Waiting requests read the workspace without a lock, so it is set
			// before the bucket is published and never changes.
			b = &bucket{resource: r, workspace: core.WorkspaceID(workspace)}
		}
		next.resources[r] = b
		if isWorkspace {
			next.workspaces[b.workspace] = b
		}
	}
	l.index.Store(next)
	for r := range old.resources {
		if next.resources[r] == nil {
			l.reportDemand(r, core.Amount{})
		}
	}
}

func (l *Limiter) reportDemand(r core.Resource, demand core.Amount) {
	if reporter := l.reporter.Load(); reporter != nil {
		(*reporter).SetDemand(r, demand)
	}
}

// SetLoans replaces the loans of a resource. Loans of unknown resources are
// ignored. It fits share.BorrowerConfig.OnLoansChanged.
func (l *Limiter) SetLoans(now time.Duration, r core.Resource, parts []share.Loan) {
	if b := l.index.Load().resources[r]; b != nil {
		b.setLoans(now, parts)
	}
}

// AddTokens adds tokens, in thousandths of a request, that a lender granted.
// Waiting requests get them first. What then exceeds the burst is dropped,
// because the lender reserves room for it only until the next loan request. It
// fits share.BorrowerConfig.OnTokens.
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
	l.pumpLocked(now)
	b.mu.Lock()
	b.clamp()
	b.mu.Unlock()
}

// requestTokens requests the tokens that a resource is short of through the
// demand reporter.
func (l *Limiter) requestTokens(r core.Resource, tokens int64) {
	if reporter := l.reporter.Load(); reporter != nil && tokens > 0 {
		(*reporter).RequestMore(r, tokens)
	}
}

// Admit admits or refuses a request of a workspace without waiting; weight is
// in thousandths of a request. The error is a *RefusedError, or carries NoConfig
// for an unknown workspace and RequestBad for a weight below one. A request
// never overtakes waiting requests of its workspace.
func (l *Limiter) Admit(now time.Duration, w core.WorkspaceID, weight int64) error {
	b := l.index.Load().workspaces[w]
	if b == nil {
		return codes.New(codes.NoConfig, "rates: workspace %s is not in the configuration", w)
	}
	return l.admitNow(now, b, weight)
}

// AdmitResource admits or refuses the use of any rate resource, such as a shift's cap,
// without waiting. Errors are those of Admit.
func (l *Limiter) AdmitResource(now time.Duration, r core.Resource, weight int64) error {
	b := l.index.Load().resources[r]
	if b == nil {
		return codes.New(codes.NoConfig, "rates: resource %s is not in the configuration", r)
	}
	return l.admitNow(now, b, weight)
}

func (l *Limiter) admitNow(now time.Duration, b *bucket, weight int64) error {
	if weight < 1 {
		return codes.New(codes.RequestBad, "rates: request weight %d is below 1", weight)
	}
	b.mu.Lock()
	b.demand.record(now, weight)
	if b.queuedWeight == 0 && b.take(now, weight) {
		b.mu.Unlock()
		return nil
	}
	retryAfter := b.timeUntil(weight, b.queuedWeight)
	refusal := l.newRefusal(b, retryAfter)
	hasNoLoan, deficit := b.burst == 0, b.tokenDeficit(now, weight)
	b.mu.Unlock()
	if hasNoLoan {
		l.reportDemand(b.resource, b.currentDemand())
	}
	l.requestTokens(b.resource, deficit)
	return refusal
}

// currentDemand returns the present demand: at least the weight offered since
// the last update of the estimate, so that a new resource has a demand at
// once.
func (b *bucket) currentDemand() core.Amount {
	b.mu.Lock()
	defer b.mu.Unlock()
	demand := b.demand.estimate()
	demand.Rate = max(demand.Rate, b.demand.offered)
	return demand
}

// newRefusal counts a refusal and returns its error. The caller holds the lock
// of the bucket.
func (l *Limiter) newRefusal(b *bucket, retryAfter time.Duration) *RefusedError {
	b.stats.Refused++
	if b.burst == 0 {
		b.stats.RefusedWithoutLoan++
	}
	if retryAfter == unreachable {
		retryAfter = l.cfg.DefaultRetryAfter
	}
	return &RefusedError{Code: refusalCode(b.resource), Resource: b.resource, RetryAfter: retryAfter}
}

func refusalCode(r core.Resource) codes.Code {
	switch {
	case strings.HasPrefix(string(r), "shift/"):
		return codes.ShiftCapped
	case strings.HasPrefix(string(r), "link/"):
		return codes.LinkFull
	default:
		return codes.RateExceeded
	}
}

// ReportDemand updates the demand estimates and reports them to the DemandReporter.
// The caller calls it about every 500 ms, unless it uses Run.
func (l *Limiter) ReportDemand(now time.Duration) {
	for r, b := range l.index.Load().resources {
		b.mu.Lock()
		hadOffers := b.demand.hasOffers
		b.demand.update(now)
		demand := b.demand.estimate()
		b.mu.Unlock()
		if hadOffers || !demand.IsZero() {
			l.reportDemand(r, demand)
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

// Stats returns the counts of a workspace since its bucket was created, and
// zero for an unknown workspace.
func (l *Limiter) Stats(w core.WorkspaceID) Stats {
	b := l.index.Load().workspaces[w]
	if b == nil {
		return Stats{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// Run calls ProcessQueue every 10 ms and ReportDemand every 500 ms until the context ends. It
// runs in the caller's goroutine.
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
