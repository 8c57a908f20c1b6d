package edge

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/gossip"
	"azurering/core/mirror"
	"azurering/core/picker"
	"azurering/core/quota"
	"azurering/core/timer"
	"azurering/io/metric"
)

const (
	// A request must not reach a server later than drainTimeout after the store
	// has acknowledged that the server leaves. That binds a host once it has
	// reached the store for contactTime.
	drainTimeout = 2 * time.Second
	contactTime  = 3 * time.Second
	// connectTime is how long a request may take to its server after the choice.
	connectTime = 400 * time.Millisecond
)

// storeCall is a call of a host to the store that waits for its reply.
type storeCall struct {
	ctx   context.Context
	after core.Version // zero for a call to List
	reply chan storeReply
}

// fail lets time pass until the call ends, and fails it after a time at the
// latest.
func (c storeCall) fail(clock *timer.Manual, after time.Duration) {
	for until := clock.Now() + after; clock.Now() < until && c.ctx.Err() == nil; clock.Advance(10 * time.Millisecond) {
		time.Sleep(100 * time.Microsecond) // for the goroutine that ends the call
	}
	c.reply <- storeReply{err: codes.New(codes.StoreDown, "test")}
}

type storeReply struct {
	records core.Records
	err     error
}

// steppedFeed hands the calls for the servers' table to the test.
type steppedFeed struct{ calls chan storeCall }

func (f *steppedFeed) call(ctx context.Context, after core.Version) (core.Records, error) {
	c := storeCall{ctx: ctx, after: after, reply: make(chan storeReply, 1)}
	select {
	case f.calls <- c:
	case <-ctx.Done():
		return core.Records{}, ctx.Err()
	}
	select {
	case r := <-c.reply:
		return r.records, r.err
	case <-ctx.Done():
		return core.Records{}, ctx.Err()
	}
}

func (f *steppedFeed) List(ctx context.Context, _ core.FeedTable) (core.Records, error) {
	return f.call(ctx, core.Version{})
}

func (f *steppedFeed) Follow(ctx context.Context, _ core.FeedTable, after core.Version, _ time.Duration) (core.Records, error) {
	return f.call(ctx, after)
}

func (f *steppedFeed) Put(context.Context, core.FeedTable, string, []byte) error { return nil }

func (f *steppedFeed) Era() uint64 { return 0 }

// serverList is a host's list of servers in virtual time.
type serverList struct {
	t      *testing.T
	clock  *timer.Manual
	feed   *steppedFeed
	mirror *mirror.Mirror
	view   *picker.Picker
	state  *clusterState

	members *gossip.Members
}

func newServerList(t *testing.T, clock *timer.Manual, place core.HostSettings) *serverList {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := Config{Log: log, Place: place, Decode: RowDecoders{Instance: func(id string, raw []byte) (core.Instance, error) {
		return core.Instance{
			Server: core.Server{Name: core.ServerID(id), Service: "s", Domain: "d", Address: "127.0.0.1:1", Slots: 100},
			State:  core.InstanceReady, StartedMs: 1, Sequence: uint64(raw[0]),
		}, nil
	}}}
	l := &serverList{t: t, clock: clock, feed: &steppedFeed{calls: make(chan storeCall)}}
	members := gossip.New(gossip.Config{Timer: clock, Self: gossip.Heartbeat{Host: "own", Domain: "d"}})
	l.members = members
	metrics, err := metric.New()
	require.NoError(t, err)
	w := newClusterState(cfg, clock, l.feed, quota.New(quota.Config{Timer: clock}), members, newJoining(clock, members), metrics)
	l.view = picker.New(picker.Config{
		Timer: clock, Host: "own", Domain: "d", Regions: map[core.DomainID]core.RegionID{"d": "r"},
		DomainHosts:  func(core.DomainID) []core.HostID { return nil },
		Service:      func(core.ServiceID) *core.ServiceConfig { return nil },
		RequestCheck: func(core.Instance) {},
	})
	l.state = w
	w.view, l.mirror = l.view, w.mirrors[core.FeedServers]
	return l
}

// start lets the list follow the store and answers its first call.
func (l *serverList) start(version uint64, servers ...string) {
	l.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.mirror.Run(ctx)
	}()
	l.t.Cleanup(func() { cancel(); <-done })
	rows := make([]core.Record, 0, len(servers))
	for _, s := range servers {
		rows = append(rows, entry(s, version))
	}
	l.next().reply <- storeReply{records: core.Records{Rows: rows, Version: core.Version{Number: version}}}
}

// startedList returns a list that follows the store and holds one server.
func startedList(t *testing.T, clock *timer.Manual) *serverList {
	t.Helper()
	l := newServerList(t, clock, core.HostSettings{})
	l.start(1, "i-1")
	return l
}

// next returns the list's next call to the store. Time passes while the list
// waits before it calls again.
func (l *serverList) next() storeCall {
	for {
		select {
		case c := <-l.feed.calls:
			return c
		case <-time.After(2 * time.Millisecond):
			l.clock.Advance(10 * time.Millisecond)
		}
	}
}

// answer answers a call, or the call that the list has made in its place since it
// gave the first one up.
func (l *serverList) answer(c storeCall, records core.Records) {
	l.t.Helper()
	for tries := 0; tries < 100; tries++ {
		select {
		case c.reply <- storeReply{records: records}:
		default: // it has been answered
		}
		for range 50 {
			if asOf, _ := l.mirror.Versions(); asOf == records.Version {
				return
			}
			time.Sleep(time.Millisecond)
		}
		c = l.next()
	}
	require.Fail(l.t, "the list took no answer")
}

// keepAnswering answers the calls of the list, as a store without changes after a
// version does, until stop is called.
func (l *serverList) keepAnswering(version uint64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case c := <-l.feed.calls:
				c.reply <- storeReply{records: core.Records{Version: core.Version{Number: version}}}
				time.Sleep(100 * time.Microsecond)
			}
		}
	}()
	return func() { cancel(); <-done }
}

// outage fails calls to the store, each after a time, and returns the time at
// which the last one was made and the call that the store can answer again.
func (l *serverList) outage(callTakes time.Duration) (lastFailed time.Duration, back storeCall) {
	for range 4 {
		c := l.next()
		lastFailed = l.clock.Now()
		c.fail(l.clock, callTakes)
	}
	return lastFailed, l.next()
}

// uses reports whether a request may be sent to the only server of the list.
func (l *serverList) uses() bool {
	lease, err := l.view.Acquire(picker.Request{Service: "s", Object: "o", MaxLatency: time.Second})
	if err == nil {
		lease.Release(picker.OutcomeCancelled, nil)
	}
	return err == nil
}

// lastUse lets time pass and returns when the server was last used.
func (l *serverList) lastUse(limit time.Duration) time.Duration {
	last := time.Duration(0)
	for until := l.clock.Now() + limit; l.clock.Now() < until; l.clock.Advance(10 * time.Millisecond) {
		if l.uses() {
			last = l.clock.Now()
		}
		if l.clock.Now()%(400*time.Millisecond) < 10*time.Millisecond {
			l.view.Tick()
		}
	}
	return last
}

func entry(server string, version uint64) core.Record {
	return core.Record{Key: server, Value: []byte{1}, Version: core.Version{Number: version}}
}

func removal(server string, version uint64) core.Record {
	return core.Record{Key: server, Version: core.Version{Number: version}, Removed: true}
}

// outages are the ways in which calls fail during an outage, by the time until
// they do.
var outages = map[string]time.Duration{"refused": 0, "silent": 1500 * time.Millisecond}

// Guards against requests to a server that leaves shortly after an outage of
// the store: its removal looks like an entry that expired during the outage,
// and the time for which such an entry is kept must not exceed the time within
// which requests to a leaving server must end.
func TestRequestsEndInTimeAfterALeaveThatFollowsAnOutage(t *testing.T) {
	for name, callTakes := range outages {
		for _, delay := range []time.Duration{0, 10, 500, 1000, 1500, 1950} {
			delay *= time.Millisecond
			t.Run(fmt.Sprintf("%s, %s after it", name, delay), func(t *testing.T) {
				l := startedList(t, timer.NewManual())
				lastFailed, back := l.outage(callTakes)
				left := l.clock.Now() // the store acknowledges the leave
				if delay > 0 {
					back.reply <- storeReply{records: core.Records{Version: core.Version{Number: 1}}}
					back = l.next()
					left += delay
					l.clock.Advance(left - l.clock.Now())
				}
				l.answer(back, core.Records{Rows: []core.Record{removal("i-1", 2)}, Version: core.Version{Number: 2}})
				// The outage may have ended at any time after the last failed call.
				bound := max(left+drainTimeout, lastFailed+contactTime) - connectTime
				require.LessOrEqual(t, l.lastUse(5*time.Second), bound)
			})
		}
	}
}

// Guards against a host that keeps a removed server longer because it learned
// of the removal from another host.
func TestOtherHostsDoNotProlongTheUseOfARemovedServer(t *testing.T) {
	clock := timer.NewManual()
	reader, second, third := startedList(t, clock), startedList(t, clock), startedList(t, clock)
	lastFailed, back := reader.outage(0)
	left := clock.Now()
	back.reply <- storeReply{records: core.Records{Rows: []core.Record{removal("i-1", 2)}, Version: core.Version{Number: 2}}}
	reader.next()
	clock.Advance(400 * time.Millisecond)
	require.True(t, second.mirror.Merge(reader.mirror.Snapshot(core.Version{Number: 1})))
	clock.Advance(400 * time.Millisecond)
	require.True(t, third.mirror.Merge(second.mirror.Snapshot(core.Version{})))
	bound := max(left+drainTimeout, lastFailed+contactTime) - connectTime
	require.LessOrEqual(t, third.lastUse(5*time.Second), bound)
	require.False(t, second.uses())
}

// Guards against a host that takes a leave for an expired entry because the
// host from which it learned of it has lost the store. A host that reads the
// store without trouble has found that the server left.
func TestALeaveStaysALeaveOnItsWayThroughAHostWithoutTheStore(t *testing.T) {
	clock := timer.NewManual()
	reader, cutOff, third := startedList(t, clock), startedList(t, clock), startedList(t, clock)
	stop := reader.keepAnswering(1)
	cutOff.outage(0)
	stop()
	reader.answer(reader.next(), core.Records{Rows: []core.Record{removal("i-1", 2)}, Version: core.Version{Number: 2}})
	require.True(t, cutOff.mirror.Merge(reader.mirror.Snapshot(core.Version{Number: 1})))
	require.False(t, cutOff.uses())
	require.True(t, third.mirror.Merge(cutOff.mirror.Snapshot(core.Version{Number: 1})))
	require.False(t, third.uses())
}

// Guards against taking away servers that live, when the entries of all of them
// expire during an outage and are renewed after it.
func TestServersWithExpiredEntriesStayInUseUntilTheyRenewThem(t *testing.T) {
	for name, callTakes := range outages {
		// When a silent outage ended is known less closely.
		renewed := map[string]time.Duration{"refused": 1400 * time.Millisecond, "silent": 900 * time.Millisecond}[name]
		l := startedList(t, timer.NewManual())
		_, back := l.outage(callTakes)
		back.reply <- storeReply{records: core.Records{Rows: []core.Record{removal("i-1", 2)}, Version: core.Version{Number: 2}}}
		back = l.next()
		for until := l.clock.Now() + renewed; l.clock.Now() < until; l.clock.Advance(10 * time.Millisecond) {
			require.True(t, l.uses(), name)
		}
		l.answer(back, core.Records{Rows: []core.Record{entry("i-1", 3)}, Version: core.Version{Number: 3}})
		l.clock.Advance(10 * time.Second)
		l.view.Tick()
		require.True(t, l.uses(), name)
	}
}

// Guards against keeping a server that left because a few calls to the store
// failed: entries expire only after several missed heartbeats, so an outage
// that is too short for that has let none expire.
func TestAShortOutageKeepsNoRemovedServer(t *testing.T) {
	for name, callTakes := range outages {
		l := newServerList(t, timer.NewManual(), core.HostSettings{ServerHeartbeat: 1500 * time.Millisecond})
		l.start(1, "i-1")
		began := l.clock.Now()
		_, back := l.outage(callTakes)
		long := l.clock.Now()-began > 2250*time.Millisecond // one and a half missed heartbeats
		require.Equal(t, name == "silent", long)
		back.reply <- storeReply{records: core.Records{Rows: []core.Record{removal("i-1", 2)}, Version: core.Version{Number: 2}}}
		l.next()
		require.Equal(t, long, l.uses(), name)
	}
}

// Guards against keeping a server that left because nothing had changed for some
// time before one call failed: the store answers a long poll only when it ends,
// and that time is no outage in which entries expire.
func TestQuietTimeIsNoOutage(t *testing.T) {
	for waited := 200 * time.Millisecond; waited < longPollWait; waited += 400 * time.Millisecond {
		l := newServerList(t, timer.NewManual(), core.HostSettings{ServerHeartbeat: 1500 * time.Millisecond})
		l.start(1, "i-1")
		poll := l.next()
		for until := l.clock.Now() + waited; l.clock.Now() < until && poll.ctx.Err() == nil; l.clock.Advance(10 * time.Millisecond) {
			time.Sleep(100 * time.Microsecond)
		}
		poll.fail(l.clock, 0)
		l.next().reply <- storeReply{records: core.Records{Rows: []core.Record{removal("i-1", 2)}, Version: core.Version{Number: 2}}}
		l.next()
		require.False(t, l.uses(), "poll that failed after %s", waited)
	}
}

// Guards against a host that goes on using an old list of servers because the
// host that reads the store for it has stopped doing so, or no news reach it:
// nothing tells it that it has missed a change.
func TestHostThatHearsNothingOfTheStoreReadsItInTime(t *testing.T) {
	const maxSilence = 1200 * time.Millisecond
	l := startedList(t, timer.NewManual())
	l.next().fail(l.clock, 0)
	again := l.next()
	hear := func(seq uint64) {
		l.members.Receive(gossip.Digest{Domain: "d", Heartbeats: []gossip.Heartbeat{{Host: "first", Domain: "d", Address: "127.0.0.1", Seq: seq}}})
	}
	hear(1)
	began := l.clock.Now()
	again.reply <- storeReply{records: core.Records{Version: core.Version{Number: 1}}}
	for seq := uint64(2); l.clock.Now() < began+maxSilence; l.clock.Advance(10 * time.Millisecond) {
		if (l.clock.Now()-began)%(400*time.Millisecond) < 10*time.Millisecond {
			hear(seq)
			seq++
		}
		select {
		case c := <-l.feed.calls:
			require.EqualValues(t, 1, c.after.Number)
			return
		case <-time.After(time.Millisecond):
		}
	}
	require.Fail(t, "the host relied on a host that does not read the store")
}

// Guards against keeping a server that left because this host alone could not read
// the store meanwhile: others could, so no entry has expired for that.
func TestAnOutageOfOneHostKeepsNoRemovedServer(t *testing.T) {
	l := newServerList(t, timer.NewManual(), core.HostSettings{ServerHeartbeat: 1500 * time.Millisecond})
	l.start(1, "i-1")
	for began := l.clock.Now(); l.clock.Now() < began+4*time.Second; {
		l.next().fail(l.clock, 0)
		l.mirror.Confirm(core.Version{Number: 1}, 50*time.Millisecond)
	}
	l.answer(l.next(), core.Records{Rows: []core.Record{removal("i-1", 2)}, Version: core.Version{Number: 2}})
	require.False(t, l.uses())
}

// Guards against a host that follows the store and waits for an answer on a dead
// connection, while its copy and those of all hosts that depend on it grow old.
func TestFollowerGivesUpASilentCallInTime(t *testing.T) {
	const maxSilence = 900 * time.Millisecond
	l := startedList(t, timer.NewManual())
	silent := l.next()
	began := l.clock.Now()
	l.next()
	require.Error(t, silent.ctx.Err())
	require.LessOrEqual(t, l.clock.Now()-began, maxSilence)
}
