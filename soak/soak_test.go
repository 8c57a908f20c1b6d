// Package soak runs the real program as separate processes on loopback and
// injects faults from outside: signals, links that misbehave, a store and
// servers with faults, and changes of the configuration. While it runs, it
// checks what must always hold from what callers and servers see.
//
// Links between hosts are not disturbed by a proxy, as hosts announce the
// address that they listen on; pauses and kills stand for it. Clocks are not
// disturbed either: the program reads the time of day only to tell its
// starts apart.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/platform/stand"
)

const (
	checkEvery = 2 * time.Second
	// healTime bounds the time until the system serves again after the last
	// fault. It is a limit of the test, not of the system.
	healTime = time.Minute
)

// regressions are the seeds that failed once, and what they showed.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// setting returns a number from the environment.
func setting(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return n
}

// seeds returns the seeds to run: those of SOAK_SEEDS ("3" for the seeds 1
// to 3, "7,9" for these two, "fresh:5" for five new ones), or one seed and
// those that failed once.
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
	for _, part := range strings.Split(text, ",") {
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

// Guards against promises that break when faults of processes, links, store
// and servers overlap with planned changes.
//
// SOAK_SEEDS, SOAK_SECONDS, SOAK_HOSTS and SOAK_CALLERS set the size of a
// run; SOAK_TIMED adds the checks whose bounds are times, SOAK_RACE the race
// detector in the hosts, and SOAK_LOGS names a folder for the logs of hosts
// of failed runs.
func TestSoak(t *testing.T) {
	binary := build(t)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, binary, seed) })
	}
}

func soak(t *testing.T, binary string, seed uint64) {
	length := time.Duration(setting(t, "SOAK_SECONDS", 10)) * time.Second
	w := newWorld(t, binary, setting(t, "SOAK_HOSTS", 9))
	w.awaitReady()
	w.start = time.Now()
	events := schedule(rand.New(rand.NewPCG(seed, 1)), length)
	ctx, cancel := context.WithCancel(t.Context())
	j := &journal{}
	var callers sync.WaitGroup
	for n := range setting(t, "SOAK_CALLERS", 24) {
		c := &caller{world: w, rand: rand.New(rand.NewPCG(seed, uint64(n)+2)), domain: domains[n%len(domains)]}
		callers.Go(func() { c.run(ctx, j) })
	}
	played := make(chan struct{})
	go func() {
		defer close(played)
		w.play(ctx, events)
	}()
	w.watch(j, played)
	w.heal()
	w.awaitReady()
	w.awaitService()
	cancel()
	callers.Wait()
	served := 0
	list := j.list()
	for _, a := range list {
		if a.status == 200 {
			served++
		}
	}
	t.Logf("seed %d: %d attempts, %d served, %d faults", seed, len(list), served, len(events))
	found := w.check(j)
	if len(found) > 0 || t.Failed() {
		for _, e := range events {
			t.Log(e)
		}
	}
	require.Empty(t, found[:min(len(found), 10)])
	require.Positive(t, served)
}

// watch checks the promises until the faults are over, or one is broken.
func (w *world) watch(j *journal, played <-chan struct{}) {
	for {
		select {
		case <-played:
			return
		case <-time.After(checkEvery):
		}
		if found := w.check(j); len(found) > 0 {
			w.t.Logf("broken after %s", time.Since(w.start))
			<-played
			return
		}
	}
}

func (w *world) awaitReady() {
	w.t.Helper()
	for _, h := range w.hosts {
		require.Eventually(w.t, func() bool { return stand.Ready(w.t.Context(), h.Address(readyPort)) }, healTime, 50*time.Millisecond, h.Name)
	}
}

// awaitService waits until nearly all requests are served again.
func (w *world) awaitService() {
	w.t.Helper()
	c := &caller{world: w, rand: rand.New(rand.NewPCG(0, 0)), domain: domains[0]}
	defer c.hangUp()
	const batch, enough = 20, 19
	require.Eventually(w.t, func() bool {
		served := 0
		for range batch {
			if c.conn == nil && !c.connect(w.t.Context()) {
				continue
			}
			a := attempt{id: fmt.Sprintf("r%d", numbers.Add(1)), route: "lookup", workspace: "large", key: w.newestKey()}
			if a = c.send(a); a.status == 200 {
				served++
			}
		}
		return served >= enough
	}, healTime, 100*time.Millisecond, "the system does not recover")
}
