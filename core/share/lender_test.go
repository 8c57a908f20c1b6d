package share_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/share"
	"azurering/core/timer"
)

const loftRate = core.Resource("rate/loft")

// seatFixture provides the table, the limits and the seat epoch of each
// domain; epoch 0 means that no host may act in the seat.
type seatFixture struct {
	timer  *timer.Manual
	table  *fakes.Table
	limits share.Limits
	epoch  map[core.DomainID]uint64
}

func newSeatFixture(rate, burst int64, domains ...core.DomainID) *seatFixture {
	s := &seatFixture{timer: timer.NewManual(), table: &fakes.Table{}, epoch: map[core.DomainID]uint64{}}
	s.setLimit(1, rate, burst, domains...)
	for _, d := range domains {
		s.epoch[d] = 1
	}
	return s
}

func (s *seatFixture) setLimit(version uint64, rate, burst int64, domains ...core.DomainID) {
	s.limits = share.Limits{Version: version, Rates: map[core.Resource]share.Limit{
		loftRate: {Amount: core.Amount{Rate: rate, Burst: burst}, Domains: domains},
	}}
}

func (s *seatFixture) lender(d core.DomainID) *share.Lender { return s.lenderOn(d, s.table) }

func (s *seatFixture) lenderOn(d core.DomainID, table core.Table) *share.Lender {
	tokens := 0
	k := share.NewLender(share.LenderConfig{
		Domain: d, Table: table, Timer: s.timer,
		ActingEpoch: func() (uint64, bool) { return s.epoch[d], s.epoch[d] > 0 },
		SeatCheck: func() (core.Write, bool) {
			return core.Write{Kind: core.WriteCheck, Space: core.SpaceSeat, Key: string(d)}, true
		},
		// The first letter of a host's name is its domain.
		DomainOf: func(h core.HostID) (core.DomainID, bool) { return core.DomainID(h[:1]), true },
		NewToken: func() string { tokens++; return fmt.Sprint(d, tokens) },
	})
	k.SetLimits(s.limits)
	return k
}

func (s *seatFixture) row(t *testing.T) share.Row {
	t.Helper()
	row, err := s.table.Get(context.Background(), core.SpaceShare, string(loftRate))
	require.NoError(t, err)
	decoded, err := share.DecodeRow(row.Value)
	require.NoError(t, err)
	return decoded
}

func requestLoan(t *testing.T, k *share.Lender, host core.HostID, seq uint64, held, want int64) core.Amount {
	t.Helper()
	item := core.LoanItem{Resource: loftRate, Held: core.Amount{Rate: held, Burst: held}, Demand: core.Amount{Rate: want, Burst: 1000}}
	grant, err := k.Grant(core.LoanRequest{Host: host, Seq: seq, Items: []core.LoanItem{item}})
	require.NoError(t, err)
	return grant.Loans[0].Amount
}

// Guards against an initial split that loses units, and against two domains
// that both create a row when the answer to the first commit is lost.
func TestLenderCreatesRow(t *testing.T) {
	s := newSeatFixture(100_001, 7_003, "a", "b", "c")
	a, b := s.lender("a"), s.lender("b")
	ctx := context.Background()
	s.table.FailNextCommit(fakes.FaultLostResponse)
	a.Step(ctx)
	b.Step(ctx)
	row := s.row(t)
	require.Equal(t, core.Amount{Rate: 100_001, Burst: 7_003}, row.Sum())
	require.Equal(t, core.Amount{Rate: 33_334, Burst: 3_003}, row.Amounts["a"], "whole requests, and the remainder")
	s.timer.Advance(time.Second)
	a.Step(ctx)
	usable, known := a.Usable(loftRate)
	require.True(t, known, "the row was not read after the answer was lost")
	require.Equal(t, row.Amounts["a"], usable)
}

// Guards against amounts that are raised before the sum fits a lowered limit,
// amounts that lose units, and a domain above its part that Pending does not
// report.
func TestLenderAppliesChangedLimits(t *testing.T) {
	s := newSeatFixture(100_000, 100_000, "a", "b")
	ctx := context.Background()
	a, b := s.lender("a"), s.lender("b")
	a.Step(ctx)
	b.Step(ctx)
	s.setLimit(2, 50_001, 50_001, "a", "b")
	a.SetLimits(s.limits)
	a.Step(ctx)
	require.Equal(t, int64(25_001), s.row(t).Amounts["a"].Rate)
	require.Equal(t, int64(50_000), s.row(t).Amounts["b"].Rate, "a lowered the amount of another domain")
	require.Equal(t, []share.Excess{{Resource: loftRate, Domain: "b", Amount: core.Amount{Rate: 25_000, Burst: 25_000}}}, a.PendingReductions())
	s.timer.Advance(time.Minute)
	b.Step(ctx) // reads the row, but still has the old configuration
	require.Equal(t, int64(75_001), s.row(t).Sum().Rate)
	b.SetLimits(s.limits)
	s.timer.Advance(time.Minute)
	b.Step(ctx)
	require.Equal(t, core.Amount{Rate: 50_001, Burst: 50_001}, s.row(t).Sum())
	s.setLimit(3, 80_000, 80_000, "a", "b", "c")
	s.epoch["c"] = 1
	b.SetLimits(s.limits)
	s.timer.Advance(time.Minute)
	b.Step(ctx)
	require.Equal(t, core.Amount{Rate: 80_000, Burst: 80_000}, s.row(t).Sum())
	require.NotZero(t, s.row(t).Amounts["c"].Rate, "the added domain got no part of the higher limit")
}

// Guards against a domain that lends what it may have transferred away: after
// a commit with an unknown outcome it stays at the lower amount until it has
// read the row.
func TestLenderStaysAtLowerAmountAfterUnknownCommit(t *testing.T) {
	for _, fault := range []fakes.Fault{fakes.FaultLostResponse, fakes.FaultLostRequest} {
		s := newSeatFixture(100_000, 100_000, "a", "b")
		ctx := context.Background()
		a := s.lender("a")
		a.Step(ctx)
		seq := uint64(0)
		for range 30 {
			seq++
			requestLoan(t, a, "b1", seq, 0, 40_000)
			s.timer.Advance(time.Second)
			s.table.FailNextCommit(fault)
			a.Step(ctx)
			if a.Stats().UnknownCommits > 0 {
				break
			}
		}
		require.Equal(t, uint64(1), a.Stats().UnknownCommits, "no transfer was attempted")
		usable, _ := a.Usable(loftRate)
		require.Less(t, usable.Rate, int64(50_000), "fault %s", fault)
		s.table.SetFault(fakes.FaultUnavailable)
		a.Step(ctx)
		later, _ := a.Usable(loftRate)
		require.Equal(t, usable, later, "fault %s", fault)
		s.table.SetFault(fakes.FaultNone)
		a.Step(ctx)
		a.Step(ctx)
		row := s.row(t)
		require.Equal(t, int64(100_000), row.Sum().Rate)
		require.Equal(t, usable.Rate, row.Amounts["a"].Rate, "fault %s", fault)
	}
}

// takeoverTable lets another host take the seat before a commit reaches the
// table.
type takeoverTable struct {
	*fakes.Table
	takeoverFirst bool
}

func (l *takeoverTable) Commit(ctx context.Context, writes []core.Write) error {
	if l.takeoverFirst {
		seat := core.Write{Kind: core.WritePut, Space: core.SpaceSeat, Key: "a", Token: "takeover"}
		if err := l.Table.Commit(ctx, []core.Write{seat}); err != nil {
			return err
		}
	}
	return l.Table.Commit(ctx, writes)
}

// Guards against a delayed commit of an earlier seat holder that lowers an
// amount which its successor lends: the seat check must make it fail.
func TestLenderCommitFailsAfterTakeover(t *testing.T) {
	s := newSeatFixture(100_000, 100_000, "a", "b")
	table := &takeoverTable{Table: s.table}
	a := s.lenderOn("a", table)
	a.Step(context.Background())
	table.takeoverFirst = true
	for seq := range uint64(30) {
		requestLoan(t, a, "b1", seq+1, 0, 40_000)
		s.timer.Advance(time.Second)
		a.Step(context.Background())
		if a.Stats().Commits > 1 {
			break
		}
	}
	require.Equal(t, uint64(2), a.Stats().Commits, "no transfer was attempted")
	require.Equal(t, int64(50_000), s.row(t).Amounts["a"].Rate)
}

// Guards against loans above the domain's amount, against a new seat holder
// that lends before the loans of its predecessor have expired, and against
// loan requests that arrive out of order.
func TestLenderLoansStayWithinAmount(t *testing.T) {
	s := newSeatFixture(100_000, 100_000, "a")
	ctx := context.Background()
	k := s.lender("a")
	k.Step(ctx)
	first := requestLoan(t, k, "a1", 1, 0, 90_000)
	require.GreaterOrEqual(t, first.Rate, int64(80_000))
	second := requestLoan(t, k, "a2", 1, 0, 90_000)
	require.LessOrEqual(t, first.Rate+second.Rate, int64(100_000))
	_, err := k.Grant(core.LoanRequest{Host: "a1", Seq: 1})
	require.Equal(t, codes.PeerRefused, codes.Of(err))

	next := s.lender("a")
	s.epoch["a"] = 2
	next.Step(ctx)
	require.Equal(t, int64(30_000), requestLoan(t, next, "a1", 2, 30_000, 90_000).Rate, "a reported loan is renewed")
	require.Zero(t, requestLoan(t, next, "a3", 1, 0, 90_000).Rate, "a new loan was granted before the old ones expired")
	s.timer.Advance(13300 * time.Millisecond)
	require.NotZero(t, requestLoan(t, next, "a3", 2, 0, 90_000).Rate)

	s.epoch["a"] = 0
	_, err = next.Grant(core.LoanRequest{Host: "a1", Seq: 3})
	require.Equal(t, codes.SeatLost, codes.Of(err))
}

// Guards against tokens in flight to a host that are granted a second time, or
// that are ignored when the amount of the domain is lowered.
func TestLenderCountsTokensInFlight(t *testing.T) {
	s := newSeatFixture(10_000, 10_000, "a")
	k := s.lender("a")
	requestTokens := func(host core.HostID, seq uint64, tokens int64) int64 {
		grant, err := k.Grant(core.LoanRequest{Host: host, Seq: seq, Items: []core.LoanItem{{Resource: loftRate, TokenDeficit: tokens}}})
		require.NoError(t, err)
		return grant.Loans[0].Tokens
	}
	k.Step(context.Background())
	require.Zero(t, requestTokens("a1", 1, 1000), "the pool starts empty")
	s.timer.Advance(10 * time.Second)
	require.Equal(t, int64(6000), requestTokens("a1", 2, 6000))
	s.timer.Advance(10 * time.Second)
	require.Equal(t, int64(4000), requestTokens("a2", 1, 9000), "6000 tokens may still be in flight")
	s.setLimit(2, 5000, 5000, "a")
	k.SetLimits(s.limits)
	k.Step(context.Background())
	require.Equal(t, int64(10_000), s.row(t).Amounts["a"].Burst, "lowered below the tokens in flight")
	requestTokens("a1", 3, 0)
	k.Step(context.Background())
	require.Equal(t, int64(5000), s.row(t).Amounts["a"].Burst)
}

// Guards against slots that are lent twice while the report of a smaller loan
// is outstanding, and against slots lent to other domains.
func TestLenderLendsEachSlotOnce(t *testing.T) {
	s := newSeatFixture(1000, 1000, "a")
	r := core.SlotsResource("desk-1")
	s.limits.Slots = map[core.Resource]share.Limit{r: {Amount: core.Amount{Slots: 3}, Domains: []core.DomainID{"a"}}}
	k := s.lender("a")
	requestSlots := func(host core.HostID, seq uint64, held, want int64) int64 {
		grant, err := k.Grant(core.LoanRequest{Host: host, Seq: seq, Items: []core.LoanItem{
			{Resource: r, Held: core.Amount{Slots: held}, Demand: core.Amount{Slots: want}},
		}})
		require.NoError(t, err)
		return grant.Loans[0].Amount.Slots
	}
	require.Equal(t, int64(3), requestSlots("a1", 1, 0, 3))
	require.Zero(t, requestSlots("a2", 1, 0, 3))
	require.Equal(t, int64(2), requestSlots("a1", 2, 3, 3), "the loan shrinks to the fair part")
	require.Zero(t, requestSlots("a2", 2, 0, 3), "the third slot is not known to be free")
	require.Equal(t, int64(2), requestSlots("a1", 3, 2, 3))
	require.Equal(t, int64(1), requestSlots("a2", 3, 0, 3))
	require.Zero(t, requestSlots("b1", 1, 0, 3), "hosts of other domains reserve slots instead")
}

// Guards against a host that requests loans in the name of another, and
// against messages of other kinds.
func TestLenderRejectsInvalidMessages(t *testing.T) {
	k := newSeatFixture(1000, 1000, "a").lender("a")
	_, err := k.Handle(context.Background(), "a1", core.LoanRequest{Host: "a2", Seq: 1})
	require.Equal(t, codes.PeerRefused, codes.Of(err))
	_, err = k.Handle(context.Background(), "a1", core.AttestRequest{})
	require.Equal(t, codes.PeerKind, codes.Of(err))
}
