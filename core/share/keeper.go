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

// LenderConfig configures a Keeper. Domain, Table, Timer, Acting, Check and
// DomainOf are required.
type LenderConfig struct {
	Domain core.DomainID
	Table  core.Table
	Timer  core.Timer
	// ActingEpoch returns the epoch of the seat and whether the host may act in
	// it now. Epoch 1 is the first of a domain; nobody lent before it.
	ActingEpoch func() (epoch uint64, ok bool)
	// SeatCheck returns the check of the seat row that makes a commit of an
	// earlier holder fail, and false if there is none.
	SeatCheck func() (core.Write, bool)
	// DomainOf returns the domain of a host.
	DomainOf func(core.HostID) (core.DomainID, bool)
	// NewToken returns a new random token. Nil means a random UUID.
	NewToken func() string
	// LoanDuration is how long a loan lasts at the host. Zero means 12 s.
	LoanDuration time.Duration
	// DemandTimeConstant is the time constant of the smoothed needs that decide on
	// transfers. Zero means 10 s.
	DemandTimeConstant time.Duration
	// TransferInterval is the shortest time between two transfers of a resource by
	// this domain. Zero means 60 s.
	TransferInterval time.Duration
	// ReadAllInterval is the time between two reads of all rows. Zero means 60 s.
	ReadAllInterval time.Duration
	// MaxCommitsPerSecond bounds the commits of the domain per second. Zero means 2.
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

// drift adds the margin for clock drift to a duration that another host
// counts.
func drift(d time.Duration) time.Duration { return d + d/10 }

// Lender owns the amounts of one failure domain while its host acts in the
// domain's seat: it follows the rows of the table and lends to hosts. It is
// safe for concurrent use; asks are answered while Step waits for the table.
type Lender struct {
	cfg      LenderConfig
	stepping sync.Mutex // serialises Step

	mu       sync.Mutex
	limits   Limits
	epoch    uint64
	entered  bool
	adopting time.Duration // until then, loans are only renewed
	accounts map[core.Resource]*account
	seqs     map[borrower]seen
	reload   time.Duration // time of the next read of all rows
	loaded   bool          // all rows were read in this epoch
	budget   *rate.Limiter
	stats    LenderStats
}

type seen struct {
	seq uint64
	at  time.Duration
}

// LenderStats counts what a Keeper did.
type LenderStats struct {
	Requests        uint64 // loan asks answered
	RefusedRequests uint64 // loan asks refused
	Reads           uint64 // reads of the table
	Commits         uint64 // commits to the table
	Transfers       uint64 // transfers known to be committed
	UnknownCommits  uint64 // commits with an unknown outcome
}

// account is the state of one resource in a keeper.
type account struct {
	debts ledger
	pool  pool
	known bool // row, version and token were read or written in this epoch
	row   Row
	ver   uint64
	token string
	// floor, if set, is the amount that may still be used while a lowering
	// of the row is prepared or its outcome is unknown.
	floor   *core.Amount
	plan    *transfer
	pending *Row // a write whose outcome is unknown; it expected version ver
	// short says that the domain's hosts want more than there is.
	short   bool
	readAt  time.Duration
	readGap time.Duration
	moveAt  time.Duration // earliest next transfer
	// needs are the smoothed needs of the domain's own hosts and what the
	// hosts of each other domain want from this one.
	needs   map[core.DomainID]float64
	needsAt time.Duration
	movedTo core.DomainID // receiver of the last transfer
	movedAt time.Duration
	absent  bool
	missing time.Duration // when the row was found to be missing
}

// transfer is a planned transfer to another domain.
type transfer struct {
	to    core.DomainID
	part  core.Amount
	since time.Duration
}

// NewLender returns a keeper without limits. Its owner registers Handle for
// loan-ask, calls SetLimits for each configuration version and either Step
// about once a second or Run.
func NewLender(cfg LenderConfig) *Lender {
	cfg = cfg.withDefaults()
	return &Lender{
		cfg:      cfg,
		accounts: make(map[core.Resource]*account),
		seqs:     make(map[borrower]seen),
		budget:   rate.NewLimiter(rate.Limit(cfg.MaxCommitsPerSecond), max(1, int(cfg.MaxCommitsPerSecond*5))),
	}
}

// SetLimits sets the limits of a configuration version. An older version
// than the one in force is ignored.
func (k *Lender) SetLimits(l Limits) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l.Version < k.limits.Version {
		return
	}
	k.limits = l
}

// Handle answers loan-ask. It implements core.Handler.
func (k *Lender) Handle(_ context.Context, from core.HostID, m core.Message) (core.Message, error) {
	ask, ok := m.(core.LoanRequest)
	if !ok {
		return nil, codes.New(codes.PeerKind, "share: message of kind %s is not a loan ask", m.Kind())
	}
	if ask.Host != from {
		return nil, codes.New(codes.PeerRefused, "share: loan ask of host %s came from host %s", ask.Host, from)
	}
	return k.Grant(ask)
}

// Grant answers a loan ask. It fails with SeatLost if the host may not act in
// the seat, and with PeerRefused if a later ask of the host came before.
func (k *Lender) Grant(m core.LoanRequest) (core.LoanResponse, error) {
	epoch, ok := k.cfg.ActingEpoch()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !ok || (k.entered && epoch < k.epoch) {
		k.stats.RefusedRequests++
		return core.LoanResponse{}, codes.New(codes.SeatLost, "share: host does not act in the seat of domain %s", k.cfg.Domain)
	}
	now := k.cfg.Timer.Now()
	k.enter(epoch, now)
	b := borrower{m.Host, m.Incarnation}
	if last, ok := k.seqs[b]; ok && m.Seq <= last.seq {
		k.stats.RefusedRequests++
		return core.LoanResponse{}, codes.New(codes.PeerRefused, "share: loan ask %d of host %s came after ask %d", m.Seq, m.Host, last.seq)
	}
	k.seqs[b] = seen{m.Seq, now}
	k.stats.Requests++
	grant := core.LoanResponse{Epoch: epoch, TTL: k.cfg.LoanDuration}
	domain, _ := k.cfg.DomainOf(m.Host)
	for _, item := range m.Items {
		loan := k.lend(now, b, domain, item)
		loan.ShareMoved = k.moved(now, item.Resource, domain)
		grant.Loans = append(grant.Loans, loan)
	}
	return grant, nil
}

// moved reports whether a part was transferred to a domain within the last
// two renewals, so that at least one answer to each of its hosts says so.
func (k *Lender) moved(now time.Duration, r core.Resource, to core.DomainID) bool {
	a := k.account(r)
	return to != k.cfg.Domain && a.movedTo == to && now-a.movedAt < k.cfg.LoanDuration/2
}

// enter starts a new epoch. A new holder only renews loans for one loan
// length, because it does not know what its predecessor lent.
func (k *Lender) enter(epoch uint64, now time.Duration) {
	if k.entered && k.epoch == epoch {
		return
	}
	k.entered, k.epoch = true, epoch
	k.accounts = make(map[core.Resource]*account)
	k.loaded, k.reload = false, 0
	k.adopting = 0
	if epoch > 1 {
		k.adopting = now + drift(k.cfg.LoanDuration)
	}
}

func (k *Lender) account(r core.Resource) *account {
	a := k.accounts[r]
	if a == nil {
		a = &account{debts: make(ledger)}
		k.accounts[r] = a
	}
	return a
}

// usable returns what the domain may lend of a resource, and whether that
// is known.
func (k *Lender) usable(r core.Resource, a *account) (core.Amount, bool) {
	if l, ok := k.limits.Slots[r]; ok {
		if l.has(k.cfg.Domain) {
			return l.Amount, true
		}
		return core.Amount{}, true
	}
	if _, ok := k.limits.Rates[r]; !ok && k.limits.Version > 0 {
		return core.Amount{}, true
	}
	if !a.known {
		return core.Amount{}, false
	}
	amount := a.row.Amounts[k.cfg.Domain]
	if a.floor != nil {
		amount = amount.Min(*a.floor)
	}
	return amount, true
}

// lend decides on one item of an ask and records the debt.
func (k *Lender) lend(now time.Duration, b borrower, domain core.DomainID, item core.LoanItem) core.Loan {
	a := k.account(item.Resource)
	if item.ShareMoved {
		a.short, a.readAt = true, now
	}
	k.settlePool(now, item.Resource, a)
	d := a.debts[b]
	if d == nil {
		d = &debt{}
		a.debts[b] = d
	}
	// The sequence number makes the report exact: the borrower holds this
	// much and no answer to an earlier ask can change it.
	held := item.Held.Max(core.Amount{})
	*d = debt{domain: domain, amount: held, until: now + drift(k.cfg.LoanDuration), want: item.Demand, asked: now}
	amount := k.decide(now, a, b, held, item)
	d.amount = held.Max(amount)
	k.settlePool(now, item.Resource, a)
	d.flying = a.pool.dole(item.TokenDeficit, domain != k.cfg.Domain)
	return core.Loan{Resource: item.Resource, Amount: amount, Tokens: d.flying}
}

func (k *Lender) decide(now time.Duration, a *account, b borrower, held core.Amount, item core.LoanItem) core.Amount {
	usable, known := k.usable(item.Resource, a)
	if !known {
		// The predecessor lowered the row only after its loans had shrunk,
		// so what is reported fits the amount that is not yet read.
		a.short = true
		if now < k.adopting {
			return held
		}
		return core.Amount{}
	}
	others := a.debts.lent(now).Sub(held)
	room := usable.Sub(others)
	room.Burst -= a.debts.flying()
	room = room.Max(core.Amount{})
	own, foreign := a.debts.active(now, k.cfg.LoanDuration, k.cfg.Domain)
	target := a.debts.target(usable, own, foreign, b)
	if _, sum := a.debts.wants(own, rateOf); sum > usable.Rate {
		a.short = true
	}
	if now < k.adopting {
		return held.Min(room)
	}
	if keeps(held, target, item.Demand) && held.Fits(room) {
		return held
	}
	return target.Min(room)
}

// keeps reports whether a loan stays as it is because the target differs by
// less than an eighth. Each shrinking of a loan loses tokens.
func keeps(held, target, want core.Amount) bool {
	if held.Slots != target.Slots || held.Rate < pooled(want.Rate) || target.Rate == 0 {
		return false
	}
	near := func(a, b int64) bool { return max(a-b, b-a) < max(a/8, slack) }
	return near(held.Rate, target.Rate) && (held.Burst == target.Burst || near(held.Burst, target.Burst))
}

// Outstanding returns the most that hosts may now hold of a resource.
func (k *Lender) Outstanding(r core.Resource) core.Amount {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a := k.accounts[r]; a != nil {
		return a.debts.lent(k.cfg.Timer.Now())
	}
	return core.Amount{}
}

// Usable returns what the domain may lend of a resource, and whether the
// row is known.
func (k *Lender) Usable(r core.Resource) (core.Amount, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.usable(r, k.account(r))
}

// Stats returns the counts so far.
func (k *Lender) Stats() LenderStats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stats
}

// Excess is what a domain holds above its part of a lowered limit.
type Excess struct {
	Resource core.Resource
	Domain   core.DomainID
	Amount   core.Amount
}

// PendingReductions lists the domains that have not yet lowered their amounts to a
// lowered limit or a removal from the sheet, as of the last reads.
func (k *Lender) PendingReductions() []Excess {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []Excess
	for r, a := range k.accounts {
		l, ok := k.limits.Rates[r]
		if !ok || !a.known {
			continue
		}
		for _, d := range sortedDomains(a.row.Amounts) {
			amount := a.row.Amounts[d]
			over := core.Amount{}
			if p, lowered := a.row.Parts[d]; lowered {
				over = amount.Sub(p).Max(core.Amount{})
			}
			if !l.has(d) {
				over = amount
			}
			if !over.IsZero() {
				list = append(list, Excess{Resource: r, Domain: d, Amount: over})
			}
		}
	}
	return list
}

// Run calls Step once a second until the context ends. It runs in the
// caller's goroutine.
func (k *Lender) Run(ctx context.Context) {
	timer.Every(ctx, k.cfg.Timer, "share-keeper", time.Second, nil, func(ctx context.Context) { k.Step(ctx) })
}
