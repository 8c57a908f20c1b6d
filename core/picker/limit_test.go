package picker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/picker"
)

// limited is an answer to a request that the server ran.
func limited(perSecond float64) core.ReplyMeta {
	return core.ReplyMeta{Stamped: true, RateLimit: core.RateLimit{State: core.RateLimitNamed, PerSecond: perSecond}}
}

// Guards against a limit that is missed, that ends although the server still
// names it, or that stays after the server took it back or started again.
func TestAnswersNameAndEndLimits(t *testing.T) {
	absent, invalid := core.RateLimit{}, core.RateLimit{State: core.RateLimitInvalid}
	for _, c := range []struct {
		name   string
		second core.ReplyMeta // after an answer that names 6.2
		want   float64        // 0 for no limit
	}{
		{"another figure", limited(14.5), 14.5},
		{"an answer without a limit", core.ReplyMeta{Stamped: true}, 0},
		{"a status check without a limit", core.ReplyMeta{Instance: "i-0"}, 6.2},
		{"a status check with a limit", core.ReplyMeta{Instance: "i-0", RateLimit: limited(3).RateLimit}, 3},
		{"a rejection without a limit", core.ReplyMeta{NotExecuted: true, RateLimit: absent}, 6.2},
		{"a rejection with a limit", core.ReplyMeta{NotExecuted: true, RateLimit: limited(3).RateLimit}, 3},
		{"an answer of another server", core.ReplyMeta{Instance: "i-9", RateLimit: limited(3).RateLimit}, 6.2},
		{"an answer that broke off", core.ReplyMeta{}, 6.2},
		{"a figure that cannot be used", core.ReplyMeta{Stamped: true, RateLimit: invalid}, 6.2},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnv("h1", "a")
			env.addServers(1, "a")
			env.view.RecordLimit(instance(0, "a"), limited(6.2))
			env.clock.Advance(time.Second)
			env.view.RecordLimit(instance(0, "a"), c.second)
			lease, err := env.view.Acquire(stickyAsk("x"))
			require.NoError(t, err)
			require.Equal(t, c.want > 0, lease.Limit.Named)
			require.Equal(t, c.want, lease.Limit.PerSecond)
		})
	}
	env := newTestEnv("h1", "a")
	env.addServers(1, "a")
	env.view.RecordLimit(instance(0, "a"), limited(6.2))
	require.Equal(t, 1, env.view.NumLimited())
	again := instance(0, "a")
	again.StartedMs++
	env.view.Update(again)
	require.Zero(t, env.view.NumLimited(), "a new start of the server has named nothing")
	env.view.RecordLimit(instance(0, "a"), limited(6.2))
	require.Zero(t, env.view.NumLimited(), "the answer is from the earlier start")
}

// Guards against a limit that outlives its server: the entry went while a request was
// still in flight, and the server started again under its name.
func TestLimitEndsWithAStartAfterARemoval(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.addServers(1, "a")
	env.view.RecordLimit(instance(0, "a"), limited(6.2))
	_, err := env.view.Acquire(stickyAsk("x"))
	require.NoError(t, err)
	env.view.Remove("i-0", 0)
	again := instance(0, "a")
	again.StartedMs++
	env.view.Update(again)
	require.False(t, env.view.Limit(again).Named)
	env.view.RecordLimit(again, limited(6.2))
	env.view.Remove("i-0", 0)
	env.view.Update(again)
	require.True(t, env.view.Limit(again).Named, "the same start is listed again")
}

// Guards against a flood of log lines by a server whose limit changes with each
// answer, and against bad figures that nobody sees.
func TestFrequentChangesOfALimitAreMarked(t *testing.T) {
	env := newTestEnv("h1", "a")
	var changes []picker.LimitChange
	env.onLimit = func(c picker.LimitChange) { changes = append(changes, c) }
	env.addServers(1, "a")
	env.clock.Advance(time.Second)
	for i := range 4 {
		env.view.RecordLimit(instance(0, "a"), limited(float64(5+i)))
		env.view.RecordLimit(instance(0, "a"), limited(float64(5+i)))
	}
	env.view.RecordLimit(instance(0, "a"), core.ReplyMeta{RateLimit: core.RateLimit{State: core.RateLimitInvalid}})
	require.Len(t, changes, 5)
	for i, c := range changes {
		require.Equal(t, i > 0, c.Frequent)
		require.Equal(t, i == 4, c.Invalid)
	}
	require.Equal(t, 8.0, changes[4].New.PerSecond)
}

// Guards against a request that waits, or is refused, because the server of its
// object is at its limit, although another server has room.
func TestServerAtItsLimitIsPassedOver(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.addServers(4, "a")
	owner, err := env.view.Acquire(stickyAsk("x"))
	require.NoError(t, err)
	owner.Decline(300 * time.Millisecond)
	next, err := env.view.Acquire(stickyAsk("x"))
	require.NoError(t, err)
	require.NotEqual(t, owner.Name, next.Name)
	require.Equal(t, owner.Name, next.PassedOver)
	next.Release(picker.OutcomeAnswered, nil)
	again, err := env.view.Acquire(stickyAsk("x"))
	require.NoError(t, err)
	require.Equal(t, next.Name, again.Name, "one server takes the object over")
	again.Release(picker.OutcomeAnswered, nil)
	env.clock.Advance(300 * time.Millisecond)
	back, err := env.view.Acquire(stickyAsk("x"))
	require.NoError(t, err)
	require.Equal(t, owner.Name, back.Name)
}

// Guards against requests that wait for servers of which all are at their limits.
func TestAllServersAtTheirLimits(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.addServers(2, "a")
	for _, wait := range []time.Duration{400 * time.Millisecond, time.Hour} {
		lease, err := env.view.Acquire(stickyAsk("x"))
		require.NoError(t, err)
		lease.Decline(wait)
	}
	_, err := env.view.Acquire(stickyAsk("x"))
	var atLimit *picker.AtLimitError
	require.ErrorAs(t, err, &atLimit)
	require.Equal(t, codes.NoCapacity, codes.Of(err))
	require.Equal(t, 400*time.Millisecond, atLimit.Wait)
	env.clock.Advance(time.Second)
	first, err := env.view.Acquire(stickyAsk("x"))
	require.NoError(t, err, "another attempt after a second at the latest, to notice the end of a low limit")
	first.Release(picker.OutcomeAnswered, nil)
}

// Guards against objects that stay with a server that can take few of their
// requests, and against a server whose limit nobody hears of any more.
func TestLimitLowersTheShareOfAServer(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.addServers(4, "a")
	owned := func() int {
		n := 0
		for i := range 400 {
			lease, err := env.view.Acquire(stickyAsk(fmt.Sprint(i)))
			require.NoError(t, err)
			if lease.Name == "i-0" {
				n++
			}
			lease.Release(picker.OutcomeCancelled, nil)
		}
		return n
	}
	before := owned()
	require.Greater(t, before, 60)
	// 1.2 requests a second of 250 ms fill 0.3 slots, which is half a slot at the
	// usual load, of 3.
	env.view.RecordLimit(instance(0, "a"), limited(1.2))
	env.view.SetRemoteInFlight(nil)
	require.InDelta(t, float64(before)/6, owned(), 12)
	env.clock.Advance(3 * time.Second)
	env.view.SetRemoteInFlight(nil)
	require.Equal(t, before, owned(), "no answer has named the limit for some time")
	env.view.RecordLimit(instance(0, "a"), core.ReplyMeta{Stamped: true})
	env.view.SetRemoteInFlight(nil)
	require.Equal(t, before, owned())
}
