package mirror_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/mirror"
)

// keepsHigher keeps the row with the higher value, and each row that the store lacks.
func keepsHigher(known, read core.Record) bool {
	return read.Removed || string(known.Value) > string(read.Value)
}

func newKeepingFixture(responses ...response) *fixture {
	l := newFixtureWith(mirror.HoldLimits{}, responses...)
	l.mirror = mirror.New(mirror.Config{
		Feed: l.feed, Timer: l.clock, PollTimeout: time.Second, OnStoreState: func(error) {}, Keeps: keepsHigher,
		OnChange: func(c mirror.Change) {
			l.mu.Lock()
			defer l.mu.Unlock()
			for _, r := range c.Rows {
				l.events = append(l.events, event{key: r.Key, removed: r.Removed})
			}
		},
	})
	return l
}

// Guards against copies for other hosts that have an older form of a row, or lack it,
// because the store has come back without its last write, and against rows that are kept
// although they were written or removed since.
func TestKnownRowsAreKeptThroughAReturn(t *testing.T) {
	dropped := response{err: codes.New(codes.StoreAbsent, "gone")}
	l := newKeepingFixture(
		in(1, records(10, valued("older", 8, "5"), valued("missing", 9, "5"), valued("newer", 3, "5"))), dropped,
		in(2, records(7, valued("older", 4, "3"), valued("newer", 7, "6"))),
		dropped, // the history of the store is dropped: the table is listed in the same era
		in(2, records(8, valued("older", 4, "3"), valued("newer", 7, "6"))),
	)
	l.run(t)
	require.Equal(t, []event{{key: "older"}, {key: "missing"}, {key: "newer"}, {key: "newer"}}, l.events)
	values := func() map[string]string {
		got := make(map[string]string)
		for _, r := range l.mirror.Snapshot(core.Version{}).Rows {
			got[r.Key] = string(r.Value)
		}
		return got
	}
	require.Equal(t, map[string]string{"older": "5", "missing": "5", "newer": "6"}, values())

	other := newKeepingFixture()
	require.True(t, other.mirror.Merge(l.mirror.Snapshot(core.Version{})))
	require.Len(t, other.events, 3, "a host that starts gets the rows that are kept")

	require.True(t, l.mirror.Merge(mirror.Snapshot{
		After: at(2, 8), Version: at(2, 12), Newest: at(2, 12),
		Rows: []core.Record{{Key: "older", Value: []byte("4"), Version: at(2, 11)}, {Key: "missing", Version: at(2, 12), Removed: true}},
	}))
	require.Equal(t, map[string]string{"older": "4", "newer": "6"}, values(), "what is written in the new era counts")
}

// Guards against a host that starts and does not learn which rows the others hold although
// the store has lost them.
func TestFirstCopyOfAnotherHostHasItsHolds(t *testing.T) {
	l := newFixture()
	var got mirror.Change
	l.mirror = mirror.New(mirror.Config{Feed: l.feed, Timer: l.clock, OnStoreState: func(error) {}, OnChange: func(c mirror.Change) { got = c }})
	holds := map[string]time.Duration{"lost": time.Second, "listed": time.Second}
	require.True(t, l.mirror.Merge(mirror.Snapshot{Rows: []core.Record{row("listed", 3)}, Version: at(2, 5), Newest: at(2, 3), Holds: holds}))
	require.True(t, got.First)
	require.Equal(t, []core.Record{row("listed", 3), {Key: "lost", Version: at(2, 5), Removed: true}}, got.Rows)
	require.Equal(t, time.Second, got.Holds["lost"])
	require.True(t, l.mirror.Merge(mirror.Snapshot{After: at(2, 5), Version: at(2, 6), Newest: at(2, 6), Rows: []core.Record{{Key: "b", Version: at(2, 6)}}}))
	require.Equal(t, "b", got.Rows[0].Key)
	require.False(t, got.First)
}

// Guards against an empty copy that takes what a store with eras has while the copy of
// another host may still come, and against one that waits although the store names none.
func TestEmptyCopyWaitsForAnotherHost(t *testing.T) {
	for name, era := range map[string]uint64{"eras": 1, "no eras": 0} {
		t.Run(name, func(t *testing.T) {
			l := newFixture(in(era, records(10, row("a", 3))), in(era, records(10, row("a", 3))), in(era, records(11)))
			waits := 2
			var first []string
			l.mirror = mirror.New(mirror.Config{
				Feed: l.feed, Timer: l.clock, PollTimeout: time.Second, OnStoreState: func(error) {},
				AwaitsCopy: func() bool {
					waits--
					return waits >= 0
				},
				OnChange: func(c mirror.Change) {
					if c.First {
						first = append(first, c.Source)
					}
				},
			})
			l.feed.era = func(calls int) uint64 { return min(era, uint64(calls)) }
			l.run(t)
			require.Equal(t, []string{""}, first)
			if era == 0 {
				require.Equal(t, 2, waits)
				return
			}
			require.Negative(t, waits)
			require.Equal(t, []core.Version{{}, {}, at(1, 10)}, l.feed.versions[:3], "the first listing is not used")
		})
	}
}
