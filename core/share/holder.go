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

// BorrowerConfig configures a Holder. Host, Domain, Peers, Timer and Seat are
// required.
type BorrowerConfig struct {
	Host        core.HostID
	Incarnation uint64
	Domain      core.DomainID
	Peers       core.Peers
	Timer       core.Timer
	// SeatHolder returns the host that is thought to hold the seat of a domain.
	SeatHolder func(core.DomainID) (core.HostID, bool)
	// ForeignDomains lists the other domains that may lend when the own domain is
	// short, nearest first. Nil means none.
	ForeignDomains func() []core.DomainID
	// HandleLocal answers asks if the seat holder is this host. Nil means that
	// they go through Peers as well.
	HandleLocal func(core.LoanRequest) (core.LoanResponse, error)
	// OnLoansChanged is told the loans of a resource after each change by an
	// answer, in the order of the changes and before the next ask is sent.
	// It must not call the Holder. Expiries are not told; the parts name
	// them.
	OnLoansChanged func(now time.Duration, r core.Resource, parts []Loan)
	// OnTokens is told tokens that a seat holder gives beside the loans. It is
	// called after Changed, and must not call the Holder either. Nil means
	// that none are asked for.
	OnTokens func(now time.Duration, r core.Resource, tokens int64)
	// SlotsInUse returns the slots of a resource that are taken by requests.
	// They are reported as held even if the loan is smaller. Nil means none.
	SlotsInUse func(core.Resource) int64
	// RenewInterval is the time between two asks to a lender. Zero means 3 s.
	RenewInterval time.Duration
	// MinRequestInterval is the shortest time between two asks to a lender. Zero means
	// 100 ms.
	MinRequestInterval time.Duration
	// RequestTimeout bounds one ask. Zero means 1 s.
	RequestTimeout time.Duration
}

// Loan is a loan of one lender.
type Loan struct {
	Lender    core.DomainID
	Amount    core.Amount
	ExpiresAt time.Duration // local monotonic time of the expiry
}

// SumLoans returns the sum of the parts that have not expired.
func SumLoans(parts []Loan, now time.Duration) core.Amount {
	var sum core.Amount
	for _, p := range parts {
		if now < p.ExpiresAt {
			sum = sum.Add(p.Amount)
		}
	}
	return sum
}

// Borrower keeps the loans of one host: it asks the seat holder of its domain
// and, for what that one lacks, seat holders of other domains. It is safe
// for concurrent use.
type Borrower struct {
	cfg  BorrowerConfig
	wake chan struct{}

	mu    sync.Mutex
	wants map[core.Resource]core.Amount
	asked map[core.Resource]core.Amount // wants that the own domain has been told
	moved map[core.Resource]bool        // transfers that the own domain has not been told
	// shorts are the tokens to ask of the own domain, lacks what it did not
	// give, to ask of the others; dry is when to ask for tokens again.
	shorts  map[core.Resource]int64
	lacks   map[core.Resource]int64
	dry     map[core.Resource]time.Duration
	loans   map[core.Resource][]Loan
	lenders map[core.DomainID]*lender
	turn    int           // position in the list of other domains
	fails   int           // other domains in a row that lent nothing
	pause   time.Duration // no ask for a new foreign loan until then
	// returned says that the host gives its loans back and takes no more.
	returned bool
	stats    BorrowerStats
}

// BorrowerStats counts what a Holder did.
type BorrowerStats struct {
	Requests       uint64 // asks sent
	FailedRequests uint64 // asks without a usable answer
	Items          uint64 // items in the asks sent
}

type lender struct {
	busy   bool
	seq    uint64
	epoch  uint64
	next   time.Duration
	last   time.Duration
	urgent bool
}

// NewBorrower returns a Holder without loans. Its owner calls Step and Borrow
// about every 100 ms, or Run.
func NewBorrower(cfg BorrowerConfig) *Borrower {
	setDefault(&cfg.RenewInterval, 3*time.Second)
	setDefault(&cfg.MinRequestInterval, 100*time.Millisecond)
	setDefault(&cfg.RequestTimeout, time.Second)
	return &Borrower{
		cfg:     cfg,
		wake:    make(chan struct{}, 1),
		wants:   make(map[core.Resource]core.Amount),
		asked:   make(map[core.Resource]core.Amount),
		moved:   make(map[core.Resource]bool),
		shorts:  make(map[core.Resource]int64),
		lacks:   make(map[core.Resource]int64),
		dry:     make(map[core.Resource]time.Duration),
		loans:   make(map[core.Resource][]Loan),
		lenders: make(map[core.DomainID]*lender),
	}
}

// SetDemand sets what the host could use of a resource. It asks at once if the
// loans are short of it. A zero amount lets the loans go.
func (h *Borrower) SetDemand(r core.Resource, want core.Amount) {
	now := h.cfg.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if want.IsZero() {
		delete(h.wants, r)
		return
	}
	if h.returned {
		return
	}
	h.wants[r] = want
	held := SumLoans(h.loans[r], now)
	told := h.asked[r]
	short := held.Rate < want.Rate-small(want.Rate) || held.Slots < want.Slots
	grown := want.Rate*8 > told.Rate*9 || want.Slots > told.Slots
	if short && grown {
		h.hurry()
	}
}

// RequestMore asks at once for more of a resource, at most once per Gap: for slots,
// or for the tokens that waiting requests lack. After an ask that brought no
// tokens, the next waits a third of Renew.
func (h *Borrower) RequestMore(r core.Resource, tokens int64) {
	now := h.cfg.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.returned {
		return
	}
	if tokens <= 0 || h.cfg.OnTokens == nil {
		h.hurry()
		return
	}
	if now >= h.dry[r] {
		h.shorts[r] = tokens
		h.signal()
	}
}

func (h *Borrower) hurry() {
	h.lender(h.cfg.Domain).urgent = true
	h.signal()
}

func (h *Borrower) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Held returns what the host holds of a resource at a time.
func (h *Borrower) Held(r core.Resource, now time.Duration) core.Amount {
	h.mu.Lock()
	defer h.mu.Unlock()
	return SumLoans(h.loans[r], now)
}

// Loans returns the unexpired loans of a resource.
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

// Stats returns the counts so far.
func (h *Borrower) Stats() BorrowerStats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stats
}

func (h *Borrower) lender(d core.DomainID) *lender {
	l := h.lenders[d]
	if l == nil {
		l = &lender{}
		h.lenders[d] = l
	}
	return l
}

// Step asks the own domain if an ask is due. It waits for the answer.
func (h *Borrower) Step(ctx context.Context) {
	h.mu.Lock()
	now, l := h.cfg.Timer.Now(), h.lender(h.cfg.Domain)
	due := now >= l.next || (l.urgent && now >= l.last+h.cfg.MinRequestInterval) || (now >= l.last+h.cfg.RenewInterval/3 && h.short(now))
	tokens := len(h.shorts) > 0 && now >= l.last+h.cfg.MinRequestInterval
	h.mu.Unlock()
	switch {
	case due:
		_, _ = h.ask(ctx, h.cfg.Domain, h.ownItems)
	case tokens:
		_, _ = h.ask(ctx, h.cfg.Domain, h.shortItems)
	}
}

// short reports whether some loans are below the need.
func (h *Borrower) short(now time.Duration) bool {
	for r, want := range h.wants {
		if held := SumLoans(h.loans[r], now); held.Rate < want.Rate-small(want.Rate) || held.Slots < want.Slots {
			return true
		}
	}
	return false
}

// ownItems lists what is held from the own domain and what is wanted.
func (h *Borrower) ownItems(now time.Duration) []core.LoanItem {
	var items []core.LoanItem
	for _, r := range h.resources() {
		held := h.heldFrom(h.cfg.Domain, r, now)
		want := h.wants[r]
		if held.IsZero() && want.IsZero() {
			h.forget(r, now)
			continue
		}
		h.asked[r] = want
		items = append(items, core.LoanItem{Resource: r, Held: held, Demand: want, ShareMoved: h.moved[r], TokenDeficit: h.shorts[r]})
	}
	return items
}

// forget removes what is kept of a resource that is not wanted, unless
// another domain still lends it.
func (h *Borrower) forget(r core.Resource, now time.Duration) {
	delete(h.asked, r)
	delete(h.dry, r)
	delete(h.moved, r)
	if SumLoans(h.loans[r], now).IsZero() {
		delete(h.loans, r)
	}
}

func (h *Borrower) resources() []core.Resource {
	names := make([]core.Resource, 0, len(h.wants))
	for r := range h.wants {
		names = append(names, r)
	}
	for r := range h.loans {
		if _, ok := h.wants[r]; !ok {
			names = append(names, r)
		}
	}
	slices.Sort(names)
	return names
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

// ask sends one ask and applies its answer. It returns by how much the rate
// lent by the domain grew. The report is built together with the sequence
// number: a lender relies on the report of the highest number.
func (h *Borrower) ask(ctx context.Context, d core.DomainID, build func(time.Duration) []core.LoanItem) (int64, error) {
	h.mu.Lock()
	l, now := h.lender(d), h.cfg.Timer.Now()
	if l.busy {
		h.mu.Unlock()
		return 0, codes.New(codes.PeerRefused, "share: an ask to domain %s is under way", d)
	}
	items := build(now)
	if len(items) == 0 {
		l.urgent, l.next = false, now+h.cfg.MinRequestInterval
		h.mu.Unlock()
		return 0, nil
	}
	l.busy, l.last = true, now
	h.sent(d, l, items, now)
	l.seq++
	m := core.LoanRequest{Host: h.cfg.Host, Incarnation: h.cfg.Incarnation, Seq: l.seq, Epoch: l.epoch, Items: items}
	h.stats.Requests++
	h.stats.Items += uint64(len(items))
	h.mu.Unlock()
	grant, err := h.send(ctx, d, m)
	h.mu.Lock()
	defer h.mu.Unlock()
	l.busy = false
	if err != nil {
		h.stats.FailedRequests++
		l.next = min(l.next, h.cfg.Timer.Now()+h.cfg.RenewInterval/4)
		return 0, err
	}
	l.epoch = grant.Epoch
	return h.apply(d, l, items, grant, now), nil
}

// sent notes what an ask tells. An ask for tokens alone does not put off
// the next renewal.
func (h *Borrower) sent(d core.DomainID, l *lender, items []core.LoanItem, now time.Duration) {
	tokens := now < l.next
	for _, item := range items {
		tokens = tokens && item.TokenDeficit > 0
		if d == h.cfg.Domain {
			delete(h.moved, item.Resource)
			delete(h.shorts, item.Resource)
		}
	}
	if !tokens {
		l.urgent, l.next = false, now+h.cfg.RenewInterval
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
		return core.LoanResponse{}, codes.New(codes.PeerKind, "share: host %s answered a loan ask with %s", host, answer.Kind())
	}
	return grant, nil
}

// apply replaces the loans of a lender. They expire by the time at which
// the ask was sent.
func (h *Borrower) apply(d core.DomainID, l *lender, items []core.LoanItem, grant core.LoanResponse, sent time.Duration) int64 {
	now := h.cfg.Timer.Now()
	before := make(map[core.Resource]core.LoanItem, len(items))
	for _, item := range items {
		before[item.Resource] = item
	}
	var gained int64
	for _, loan := range grant.Loans {
		item, ok := before[loan.Resource]
		if !ok {
			continue
		}
		held := item.Held
		delete(before, loan.Resource)
		if h.returned {
			continue
		}
		h.replace(loan.Resource, Loan{Lender: d, Amount: loan.Amount, ExpiresAt: sent + grant.TTL}, now)
		if now < sent+grant.TTL {
			gained += h.credit(d, item, loan, now)
		}
		gained += loan.Amount.Rate - held.Rate
		if loan.ShareMoved {
			h.moved[loan.Resource] = true
			h.hurry()
		}
		if !held.Fits(loan.Amount) {
			// The lender may lend the difference once it hears that the
			// smaller loan has arrived.
			l.urgent = true
		}
	}
	return gained
}

func (h *Borrower) replace(r core.Resource, part Loan, now time.Duration) {
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

// Release gives all loans back and takes no more, as a stopping host does.
// Loans of lenders that cannot be reached expire.
func (h *Borrower) Release(ctx context.Context) error {
	now := h.cfg.Timer.Now()
	h.mu.Lock()
	h.returned = true
	h.wants = make(map[core.Resource]core.Amount)
	items := make(map[core.DomainID][]core.LoanItem)
	for _, r := range h.resources() {
		parts := h.loans[r]
		delete(h.loans, r)
		if h.cfg.OnLoansChanged != nil {
			h.cfg.OnLoansChanged(now, r, nil)
		}
		for _, p := range parts {
			left := h.heldFrom(p.Lender, r, now)
			items[p.Lender] = append(items[p.Lender], core.LoanItem{Resource: r, Held: left})
		}
	}
	h.mu.Unlock()
	var failed error
	for _, d := range sortedKeys(items) {
		_, err := h.ask(ctx, d, func(time.Duration) []core.LoanItem { return items[d] })
		if err != nil && failed == nil {
			failed = err
		}
	}
	return failed
}

func sortedKeys(m map[core.DomainID][]core.LoanItem) []core.DomainID {
	list := make([]core.DomainID, 0, len(m))
	for d := range m {
		list = append(list, d)
	}
	slices.Sort(list)
	return list
}

// Run calls Step and Borrow when they are due until the context ends. It
// starts one goroutine for the asks to other domains.
func (h *Borrower) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		timer.Every(ctx, h.cfg.Timer, "share-holder", h.cfg.MinRequestInterval/2, nil, h.BorrowForeign)
	}()
	timer.Every(ctx, h.cfg.Timer, "share-holder", h.cfg.MinRequestInterval/2, h.wake, h.Step)
	<-done
}
