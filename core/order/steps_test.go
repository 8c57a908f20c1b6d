package order_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/order"
)

const key = "order-1"

// Guards against a second execution, and against a wrong answer to the retry,
// when the claiming host crashes at any step of an order.
func TestHostDiesAtEachStep(t *testing.T) {
	claim := func(w core.Write) bool { return w.Kind == core.WritePut && w.ExpectVersion == 0 }
	outcome := func(w core.Write) bool { return w.Kind == core.WritePut && w.ExpectVersion == 1 }
	steps := []struct {
		name  string
		at    func(core.Write) bool
		after bool
		sends bool
		code  codes.Code
		runs  int
	}{
		{name: "before claim", at: claim, code: codes.OK, runs: 1},
		{name: "after claim", at: claim, after: true, code: codes.OrderUnknown},
		{name: "after send", sends: true, code: codes.OrderUnknown, runs: 1},
		{name: "before outcome", at: outcome, code: codes.OrderUnknown, runs: 1},
		{name: "after outcome", at: outcome, after: true, code: codes.OK, runs: 1},
	}
	for _, step := range steps {
		for _, retryHost := range []core.HostID{"a", "b"} {
			t.Run(step.name+", retry at "+string(retryHost), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					sim := newSimCluster(t)
					a, b := sim.startHost("a", 1, nil), sim.startHost("b", 1, nil)
					mode := backendRuns
					if step.sends {
						mode = backendSlow
					} else {
						a.onWrite = func(w core.Write, after bool) {
							if step.at(w) && after == step.after {
								a.kill()
							}
						}
					}
					sim.submit(a, key, "x", 5*time.Second, mode)
					a.kill()
					sim.advance(4 * time.Second)
					if retryHost == "a" {
						b = sim.startHost("a", 2, nil)
					}
					retry := sim.submit(b, key, "x", 5*time.Second, backendRuns)
					sim.advance(6 * time.Second)
					require.True(t, retry.done)
					require.Equal(t, step.code, retry.code(), "%v", retry.err)
					require.Equal(t, step.runs, sim.runsByKey[key])
					if step.code == codes.OK {
						require.Equal(t, answerTo(key, "x"), string(retry.result.Body))
					}
					sim.stop()
				})
			})
		}
	}
}

// Guards against treating a commit with an unknown outcome as failed or as
// successful, at the claim, the outcome and the release.
func TestLostAnswers(t *testing.T) {
	for _, fault := range []fakes.Fault{fakes.FaultLostResponse, fakes.FaultLostRequest, "late"} {
		for _, at := range []string{"claim", "outcome", "release"} {
			t.Run(string(fault)+" at "+at, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					sim := newSimCluster(t)
					a, b := sim.startHost("a", 1, nil), sim.startHost("b", 1, nil)
					failNext := func() {
						sim.mu.Lock()
						defer sim.mu.Unlock()
						a.delayNext, a.nextFault = fault == "late", fault
					}
					mode := backendRuns
					if at == "release" {
						mode = backendRefuses
					}
					if at == "claim" {
						failNext()
					} else {
						a.onWrite = func(w core.Write, after bool) {
							if after && w.ExpectVersion == 0 {
								failNext()
							}
						}
					}
					first := sim.submit(a, key, "x", 20*time.Second, mode)
					sim.advance(time.Second)
					sim.deliverDelayed()
					sim.advance(5 * time.Second)
					require.True(t, first.done)
					second := sim.submit(b, key, "x", 5*time.Second, backendRuns)
					sim.advance(2 * time.Second)
					require.True(t, second.done)
					require.NoError(t, second.err)
					require.Equal(t, answerTo(key, "x"), string(second.result.Body))
					require.Equal(t, 1, sim.runsByKey[key])
					if at == "release" {
						require.Equal(t, codes.OrderNotRun, first.code())
					} else {
						require.NoError(t, first.err)
						require.True(t, second.result.Replayed)
					}
					sim.advance(2 * time.Minute)
					require.Zero(t, a.orders.Stats().Pending)
					sim.stop()
				})
			})
		}
	}
}

// Guards against an abandoned claim that takes effect after its order was
// refused as not run: it must be released and never sent.
func TestAbandonedClaimLandsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		a, b := sim.startHost("a", 1, nil), sim.startHost("b", 1, nil)
		a.delayNext = true
		first := sim.submit(a, key, "x", time.Second, backendRuns)
		a.storeCut = true
		sim.advance(3 * time.Second)
		require.Equal(t, codes.OrderNotRun, first.code())
		sim.deliverDelayed()
		running := sim.submit(b, key, "x", time.Second, backendRuns)
		require.Equal(t, codes.OrderRunning, running.code(), "the claim counts until it is released")
		sim.mu.Lock()
		a.storeCut = false
		sim.mu.Unlock()
		sim.advance(5 * time.Second)
		require.Zero(t, sim.runsByKey[key])
		retry := sim.submit(b, key, "x", time.Second, backendRuns)
		require.NoError(t, retry.err)
		sim.advance(2 * time.Minute)
		require.Equal(t, 1, sim.runsByKey[key])
		require.Zero(t, a.orders.Stats().Pending)
		sim.stop()
	})
}

// Guards against two executions when two retries race on two hosts, and
// against a conflict that affects the other writes of its commit. The store
// names the rows of a conflict to host c, but not to host b.
func TestRetriesRace(t *testing.T) {
	for _, name := range []core.HostID{"b", "c"} {
		t.Run("at "+string(name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { retriesRace(t, name) })
		})
	}
}

func retriesRace(t *testing.T, name core.HostID) {
	sim := newSimCluster(t)
	a := sim.startHost("a", 1, nil)
	b := sim.startHost(name, 1, func(c *order.Config) { c.Linger = 10 * time.Millisecond })
	sim.submit(b, "done", "x", 10*time.Second, backendRuns)
	sim.advance(10 * time.Millisecond) // the answer is now queued for the same commit
	two := sim.submit(b, key, "x", 10*time.Second, backendSlow)
	other := sim.submit(b, key+"b", "y", 10*time.Second, backendRuns)
	one := sim.submit(a, key, "x", 10*time.Second, backendSlow)
	sim.advance(4 * time.Second)
	require.Equal(t, 1, sim.runsByKey[key])
	require.ElementsMatch(t, []codes.Code{codes.OK, codes.OrderRunning}, []codes.Code{one.code(), two.code()})
	require.NoError(t, other.err, "a conflicting claim must not fail the others of its commit")
	require.Equal(t, 1, sim.runsByKey[key+"b"])
	require.NoError(t, sim.submit(a, "done", "x", time.Second, backendRuns).err)
	require.Equal(t, 1, sim.runsByKey["done"])
	require.Zero(t, b.orders.Stats().Pending)
	sim.stop()
}

// Guards against sending an order that was refused as not run once the store
// returns, and against losing orders whose deadline is later.
func TestStoreDownThenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		a := sim.startHost("a", 1, func(c *order.Config) { c.MaxPending = 6 })
		sim.table.SetFault(fakes.FaultUnavailable)
		short := sim.submit(a, "short", "x", 5*time.Second, backendRuns)
		long := sim.submit(a, "long", "x", 60*time.Second, backendRuns)
		sim.submit(a, "third", "x", 60*time.Second, backendRuns)
		full := sim.submit(a, "fourth", "x", 60*time.Second, backendRuns)
		require.Equal(t, codes.OrderNotRun, full.code(), "three are pending, and there is room for three more")
		small := order.Request{Workspace: "small", Key: "k", Deadline: sim.timer.Now() + time.Second}
		go func() { _, _ = a.orders.Do(a.ctx, small, nil) }()
		synctest.Wait()
		require.Equal(t, 4, a.orders.Stats().Pending, "a workspace with few orders is still accepted")
		sim.advance(30 * time.Second)
		require.Equal(t, codes.OrderNotRun, short.code())
		require.False(t, long.done)
		sim.table.SetFault(fakes.FaultNone)
		sim.advance(5 * time.Second)
		require.NoError(t, long.err)
		require.True(t, long.done)
		require.Equal(t, map[string]int{"long": 1, "third": 1}, sim.runsByKey)
		for i := range 10 {
			require.NoError(t, sim.submit(a, fmt.Sprint("later-", i), "x", time.Second, backendRuns).err, "ended orders make room again")
		}
		sim.stop()
	})
}

// Guards against a host that was paused past the deadline of an order and
// sends it once it resumes.
func TestPausedHostRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		a, b := sim.startHost("a", 1, nil), sim.startHost("b", 1, nil)
		a.onWrite = func(w core.Write, after bool) {
			if after && w.ExpectVersion == 0 {
				a.setPaused(true)
			}
		}
		first := sim.submit(a, key, "x", 5*time.Second, backendRuns)
		sim.net.SetCut("a", "b", true)
		sim.advance(10 * time.Second)
		second := sim.submit(b, key, "x", 5*time.Second, backendRuns)
		require.Equal(t, codes.OrderUnknown, second.code())
		sim.net.SetCut("a", "b", false)
		a.setPaused(false)
		sim.advance(5 * time.Second)
		require.Equal(t, codes.OrderNotRun, first.code())
		require.Zero(t, sim.runsByKey[key])
		third := sim.submit(b, key, "x", 5*time.Second, backendRuns)
		require.NoError(t, third.err)
		sim.stop()
	})
}

// noAlarmTimer is a timer whose alarms never fire, as in a paused process.
type noAlarmTimer struct{ core.Timer }

func (noAlarmTimer) After(time.Duration) <-chan time.Duration { return nil }

// Guards against sending an order whose claim is confirmed after the
// deadline, as when the whole process was paused.
func TestClaimConfirmedAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		a := sim.startHost("a", 1, func(c *order.Config) { c.Timer = noAlarmTimer{sim.timer} })
		a.onWrite = func(w core.Write, after bool) {
			if after && w.ExpectVersion == 0 {
				sim.timer.Advance(time.Minute)
			}
		}
		first := sim.submit(a, key, "x", time.Second, backendRuns)
		require.Equal(t, codes.OrderNotRun, first.code())
		require.Zero(t, sim.runsByKey[key])
		a.onWrite = nil
		require.NoError(t, sim.submit(a, key, "x", time.Second, backendRuns).err)
		sim.stop()
	})
}

// Guards against refusing a retry at the same host for as long as the
// abandoned claim of the first attempt may still take effect.
func TestRetryDoesNotWaitForTheAbandonedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		a := sim.startHost("a", 1, nil)
		a.nextFault = fakes.FaultLostRequest
		first := sim.submit(a, key, "x", time.Second, backendRuns)
		sim.mu.Lock()
		a.storeCut = true
		sim.mu.Unlock()
		sim.advance(2 * time.Second)
		require.Equal(t, codes.OrderNotRun, first.code())
		sim.mu.Lock()
		a.storeCut = false
		sim.mu.Unlock()
		retry := sim.submit(a, key, "x", 5*time.Second, backendRuns)
		sim.advance(3 * time.Second)
		require.True(t, retry.done)
		require.NoError(t, retry.err)
		require.Equal(t, 1, sim.runsByKey[key])
		sim.advance(2 * time.Minute)
		require.Zero(t, a.orders.Stats().Pending)
		sim.stop()
	})
}

// Guards against a claim that reappears after its release because an earlier
// commit of it was still in flight.
func TestReleasedClaimReturnsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		a, b := sim.startHost("a", 1, nil), sim.startHost("b", 1, nil)
		a.delayNext = true
		first := sim.submit(a, key, "x", 5*time.Second, backendRefuses)
		sim.advance(2 * time.Second)
		require.Equal(t, codes.OrderNotRun, first.code())
		sim.deliverDelayed()
		sim.advance(3 * time.Second)
		require.NoError(t, sim.submit(b, key, "x", time.Second, backendRuns).err)
		require.Equal(t, 1, sim.runsByKey[key])
		sim.stop()
	})
}

// Guards against treating a whole commit as successful because one of its
// rows was written by an earlier commit whose outcome was unknown.
func TestOneRowDoesNotProveTheCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		a, b := sim.startHost("a", 1, nil), sim.startHost("b", 1, nil)
		a.delayNext = true
		sim.submit(a, "k1", "x", 9*time.Second, backendRuns)
		sim.deliverDelayed()
		first := sim.submit(a, "k2", "x", 9*time.Second, backendRuns)
		require.Zero(t, sim.runsByKey["k2"], "no commit starts before the backoff after a failure is over")
		a.nextFault = fakes.FaultLostResponse
		sim.advance(500 * time.Millisecond)
		sim.advance(5 * time.Second)
		require.NoError(t, first.err)
		repeat := sim.submit(b, "k2", "x", time.Second, backendRuns)
		require.NoError(t, repeat.err)
		require.True(t, repeat.result.Replayed)
		require.Equal(t, map[string]int{"k1": 1, "k2": 1}, sim.runsByKey)
		sim.stop()
	})
}
