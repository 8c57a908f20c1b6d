package proxy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
)

// Guards against a host that stops and cuts an order, against one that refuses
// requests that it can answer, and against callers that wait although other hosts
// can serve them at once. The routes' time limit is 2 s.
func TestStoppingHostTakesOnlyWhatItCanAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		left   time.Duration // until the last answers
		status int
	}{
		"order that ends in time":     {"/o/x", 2 * time.Second, 200},
		"order that may be cut":       {"/o/x", 1900 * time.Millisecond, 503},
		"look-up that may be cut":     {"/l/x", 1900 * time.Millisecond, 200},
		"look-up after the last ones": {"/l/x", 0, 503},
	} {
		env := newTestEnv(ok)
		env.clock.Advance(10 * time.Second)
		env.stop = 10*time.Second + c.left
		reply, _ := env.serve(c.path)
		require.Equal(t, c.status, reply.Status, name)
		if c.status == 503 {
			require.Empty(t, env.backends.sent, name)
			require.Empty(t, reply.Header.Get("Retry-After"), name)
		}
	}
}

// Guards against a request that is sent to another server at the end of the stop, after
// one has failed it. The first server may have run it, so that the answer must not
// promise that it has not.
func TestStoppingHostRepeatsNothingLate(t *testing.T) {
	env := newTestEnv(outcome{state: core.SendUnknown, took: 500 * time.Millisecond}, ok)
	env.stop = 300 * time.Millisecond
	reply, _ := env.serve("/l/x")
	require.Len(t, env.backends.sent, 1)
	require.Equal(t, 502, reply.Status)
}
