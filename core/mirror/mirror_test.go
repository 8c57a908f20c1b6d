package mirror_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/mirror"
	"azurering/core/timer"
)

// feed answers each call with the next of its answers, and waits for the
// end of the call when it has none left.
type feed struct {
	mu      sync.Mutex
	answers []answer
	after   []uint64 // of each Follow; 0 for a List
	waits   []time.Duration
	idle    chan struct{}
}

type answer struct {
	records core.Records
	err     error
}

func (f *feed) next(ctx context.Context, after uint64) (core.Records, error) {
	f.mu.Lock()
	f.after = append(f.after, after)
	if len(f.answers) > 0 {
		a := f.answers[0]
		f.answers = f.answers[1:]
		f.mu.Unlock()
		return a.records, a.err
	}
	f.mu.Unlock()
	select {
	case f.idle <- struct{}{}:
	default:
	}
	<-ctx.Done()
	return core.Records{}, ctx.Err()
}

func (f *feed) List(ctx context.Context, _ core.FeedTable) (core.Records, error) {
	return f.next(ctx, 0)
}

func (f *feed) Follow(ctx context.Context, _ core.FeedTable, after uint64, wait time.Duration) (core.Records, error) {
	f.mu.Lock()
	f.waits = append(f.waits, wait)
	f.mu.Unlock()
	return f.next(ctx, after)
}

func (f *feed) Put(context.Context, core.FeedTable, string, []byte) error { return nil }

type event struct {
	key     string
	removed bool
	lapsed  bool
}

type lab struct {
	feed   *feed
	mirror *mirror.Mirror
	mu     sync.Mutex
	events []event
	clock  *timer.Manual
}

func newLab(answers ...answer) *lab {
	l := &lab{feed: &feed{answers: answers, idle: make(chan struct{}, 1)}, clock: timer.NewManual()}
	l.mirror = mirror.New(mirror.Config{
		Feed: l.feed, Timer: l.clock, PollTimeout: time.Second, OnStoreState: func(error) {},
		OnChange: func(rows []core.Record, lapsed bool) {
			l.mu.Lock()
			defer l.mu.Unlock()
			for _, r := range rows {
				l.events = append(l.events, event{r.Key, r.Removed, lapsed})
			}
		},
	})
	return l
}

// play runs the mirror until all answers are used.
func (l *lab) play(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.mirror.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	for {
		select {
		case <-l.feed.idle:
			return
		case <-time.After(time.Millisecond):
			l.clock.Advance(50 * time.Millisecond)
		}
	}
}

func row(key string, version uint64) core.Record {
	return core.Record{Key: key, Value: []byte{1}, Version: version}
}

func gone(key string, version uint64) core.Record {
	return core.Record{Key: key, Version: version, Removed: true}
}

func records(version uint64, rows ...core.Record) answer {
	return answer{records: core.Records{Rows: rows, Version: version}}
}

func TestFollowsFromTheList(t *testing.T) {
	l := newLab(records(10, row("a", 3), row("b", 4)), records(12, row("a", 12)), records(15, gone("b", 15)))
	l.play(t)
	require.Equal(t, []uint64{0, 10, 12, 15}, l.feed.after)
	asOf, change := l.mirror.Versions()
	require.EqualValues(t, 15, asOf)
	require.EqualValues(t, 15, change)
	require.Equal(t, []event{{key: "a"}, {key: "b"}, {key: "a"}, {key: "b", removed: true}}, l.events)
}

// After the store dropped its history, rows that vanished meanwhile must
// vanish here too, and unchanged ones must not be reported again.
func TestListsAgainAfterLostHistory(t *testing.T) {
	lost := answer{err: codes.New(codes.StoreAbsent, "gone")}
	l := newLab(records(10, row("a", 3), row("b", 4)), lost, records(30, row("a", 3), row("c", 25)))
	l.play(t)
	require.Equal(t, []uint64{0, 10, 0, 30}, l.feed.after)
	require.Equal(t, []event{{key: "a"}, {key: "b"}, {key: "c"}, {key: "b", removed: true}}, l.events)
}

// A removal just after an outage may be an entry that lapsed meanwhile.
func TestRemovalAfterOutageIsLapsed(t *testing.T) {
	down := answer{err: codes.New(codes.StoreDown, "down")}
	l := newLab(records(10, row("a", 3)), down, down, records(12, gone("a", 12)))
	l.play(t)
	require.Equal(t, event{key: "a", removed: true, lapsed: true}, l.events[1])
}

// Content must survive an outage, and the feed must go on where it was.
func TestKeepsContentThroughOutage(t *testing.T) {
	down := answer{err: codes.New(codes.StoreLimit, "busy")}
	l := newLab(records(10, row("a", 3)), down, down, records(11, row("b", 11)))
	l.play(t)
	require.Equal(t, []uint64{0, 10, 10, 10, 11}, l.feed.after)
	require.Len(t, l.mirror.Snapshot(0).Rows, 2)
}

// A host that is turned away by the store learns from another host; an
// older copy must not take anything back.
func TestAdoptsOnlyNewerCopies(t *testing.T) {
	l := newLab(records(10, row("a", 3), row("b", 4)))
	l.play(t)
	require.False(t, l.mirror.Merge(mirror.Snapshot{Version: 9, Newest: 9, Rows: []core.Record{row("z", 9)}}))
	require.True(t, l.mirror.Merge(mirror.Snapshot{Version: 20, Newest: 18, Rows: []core.Record{row("a", 18)}}))
	require.Equal(t, []event{{key: "a"}, {key: "b"}, {key: "a"}, {key: "b", removed: true}}, l.events)
	l.feed.answers = []answer{records(25, row("c", 25))}
	l.feed.after = nil
	l.play(t)
	require.Equal(t, []uint64{20, 25}, l.feed.after)
}

// A late change of an earlier version must not undo a later one.
func TestIgnoresOlderVersionsOfARow(t *testing.T) {
	l := newLab(records(10, row("a", 9)), records(12, row("a", 7), row("b", 12)))
	l.play(t)
	require.Equal(t, []event{{key: "a"}, {key: "b"}}, l.events)
}

// Hosts that do not follow the store themselves live on the changes that
// others pass on; a gap between two of them must show.
func TestPassesOnChanges(t *testing.T) {
	from := newLab(records(10, row("a", 3), row("b", 4)), records(12, row("a", 12)), records(15, gone("b", 15)))
	from.play(t)
	to := newLab(records(10, row("a", 3), row("b", 4)))
	to.play(t)
	changes := from.mirror.Snapshot(10)
	require.Equal(t, []core.Record{row("a", 12), gone("b", 15)}, changes.Rows)
	require.True(t, to.mirror.Merge(changes))
	require.Equal(t, []event{{key: "a"}, {key: "b"}, {key: "a"}, {key: "b", removed: true}}, to.events)
	require.False(t, to.mirror.Merge(changes), "nothing new")

	behind := newLab(records(5, row("a", 3)))
	behind.play(t)
	require.False(t, behind.mirror.Merge(from.mirror.Snapshot(12)), "changes between 5 and 12 are missing")
	whole := from.mirror.Snapshot(5) // older than the history: the whole content
	require.Zero(t, whole.After)
	require.True(t, behind.mirror.Merge(whole))
	require.Len(t, behind.mirror.Snapshot(0).Rows, 1)
	empty := newLab()
	require.False(t, empty.mirror.Merge(changes), "changes are no content")
}

// A host that does not follow the store must read it once, and again after
// a failed call, and otherwise leave it alone.
func TestLeavesTheStoreToOthers(t *testing.T) {
	l := newLab(records(10, row("a", 3)), records(11, row("b", 11)))
	follows := false
	l.mirror = mirror.New(mirror.Config{
		Feed: l.feed, Timer: l.clock, PollTimeout: time.Second, OnStoreState: func(error) {}, OnChange: func([]core.Record, bool) {},
		FollowsStore: func() bool { return follows },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.mirror.Run(ctx)
	}()
	require.Eventually(t, func() bool { asOf, _ := l.mirror.Versions(); return asOf == 10 }, 10*time.Second, time.Millisecond)
	for range 50 {
		l.clock.Advance(100 * time.Millisecond)
		time.Sleep(100 * time.Microsecond)
	}
	cancel()
	<-done
	require.Equal(t, []uint64{0}, l.feed.after)
	follows = true
	l.play(t)
	require.Equal(t, []uint64{0, 10, 11}, l.feed.after)
}

// The end of an outage must be noticed at once, not with the next change:
// until then removals count as lapsed, and a server that left for good got
// requests for too long (afm-vans, deploy/days/away-evacuate.toml --vary
// --seed 784286382246: DRAIN, 2011 ms after the server had left).
func TestEndOfOutageIsNoticedAtOnce(t *testing.T) {
	down := answer{err: codes.New(codes.StoreLimit, "busy")}
	l := newLab(records(10), down, down, records(10), records(11, row("a", 11)))
	l.play(t)
	require.Equal(t, []time.Duration{time.Second, 0, 0, time.Second, time.Second}, l.feed.waits)
}
