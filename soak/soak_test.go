// Package soak tests the program as separate processes on loopback under random
// faults and planned changes: signals, faulty links, faults of the store and of
// servers, and new configurations. It checks the system's invariants against
// what callers and servers record.
//
// Links between hosts get no faults, as hosts announce the address that they
// listen on, which leaves no place for a proxy. Paused and killed processes
// cover such failures. Clocks are not changed either, as the program uses the
// time of day only to tell its starts apart.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/platform/stand"
)

const (
	checkInterval = 2 * time.Second
	// recoveryTimeout bounds the wait for the system to serve at the start and
	// after the last fault. It is a limit of the test, not of the system.
	recoveryTimeout = time.Minute
)

// regressions lists seeds that failed before, and the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{3881714795, "the stand-in of the store lost a write for good if a return came between another one and its second writing"},
	{2687768337, "the check of limits read a server that waited, while the store returned, to write its first entry"},
}

// envInt returns an integer from an environment variable, or fallback if that is
// empty.
func envInt(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return n
}

// seeds returns the seeds to run. SOAK_SEEDS selects them: "3" for seeds 1 to 3,
// "7,9" for these two, "7," for this one, "fresh:5" for five random ones. Without it they are seed
// 1 and the regressions.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	text := os.Getenv("SOAK_SEEDS")
	var list []uint64
	if count, fresh := strings.CutPrefix(text, "fresh:"); fresh {
		n, err := strconv.Atoi(count)
		require.NoError(t, err)
		for range n {
			list = append(list, rand.Uint64N(1<<32))
		}
		return list
	}
	if text == "" {
		list = append(list, 1)
		for _, r := range regressions {
			list = append(list, r.seed)
		}
		return list
	}
	for _, part := range strings.Split(strings.TrimSuffix(text, ","), ",") {
		n, err := strconv.ParseUint(part, 10, 64)
		require.NoError(t, err)
		list = append(list, n)
	}
	if len(list) == 1 && !strings.Contains(text, ",") {
		count := list[0]
		list = nil
		for n := range count {
			list = append(list, n+1)
		}
	}
	return list
}

// Guards against invariant violations when faults of processes, links, the store
// and servers overlap with planned changes.
//
// SOAK_SEEDS, SOAK_SECONDS, SOAK_HOSTS and SOAK_CALLERS set the size of a run.
// SOAK_TIMED enables the checks with time bounds, SOAK_RACE builds the hosts with
// the race detector, and SOAK_LOGS names a folder for the hosts' logs of failed
// runs.
func TestSoak(t *testing.T) {
	binary := buildBinary(t)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, binary, seed) })
	}
}

func runSoak(t *testing.T, binary string, seed uint64) {
	duration := time.Duration(envInt(t, "SOAK_SECONDS", 10)) * time.Second
	c := newCluster(t, binary, envInt(t, "SOAK_HOSTS", 9))
	c.awaitReady()
	c.start = time.Now()
	events := slices.Concat(
		newSchedule(rand.New(rand.NewPCG(seed, 1)), duration), newLimitSchedule(rand.New(rand.NewPCG(seed, 1<<32)), duration),
		newReturnSchedule(rand.New(rand.NewPCG(seed, 1<<33)), duration),
	)
	slices.SortFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	ctx, cancel := context.WithCancel(t.Context())
	attempts := &attemptLog{}
	var callers sync.WaitGroup
	for n := range envInt(t, "SOAK_CALLERS", 24) {
		caller := &caller{cluster: c, rand: rand.New(rand.NewPCG(seed, uint64(n)+2)), domain: domains[n%len(domains)]}
		callers.Go(func() { caller.run(ctx, attempts) })
	}
	scheduleDone := make(chan struct{})
	go func() {
		defer close(scheduleDone)
		c.runSchedule(ctx, events)
	}()
	c.checkUntilDone(attempts, scheduleDone)
	c.heal()
	c.awaitReady()
	c.awaitService()
	cancel()
	callers.Wait()
	served := 0
	list := attempts.snapshot()
	for _, a := range list {
		if a.status == 200 {
			served++
		}
	}
	t.Logf("seed %d: %d attempts, %d served, %d faults", seed, len(list), served, len(events))
	violations := c.check(attempts)
	if len(violations) > 0 || t.Failed() {
		for _, e := range events {
			t.Log(e)
		}
	}
	require.Empty(t, violations[:min(len(violations), 10)])
	require.Positive(t, served)
}

// checkUntilDone checks the invariants every checkInterval until the schedule is
// done. After a violation it stops checking and waits for the schedule.
func (c *cluster) checkUntilDone(attempts *attemptLog, scheduleDone <-chan struct{}) {
	for {
		select {
		case <-scheduleDone:
			return
		case <-time.After(checkInterval):
		}
		if violations := c.check(attempts); len(violations) > 0 {
			c.t.Logf("invariant violated after %s", time.Since(c.start))
			<-scheduleDone
			return
		}
	}
}

// awaitReady waits until all hosts report that they are ready.
func (c *cluster) awaitReady() {
	c.t.Helper()
	for _, h := range c.hosts {
		require.Eventually(c.t, func() bool { return stand.Ready(c.t.Context(), h.Address(readyPort)) }, recoveryTimeout, 50*time.Millisecond, h.Name)
	}
}

// awaitService waits until nearly all requests of a batch are served.
func (c *cluster) awaitService() {
	c.t.Helper()
	probe := &caller{cluster: c, rand: rand.New(rand.NewPCG(0, 0)), domain: domains[0]}
	defer probe.disconnect()
	const batch, required = 20, 19
	require.Eventually(c.t, func() bool {
		served := 0
		for range batch {
			if probe.conn == nil && !probe.connect(c.t.Context()) {
				continue
			}
			a := attempt{id: fmt.Sprintf("r%d", lastRequestID.Add(1)), route: "lookup", workspace: "large", key: c.newestKey()}
			if a = probe.send(a); a.status == 200 {
				served++
			}
		}
		return served >= required
	}, recoveryTimeout, 100*time.Millisecond, "the system does not serve nearly all requests again")
}
