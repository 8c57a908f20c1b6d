package picker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
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
