package proxy_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/routes"
)

// split puts a version in force in which the routes with the given names are split.
func (env *testEnv) split(version uint64, splits map[string][]core.WeightedService) {
	c := core.RoutingConfig{Version: version}
	for name, split := range splits {
		c.Routes = append(c.Routes, core.RoutingRule{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: core.RouteIdempotent, MaxAttempts: 2, Split: split,
			Timeout: 2 * time.Second, LatencyTarget: 600 * time.Millisecond,
		})
	}
	env.table = routes.Compile(c)
}

func parts(s, t float64) []core.WeightedService {
	return []core.WeightedService{{Service: "s", Weight: s}, {Service: "t", Weight: t}}
}

// counts returns the services of a number of requests on a route.
func (env *testEnv) counts(name string, requests int) map[core.ServiceID]int {
	count := make(map[core.ServiceID]int)
	for range requests {
		_, record := env.serve("/" + name + "/x")
		count[record.Service]++
	}
	return count
}

// Guards against a service that gets requests after its weight has become 0, because it
// was owed one by an earlier version of the split. On a route that is rarely used that
// can be hours later.
func TestServiceWithoutWeightGetsNothing(t *testing.T) {
	for _, used := range []int{1, 2, 3, 5} {
		for _, other := range []core.ServiceID{"s", "t"} {
			env := newTestEnv(ok)
			env.split(1, map[string][]core.WeightedService{"r": parts(75, 25)})
			env.counts("r", used)
			weights, left := parts(0, 25), core.ServiceID("t")
			if other == "t" {
				weights, left = parts(75, 0), "s"
			}
			env.split(2, map[string][]core.WeightedService{"r": weights})
			require.Equal(t, map[core.ServiceID]int{left: 40}, env.counts("r", 40), "after %d requests", used)
		}
	}
}

// Guards against parts that are owed requests by a split of other services, of the same
// services in another order, or of a route that was removed and added again: the first
// request goes to the heaviest part in nearly all trials.
func TestNewSplitOwesNothing(t *testing.T) {
	const trials = 50
	before := []core.WeightedService{{Service: "s", Weight: 98}, {Service: "t", Weight: 1}, {Service: "u", Weight: 1}}
	for name, after := range map[string][]core.WeightedService{
		"other services": {{Service: "v", Weight: 98}, {Service: "w", Weight: 1}, {Service: "x", Weight: 1}},
		"other order":    {{Service: "t", Weight: 98}, {Service: "s", Weight: 1}, {Service: "u", Weight: 1}},
		"added again":    before,
	} {
		heaviest := 0
		for range trials {
			env := newTestEnv(ok)
			env.split(1, map[string][]core.WeightedService{"r": before})
			env.counts("r", 33) // the next one is owed to another part
			if name == "added again" {
				env.split(2, map[string][]core.WeightedService{"other": before})
				env.counts("other", 1)
			}
			env.split(3, map[string][]core.WeightedService{"r": after})
			heaviest += env.counts("r", 1)[after[0].Service]
		}
		require.Greater(t, heaviest, trials*3/4, name)
	}
}

// Guards against a split that begins anew with each version of the configuration, also
// with those that leave it alone, and so sends too much to one of its parts.
func TestSplitGoesOnThroughVersionsThatLeaveItAlone(t *testing.T) {
	env := newTestEnv(ok)
	count := make(map[core.ServiceID]int)
	for version := range uint64(100) {
		env.split(version+1, map[string][]core.WeightedService{"r": parts(90, 10), fmt.Sprint("other-", version): parts(1, 1)})
		for service, n := range env.counts("r", 1) {
			count[service] += n
		}
	}
	require.Equal(t, map[core.ServiceID]int{"s": 90, "t": 10}, count)
}

// Guards against proportions that are lost while the weights change often, and against
// hosts that all send the first request of a split to the same service.
func TestProportionsHoldWhileWeightsChange(t *testing.T) {
	const versions = 4000
	env := newTestEnv(ok)
	count := make(map[core.ServiceID]int)
	for version := range uint64(versions) {
		env.split(version+1, map[string][]core.WeightedService{"r": parts(75+float64(version%2), 25)})
		for service, n := range env.counts("r", 1) {
			count[service] += n
		}
	}
	// The standard deviation of a share is 0.007 of the requests.
	require.InDelta(t, 0.25, float64(count["t"])/versions, 0.05)
}

// Guards against a route without any weight whose requests are sent to its first
// service, or held until their time is over.
func TestRouteWithoutWeightsIsRefusedAtOnce(t *testing.T) {
	for _, split := range [][]core.WeightedService{parts(0, 0), {{Service: "s"}}} {
		env := newTestEnv(ok)
		env.split(1, map[string][]core.WeightedService{"r": split})
		began := env.clock.Now()
		reply, record := env.serve("/r/x")
		require.Equal(t, http.StatusServiceUnavailable, reply.Status)
		require.NotEmpty(t, reply.Header.Get("Retry-After"))
		require.Empty(t, record.Service)
		require.Empty(t, env.backends.sent)
		require.Equal(t, began, env.clock.Now())
	}
}
