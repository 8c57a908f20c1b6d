// Package order runs orders at most once per workspace and idempotency key.
// Entry hosts use it for the routes whose requests must not be repeated.
//
// A claim row is committed to the table before the order is sent, and the
// whole answer is recorded after it. Claims, answers and releases of
// concurrent orders share commits. The package needs a core.Table and a
// core.Timer; everything else is optional.
package order

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"azurering/core"
	"azurering/core/codes"
)

// Config configures Orders. Table and Timer are required.
type Config struct {
	Table core.Table
	// Objects stores answers larger than MaxInlineBytes. Without it
	// every answer is stored in the row.
	Objects core.ObjectStore
	// Peers asks the claiming host whether an order still runs. Without it, a
	// repeat of a running order at another host is answered with
	// OrderUnknown.
	Peers core.Peers
	Timer core.Timer
	// Now returns the wall time that dates claims and ages keys. Nil means
	// time.Now. The clocks of all hosts must agree within Skew.
	Now func() time.Time

	// Host must not contain "~", which separates the parts of issued keys.
	Host        core.HostID
	Incarnation uint64
	// Alive reports whether a host is alive according to membership. A host
	// that refuted a suspicion continues with a higher incarnation, so an
	// older incarnation of a live host counts as alive: the host itself then
	// decides by the claim's token. Nil means that no other host is alive.
	Alive func(core.HostID, uint64) bool

	// MaxPending bounds the orders that wait, run, or are being recorded or
	// released. One workspace gets at most half, and less if others have
	// orders pending. Zero means 4096.
	MaxPending int
	// MaxBatch bounds the writes of a commit. Zero means core.MaxCommitWrites, which
	// is also the maximum.
	MaxBatch int
	// Writers bounds the commits in flight. Zero means 2, so that one slow
	// commit does not stop all others.
	Writers int
	// Linger is how long a write waits for others to share its commit while a
	// writer is free. Zero means 2 ms, negative means none.
	Linger time.Duration
	// MaxInlineBytes bounds the bytes of an encoded answer that is stored in the row.
	// Zero means 4 KiB; the maximum is 32 KiB, because a DynamoDB transaction
	// holds 4 MB.
	MaxInlineBytes int
	// DefaultTimeout bounds the wait of an order without a deadline. Zero means 30 s.
	DefaultTimeout time.Duration
	// CommitTimeout bounds one call of the table, the object store or a peer.
	// Zero means 2 s.
	CommitTimeout time.Duration
	// MaxCommitDelay is how long a commit with an unknown outcome may still take
	// effect. Zero means 60 s.
	MaxCommitDelay time.Duration
	// Retention is how long a record is kept. Zero means 48 h.
	Retention time.Duration
	// Skew bounds the difference between the hosts' wall clocks. Zero means
	// 10 min.
	Skew time.Duration
	// PrefixPeriod is how long the prefix of issued keys stays the same; it is
	// accepted for one period longer. Zero means 1 h.
	PrefixPeriod time.Duration
	// MaxUnrecordedBytes bounds the bytes of answers that wait to be recorded. Zero means
	// 32 MiB.
	MaxUnrecordedBytes int
	// ShouldSweep reports whether this host deletes expired records now. Nil means
	// that it does. One sweeping host is enough for all.
	ShouldSweep func() bool
	// SweepPage is the number of rows that one sweep reads; there is one
	// sweep per second. Zero means 50.
	SweepPage int
	// Jitter is the fraction by which the delays between attempts at a
	// failing store are randomised. Zero means 0.2, negative means none.
	Jitter float64
}

// Request is an order to run.
type Request struct {
	Workspace core.WorkspaceID
	Key       string   // idempotency key, at most 255 printable ASCII characters
	Hash      [32]byte // result of Hash; a repeat with another hash is refused
	// Deadline is in the time of Config.Timer. The order is not sent after
	// it. Zero means Config.DefaultTimeout from now.
	Deadline time.Duration
}

// Result is the whole answer to an order.
type Result struct {
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool // the answer is that to an earlier request
}

// Send sends an order once and returns the whole answer. Its error is a
// *core.SendError; any other error counts as core.SendUnknown.
type Send func(ctx context.Context) (Result, error)

// Hash returns the hash that distinguishes requests with the same key. The
// path includes the service.
func Hash(method, path string, body []byte) [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		// The length keeps the parts apart.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return [32]byte(h.Sum(nil))
}

// Stats counts events since New, and the pending orders.
type Stats struct {
	Pending         int    // orders that wait, run, or are being recorded or released
	Claimed         uint64 // claims that won their key
	Recorded        uint64 // answers written to the table
	Released        uint64 // claims deleted because the order did not run
	Repeated        uint64 // requests answered with an earlier answer
	Commits         uint64
	Conflicts       uint64 // commits refused because a condition did not hold
	UnknownOutcomes uint64 // commits with an unknown outcome
	Reads           uint64
	Expired         uint64 // expired records deleted
	LostAnswers     uint64 // answers whose claim row was gone or replaced
}

// Orders runs orders. It is safe for concurrent use. Run must be running
// for anything to be committed.
type Orders struct {
	cfg         Config
	runID       string // identifies this run of the host; part of issued keys
	wake        chan struct{}
	wakePutter  chan struct{}
	commitSlots chan struct{} // holds one item per commit in flight

	mu                 sync.Mutex
	calls              map[string]*call         // by row
	pendingByWorkspace map[core.WorkspaceID]int // calls by workspace
	queue              []*op
	largeAnswers       []*op                         // answers that wait for the object store
	orphans            map[string]*call              // by token: never sent, but the claim may still take effect
	settleQueue        []*call                       // orphans whose row is to be read
	batchLimit         int                           // maximum writes in the next commit; halved after an unknown outcome
	issuedClaims       map[int64]map[string][32]byte // hashes of claimed issued keys, by period and row
	unrecordedBytes    int                           // bytes of answers that are not recorded yet
	storeRetryAt       time.Duration                 // no commit starts before this time
	backoff            *backoff.ExponentialBackOff
	sweepCursor        string        // row key after which the next sweep starts
	sweepAt            time.Duration // start of the next pass over all records
	stats              Stats
}

// New returns an Orders and registers its handler of core.KindOrderStatusRequest.
func New(cfg Config) *Orders {
	cfg = cfg.withDefaults()
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier = 50*time.Millisecond, 2*time.Second, 2
	b.RandomizationFactor = cfg.Jitter
	o := &Orders{
		cfg:                cfg,
		runID:              uuid.NewString(),
		wake:               make(chan struct{}, 1),
		wakePutter:         make(chan struct{}, 1),
		commitSlots:        make(chan struct{}, cfg.Writers),
		calls:              make(map[string]*call),
		pendingByWorkspace: make(map[core.WorkspaceID]int),
		orphans:            make(map[string]*call),
		issuedClaims:       make(map[int64]map[string][32]byte),
		backoff:            b,
		batchLimit:         cfg.MaxBatch,
	}
	if cfg.Peers != nil {
		cfg.Peers.Handle(core.KindOrderStatusRequest, o.handlePeek)
	}
	return o
}

func (c Config) withDefaults() Config {
	setInt := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	setTime := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	setInt(&c.MaxPending, 4096)
	setInt(&c.MaxBatch, core.MaxCommitWrites)
	setInt(&c.Writers, 2)
	setInt(&c.MaxInlineBytes, 4<<10)
	setInt(&c.SweepPage, 50)
	setTime(&c.Linger, 2*time.Millisecond)
	setTime(&c.DefaultTimeout, 30*time.Second)
	setTime(&c.CommitTimeout, 2*time.Second)
	setTime(&c.MaxCommitDelay, time.Minute)
	setTime(&c.Retention, 48*time.Hour)
	setInt(&c.MaxUnrecordedBytes, 32<<20)
	setTime(&c.PrefixPeriod, defaultPeriod)
	setTime(&c.Skew, 10*time.Minute)
	c.MaxBatch = min(c.MaxBatch, core.MaxCommitWrites)
	c.MaxInlineBytes = min(c.MaxInlineBytes, 32<<10)
	if c.Jitter == 0 {
		c.Jitter = 0.2
	}
	c.Jitter = max(c.Jitter, 0)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Alive == nil {
		c.Alive = func(core.HostID, uint64) bool { return false }
	}
	return c
}

// Stats returns the current counters.
func (o *Orders) Stats() Stats {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.stats
	s.Pending = len(o.calls) + len(o.orphans)
	return s
}

// Drain waits until no order is pending, for a graceful shutdown after the
// last Do. If the context ends first, it returns the context's error with the
// code OrderUnknown: answers are not recorded yet, or claims not released.
func (o *Orders) Drain(ctx context.Context) error {
	for {
		pending := o.Stats().Pending
		if pending == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return codes.Wrap(ctx.Err(), codes.OrderUnknown, "order: %d orders are still pending", pending)
		case <-o.cfg.Timer.After(drainPollInterval):
		}
	}
}

// drainPollInterval is how often Drain checks for pending orders.
const drainPollInterval = 100 * time.Millisecond

// Do runs an order at most once. It calls send at most once, and only after
// the claim of this call is committed.
//
// Errors carry the codes OrderKeyMissing, RequestBad, OrderExpired,
// OrderMismatch (the key was used with another hash), OrderRunning,
// OrderUnknown (the order may have run) or OrderNotRun (the order has not run
// and will not run through this call; the cause says why). An answer is
// returned before it is recorded in the background. An order whose key has
// a prefix from KeyPrefix of this run does not need the store to run.
func (o *Orders) Do(ctx context.Context, r Request, send Send) (Result, error) {
	if err := o.validate(r); err != nil {
		return Result{}, err
	}
	if r.Deadline == 0 {
		r.Deadline = o.cfg.Timer.Now() + o.cfg.DefaultTimeout
	}
	if err := o.checkLive(ctx, r); err != nil {
		return Result{}, err
	}
	if k, ok := parseIssued(r.Key); ok {
		return o.doIssued(ctx, r, k, send)
	}
	for {
		result, retry, err := o.attempt(ctx, r, send)
		if !retry {
			return result, err
		}
	}
}

// attempt tries to claim the row once and runs the order if it succeeds. It
// reports true if an earlier claim of the key is gone by now and the caller
// should try again.
func (o *Orders) attempt(ctx context.Context, r Request, send Send) (Result, bool, error) {
	c, earlier, err := o.begin(r)
	if err != nil {
		return Result{}, false, err
	}
	if earlier != nil {
		return o.awaitEarlier(ctx, r, earlier)
	}
	v, err := o.awaitClaim(ctx, r, c)
	if err != nil {
		return Result{}, false, err
	}
	if !v.claimed {
		return o.answerRow(ctx, r, v.row)
	}
	if err := o.checkLive(ctx, r); err != nil {
		o.release(c)
		return Result{}, false, err
	}
	result, err := o.send(ctx, c, send)
	return result, false, err
}

// checkLive fails if the caller has disconnected or the deadline has
// passed.
func (o *Orders) checkLive(ctx context.Context, r Request) error {
	if err := ctx.Err(); err != nil {
		return codes.Wrap(err, codes.OrderNotRun, "order: caller disconnected before the order was sent")
	}
	if o.cfg.Timer.Now() >= r.Deadline {
		return deadlineError()
	}
	return nil
}

func deadlineError() error {
	return codes.New(codes.OrderNotRun, "order: deadline passed before the order was sent")
}

// send calls send and decides what happens to the claim.
func (o *Orders) send(ctx context.Context, c *call, send Send) (Result, error) {
	finished := false
	defer func() {
		// A panic of send keeps the claim: the order may have run.
		if !finished {
			o.keepClaim(c)
		}
	}()
	result, err := send(ctx)
	finished = true
	if err == nil {
		o.record(c, result)
		return result, nil
	}
	if notSent(err) {
		o.release(c)
		return Result{}, codes.Wrap(err, codes.OrderNotRun, "order: no server accepted the order")
	}
	o.keepClaim(c)
	return Result{}, codes.Wrap(err, codes.OrderUnknown, "order: the outcome of the order is unknown")
}
