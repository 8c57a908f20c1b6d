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

// HolderConfig configures a Holder. Host, Domain, Peers, Timer and Seat are
// required.
type HolderConfig struct {
	Host        core.HostID
	Incarnation uint64
	Domain      core.DomainID
	Peers       core.Peers
	Timer       core.Timer
	// Seat returns the host that is thought to hold the seat of a domain.
	Seat func(core.DomainID) (core.HostID, bool)
	// Lenders lists the other domains that may lend when the own domain is
	// short, nearest first. Nil means none.
	Lenders func() []core.DomainID
	// Local answers asks if the seat holder is this host. Nil means that
	// they go through Peers as well.
	Local func(core.LoanAsk) (core.LoanGrant, error)
	// Changed is told the loans of a resource after each change by an
	// answer, in the order of the changes and before the next ask is sent.
	// It must not call the Holder. Expiries are not told; the parts name
	// them.
	Changed func(now time.Duration, r core.Resource, parts []Part)
	// Tokens is told tokens that a seat holder gives beside the loans. It is
	// called after Changed, and must not call the Holder either. Nil means
	// that none are asked for.
	Tokens func(now time.Duration, r core.Resource, tokens int64)
	// InUse returns the slots of a resource that are taken by requests.
	// They are reported as held even if the loan is smaller. Nil means none.
	InUse func(core.Resource) int64
	// Renew is the time between two asks to a lender. Zero means 3 s.
	Renew time.Duration
	// Gap is the shortest time between two asks to a lender. Zero means
	// 100 ms.
	Gap time.Duration
	// Timeout bounds one ask. Zero means 1 s.
	Timeout time.Duration
}

// Part is a loan of one lender.
type Part struct {
	Lender core.DomainID
	Amount core.Amount
	Until  time.Duration // local monotonic time of the expiry
}

// Sum returns the sum of the parts that have not expired.
func Sum(parts []Part, now time.Duration) core.Amount {
	var sum core.Amount
	for _, p := range parts {
		if now < p.Until {
			sum = sum.Add(p.Amount)
		}
	}
	return sum
}

// Holder keeps the loans of one host: it asks the seat holder of its domain
// and, for what that one lacks, seat holders of other domains. It is safe
// for concurrent use.
type Holder struct {
	cfg  HolderConfig
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
	loans   map[core.Resource][]Part
	lenders map[core.DomainID]*lender
	turn    int           // position in the list of other domains
	fails   int           // other domains in a row that lent nothing
	pause   time.Duration // no ask for a new foreign loan until then
	// returned says that the host gives its loans back and takes no more.
	returned bool
	stats    HolderStats
}

// HolderStats counts what a Holder did.
type HolderStats struct {
	Asks   uint64 // asks sent
	Failed uint64 // asks without a usable answer
	Items  uint64 // items in the asks sent
}

type lender struct {
	busy   bool
	seq    uint64
	epoch  uint64
	next   time.Duration
	last   time.Duration
	urgent bool
}

// NewHolder returns a Holder without loans. Its owner calls Step and Borrow
// about every 100 ms, or Run.
func NewHolder(cfg HolderConfig) *Holder {
	setDefault(&cfg.Renew, 3*time.Second)
	setDefault(&cfg.Gap, 100*time.Millisecond)
	setDefault(&cfg.Timeout, time.Second)
	return &Holder{
		cfg:     cfg,
		wake:    make(chan struct{}, 1),
		wants:   make(map[core.Resource]core.Amount),
		asked:   make(map[core.Resource]core.Amount),
		moved:   make(map[core.Resource]bool),
		shorts:  make(map[core.Resource]int64),
		lacks:   make(map[core.Resource]int64),
		dry:     make(map[core.Resource]time.Duration),
		loans:   make(map[core.Resource][]Part),
		lenders: make(map[core.DomainID]*lender),
	}
}

// Want sets what the host could use of a resource. It asks at once if the
// loans are short of it. A zero amount lets the loans go.
func (h *Holder) Want(r core.Resource, want core.Amount) {
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
	held := Sum(h.loans[r], now)
	told := h.asked[r]
	short := held.Rate < want.Rate-small(want.Rate) || held.Slots < want.Slots
	grown := want.Rate*8 > told.Rate*9 || want.Slots > told.Slots
	if short && grown {
		h.hurry()
	}
}

// Need asks at once for more of a resource, at most once per Gap: for slots,
// or for the tokens that waiting requests lack. After an ask that brought no
// tokens, the next waits a third of Renew.
func (h *Holder) Need(r core.Resource, tokens int64) {
	now := h.cfg.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.returned {
		return
	}
	if tokens <= 0 || h.cfg.Tokens == nil {
		h.hurry()
		return
	}
	if now >= h.dry[r] {
		h.shorts[r] = tokens
		h.signal()
	}
}

func (h *Holder) hurry() {
	h.lender(h.cfg.Domain).urgent = true
	h.signal()
}

func (h *Holder) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Held returns what the host holds of a resource at a time.
func (h *Holder) Held(r core.Resource, now time.Duration) core.Amount {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Sum(h.loans[r], now)
}

// Loans returns the unexpired loans of a resource.
func (h *Holder) Loans(r core.Resource, now time.Duration) []Part {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []Part
	for _, p := range h.loans[r] {
		if now < p.Until {
			list = append(list, p)
		}
	}
	return list
}

// Stats returns the counts so far.
func (h *Holder) Stats() HolderStats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stats
}

func (h *Holder) lender(d core.DomainID) *lender {
	l := h.lenders[d]
	if l == nil {
		l = &lender{}
		h.lenders[d] = l
	}
	return l
}

// Step asks the own domain if an ask is due. It waits for the answer.
func (h *Holder) Step(ctx context.Context) {
	h.mu.Lock()
	now, l := h.cfg.Timer.Now(), h.lender(h.cfg.Domain)
	due := now >= l.next || (l.urgent && now >= l.last+h.cfg.Gap) || (now >= l.last+h.cfg.Renew/3 && h.short(now))
	tokens := len(h.shorts) > 0 && now >= l.last+h.cfg.Gap
	h.mu.Unlock()
	switch {
	case due:
		_, _ = h.ask(ctx, h.cfg.Domain, h.ownItems)
	case tokens:
		_, _ = h.ask(ctx, h.cfg.Domain, h.shortItems)
	}
}

// short reports whether some loans are below the need.
func (h *Holder) short(now time.Duration) bool {
	for r, want := range h.wants {
		if held := Sum(h.loans[r], now); held.Rate < want.Rate-small(want.Rate) || held.Slots < want.Slots {
			return true
		}
	}
	return false
}

// ownItems lists what is held from the own domain and what is wanted.
func (h *Holder) ownItems(now time.Duration) []core.LoanItem {
	var items []core.LoanItem
	for _, r := range h.resources() {
		held := h.heldFrom(h.cfg.Domain, r, now)
		want := h.wants[r]
		if held.IsZero() && want.IsZero() {
			h.forget(r, now)
			continue
		}
		h.asked[r] = want
		items = append(items, core.LoanItem{Resource: r, Held: held, Want: want, Moved: h.moved[r], Short: h.shorts[r]})
	}
	return items
}

// forget removes what is kept of a resource that is not wanted, unless
// another domain still lends it.
func (h *Holder) forget(r core.Resource, now time.Duration) {
	delete(h.asked, r)
	delete(h.dry, r)
	delete(h.moved, r)
	if Sum(h.loans[r], now).IsZero() {
		delete(h.loans, r)
	}
}

func (h *Holder) resources() []core.Resource {
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

func (h *Holder) heldFrom(d core.DomainID, r core.Resource, now time.Duration) core.Amount {
	var held core.Amount
	for _, p := range h.loans[r] {
		if p.Lender == d && now < p.Until {
			held = p.Amount
		}
	}
	if d == h.cfg.Domain && h.cfg.InUse != nil {
		held.Slots = max(held.Slots, h.cfg.InUse(r))
	}
	return held
}

// ask sends one ask and applies its answer. It returns by how much the rate
// lent by the domain grew. The report is built together with the sequence
// number: a lender relies on the report of the highest number.
func (h *Holder) ask(ctx context.Context, d core.DomainID, build func(time.Duration) []core.LoanItem) (int64, error) {
	h.mu.Lock()
	l, now := h.lender(d), h.cfg.Timer.Now()
	if l.busy {
		h.mu.Unlock()
		return 0, codes.New(codes.PeerRefused, "share: an ask to domain %s is under way", d)
	}
	items := build(now)
	if len(items) == 0 {
		l.urgent, l.next = false, now+h.cfg.Gap
		h.mu.Unlock()
		return 0, nil
	}
	l.busy, l.last = true, now
	h.sent(d, l, items, now)
	l.seq++
	m := core.LoanAsk{Host: h.cfg.Host, Incarnation: h.cfg.Incarnation, Seq: l.seq, Epoch: l.epoch, Items: items}
	h.stats.Asks++
	h.stats.Items += uint64(len(items))
	h.mu.Unlock()
	grant, err := h.send(ctx, d, m)
	h.mu.Lock()
	defer h.mu.Unlock()
	l.busy = false
	if err != nil {
		h.stats.Failed++
		l.next = min(l.next, h.cfg.Timer.Now()+h.cfg.Renew/4)
		return 0, err
	}
	l.epoch = grant.Epoch
	return h.apply(d, l, items, grant, now), nil
}

// sent notes what an ask tells. An ask for tokens alone does not put off
// the next renewal.
func (h *Holder) sent(d core.DomainID, l *lender, items []core.LoanItem, now time.Duration) {
	tokens := now < l.next
	for _, item := range items {
		tokens = tokens && item.Short > 0
		if d == h.cfg.Domain {
			delete(h.moved, item.Resource)
			delete(h.shorts, item.Resource)
		}
	}
	if !tokens {
		l.urgent, l.next = false, now+h.cfg.Renew
	}
}

func (h *Holder) send(ctx context.Context, d core.DomainID, m core.LoanAsk) (core.LoanGrant, error) {
	host, ok := h.cfg.Seat(d)
	if !ok {
		return core.LoanGrant{}, codes.New(codes.PeerUnknown, "share: seat holder of domain %s is not known", d)
	}
	if host == h.cfg.Host && h.cfg.Local != nil {
		return h.cfg.Local(m)
	}
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timeout)
	defer cancel()
	answer, err := h.cfg.Peers.Call(ctx, host, m)
	if err != nil {
		return core.LoanGrant{}, err
	}
	grant, ok := answer.(core.LoanGrant)
	if !ok {
		return core.LoanGrant{}, codes.New(codes.PeerKind, "share: host %s answered a loan ask with %s", host, answer.Kind())
	}
	return grant, nil
}

// apply replaces the loans of a lender. They expire by the time at which
// the ask was sent.
func (h *Holder) apply(d core.DomainID, l *lender, items []core.LoanItem, grant core.LoanGrant, sent time.Duration) int64 {
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
		h.replace(loan.Resource, Part{Lender: d, Amount: loan.Amount, Until: sent + grant.Length}, now)
		if now < sent+grant.Length {
			gained += h.credit(d, item, loan, now)
		}
		gained += loan.Amount.Rate - held.Rate
		if loan.Moved {
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

func (h *Holder) replace(r core.Resource, part Part, now time.Duration) {
	var parts []Part
	for _, p := range h.loans[r] {
		if p.Lender != part.Lender && now < p.Until {
			parts = append(parts, p)
		}
	}
	if !part.Amount.IsZero() && now < part.Until {
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		delete(h.loans, r)
	} else {
		h.loans[r] = parts
	}
	if h.cfg.Changed != nil {
		h.cfg.Changed(now, r, slices.Clone(parts))
	}
}

// Return gives all loans back and takes no more, as a stopping host does.
// Loans of lenders that cannot be reached expire.
func (h *Holder) Return(ctx context.Context) error {
	now := h.cfg.Timer.Now()
	h.mu.Lock()
	h.returned = true
	h.wants = make(map[core.Resource]core.Amount)
	items := make(map[core.DomainID][]core.LoanItem)
	for _, r := range h.resources() {
		parts := h.loans[r]
		delete(h.loans, r)
		if h.cfg.Changed != nil {
			h.cfg.Changed(now, r, nil)
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
func (h *Holder) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		timer.Every(ctx, h.cfg.Timer, "share-holder", h.cfg.Gap/2, nil, h.Borrow)
	}()
	timer.Every(ctx, h.cfg.Timer, "share-holder", h.cfg.Gap/2, h.wake, h.Step)
	<-done
}
