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

const loft = core.Resource("rate/loft")

// seats is a seat per domain that the test moves.
type seats struct {
	timer  *timer.Manual
	table  *fakes.Table
	limits share.Limits
	epoch  map[core.DomainID]uint64
}

func newSeats(rate, burst int64, domains ...core.DomainID) *seats {
	s := &seats{timer: timer.NewManual(), table: &fakes.Table{}, epoch: map[core.DomainID]uint64{}}
	s.limit(1, rate, burst, domains...)
	for _, d := range domains {
		s.epoch[d] = 1
	}
	return s
}

func (s *seats) limit(version uint64, rate, burst int64, domains ...core.DomainID) {
	s.limits = share.Limits{Version: version, Rates: map[core.Resource]share.Limit{
		loft: {Amount: core.Amount{Rate: rate, Burst: burst}, Domains: domains},
	}}
}

func (s *seats) keeper(d core.DomainID) *share.Lender { return s.keeperOn(d, s.table) }

func (s *seats) keeperOn(d core.DomainID, table core.Table) *share.Lender {
	tokens := 0
	k := share.NewLender(share.LenderConfig{
		Domain: d, Table: table, Timer: s.timer,
		ActingEpoch: func() (uint64, bool) { return s.epoch[d], s.epoch[d] > 0 },
		SeatCheck: func() (core.Write, bool) {
			return core.Write{Kind: core.WriteCheck, Space: core.SpaceSeat, Key: string(d)}, true
		},
		// Hosts are named by their domain and a number.
		DomainOf: func(h core.HostID) (core.DomainID, bool) { return core.DomainID(h[:1]), true },
		NewToken: func() string { tokens++; return fmt.Sprint(d, tokens) },
	})
	k.SetLimits(s.limits)
	return k
}

func (s *seats) row(t *testing.T) share.Row {
	t.Helper()
	row, err := s.table.Get(context.Background(), core.SpaceShare, string(loft))
	require.NoError(t, err)
	decoded, err := share.DecodeRow(row.Value)
	require.NoError(t, err)
	return decoded
}

func ask(t *testing.T, k *share.Lender, host core.HostID, seq uint64, held, want int64) core.Amount {
	t.Helper()
	item := core.LoanItem{Resource: loft, Held: core.Amount{Rate: held, Burst: held}, Demand: core.Amount{Rate: want, Burst: 1000}}
	grant, err := k.Grant(core.LoanRequest{Host: host, Seq: seq, Items: []core.LoanItem{item}})
	require.NoError(t, err)
	return grant.Loans[0].Amount
}

// Guards against a first split that loses units, and against two domains
// that create a row twice.
func TestKeeperCreatesRow(t *testing.T) {
	s := newSeats(100_001, 7_003, "a", "b", "c")
	a, b := s.keeper("a"), s.keeper("b")
	ctx := context.Background()
	s.table.FailNextCommit(fakes.FaultLostResponse)
	a.Step(ctx)
	b.Step(ctx)
	row := s.row(t)
	require.Equal(t, core.Amount{Rate: 100_001, Burst: 7_003}, row.Sum())
	require.Equal(t, core.Amount{Rate: 33_334, Burst: 3_003}, row.Amounts["a"], "whole requests, and the odd rest")
	s.timer.Advance(time.Second)
	a.Step(ctx)
	usable, known := a.Usable(loft)
	require.True(t, known, "the lost answer was not read back")
	require.Equal(t, row.Amounts["a"], usable)
}

// Guards against lowered limits that are raised too early, that lose units,
// or whose pending rest is not reported.
func TestKeeperFollowsLimits(t *testing.T) {
	s := newSeats(100_000, 100_000, "a", "b")
	ctx := context.Background()
	a, b := s.keeper("a"), s.keeper("b")
	a.Step(ctx)
	b.Step(ctx)
	s.limit(2, 50_001, 50_001, "a", "b")
	a.SetLimits(s.limits)
	a.Step(ctx)
	require.Equal(t, int64(25_001), s.row(t).Amounts["a"].Rate)
	require.Equal(t, int64(50_000), s.row(t).Amounts["b"].Rate, "another domain's amount was lowered")
	require.Equal(t, []share.Excess{{Resource: loft, Domain: "b", Amount: core.Amount{Rate: 25_000, Burst: 25_000}}}, a.PendingReductions())
	s.timer.Advance(time.Minute)
	b.Step(ctx) // reads the row; still at the old version
	require.Equal(t, int64(75_001), s.row(t).Sum().Rate)
	b.SetLimits(s.limits)
	s.timer.Advance(time.Minute)
	b.Step(ctx)
	require.Equal(t, core.Amount{Rate: 50_001, Burst: 50_001}, s.row(t).Sum())
	s.limit(3, 80_000, 80_000, "a", "b", "c")
	s.epoch["c"] = 1
	b.SetLimits(s.limits)
	s.timer.Advance(time.Minute)
	b.Step(ctx)
	require.Equal(t, core.Amount{Rate: 80_000, Burst: 80_000}, s.row(t).Sum())
	require.NotZero(t, s.row(t).Amounts["c"].Rate, "the added domain got no part of the raise")
}

// Guards against a donor that uses what it may have given away: after an
// unknown outcome it stays at the lower amount until it has read the row.
func TestKeeperUnknownTransfer(t *testing.T) {
	for _, fault := range []fakes.Fault{fakes.FaultLostResponse, fakes.FaultLostRequest} {
		s := newSeats(100_000, 100_000, "a", "b")
		ctx := context.Background()
		a := s.keeper("a")
		a.Step(ctx)
		seq := uint64(0)
		for range 30 {
			seq++
			ask(t, a, "b1", seq, 0, 40_000)
			s.timer.Advance(time.Second)
			s.table.FailNextCommit(fault)
			a.Step(ctx)
			if a.Stats().UnknownCommits > 0 {
				break
			}
		}
		require.Equal(t, uint64(1), a.Stats().UnknownCommits, "no transfer was tried")
		usable, _ := a.Usable(loft)
		require.Less(t, usable.Rate, int64(50_000), "fault %s", fault)
		s.table.SetFault(fakes.FaultUnavailable)
		a.Step(ctx)
		still, _ := a.Usable(loft)
		require.Equal(t, usable, still, "fault %s", fault)
		s.table.SetFault(fakes.FaultNone)
		a.Step(ctx)
		a.Step(ctx)
		row := s.row(t)
		require.Equal(t, int64(100_000), row.Sum().Rate)
		require.Equal(t, usable.Rate, row.Amounts["a"].Rate, "fault %s", fault)
	}
}

// lateTable carries out a commit only after a takeover of the seat.
type lateTable struct {
	*fakes.Table
	late bool
}

func (l *lateTable) Commit(ctx context.Context, writes []core.Write) error {
	if l.late {
		seat := core.Write{Kind: core.WritePut, Space: core.SpaceSeat, Key: "a", Token: "takeover"}
		if err := l.Table.Commit(ctx, []core.Write{seat}); err != nil {
			return err
		}
	}
	return l.Table.Commit(ctx, writes)
}

// Guards against a commit of an earlier seat holder that lowers an amount
// which its successor lends.
func TestKeeperCommitAfterTakeover(t *testing.T) {
	s := newSeats(100_000, 100_000, "a", "b")
	table := &lateTable{Table: s.table}
	a := s.keeperOn("a", table)
	a.Step(context.Background())
	table.late = true
	for seq := range uint64(30) {
		ask(t, a, "b1", seq+1, 0, 40_000)
		s.timer.Advance(time.Second)
		a.Step(context.Background())
		if a.Stats().Commits > 1 {
			break
		}
	}
	require.Equal(t, uint64(2), a.Stats().Commits, "no transfer was tried")
	require.Equal(t, int64(50_000), s.row(t).Amounts["a"].Rate)
}

// Guards against loans above the domain's amount, against a new holder that
// lends before the loans of its predecessor have expired, and against asks
// that arrive after later ones.
func TestKeeperLends(t *testing.T) {
	s := newSeats(100_000, 100_000, "a")
	ctx := context.Background()
	k := s.keeper("a")
	k.Step(ctx)
	first := ask(t, k, "a1", 1, 0, 90_000)
	require.GreaterOrEqual(t, first.Rate, int64(80_000))
	second := ask(t, k, "a2", 1, 0, 90_000)
	require.LessOrEqual(t, first.Rate+second.Rate, int64(100_000))
	_, err := k.Grant(core.LoanRequest{Host: "a1", Seq: 1})
	require.Equal(t, codes.PeerRefused, codes.Of(err))

	next := s.keeper("a")
	s.epoch["a"] = 2
	next.Step(ctx)
	require.Equal(t, int64(30_000), ask(t, next, "a1", 2, 30_000, 90_000).Rate, "a reported loan is renewed")
	require.Zero(t, ask(t, next, "a3", 1, 0, 90_000).Rate, "a new loan before the old ones expired")
	s.timer.Advance(13300 * time.Millisecond)
	require.NotZero(t, ask(t, next, "a3", 2, 0, 90_000).Rate)

	s.epoch["a"] = 0
	_, err = next.Grant(core.LoanRequest{Host: "a1", Seq: 3})
	require.Equal(t, codes.SeatLost, codes.Of(err))
}

// Guards against tokens on their way to a host that are lent, or given away
// with a part of the row, a second time.
func TestKeeperTokensOnTheirWay(t *testing.T) {
	s := newSeats(10_000, 10_000, "a")
	k := s.keeper("a")
	short := func(host core.HostID, seq uint64, tokens int64) int64 {
		grant, err := k.Grant(core.LoanRequest{Host: host, Seq: seq, Items: []core.LoanItem{{Resource: loft, TokenDeficit: tokens}}})
		require.NoError(t, err)
		return grant.Loans[0].Tokens
	}
	k.Step(context.Background())
	require.Zero(t, short("a1", 1, 1000), "the bucket starts empty")
	s.timer.Advance(10 * time.Second)
	require.Equal(t, int64(6000), short("a1", 2, 6000))
	s.timer.Advance(10 * time.Second)
	require.Equal(t, int64(4000), short("a2", 1, 9000), "6000 may still be on their way")
	s.limit(2, 5000, 5000, "a")
	k.SetLimits(s.limits)
	k.Step(context.Background())
	require.Equal(t, int64(10_000), s.row(t).Amounts["a"].Burst, "lowered below what is on its way")
	short("a1", 3, 0)
	k.Step(context.Background())
	require.Equal(t, int64(5000), s.row(t).Amounts["a"].Burst)
}

// Guards against slots lent twice, and against slots in use that count as
// free.
func TestKeeperSlots(t *testing.T) {
	s := newSeats(1000, 1000, "a")
	r := core.SlotsResource("desk-1")
	s.limits.Slots = map[core.Resource]share.Limit{r: {Amount: core.Amount{Slots: 3}, Domains: []core.DomainID{"a"}}}
	k := s.keeper("a")
	get := func(host core.HostID, seq uint64, held, want int64) int64 {
		grant, err := k.Grant(core.LoanRequest{Host: host, Seq: seq, Items: []core.LoanItem{
			{Resource: r, Held: core.Amount{Slots: held}, Demand: core.Amount{Slots: want}},
		}})
		require.NoError(t, err)
		return grant.Loans[0].Amount.Slots
	}
	require.Equal(t, int64(3), get("a1", 1, 0, 3))
	require.Zero(t, get("a2", 1, 0, 3))
	require.Equal(t, int64(2), get("a1", 2, 3, 3), "the part falls to what is fair")
	require.Zero(t, get("a2", 2, 0, 3), "the third slot is not known to be free")
	require.Equal(t, int64(2), get("a1", 3, 2, 3))
	require.Equal(t, int64(1), get("a2", 3, 0, 3))
	require.Zero(t, get("b1", 1, 0, 3), "another domain's host reserves instead")
}

// Guards against a message of one host that speaks for another, and against
// messages of other kinds.
func TestKeeperHandle(t *testing.T) {
	k := newSeats(1000, 1000, "a").keeper("a")
	_, err := k.Handle(context.Background(), "a1", core.LoanRequest{Host: "a2", Seq: 1})
	require.Equal(t, codes.PeerRefused, codes.Of(err))
	_, err = k.Handle(context.Background(), "a1", core.AttestRequest{})
	require.Equal(t, codes.PeerKind, codes.Of(err))
}
