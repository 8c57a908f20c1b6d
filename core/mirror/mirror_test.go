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

// fakeFeed answers each call with its next response. With none left, a call
// blocks until it is canceled.
type fakeFeed struct {
	mu        sync.Mutex
	responses []response
	versions  []core.Version  // version of each call to Follow; zero for a call to List
	waits     []time.Duration // of each call to Follow
	causes    []error         // why calls without a response ended
	// era returns the newest era of the store after a number of calls. Nil means 0.
	era  func(calls int) uint64
	idle chan struct{} // receives a value when no response is left
}

type response struct {
	records core.Records
	err     error
}

func (f *fakeFeed) next(ctx context.Context, after core.Version) (core.Records, error) {
	f.mu.Lock()
	f.versions = append(f.versions, after)
	if len(f.responses) > 0 {
		a := f.responses[0]
		f.responses = f.responses[1:]
		f.mu.Unlock()
		return a.records, a.err
	}
	f.mu.Unlock()
	select {
	case f.idle <- struct{}{}:
	default:
	}
	<-ctx.Done()
	f.mu.Lock()
	f.causes = append(f.causes, context.Cause(ctx))
	f.mu.Unlock()
	return core.Records{}, ctx.Err()
}

func (f *fakeFeed) List(ctx context.Context, _ core.FeedTable) (core.Records, error) {
	return f.next(ctx, core.Version{})
}

func (f *fakeFeed) Follow(ctx context.Context, _ core.FeedTable, after core.Version, wait time.Duration) (core.Records, error) {
	f.mu.Lock()
	f.waits = append(f.waits, wait)
	f.mu.Unlock()
	return f.next(ctx, after)
}

func (f *fakeFeed) Put(context.Context, core.FeedTable, string, []byte) error { return nil }

func (f *fakeFeed) Era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.era == nil {
		return 0
	}
	return f.era(len(f.versions))
}

type event struct {
	key     string
	removed bool
	hold    time.Duration
}

type fixture struct {
	feed   *fakeFeed
	mirror *mirror.Mirror
	mu     sync.Mutex
	events []event
	clock  *timer.Manual
}

func newFixture(responses ...response) *fixture {
	return newFixtureWith(mirror.HoldLimits{Removal: 1500 * time.Millisecond, Outage: time.Minute}, responses...)
}

func newFixtureWith(holds mirror.HoldLimits, responses ...response) *fixture {
	l := &fixture{feed: &fakeFeed{responses: responses, idle: make(chan struct{}, 1)}, clock: timer.NewManual()}
	l.mirror = mirror.New(mirror.Config{
		Feed: l.feed, Timer: l.clock, PollTimeout: time.Second, OnStoreState: func(error) {},
		Holds: holds,
		OnChange: func(c mirror.Change) {
			l.mu.Lock()
			defer l.mu.Unlock()
			for _, r := range c.Rows {
				l.events = append(l.events, event{r.Key, r.Removed, c.Holds[r.Key]})
			}
		},
	})
	return l
}

// run runs the mirror until all responses are used.
func (l *fixture) run(t *testing.T) {
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

// number returns a version of a store that names no eras.
func number(n uint64) core.Version { return core.Version{Number: n} }

func numbers(all ...uint64) []core.Version {
	versions := make([]core.Version, 0, len(all))
	for _, n := range all {
		versions = append(versions, number(n))
	}
	return versions
}

func row(key string, version uint64) core.Record {
	return core.Record{Key: key, Value: []byte{1}, Version: number(version)}
}

func removal(key string, version uint64) core.Record {
	return core.Record{Key: key, Version: number(version), Removed: true}
}

func records(version uint64, rows ...core.Record) response {
	return response{records: core.Records{Rows: rows, Version: number(version)}}
}

// Changes must be followed from the version of the listing on. From an
// earlier version they would be applied twice, from a later one they would be
// missed.
func TestFollowsFromTheList(t *testing.T) {
	l := newFixture(records(10, row("a", 3), row("b", 4)), records(12, row("a", 12)), records(15, removal("b", 15)))
	l.run(t)
	require.Equal(t, numbers(0, 10, 12, 15), l.feed.versions)
	asOf, change := l.mirror.Versions()
	require.Equal(t, number(15), asOf)
	require.Equal(t, number(15), change)
	require.Equal(t, []event{{key: "a"}, {key: "b"}, {key: "a"}, {key: "b", removed: true}}, l.events)
}

// When the store has dropped its history, the table is listed again. Rows
// that were removed meanwhile must be reported as removed, and unchanged ones
// must not be reported again.
func TestListsAgainAfterLostHistory(t *testing.T) {
	dropped := response{err: codes.New(codes.StoreAbsent, "gone")}
	l := newFixture(records(10, row("a", 3), row("b", 4)), dropped, records(30, row("a", 3), row("c", 25)))
	l.run(t)
	require.Equal(t, numbers(0, 10, 0, 30), l.feed.versions)
	require.Equal(t, []event{{key: "a"}, {key: "b"}, {key: "c"}, {key: "b", removed: true}}, l.events)
}

// Hosts that do not follow the store fetch changes when another host reports a
// newer one than they have. A removal that was only found by listing the table
// again must count as a change, or they would use the removed server until the
// next change.
func TestRemovalFoundByListingIsReported(t *testing.T) {
	dropped := response{err: codes.New(codes.StoreAbsent, "gone")}
	l := newFixture(records(10, row("a", 3), row("b", 4)), dropped, records(30, row("a", 3)))
	l.run(t)
	_, change := l.mirror.Versions()
	require.Positive(t, change.Compare(number(10)))
	other := newFixture(records(10, row("a", 3), row("b", 4)))
	other.run(t)
	require.True(t, other.mirror.Merge(l.mirror.Snapshot(number(10))))
	require.Equal(t, event{key: "b", removed: true}, other.events[2])
}

// During an outage, rows expire because their owners cannot renew them.
// Removals just after an outage must be held, so that live servers are not
// taken for gone.
func TestRemovalAfterOutageIsHeld(t *testing.T) {
	down := response{err: codes.New(codes.StoreDown, "down")}
	l := newFixture(records(10, row("a", 3)), down, down, records(12, removal("a", 12)))
	l.run(t)
	require.Equal(t, event{key: "a", removed: true, hold: 1500 * time.Millisecond}, l.events[1])
}

// Rows of operators do not expire. If the removal of an evacuation after an outage
// were held like an expired entry, the domain would stay empty.
func TestRemovalIsNotHeldWithoutLimits(t *testing.T) {
	down := response{err: codes.New(codes.StoreDown, "down")}
	l := newFixtureWith(mirror.HoldLimits{}, records(10, row("a", 3)), down, down, records(12, removal("a", 12)))
	l.run(t)
	require.Equal(t, event{key: "a", removed: true}, l.events[1])
}

// An outage of the store must not drop any rows, and following must resume
// from the last version.
func TestKeepsContentThroughOutage(t *testing.T) {
	down := response{err: codes.New(codes.StoreLimit, "busy")}
	l := newFixture(records(10, row("a", 3)), down, down, records(11, row("b", 11)))
	l.run(t)
	require.Equal(t, numbers(0, 10, 10, 10, 11), l.feed.versions)
	require.Len(t, l.mirror.Snapshot(core.Version{}).Rows, 2)
}

// A host that cannot read the store adopts copies from other hosts. An older
// copy must not undo newer changes, and the store must be followed from the
// version of the adopted copy.
func TestAdoptsOnlyNewerCopies(t *testing.T) {
	l := newFixture(records(10, row("a", 3), row("b", 4)))
	l.run(t)
	require.False(t, l.mirror.Merge(mirror.Snapshot{Version: number(9), Newest: number(9), Rows: []core.Record{row("z", 9)}}))
	require.True(t, l.mirror.Merge(mirror.Snapshot{Version: number(20), Newest: number(18), Rows: []core.Record{row("a", 18)}}))
	require.Equal(t, []event{{key: "a"}, {key: "b"}, {key: "a"}, {key: "b", removed: true}}, l.events)
	l.feed.responses = []response{records(25, row("c", 25))}
	l.feed.versions = nil
	l.run(t)
	require.Equal(t, numbers(20, 25), l.feed.versions)
}

// A change that arrives late must not undo a newer one of the same row.
func TestIgnoresOlderVersionsOfARow(t *testing.T) {
	l := newFixture(records(10, row("a", 9)), records(12, row("a", 7), row("b", 12)))
	l.run(t)
	require.Equal(t, []event{{key: "a"}, {key: "b"}}, l.events)
}

// Hosts that do not follow the store depend on changes from other hosts. If
// changes are missing in between, they must be rejected, or the table would
// stay incomplete unnoticed.
func TestAdoptsChangesWithoutGaps(t *testing.T) {
	from := newFixture(records(10, row("a", 3), row("b", 4)), records(12, row("a", 12)), records(15, removal("b", 15)))
	from.run(t)
	to := newFixture(records(10, row("a", 3), row("b", 4)))
	to.run(t)
	changes := from.mirror.Snapshot(number(10))
	require.Equal(t, []core.Record{row("a", 12), removal("b", 15)}, changes.Rows)
	require.True(t, to.mirror.Merge(changes))
	require.Equal(t, []event{{key: "a"}, {key: "b"}, {key: "a"}, {key: "b", removed: true}}, to.events)
	require.False(t, to.mirror.Merge(changes), "the changes were adopted before")

	behind := newFixture(records(5, row("a", 3)))
	behind.run(t)
	require.False(t, behind.mirror.Merge(from.mirror.Snapshot(number(12))), "changes between 5 and 12 are missing")
	whole := from.mirror.Snapshot(number(5)) // before the start of the history: the whole content
	require.Zero(t, whole.After)
	require.True(t, behind.mirror.Merge(whole))
	require.Len(t, behind.mirror.Snapshot(core.Version{}).Rows, 1)
	empty := newFixture()
	require.False(t, empty.mirror.Merge(changes), "changes without the content before them")
}

// Changes of another host must not be applied again if this host has read some
// of them itself in the meantime. Otherwise it would take over how long the other
// host holds a removed row.
func TestKnownChangesAreNotAppliedAgain(t *testing.T) {
	l := newFixture(records(10, row("a", 3)), records(20, row("b", 16), removal("b", 18), row("a", 20)))
	l.run(t)
	require.Equal(t, []event{{key: "a"}, {key: "b", removed: true}, {key: "a"}}, l.events)
	late := mirror.Snapshot{Rows: []core.Record{row("b", 16), removal("b", 18), row("c", 25)}, After: number(15), Version: number(25), Newest: number(25)}
	require.True(t, l.mirror.Merge(late))
	require.Equal(t, event{key: "c"}, l.events[3])
	require.Len(t, l.events, 4)
}

// A host that does not follow the store must read it only once while others
// confirm its copy. Otherwise the load on the store would grow with the number of
// hosts.
func TestReadsOnceUnlessItFollows(t *testing.T) {
	l := newFixture(records(10, row("a", 3)), records(11, row("b", 11)))
	follows := false
	l.mirror = mirror.New(mirror.Config{
		Feed: l.feed, Timer: l.clock, PollTimeout: time.Second, OnStoreState: func(error) {}, OnChange: func(mirror.Change) {},
		FollowsStore: func() bool { return follows },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.mirror.Run(ctx)
	}()
	require.Eventually(t, func() bool { asOf, _ := l.mirror.Versions(); return asOf == number(10) }, 10*time.Second, time.Millisecond)
	for range 50 {
		l.clock.Advance(100 * time.Millisecond)
		l.mirror.Confirm(number(10), 0)
		time.Sleep(100 * time.Microsecond)
	}
	cancel()
	<-done
	require.Equal(t, numbers(0), l.feed.versions)
	follows = true
	l.run(t)
	require.Equal(t, numbers(0, 10, 11), l.feed.versions)
}

// The end of an outage must be detected at once, not with the next change.
// Until then removals count as lapsed, and a server that has left for good
// would still get requests.
func TestEndOfOutageIsNoticedAtOnce(t *testing.T) {
	down := response{err: codes.New(codes.StoreLimit, "busy")}
	l := newFixture(records(10), down, down, records(10), records(11, row("a", 11)))
	l.run(t)
	require.Equal(t, []time.Duration{time.Second, 0, 0, time.Second, time.Second}, l.feed.waits)
}

// Guards against going back to an older state of the table: a listing that the
// store answers from an earlier version must not bring back removed rows.
func TestOlderListingIsNotApplied(t *testing.T) {
	dropped := response{err: codes.New(codes.StoreAbsent, "gone")}
	l := newFixture(records(10, row("a", 3), row("b", 4)), records(20, removal("b", 20)), dropped,
		records(15, row("a", 3), row("b", 4)), records(30, row("a", 3), row("c", 25)))
	l.run(t)
	require.Equal(t, []event{{key: "a"}, {key: "b"}, {key: "b", removed: true}, {key: "c"}}, l.events)
	asOf, _ := l.mirror.Versions()
	require.Equal(t, number(30), asOf)
}

// Guards against the same through the copy of another host, which is taken while
// the table must be listed again.
func TestOlderCopyIsNotMergedAfterLostHistory(t *testing.T) {
	dropped := response{err: codes.New(codes.StoreAbsent, "gone")}
	down := response{err: codes.New(codes.StoreDown, "down")}
	l := newFixture(records(10, row("a", 3), row("b", 4)), records(20, removal("b", 20)), dropped, down)
	l.run(t)
	require.False(t, l.mirror.Merge(mirror.Snapshot{Version: number(15), Newest: number(10), Rows: []core.Record{row("a", 3), row("b", 4)}}))
	require.Equal(t, []event{{key: "a"}, {key: "b"}, {key: "b", removed: true}}, l.events)
}

// Guards against copies that grow with each change of the same row. During a
// storm of large configurations they would take longer to fetch than the next
// configuration takes to come, and would not fit into a message at last.
func TestCopyHoldsOnlyTheNewestChangeOfEachRow(t *testing.T) {
	responses := []response{records(10, row("config", 3), row("b", 4))}
	for v := uint64(11); v <= 60; v++ {
		responses = append(responses, records(v, row("config", v)))
	}
	l := newFixture(append(responses, records(61, removal("b", 61)))...)
	l.run(t)
	require.Equal(t, []core.Record{row("config", 60), removal("b", 61)}, l.mirror.Snapshot(number(10)).Rows)
	require.Equal(t, []core.Record{row("config", 60), removal("b", 61)}, l.mirror.Snapshot(number(40)).Rows)
	require.Equal(t, []core.Record{removal("b", 61)}, l.mirror.Snapshot(number(60)).Rows)
}

// Guards against a copy that counts as complete after a response that had room for a
// part of the changes only.
func TestPartOfTheChangesConfirmsNothing(t *testing.T) {
	part := records(20, row("a", 15))
	part.records.Partial = true
	l := newFixture(records(10, row("a", 3)))
	completeAt := func(responses ...response) time.Duration {
		l.feed.responses = append(l.feed.responses, responses...)
		l.run(t)
		return l.clock.Now() - l.mirror.Age()
	}
	listed := completeAt()
	l.clock.Advance(time.Second)
	require.Equal(t, listed, completeAt(part))
	l.clock.Advance(time.Second)
	require.Greater(t, completeAt(records(30, row("a", 25))), listed)
}

// Guards against a client of the store that keeps its connections although a call on one
// of them is overdue, or gives them up each time that a copy of another host ends a call.
func TestOverdueCallsAreToldFromUnneededOnes(t *testing.T) {
	l := newFixture(records(10))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.mirror.Run(ctx)
	}()
	causes := func() []error {
		l.feed.mu.Lock()
		defer l.feed.mu.Unlock()
		return append([]error(nil), l.feed.causes...)
	}
	<-l.feed.idle // the call waits for changes
	require.True(t, l.mirror.Merge(mirror.Snapshot{After: number(10), Rows: []core.Record{row("a", 11)}, Version: number(11), Newest: number(11)}))
	require.Eventually(t, func() bool { return len(causes()) == 1 }, 10*time.Second, time.Millisecond)
	require.Equal(t, []error{context.Canceled}, causes())
	<-l.feed.idle
	for range 40 { // 4 s in which the store answers nothing
		l.clock.Advance(100 * time.Millisecond)
		time.Sleep(2 * time.Millisecond)
	}
	require.Greater(t, len(causes()), 2)
	for _, cause := range causes()[1:] {
		require.ErrorIs(t, cause, context.DeadlineExceeded)
	}
	cancel()
	<-done
}
