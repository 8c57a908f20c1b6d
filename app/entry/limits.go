package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/fx"

	"azurering/core"
	"azurering/core/config"
	"azurering/core/member"
	"azurering/core/rates"
	"azurering/core/share"
	"azurering/core/sheet"
	"azurering/io/setup"
)

// maxRateWait bounds how long a request waits for tokens of its workspace. A
// loan request within the region fits into it.
const maxRateWait = 500 * time.Millisecond

var limitModule = fx.Module("limits",
	fx.Provide(newLimits, newLender, newBorrower, newLimiter),
	fx.Invoke(runLimits),
)

func newLimiter(t core.Timer) *rates.Limiter {
	return rates.NewLimiter(rates.LimiterConfig{Timer: t})
}

func newLender(s setup.Settings, t core.Timer, table core.Table, st *state, d *directory, p core.Peers) *share.Lender {
	k := share.NewLender(share.LenderConfig{
		Domain: s.Domain, Table: table, Timer: t, ActingEpoch: st.Seat.Acting, SeatCheck: st.Seat.Fence,
		DomainOf: d.domainOf, LoanDuration: s.Loan,
	})
	p.Handle(core.KindLoanRequest, k.Handle)
	return k
}

// limits groups the parts that limit what this host may use: the lender lends
// the shares of its failure domain, the borrower keeps the loans of this host,
// and the limiter admits requests.
type limits struct {
	lender   *share.Lender
	borrower *share.Borrower
	limiter  *rates.Limiter
}

func newLimits(k *share.Lender, h *share.Borrower, l *rates.Limiter, hb *hub) *limits {
	l.SetDemandReporter(h)
	hb.subscribe(func(c config.State) {
		limits := share.LimitsOf(c.Version, c.Sheet)
		k.SetLimits(limits)
		l.SetLimits(limits)
	})
	return &limits{lender: k, borrower: h, limiter: l}
}

type borrowerDeps struct {
	fx.In
	Settings  setup.Settings
	Self      self
	Timer     core.Timer
	Peers     core.Peers
	State     *state
	Group     *member.View
	Directory *directory
	Keeper    *share.Lender
	Limiter   *rates.Limiter
	SlotLoans *slotLoans
}

func newBorrower(d borrowerDeps) *share.Borrower {
	finder := newSeatFinder(d.State, d.Self.Domain, d.Timer.Now)
	return share.NewBorrower(share.BorrowerConfig{
		Host: d.Self.Name, Incarnation: d.Self.Incarnation, Domain: d.Self.Domain,
		Peers: d.Peers, Timer: d.Timer, SeatHolder: finder.find, HandleLocal: d.Keeper.Grant,
		ForeignDomains: func() []core.DomainID { return otherDomains(d.State.Log.Current().Sheet, d.Self.Domain) },
		OnLoansChanged: func(now time.Duration, r core.Resource, parts []share.Loan) {
			if strings.HasPrefix(string(r), "slots/") {
				d.SlotLoans.set(r, parts)
				return
			}
			d.Limiter.SetLoans(now, r, parts)
		},
		OnTokens:   d.Limiter.AddTokens,
		SlotsInUse: d.SlotLoans.inUse, RenewInterval: d.Settings.Loan / 4,
	})
}

// otherDomains returns all failure domains except own, those of its region
// first.
func otherDomains(s core.Sheet, own core.DomainID) []core.DomainID {
	region := sheet.RegionOf(s, own)
	var sameRegion, otherRegions []core.DomainID
	for _, r := range s.Regions {
		for _, d := range r.Domains {
			switch {
			case d == own:
			case r.Name == region:
				sameRegion = append(sameRegion, d)
			default:
				otherRegions = append(otherRegions, d)
			}
		}
	}
	return append(sameRegion, otherRegions...)
}

func runLimits(d *tasks, l *limits) {
	d.add(l.lender.Run)
	d.add(l.borrower.Run)
	d.add(l.limiter.Run)
}

// seatCacheTTL is how long the seat holder of another domain is cached, also
// if none was found.
const seatCacheTTL = 10 * time.Second

// seatFinder finds the seat holders to ask for loans. It caches those of other
// domains and is safe for concurrent use.
type seatFinder struct {
	state  *state
	domain core.DomainID
	now    func() time.Duration

	mu    sync.Mutex
	cache map[core.DomainID]cachedSeat
}

type cachedSeat struct {
	host    core.HostID
	foundAt time.Duration
}

func newSeatFinder(s *state, own core.DomainID, now func() time.Duration) *seatFinder {
	return &seatFinder{state: s, domain: own, now: now, cache: make(map[core.DomainID]cachedSeat)}
}

// find returns the host that is believed to hold the seat of a domain, and
// whether there is one. For another domain it may call hosts there, which
// takes up to heartbeatTimeout.
func (f *seatFinder) find(d core.DomainID) (core.HostID, bool) {
	if d == f.domain {
		holder, _ := f.state.Seat.Holder()
		return holder, holder != ""
	}
	f.mu.Lock()
	cached, ok := f.cache[d]
	f.mu.Unlock()
	if ok && f.now()-cached.foundAt < seatCacheTTL {
		return cached.host, cached.host != ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	host, err := f.state.Seat.FindHolder(ctx, d)
	if err != nil {
		host = ""
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cache[d] = cachedSeat{host: host, foundAt: f.now()}
	return host, host != ""
}
