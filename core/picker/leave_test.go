package picker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/picker"
)

// leaving is what an answer of a server that leaves says.
var leaving = core.ReplyMeta{Stamped: true, Leaving: true}

// Guards against requests to a server that has said in an answer that it leaves: its
// entry in the store may say for a long time that it is ready, may be written
// again by a late report, or may be removed and come back. Only another start of
// the server ends the notice.
func TestNoticeThatAServerLeavesOutlivesItsEntries(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.view.Update(instance(1, "a"))
	require.Positive(t, env.countAccepted(100*time.Millisecond))
	env.view.RecordLeave(instance(1, "a"), leaving)
	require.Zero(t, env.countAccepted(100*time.Millisecond))

	next := instance(1, "a")
	next.Sequence = 2
	env.view.Update(next)
	require.Zero(t, env.countAccepted(100*time.Millisecond), "a later report")
	env.view.Remove("i-1", 0)
	env.clock.Advance(2 * time.Minute)
	next.Sequence = 3
	env.view.Update(next)
	env.view.Tick()
	require.Zero(t, env.countAccepted(100*time.Millisecond), "removed and written again")
	earlier := instance(1, "a")
	earlier.StartedMs, earlier.State = 500, core.InstanceDraining
	env.view.Update(earlier)
	next.Sequence = 4
	env.view.Update(next)
	require.Zero(t, env.countAccepted(100*time.Millisecond), "after a late report of an earlier start")

	again := instance(1, "a")
	again.StartedMs = 2000
	env.view.Update(again)
	require.Positive(t, env.countAccepted(5*time.Second), "another start")
	env.view.RecordLeave(instance(1, "a"), leaving)
	require.Positive(t, env.countAccepted(5*time.Second), "a late answer of the earlier start")
}

// Guards against a server that loses its requests because of an answer that says
// nothing of it.
func TestOtherAnswersAreNoNotice(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.view.Update(instance(1, "a"))
	env.view.RecordLeave(instance(1, "a"), core.ReplyMeta{Stamped: true})
	env.view.RecordLeave(instance(1, "a"), core.ReplyMeta{Instance: "i-2", Leaving: true})
	env.view.RecordLeave(instance(2, "a"), leaving)
	require.Positive(t, env.countAccepted(100*time.Millisecond))
}

// Guards against hosts that each find out by a request of their own that a server
// leaves, and against notices that are passed on for ever.
func TestNoticesArePassedOnOnce(t *testing.T) {
	env, other := newTestEnv("h1", "a"), newTestEnv("h2", "a")
	for _, e := range []*testEnv{env, other} {
		e.view.Update(instance(1, "a"))
	}
	env.view.RecordLeave(instance(1, "a"), leaving)
	untold := env.view.TakeUntoldLeaves()
	require.Equal(t, map[core.ServerID]int64{"i-1": 1000}, untold)
	require.Empty(t, env.view.TakeUntoldLeaves())
	env.view.RecordLeave(instance(1, "a"), leaving)
	require.Empty(t, env.view.TakeUntoldLeaves())
	for range 2 {
		other.view.MergeLeave(picker.LeaveNotice{Server: "i-1", StartedMs: 1000, Source: "d"})
	}
	require.Zero(t, other.countAccepted(100*time.Millisecond))
	require.Empty(t, other.view.TakeUntoldLeaves())
	require.Equal(t, []picker.LeaveNotice{{Server: "i-1", StartedMs: 1000, Source: "d"}}, other.leaves)
}

// Guards against overlooking the notice of a server whose clock was set back before it
// started again under its id: its start seems to be earlier than that of the notice
// that is known.
func TestNoticeCountsAfterTheClockWasSetBack(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.view.Update(instance(1, "a"))
	env.view.RecordLeave(instance(1, "a"), leaving)
	env.view.Remove("i-1", 0)
	again := instance(1, "a")
	again.StartedMs = 500
	env.view.Update(again)
	require.Positive(t, env.countAccepted(5*time.Second))
	env.view.RecordLeave(again, leaving)
	require.Zero(t, env.countAccepted(100*time.Millisecond))
	env.view.RecordLeave(instance(1, "a"), leaving)
	require.Zero(t, env.countAccepted(100*time.Millisecond), "a late answer of the earlier start")
}
