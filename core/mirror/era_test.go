package mirror_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/mirror"
)

// in returns the response with its versions in an era.
func in(era uint64, r response) response {
	rows := append([]core.Record(nil), r.records.Rows...)
	for i := range rows {
		rows[i].Version.Era = era
	}
	r.records.Rows, r.records.Version.Era = rows, era
	return r
}

func valued(key string, version uint64, value string) core.Record {
	return core.Record{Key: key, Value: []byte(value), Version: number(version)}
}

func at(era, n uint64) core.Version { return core.Version{Era: era, Number: n} }

// Guards against a copy that goes on from its version after the store has come back and
// given that version out again: what was written with lower ones is never read.
func TestVersionsGivenOutAgainAreNotFollowed(t *testing.T) {
	l := newFixture(
		in(1, records(10, valued("config", 3, "old"))),
		in(2, records(12)), // the changes after 10, but not those from the copy's 4 to 10
		in(2, records(12, valued("config", 6, "new"))),
		in(2, records(15, valued("b", 15, "b"))),
	)
	l.run(t)
	require.Equal(t, []core.Version{{}, at(1, 10), {}, at(2, 12), at(2, 15)}, l.feed.versions)
	require.Equal(t, []event{{key: "config"}, {key: "config"}, {key: "b"}}, l.events)
}

// Guards against a copy that refuses the tables of a new era until their versions have
// passed its own.
func TestListingOfANewEraIsAdoptedWithALowerVersion(t *testing.T) {
	dropped := response{err: codes.New(codes.StoreAbsent, "gone")}
	l := newFixture(in(1, records(10, row("a", 3), row("b", 4))), dropped, in(2, records(7, row("a", 3), row("c", 7))), in(2, records(8, removal("c", 8))))
	l.run(t)
	require.Equal(t, []core.Version{{}, at(1, 10), {}, at(2, 7), at(2, 8)}, l.feed.versions)
	require.Equal(t, []event{{key: "a"}, {key: "b"}, {key: "c"}, {key: "b", removed: true}, {key: "c", removed: true}}, l.events)
}

// Guards against rows that are told apart by their versions: in a new era the version of
// an earlier write may be that of another one, and a write may have another version.
func TestRowsOfTwoErasAreComparedByValue(t *testing.T) {
	dropped := response{err: codes.New(codes.StoreAbsent, "gone")}
	l := newFixture(
		in(1, records(10, valued("same", 3, "x"), valued("reused", 10, "x"), valued("again", 8, "x"))), dropped,
		in(2, records(10, valued("same", 3, "x"), valued("reused", 10, "y"), valued("again", 9, "x"))),
	)
	l.run(t)
	require.Equal(t, []event{{key: "reused"}}, l.events[3:])
}

// Guards against a response of an earlier era, of a call that was under way while the
// store came back, that undoes what this host has read since.
func TestResponseOfAnEarlierEraIsDropped(t *testing.T) {
	l := newFixture(in(2, records(10, valued("a", 3, "new"))), in(1, records(90, valued("a", 90, "old"))), in(2, records(11)))
	l.run(t)
	require.Equal(t, []core.Version{{}, at(2, 10), at(2, 10), at(2, 11)}, l.feed.versions)
	require.Equal(t, []event{{key: "a"}}, l.events)
}

// Guards against copies of hosts that are in an earlier era, changes that seem to lead
// from one era into another, and confirmations that were given before a return.
func TestNothingOfAnEarlierEraIsAdopted(t *testing.T) {
	l := newFixture(in(2, records(10, row("a", 3))))
	l.run(t)
	old := mirror.Snapshot{Rows: []core.Record{row("z", 99)}, Version: at(1, 99), Newest: at(1, 99)}
	require.False(t, l.mirror.Merge(old))
	require.False(t, l.mirror.Merge(mirror.Snapshot{After: at(2, 10), Version: at(3, 4), Newest: at(3, 4)}))
	l.clock.Advance(time.Second)
	age := l.mirror.Age()
	l.mirror.Confirm(at(1, 99), 0)
	require.Equal(t, age, l.mirror.Age())
	l.mirror.Confirm(at(2, 10), 0)
	require.Zero(t, l.mirror.Age())
	require.Zero(t, l.mirror.Snapshot(at(1, 99)).After, "the history of this era leads from no version of another one")
	require.Len(t, l.mirror.Snapshot(at(1, 99)).Rows, 1)
	next := mirror.Snapshot{Rows: []core.Record{row("a", 1)}, Version: at(3, 2), Newest: at(3, 1)}
	require.True(t, l.mirror.Merge(next), "another host knows of one more return")
}

// Guards against owners whose rows are missing in the older copy, and who therefore count
// as gone before they have had the time to write them again.
func TestRowsThatAReturnTookAwayAreHeld(t *testing.T) {
	dropped := response{err: codes.New(codes.StoreAbsent, "gone")}
	l := newFixtureWith(mirror.HoldLimits{Return: 2 * time.Second}, in(1, records(10, row("a", 3))), dropped, in(2, records(2)), in(2, records(5, removal("a", 5))))
	l.run(t)
	require.Equal(t, []event{{key: "a", removed: true, hold: 2 * time.Second}, {key: "a", removed: true}}, l.events[1:])
	other := newFixtureWith(mirror.HoldLimits{Return: 2 * time.Second}, in(1, records(10, row("b", 4))))
	other.run(t)
	require.True(t, other.mirror.Merge(l.mirror.Snapshot(at(1, 10))))
	require.Equal(t, event{key: "b", removed: true, hold: 2 * time.Second}, other.events[1], "the other host never had the row")
}

// Guards against a stampede: after a return one host of a domain lists the tables, and
// the others adopt its copy. If none comes, they must list in time.
func TestOtherHostsWaitForTheListingOfTheFirst(t *testing.T) {
	for _, adopts := range []bool{true, false} {
		l := newFixture(in(1, records(10, row("a", 3))), in(2, records(12)))
		l.mirror = mirror.New(mirror.Config{
			Feed: l.feed, Timer: l.clock, PollTimeout: time.Second, OnStoreState: func(error) {}, OnChange: func(mirror.Change) {},
			ListsFirst: func() bool { return false },
		})
		l.feed.era = func(calls int) uint64 { return uint64(min(calls, 2)) }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			l.mirror.Run(ctx)
		}()
		calls := func() int {
			l.feed.mu.Lock()
			defer l.feed.mu.Unlock()
			return len(l.feed.versions)
		}
		require.Eventually(t, func() bool { return calls() == 2 }, 10*time.Second, time.Millisecond)
		for range 9 {
			time.Sleep(2 * time.Millisecond)
			l.clock.Advance(100 * time.Millisecond)
		}
		require.Equal(t, 2, calls(), "the host is to wait for the copy of the first one")
		if adopts {
			require.True(t, l.mirror.Merge(mirror.Snapshot{Rows: []core.Record{row("a", 3)}, Version: at(2, 12), Newest: at(2, 3)}))
		}
		for range 5 {
			time.Sleep(2 * time.Millisecond)
			l.clock.Advance(100 * time.Millisecond)
		}
		require.Eventually(t, func() bool { return calls() == 3 }, 10*time.Second, time.Millisecond)
		third := core.Version{}
		if adopts {
			third = at(2, 12)
		}
		require.Equal(t, third, l.feed.versions[2])
		cancel()
		<-done
	}
}
