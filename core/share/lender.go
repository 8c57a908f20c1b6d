package share

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/timer"
)

// LenderConfig configures a Lender. Domain, Table, Timer, ActingEpoch,
// SeatCheck and
// DomainOf are required.
type LenderConfig struct {
	Domain core.DomainID
	Table  core.Table
	Timer  core.Timer
	// ActingEpoch returns the epoch of the domain's seat and whether this host may
	// act in the seat now. Epoch 1 is the first of a domain; there are no loans
	// from before it.
	ActingEpoch func() (epoch uint64, ok bool)
	// SeatCheck returns a check of the seat row that makes commits of earlier seat
	// holders fail, and false if there is none.
	SeatCheck func() (core.Write, bool)
	// DomainOf returns the domain of a host.
	DomainOf func(core.HostID) (core.DomainID, bool)
	// NewToken returns a new random token for a write. Nil means a random UUID.
	NewToken func() string
	// LoanDuration is the duration of a loan, counted by the borrower. Zero means
	// 12 s.
	LoanDuration time.Duration
	// DemandTimeConstant is the time constant of the smoothed demand that decides on
	// transfers. Zero means 10 s.
	DemandTimeConstant time.Duration
	// TransferInterval is the shortest time between two transfers of a resource by this
	// domain. Zero means 60 s.
	TransferInterval time.Duration
	// ReadAllInterval is the time between two reads of all rows. Zero means 60 s.
	ReadAllInterval time.Duration
	// MaxCommitsPerSecond limits the commits of this lender per second. Zero means 2.
	MaxCommitsPerSecond float64
}

func (c LenderConfig) withDefaults() LenderConfig {
	setDefault(&c.LoanDuration, 12*time.Second)
	setDefault(&c.DemandTimeConstant, 10*time.Second)
	setDefault(&c.TransferInterval, time.Minute)
	setDefault(&c.ReadAllInterval, time.Minute)
	if c.MaxCommitsPerSecond <= 0 {
		c.MaxCommitsPerSecond = 2
	}
	if c.NewToken == nil {
		c.NewToken = uuid.NewString
	}
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// withDriftMargin extends a duration that another host measures by 10%, the
// margin for clock drift.
func withDriftMargin(d time.Duration) time.Duration { return d + d/10 }

// Lender manages the amounts of one failure domain while its host acts in the
// domain's seat: it applies the limits to the rows of the table, lends to
// hosts and transfers amounts to other domains. It is safe for concurrent use;
// loan requests are answered while Step waits for the table.
type Lender struct {
	cfg    LenderConfig
	stepMu sync.Mutex // serializes Step

	mu             sync.Mutex
	limits         Limits
	epoch          uint64
	hasEpoch       bool
	renewOnlyUntil time.Duration // before this time, loans are only renewed
	states         map[core.Resource]*resourceState
	lastRequests   map[borrower]lastRequest
	nextReadAll    time.Duration // time of the next read of all rows
	allRowsRead    bool          // all rows were read in this epoch
	commitLimiter  *rate.Limiter
	stats          LenderStats
}

type lastRequest struct {
	seq uint64
	at  time.Duration
}

// LenderStats counts the work of a Lender.
type LenderStats struct {
	Requests        uint64 // loan requests answered
	RefusedRequests uint64 // loan requests refused
	Reads           uint64 // reads of the table, each page of a list counted
	Commits         uint64 // commits sent to the table
	Transfers       uint64 // transfers with a confirmed commit
	UnknownCommits  uint64 // commits with an unknown outcome
}

// resourceState is the state of one resource in a lender.
type resourceState struct {
	loans    ledger
	pool     pool
	rowKnown bool // row, version and token were read or written in this epoch
	row      Row
	version  uint64
	token    string
	// ceiling, if set, limits what is usable while a lowering of the row is
	// prepared or its outcome is unknown.
	ceiling     *core.Amount
	planned     *transfer
	unconfirmed *Row // write with an unknown outcome that expects the present version
	// needsRead requests a read of the row before the next read of all rows:
	// the domain's hosts demand more than it has, a host reported a transfer to
	// the domain, or the outcome of a commit was not a success.
	needsRead    bool
	nextRead     time.Duration
	readInterval time.Duration
	nextTransfer time.Duration // earliest time of the next transfer
	// demand is the smoothed demand for this domain's amount in thousandths of
	// a request per second, by the domain of the hosts.
	demand        map[core.DomainID]float64
	demandUpdated time.Duration
	lastRecipient core.DomainID // recipient of the last transfer
	lastTransfer  time.Duration
	rowMissing    bool
	missingSince  time.Duration // when the row was found to be missing
}

// transfer is a planned transfer to another domain.
type transfer struct {
	recipient core.DomainID
	amount    core.Amount
	plannedAt time.Duration
}

// NewLender returns a Lender without limits. The caller registers Handle for
// the message kind loan-ask, calls SetLimits for each configuration version,
// and either runs Run or calls Step about once a second.
func NewLender(cfg LenderConfig) *Lender {
	cfg = cfg.withDefaults()
	return &Lender{
		cfg:           cfg,
		states:        make(map[core.Resource]*resourceState),
		lastRequests:  make(map[borrower]lastRequest),
		commitLimiter: rate.NewLimiter(rate.Limit(cfg.MaxCommitsPerSecond), max(1, int(cfg.MaxCommitsPerSecond*5))),
	}
}

// SetLimits sets the limits of a configuration version. A version older than
// the present one is ignored.
func (k *Lender) SetLimits(l Limits) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l.Version < k.limits.Version {
		return
	}
	k.limits = l
}

// Handle answers a core.LoanRequest message; see Grant for the errors. A message of
// another kind fails with PeerKind, and one that names another host than its
// sender with PeerRefused. It implements core.MessageHandler.
func (k *Lender) Handle(_ context.Context, from core.HostID, m core.Message) (core.Message, error) {
	ask, ok := m.(core.LoanRequest)
	if !ok {
		return nil, codes.New(codes.PeerKind, "share: received a message of kind %s, expected loan-ask", m.Kind())
	}
	if ask.Host != from {
		return nil, codes.New(codes.PeerRefused, "share: loan request names host %s but came from host %s", ask.Host, from)
	}
	return k.Grant(ask)
}

// Grant answers a loan request. It fails with SeatLost if this host may not act
// in the seat, and with PeerRefused if this or a later request of the borrower
// was received before.
func (k *Lender) Grant(m core.LoanRequest) (core.LoanResponse, error) {
	epoch, ok := k.cfg.ActingEpoch()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !ok || (k.hasEpoch && epoch < k.epoch) {
		k.stats.RefusedRequests++
		return core.LoanResponse{}, codes.New(codes.SeatLost, "share: this host does not act in the seat of domain %s", k.cfg.Domain)
	}
	now := k.cfg.Timer.Now()
	k.enterEpoch(epoch, now)
	b := borrower{m.Host, m.Incarnation}
	if last, ok := k.lastRequests[b]; ok && m.Seq <= last.seq {
		k.stats.RefusedRequests++
		return core.LoanResponse{}, codes.New(codes.PeerRefused, "share: loan request %d of host %s is out of date, request %d was received before", m.Seq, m.Host, last.seq)
	}
	k.lastRequests[b] = lastRequest{m.Seq, now}
	k.stats.Requests++
	grant := core.LoanResponse{Epoch: epoch, TTL: k.cfg.LoanDuration}
	domain, _ := k.cfg.DomainOf(m.Host)
	for _, item := range m.Items {
		loan := k.grantLoan(now, b, domain, item)
		loan.ShareMoved = k.recentlyTransferred(now, item.Resource, domain)
		grant.Loans = append(grant.Loans, loan)
	}
	return grant, nil
}

// recentlyTransferred reports whether an amount was transferred to a domain
// within half a loan length. That is two renewals at the defaults, so at least
// one answer to each host of the domain says so.
func (k *Lender) recentlyTransferred(now time.Duration, r core.Resource, to core.DomainID) bool {
	st := k.state(r)
	return to != k.cfg.Domain && st.lastRecipient == to && now-st.lastTransfer < k.cfg.LoanDuration/2
}

// enterEpoch resets the state for a new epoch. After a takeover, the lender
// only renews loans for one loan length, because it does not know the loans of
// its predecessor.
func (k *Lender) enterEpoch(epoch uint64, now time.Duration) {
	if k.hasEpoch && k.epoch == epoch {
		return
	}
	k.hasEpoch, k.epoch = true, epoch
	k.states = make(map[core.Resource]*resourceState)
	k.allRowsRead, k.nextReadAll = false, 0
	k.renewOnlyUntil = 0
	if epoch > 1 {
		k.renewOnlyUntil = now + withDriftMargin(k.cfg.LoanDuration)
	}
}

func (k *Lender) state(r core.Resource) *resourceState {
	st := k.states[r]
	if st == nil {
		st = &resourceState{loans: make(ledger)}
		k.states[r] = st
	}
	return st
}

// usable returns what the domain may lend of a resource, and whether that is
// known.
func (k *Lender) usable(r core.Resource, st *resourceState) (core.Amount, bool) {
	if l, ok := k.limits.Slots[r]; ok {
		if l.includes(k.cfg.Domain) {
			return l.Amount, true
		}
		return core.Amount{}, true
	}
	if _, ok := k.limits.Rates[r]; !ok && k.limits.Version > 0 {
		return core.Amount{}, true
	}
	if !st.rowKnown {
		return core.Amount{}, false
	}
	amount := st.row.Amounts[k.cfg.Domain]
	if st.ceiling != nil {
		amount = amount.Min(*st.ceiling)
	}
	return amount, true
}

// grantLoan decides on one item of a loan request and records the loan.
func (k *Lender) grantLoan(now time.Duration, b borrower, domain core.DomainID, item core.LoanItem) core.Loan {
	st := k.state(item.Resource)
	if item.ShareMoved {
		st.needsRead, st.nextRead = true, now
	}
	k.refillPool(now, item.Resource, st)
	rec := st.loans[b]
	if rec == nil {
		rec = &loanRecord{}
		st.loans[b] = rec
	}
	// The sequence number makes the report exact: the borrower holds this much,
	// and no answer to an earlier request can change it.
	held := item.Held.Max(core.Amount{})
	*rec = loanRecord{domain: domain, amount: held, expires: now + withDriftMargin(k.cfg.LoanDuration), demand: item.Demand, lastRequest: now}
	amount := k.loanAmount(now, st, b, held, item)
	rec.amount = held.Max(amount)
	k.refillPool(now, item.Resource, st)
	rec.tokensInFlight = st.pool.grant(item.TokenDeficit, domain != k.cfg.Domain)
	return core.Loan{Resource: item.Resource, Amount: amount, Tokens: rec.tokensInFlight}
}

func (k *Lender) loanAmount(now time.Duration, st *resourceState, b borrower, held core.Amount, item core.LoanItem) core.Amount {
	usable, known := k.usable(item.Resource, st)
	if !known {
		// The predecessor lowered the row only after its loans had shrunk, so
		// the reported loans fit the amount that is not read yet.
		st.needsRead = true
		if now < k.renewOnlyUntil {
			return held
		}
		return core.Amount{}
	}
	lentToOthers := st.loans.outstanding(now).Sub(held)
	room := usable.Sub(lentToOthers)
	room.Burst -= st.loans.tokensInFlight()
	room = room.Max(core.Amount{})
	ownBorrowers, foreignBorrowers := st.loans.active(now, k.cfg.LoanDuration, k.cfg.Domain)
	target := st.loans.target(usable, ownBorrowers, foreignBorrowers, b)
	if _, sum := st.loans.demands(ownBorrowers, rateOf); sum > usable.Rate {
		st.needsRead = true
	}
	if now < k.renewOnlyUntil {
		return held.Min(room)
	}
	if keepsLoan(held, target, item.Demand) && held.Fits(room) {
		return held
	}
	return target.Min(room)
}

// keepsLoan reports whether a loan stays as it is because the target differs
// by less than an eighth or by less than rateTolerance. Each reduction of a
// loan loses tokens.
func keepsLoan(held, target, demand core.Amount) bool {
	if held.Slots != target.Slots || held.Rate < lentShare(demand.Rate) || target.Rate == 0 {
		return false
	}
	near := func(a, b int64) bool { return max(a-b, b-a) < max(a/8, rateTolerance) }
	return near(held.Rate, target.Rate) && (held.Burst == target.Burst || near(held.Burst, target.Burst))
}

// Outstanding returns the most that hosts may now hold of a resource, including loans
// that may not have arrived.
func (k *Lender) Outstanding(r core.Resource) core.Amount {
	k.mu.Lock()
	defer k.mu.Unlock()
	if st := k.states[r]; st != nil {
		return st.loans.outstanding(k.cfg.Timer.Now())
	}
	return core.Amount{}
}

// Usable returns what the domain may lend of a resource, and whether that is
// known.
func (k *Lender) Usable(r core.Resource) (core.Amount, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.usable(r, k.state(r))
}

// Stats returns the counts since NewLender.
func (k *Lender) Stats() LenderStats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stats
}

// Excess is the amount of a domain above its part of a lowered limit.
type Excess struct {
	Resource core.Resource
	Domain   core.DomainID
	Amount   core.Amount
}

// PendingReductions returns the domains that have not lowered their amounts yet after
// the limit was lowered or the domain was removed from it, as of the last
// reads.
func (k *Lender) PendingReductions() []Excess {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []Excess
	for r, st := range k.states {
		l, ok := k.limits.Rates[r]
		if !ok || !st.rowKnown {
			continue
		}
		for _, d := range sortedDomains(st.row.Amounts) {
			amount := st.row.Amounts[d]
			excess := core.Amount{}
			if p, lowered := st.row.Parts[d]; lowered {
				excess = amount.Sub(p).Max(core.Amount{})
			}
			if !l.includes(d) {
				excess = amount
			}
			if !excess.IsZero() {
				list = append(list, Excess{Resource: r, Domain: d, Amount: excess})
			}
		}
	}
	return list
}

// Run calls Step once a second until the context ends. It runs in the caller's
// goroutine.
func (k *Lender) Run(ctx context.Context) {
	timer.Every(ctx, k.cfg.Timer, "share-keeper", time.Second, nil, func(ctx context.Context) { k.Step(ctx) })
}
