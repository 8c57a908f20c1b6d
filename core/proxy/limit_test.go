package proxy_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
)

// limited is an answer that names a limit.
func limited(status int) outcome {
	return outcome{status: status, meta: core.ReplyMeta{Stamped: true, RateLimit: core.RateLimit{State: core.RateLimitNamed, PerSecond: 6}}}
}

func denied(wait time.Duration) func(core.Instance) core.Permit {
	return func(core.Instance) core.Permit { return core.Permit{Wait: wait, By: "h9"} }
}

func granted(core.Instance) core.Permit { return core.Permit{Granted: true, By: "h9"} }

// Guards against requests to a server with a limit for which no permit was asked,
// and against asking for permits where no limit is named.
func TestOnlyServersWithALimitNeedAPermit(t *testing.T) {
	env := newTestEnv(limited(200))
	env.permit = granted
	env.serve("/l/x")
	require.Empty(t, env.permits, "the first answer names the limit")
	_, record := env.serve("/l/x")
	require.Equal(t, record.Servers, env.permits)
	require.Equal(t, 6.0, record.Limit.PerSecond)
	require.Equal(t, core.HostID("h9"), record.PermitBy)
}

// Guards against a request that is refused, counts as a retry or is sent without a
// permit because the server of its object is at its limit: another one takes it.
func TestRequestGoesElsewhereWithoutAPermit(t *testing.T) {
	env := newTestEnv(limited(200), ok)
	env.permit = denied(time.Second)
	_, first := env.serve("/l/x")
	reply, second := env.serve("/l/x")
	require.Equal(t, 200, reply.Status)
	require.Len(t, second.Servers, 1)
	require.NotEqual(t, first.Servers, second.Servers)
	require.Equal(t, first.Servers[0], second.PassedOver)
	require.Equal(t, time.Second, second.PermitWait)
	require.Len(t, env.permits, 1)
	env.serve("/l/x")
	require.Len(t, env.permits, 1, "the coordinator is not asked again before the time that it gave")
}

// Guards against repeats, which also arrive at a server, without a permit.
func TestRepeatsNeedAPermit(t *testing.T) {
	env := newTestEnv(limited(200))
	env.permit = granted
	for range 40 { // until all servers have named a limit
		env.serve("/s/x", func(c *core.Call) { c.AffinityKey = strconv.Itoa(len(env.backends.sent)) })
		env.serve("/l/x", func(c *core.Call) { c.RequestID = strconv.Itoa(len(env.backends.sent)) })
	}
	env.backends.outcomes, env.backends.sent, env.permits = []outcome{failed, ok}, nil, nil
	reply, record := env.serve("/l/x")
	require.Equal(t, 200, reply.Status)
	require.Len(t, record.Servers, 2)
	require.Equal(t, record.Servers, env.permits)
}

// Guards against a request that waits although it is known that no server accepts
// it in time, and against callers that all come back at the same moment.
func TestRequestIsRejectedAtOnceIfAllServersAreAtTheirLimits(t *testing.T) {
	env := newTestEnv(limited(200))
	env.permit = granted
	for i := range 60 {
		env.serve("/l/x", func(c *core.Call) { c.RequestID = strconv.Itoa(i) })
	}
	env.permit = denied(700 * time.Millisecond)
	waits := make(map[string]bool)
	for range 20 {
		reply, record := env.serve("/l/x")
		require.Equal(t, 503, reply.Status)
		require.Equal(t, codes.NoCapacity, record.Code)
		require.Zero(t, record.Duration)
		wait, err := strconv.ParseFloat(reply.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, wait, 0.7)
		require.Less(t, wait, 1.3)
		waits[reply.Header.Get("Retry-After")] = true
	}
	require.Greater(t, len(waits), 10)
}

// Guards against a request that is refused because the coordinator of one server is
// silent, although other servers have room: waiting for it takes longer than the
// request may wait for a server.
func TestSilentCoordinatorDoesNotRefuseRequests(t *testing.T) {
	env := newTestEnv(limited(200), limited(200), ok)
	env.permit = func(core.Instance) core.Permit {
		env.clock.Advance(100 * time.Millisecond)
		return core.Permit{Wait: 250 * time.Millisecond}
	}
	for i := range 9 { // until two servers have named a limit
		env.serve("/l/x", func(c *core.Call) { c.RequestID = strconv.Itoa(i) })
	}
	env.clock.Advance(time.Second)
	for i := range 20 {
		reply, record := env.serve("/l/x", func(c *core.Call) { c.RequestID = strconv.Itoa(i) })
		require.Equal(t, 200, reply.Status, record.Reason)
	}
}
