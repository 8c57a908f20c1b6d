package share

import (
	"context"
	"slices"
	"sync"
	"time"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/timer"
)

// BorrowerConfig configures a Borrower. Host, Domain, Peers, Timer and SeatHolder are
// required. A restarted host needs a new Incarnation.
type BorrowerConfig struct {
	Host        core.HostID
	Incarnation uint64
	Domain      core.DomainID
	Peers       core.Peers
	Timer       core.Timer
	// SeatHolder returns the presumed seat holder of a domain, and false if none is
	// known.
	SeatHolder func(core.DomainID) (core.HostID, bool)
	// ForeignDomains returns the other domains to borrow from when the host's own
	// domain cannot meet the demand, nearest first. Nil means none.
	ForeignDomains func() []core.DomainID
	// HandleLocal answers loan requests if this host is the seat holder. Nil means
	// that they go through Peers as well.
	HandleLocal func(core.LoanRequest) (core.LoanResponse, error)
	// OnLoansChanged is called with the loans of a resource after each change by an
	// answer or by Return, in the order of the changes and before the next
	// request is sent. It must not call the Borrower. It is not called when a
	// loan expires; see Loan.ExpiresAt.
	OnLoansChanged func(now time.Duration, r core.Resource, parts []Loan)
	// OnTokens is called with the tokens, in thousandths of a request, that a
	// seat holder grants in addition to the loans. It is called after OnLoansChanged,
	// and must not call the Borrower. Nil means that no tokens are requested.
	OnTokens func(now time.Duration, r core.Resource, tokens int64)
	// SlotsInUse returns how many slots of a resource are taken by requests. They
	// are reported as held even if the loan is smaller. Nil means none.
	SlotsInUse func(core.Resource) int64
	// RenewInterval is the time between two renewals of the loans from a domain.
	// Requests for more and repeated requests are sent sooner. Zero means 3 s.
	RenewInterval time.Duration
	// MinRequestInterval is the shortest time between two loan requests to a domain. Zero
	// means 100 ms.
	MinRequestInterval time.Duration
	// RequestTimeout limits the wait for the answer to one loan request. Zero means
	// 1 s.
	RequestTimeout time.Duration
}

// Loan is the loan that a host holds from one domain.
type Loan struct {
	Lender    core.DomainID
	Amount    core.Amount
	ExpiresAt time.Duration // expiry, on the monotonic clock of HolderConfig.Timer
}

// SumLoans returns the sum of the parts that have not expired at now.
func SumLoans(parts []Loan, now time.Duration) core.Amount {
	var sum core.Amount
	for _, p := range parts {
		if now < p.ExpiresAt {
			sum = sum.Add(p.Amount)
		}
	}
	return sum
}

// Borrower obtains and renews the loans of one host: from the seat holder of its
// own domain and, as far as that is not enough, from those of other domains.
// It is safe for concurrent use.
type Borrower struct {
	cfg  BorrowerConfig
	wake chan struct{}

	mu          sync.Mutex
	demands     map[core.Resource]core.Amount
	reported    map[core.Resource]core.Amount // demands as last reported to the own domain
	transferred map[core.Resource]bool        // received transfers to report to the own domain
	// ownTokenRequests are the tokens to request from the own domain,
	// foreignTokenRequests those that it did not grant, to request from other
	// domains. tokenRetryAt is the earliest time of the next token request.
	ownTokenRequests     map[core.Resource]int64
	foreignTokenRequests map[core.Resource]int64
	tokenRetryAt         map[core.Resource]time.Duration
	loans                map[core.Resource][]Loan
	lenderStates         map[core.DomainID]*lenderState
	nextForeign          int           // index of the next domain to ask, modulo the length of Lenders
	failures             int           // consecutive other domains that lent too little
	foreignRetryAt       time.Duration // no request for a new loan of another domain before
	// returned is set by Return; from then on, the host takes no loans.
	returned bool
	stats    BorrowerStats
}

// BorrowerStats counts the loan requests of a Borrower.
type BorrowerStats struct {
	Requests       uint64 // loan requests sent
	FailedRequests uint64 // loan requests without a usable answer
	Items          uint64 // items in the loan requests sent
}

type lenderState struct {
	inFlight    bool
	seq         uint64
	epoch       uint64
	nextRenewal time.Duration
	lastRequest time.Duration
	urgent      bool
}

// NewBorrower returns a Borrower without loans. The caller either runs Run, or
// calls Step and Borrow about every 100 ms.
func NewBorrower(cfg BorrowerConfig) *Borrower {
	setDefault(&cfg.RenewInterval, 3*time.Second)
	setDefault(&cfg.MinRequestInterval, 100*time.Millisecond)
	setDefault(&cfg.RequestTimeout, time.Second)
	return &Borrower{
		cfg:                  cfg,
		wake:                 make(chan struct{}, 1),
		demands:              make(map[core.Resource]core.Amount),
		reported:             make(map[core.Resource]core.Amount),
		transferred:          make(map[core.Resource]bool),
		ownTokenRequests:     make(map[core.Resource]int64),
		foreignTokenRequests: make(map[core.Resource]int64),
		tokenRetryAt:         make(map[core.Resource]time.Duration),
		loans:                make(map[core.Resource][]Loan),
		lenderStates:         make(map[core.DomainID]*lenderState),
	}
}

// SetDemand sets the demand of the host for a resource. If the loans do not meet a
// grown demand, a loan request is sent as soon as MinRequestInterval allows. A zero amount
// gives the loans up. After Return, it is ignored.
func (h *Borrower) SetDemand(r core.Resource, demand core.Amount) {
	now := h.cfg.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if demand.IsZero() {
		delete(h.demands, r)
		return
	}
	if h.returned {
		return
	}
	h.demands[r] = demand
	held := SumLoans(h.loans[r], now)
	reported := h.reported[r]
	short := held.Rate < demand.Rate-pooledShare(demand.Rate) || held.Slots < demand.Slots
	hasGrown := demand.Rate*8 > reported.Rate*9 || demand.Slots > reported.Slots
	if short && hasGrown {
		h.requestSoon()
	}
}

// RequestMore requests more of a resource as soon as MinRequestInterval allows: slots if tokens is
// zero, else the tokens, in thousandths of a request, that waiting requests
// need. After a request that brought no tokens, the next one waits for a third
// of RenewInterval.
func (h *Borrower) RequestMore(r core.Resource, tokens int64) {
	now := h.cfg.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.returned {
		return
	}
	if tokens <= 0 || h.cfg.OnTokens == nil {
		h.requestSoon()
		return
	}
	if now >= h.tokenRetryAt[r] {
		h.ownTokenRequests[r] = tokens
		h.wakeUp()
	}
}

func (h *Borrower) requestSoon() {
	h.lenderState(h.cfg.Domain).urgent = true
	h.wakeUp()
}

func (h *Borrower) wakeUp() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Held returns the sum of the loans of a resource that are unexpired at now.
func (h *Borrower) Held(r core.Resource, now time.Duration) core.Amount {
	h.mu.Lock()
	defer h.mu.Unlock()
	return SumLoans(h.loans[r], now)
}

// Loans returns the loans of a resource that are unexpired at now.
func (h *Borrower) Loans(r core.Resource, now time.Duration) []Loan {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []Loan
	for _, p := range h.loans[r] {
		if now < p.ExpiresAt {
			list = append(list, p)
		}
	}
	return list
}

// Stats returns the counts since NewHolder.
func (h *Borrower) Stats() BorrowerStats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stats
}

func (h *Borrower) lenderState(d core.DomainID) *lenderState {
	l := h.lenderStates[d]
	if l == nil {
		l = &lenderState{}
		h.lenderStates[d] = l
	}
	return l
}

// Step sends a loan request to the host's own domain if one is due, and waits
// for the answer. A failed request is repeated by a later call.
func (h *Borrower) Step(ctx context.Context) {
	h.mu.Lock()
	now, l := h.cfg.Timer.Now(), h.lenderState(h.cfg.Domain)
	due := now >= l.nextRenewal || (l.urgent && now >= l.lastRequest+h.cfg.MinRequestInterval) || (now >= l.lastRequest+h.cfg.RenewInterval/3 && h.hasShortage(now))
	tokens := len(h.ownTokenRequests) > 0 && now >= l.lastRequest+h.cfg.MinRequestInterval
	h.mu.Unlock()
	switch {
	case due:
		_, _ = h.requestLoans(ctx, h.cfg.Domain, h.ownItems)
	case tokens:
		_, _ = h.requestLoans(ctx, h.cfg.Domain, h.tokenItems)
	}
}

// hasShortage reports whether the loans of a resource are below its demand.
func (h *Borrower) hasShortage(now time.Duration) bool {
	for r, demand := range h.demands {
		if held := SumLoans(h.loans[r], now); held.Rate < demand.Rate-pooledShare(demand.Rate) || held.Slots < demand.Slots {
			return true
		}
	}
	return false
}

// ownItems returns the items of a request to the host's own domain: what is
// held from it and the demand. It records the demand as reported.
func (h *Borrower) ownItems(now time.Duration) []core.LoanItem {
	var items []core.LoanItem
	for _, r := range h.resources() {
		held := h.heldFrom(h.cfg.Domain, r, now)
		demand := h.demands[r]
		if held.IsZero() && demand.IsZero() {
			h.removeIdle(r, now)
			continue
		}
		h.reported[r] = demand
		items = append(items, core.LoanItem{Resource: r, Held: held, Demand: demand, ShareMoved: h.transferred[r], TokenDeficit: h.ownTokenRequests[r]})
	}
	return items
}

// removeIdle removes the state of a resource without demand, except for loans
// of other domains.
func (h *Borrower) removeIdle(r core.Resource, now time.Duration) {
	delete(h.reported, r)
	delete(h.tokenRetryAt, r)
	delete(h.transferred, r)
	if SumLoans(h.loans[r], now).IsZero() {
		delete(h.loans, r)
	}
}

func (h *Borrower) resources() []core.Resource {
	list := make([]core.Resource, 0, len(h.demands))
	for r := range h.demands {
		list = append(list, r)
	}
	for r := range h.loans {
		if _, ok := h.demands[r]; !ok {
			list = append(list, r)
		}
	}
	slices.Sort(list)
	return list
}

func (h *Borrower) heldFrom(d core.DomainID, r core.Resource, now time.Duration) core.Amount {
	var held core.Amount
	for _, p := range h.loans[r] {
		if p.Lender == d && now < p.ExpiresAt {
			held = p.Amount
		}
	}
	if d == h.cfg.Domain && h.cfg.SlotsInUse != nil {
		held.Slots = max(held.Slots, h.cfg.SlotsInUse(r))
	}
	return held
}

// requestLoans sends one loan request and applies the answer. It returns by
// how much the rate lent by the domain grew, plus the tokens granted. The
// items are built under the same lock as the sequence number: a lender relies
// on the report with the highest number.
func (h *Borrower) requestLoans(ctx context.Context, d core.DomainID, build func(time.Duration) []core.LoanItem) (int64, error) {
	h.mu.Lock()
	l, now := h.lenderState(d), h.cfg.Timer.Now()
	if l.inFlight {
		h.mu.Unlock()
		return 0, codes.New(codes.PeerRefused, "share: a loan request to domain %s is still in flight", d)
	}
	items := build(now)
	if len(items) == 0 {
		l.urgent, l.nextRenewal = false, now+h.cfg.MinRequestInterval
		h.mu.Unlock()
		return 0, nil
	}
	l.inFlight, l.lastRequest = true, now
	h.recordSent(d, l, items, now)
	l.seq++
	m := core.LoanRequest{Host: h.cfg.Host, Incarnation: h.cfg.Incarnation, Seq: l.seq, Epoch: l.epoch, Items: items}
	h.stats.Requests++
	h.stats.Items += uint64(len(items))
	h.mu.Unlock()
	grant, err := h.send(ctx, d, m)
	h.mu.Lock()
	defer h.mu.Unlock()
	l.inFlight = false
	if err != nil {
		h.stats.FailedRequests++
		l.nextRenewal = min(l.nextRenewal, h.cfg.Timer.Now()+h.cfg.RenewInterval/4)
		return 0, err
	}
	l.epoch = grant.Epoch
	return h.applyGrant(d, l, items, grant, now), nil
}

// recordSent records what a request reports. A request for tokens alone does
// not postpone the next renewal.
func (h *Borrower) recordSent(d core.DomainID, l *lenderState, items []core.LoanItem, now time.Duration) {
	tokensOnly := now < l.nextRenewal
	for _, item := range items {
		tokensOnly = tokensOnly && item.TokenDeficit > 0
		if d == h.cfg.Domain {
			delete(h.transferred, item.Resource)
			delete(h.ownTokenRequests, item.Resource)
		}
	}
	if !tokensOnly {
		l.urgent, l.nextRenewal = false, now+h.cfg.RenewInterval
	}
}

func (h *Borrower) send(ctx context.Context, d core.DomainID, m core.LoanRequest) (core.LoanResponse, error) {
	host, ok := h.cfg.SeatHolder(d)
	if !ok {
		return core.LoanResponse{}, codes.New(codes.PeerUnknown, "share: seat holder of domain %s is not known", d)
	}
	if host == h.cfg.Host && h.cfg.HandleLocal != nil {
		return h.cfg.HandleLocal(m)
	}
	ctx, cancel := context.WithTimeout(ctx, h.cfg.RequestTimeout)
	defer cancel()
	answer, err := h.cfg.Peers.Call(ctx, host, m)
	if err != nil {
		return core.LoanResponse{}, err
	}
	grant, ok := answer.(core.LoanResponse)
	if !ok {
		return core.LoanResponse{}, codes.New(codes.PeerKind, "share: host %s answered a loan request with %s instead of loan-grant", host, answer.Kind())
	}
	return grant, nil
}

// applyGrant replaces the loans of a lender. Their duration counts from when
// the request was sent.
func (h *Borrower) applyGrant(d core.DomainID, l *lenderState, items []core.LoanItem, grant core.LoanResponse, sent time.Duration) int64 {
	now := h.cfg.Timer.Now()
	requested := make(map[core.Resource]core.LoanItem, len(items))
	for _, item := range items {
		requested[item.Resource] = item
	}
	var gained int64
	for _, loan := range grant.Loans {
		item, ok := requested[loan.Resource]
		if !ok {
			continue
		}
		held := item.Held
		delete(requested, loan.Resource)
		if h.returned {
			continue
		}
		h.replaceLoan(loan.Resource, Loan{Lender: d, Amount: loan.Amount, ExpiresAt: sent + grant.TTL}, now)
		if now < sent+grant.TTL {
			gained += h.creditTokens(d, item, loan, now)
		}
		gained += loan.Amount.Rate - held.Rate
		if loan.ShareMoved {
			h.transferred[loan.Resource] = true
			h.requestSoon()
		}
		if !held.Fits(loan.Amount) {
			// The lender may lend the difference only after the next request
			// reports the smaller loan.
			l.urgent = true
		}
	}
	return gained
}

func (h *Borrower) replaceLoan(r core.Resource, part Loan, now time.Duration) {
	var parts []Loan
	for _, p := range h.loans[r] {
		if p.Lender != part.Lender && now < p.ExpiresAt {
			parts = append(parts, p)
		}
	}
	if !part.Amount.IsZero() && now < part.ExpiresAt {
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		delete(h.loans, r)
	} else {
		h.loans[r] = parts
	}
	if h.cfg.OnLoansChanged != nil {
		h.cfg.OnLoansChanged(now, r, slices.Clone(parts))
	}
}

// Release gives all loans back, as a stopping host does; from then on, the
// Borrower takes no loans. It returns the first error. Loans of lenders that
// cannot be reached expire.
func (h *Borrower) Release(ctx context.Context) error {
	now := h.cfg.Timer.Now()
	h.mu.Lock()
	h.returned = true
	h.demands = make(map[core.Resource]core.Amount)
	items := make(map[core.DomainID][]core.LoanItem)
	for _, r := range h.resources() {
		parts := h.loans[r]
		delete(h.loans, r)
		if h.cfg.OnLoansChanged != nil {
			h.cfg.OnLoansChanged(now, r, nil)
		}
		for _, p := range parts {
			rest := h.heldFrom(p.Lender, r, now)
			items[p.Lender] = append(items[p.Lender], core.LoanItem{Resource: r, Held: rest})
		}
	}
	h.mu.Unlock()
	var firstErr error
	for _, d := range sortedKeys(items) {
		_, err := h.requestLoans(ctx, d, func(time.Duration) []core.LoanItem { return items[d] })
		if err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

func sortedKeys(m map[core.DomainID][]core.LoanItem) []core.DomainID {
	list := make([]core.DomainID, 0, len(m))
	for d := range m {
		list = append(list, d)
	}
	slices.Sort(list)
	return list
}

// Run calls Step and Borrow when they are due until the context ends. It runs
// Step in the caller's goroutine and Borrow in another, and returns after both
// have ended.
func (h *Borrower) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		timer.Every(ctx, h.cfg.Timer, "share-holder", h.cfg.MinRequestInterval/2, nil, h.BorrowForeign)
	}()
	timer.Every(ctx, h.cfg.Timer, "share-holder", h.cfg.MinRequestInterval/2, h.wake, h.Step)
	<-done
}
