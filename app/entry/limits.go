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

// rateWait bounds how long a request waits for tokens of its workspace. It
// covers an ask for a loan inside the region.
const rateWait = 500 * time.Millisecond

var limitModule = fx.Module("limits",
	fx.Provide(newLimits, newKeeper, newHolder, newLimiter),
	fx.Invoke(runLimits),
)

func newLimiter(t core.Timer) *rates.Limiter {
	return rates.NewLimiter(rates.LimiterConfig{Timer: t})
}

func newKeeper(s setup.Settings, t core.Timer, table core.Table, st *state, d *directory, p core.Peers) *share.Lender {
	k := share.NewLender(share.LenderConfig{
		Domain: s.Domain, Table: table, Timer: t, ActingEpoch: st.Seat.Acting, SeatCheck: st.Seat.Fence,
		DomainOf: d.domainOf, LoanDuration: s.Loan,
	})
	p.Handle(core.KindLoanRequest, k.Handle)
	return k
}

// limits joins the parts that know what this host may use.
type limits struct {
	keeper  *share.Lender
	holder  *share.Borrower
	limiter *rates.Limiter
}

func newLimits(k *share.Lender, h *share.Borrower, l *rates.Limiter, hb *hub) *limits {
	l.SetDemandReporter(h)
	hb.subscribe(func(c config.State) {
		limits := share.LimitsOf(c.Version, c.Sheet)
		k.SetLimits(limits)
		l.SetLimits(limits)
	})
	return &limits{keeper: k, holder: h, limiter: l}
}

type holderDeps struct {
	fx.In
	Settings setup.Settings
	Self     self
	Timer    core.Timer
	Peers    core.Peers
	State    *state
	Group    *member.View
	Dir      *directory
	Keeper   *share.Lender
	Limiter  *rates.Limiter
	Slots    *slotUse
}

func newHolder(d holderDeps) *share.Borrower {
	finder := newFinder(d.State, d.Self.Domain, d.Timer.Now)
	return share.NewBorrower(share.BorrowerConfig{
		Host: d.Self.Name, Incarnation: d.Self.Incarnation, Domain: d.Self.Domain,
		Peers: d.Peers, Timer: d.Timer, SeatHolder: finder.find, HandleLocal: d.Keeper.Grant,
		ForeignDomains: func() []core.DomainID { return otherDomains(d.State.Log.Current().Sheet, d.Self.Domain) },
		OnLoansChanged: func(now time.Duration, r core.Resource, parts []share.Loan) {
			if strings.HasPrefix(string(r), "slots/") {
				d.Slots.changed(r, parts)
				return
			}
			d.Limiter.SetLoans(now, r, parts)
		},
		OnTokens:   d.Limiter.AddTokens,
		SlotsInUse: d.Slots.inUse, RenewInterval: d.Settings.Loan / 4,
	})
}

// otherDomains returns the other domains, those of the own region first.
func otherDomains(s core.Sheet, own core.DomainID) []core.DomainID {
	region := sheet.RegionOf(s, own)
	var near, far []core.DomainID
	for _, r := range s.Regions {
		for _, d := range r.Domains {
			switch {
			case d == own:
			case r.Name == region:
				near = append(near, d)
			default:
				far = append(far, d)
			}
		}
	}
	return append(near, far...)
}

func runLimits(d *duties, l *limits) {
	d.add(l.keeper.Run)
	d.add(l.holder.Run)
	d.add(l.limiter.Run)
}

// finderLife is how long a found seat holder of another domain is used
// before it is looked for again.
const finderLife = 10 * time.Second

// finder finds seat holders for loans.
type finder struct {
	seat *state
	own  core.DomainID
	now  func() time.Duration

	mu    sync.Mutex
	known map[core.DomainID]found
}

type found struct {
	host core.HostID
	at   time.Duration
}

func newFinder(s *state, own core.DomainID, now func() time.Duration) *finder {
	return &finder{seat: s, own: own, now: now, known: make(map[core.DomainID]found)}
}

// find returns the host that is thought to hold the seat of a domain. For
// another domain it may ask there, which takes up to a heartbeat timeout.
func (f *finder) find(d core.DomainID) (core.HostID, bool) {
	if d == f.own {
		holder, _ := f.seat.Seat.Holder()
		return holder, holder != ""
	}
	f.mu.Lock()
	last, ok := f.known[d]
	f.mu.Unlock()
	if ok && f.now()-last.at < finderLife {
		return last.host, last.host != ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
	defer cancel()
	host, err := f.seat.Seat.FindHolder(ctx, d)
	if err != nil {
		host = ""
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known[d] = found{host: host, at: f.now()}
	return host, host != ""
}
