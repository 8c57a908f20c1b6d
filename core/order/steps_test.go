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

// Guards against a second execution, and against a wrong answer to the
// retry, when the claiming host dies at any step of an order.
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
		for _, again := range []core.HostID{"a", "b"} {
			t.Run(step.name+", retry at "+string(again), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newLab(t)
					a, b := l.boot("a", 1, nil), l.boot("b", 1, nil)
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
					l.ask(a, key, "x", 5*time.Second, mode)
					a.kill()
					l.advance(4 * time.Second)
					if again == "a" {
						b = l.boot("a", 2, nil)
					}
					retry := l.ask(b, key, "x", 5*time.Second, backendRuns)
					l.advance(6 * time.Second)
					require.True(t, retry.done)
					require.Equal(t, step.code, retry.code(), "%v", retry.err)
					require.Equal(t, step.runs, l.runs[key])
					if step.code == codes.OK {
						require.Equal(t, answerTo(key, "x"), string(retry.result.Body))
					}
					l.stop()
				})
			})
		}
	}
}

// Guards against taking a commit with an unknown outcome for a failed or a
// successful one, at the claim, the outcome and the release.
func TestLostAnswers(t *testing.T) {
	for _, fault := range []fakes.Fault{fakes.FaultLostResponse, fakes.FaultLostRequest, "late"} {
		for _, at := range []string{"claim", "outcome", "release"} {
			t.Run(string(fault)+" at "+at, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newLab(t)
					a, b := l.boot("a", 1, nil), l.boot("b", 1, nil)
					set := func() {
						l.mu.Lock()
						defer l.mu.Unlock()
						a.late, a.lossy = fault == "late", fault
					}
					mode := backendRuns
					if at == "release" {
						mode = backendRefuses
					}
					if at == "claim" {
						set()
					} else {
						a.onWrite = func(w core.Write, after bool) {
							if after && w.ExpectVersion == 0 {
								set()
							}
						}
					}
					first := l.ask(a, key, "x", 20*time.Second, mode)
					l.advance(time.Second)
					l.land()
					l.advance(5 * time.Second)
					require.True(t, first.done)
					second := l.ask(b, key, "x", 5*time.Second, backendRuns)
					l.advance(2 * time.Second)
					require.True(t, second.done)
					require.NoError(t, second.err)
					require.Equal(t, answerTo(key, "x"), string(second.result.Body))
					require.Equal(t, 1, l.runs[key])
					if at == "release" {
						require.Equal(t, codes.OrderNotRun, first.code())
					} else {
						require.NoError(t, first.err)
						require.True(t, second.result.Replayed)
					}
					l.advance(2 * time.Minute)
					require.Zero(t, a.orders.Stats().Pending)
					l.stop()
				})
			})
		}
	}
}

// Guards against an abandoned claim that takes effect after its order was
// refused as not run: it must be released, and never be sent.
func TestAbandonedClaimLandsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		a, b := l.boot("a", 1, nil), l.boot("b", 1, nil)
		a.late = true
		first := l.ask(a, key, "x", time.Second, backendRuns)
		a.cut = true
		l.advance(3 * time.Second)
		require.Equal(t, codes.OrderNotRun, first.code())
		l.land()
		running := l.ask(b, key, "x", time.Second, backendRuns)
		require.Equal(t, codes.OrderRunning, running.code(), "the claim is held until it is released")
		l.mu.Lock()
		a.cut = false
		l.mu.Unlock()
		l.advance(5 * time.Second)
		require.Zero(t, l.runs[key])
		retry := l.ask(b, key, "x", time.Second, backendRuns)
		require.NoError(t, retry.err)
		l.advance(2 * time.Minute)
		require.Equal(t, 1, l.runs[key])
		require.Zero(t, a.orders.Stats().Pending)
		l.stop()
	})
}

// Guards against two executions when two retries race on two hosts, and
// against a conflict that harms the other writes of its commit. The store
// tells host c which rows refused, but not host b.
func TestRetriesRace(t *testing.T) {
	for _, name := range []core.HostID{"b", "c"} {
		t.Run("at "+string(name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { retriesRace(t, name) })
		})
	}
}

func retriesRace(t *testing.T, name core.HostID) {
	l := newLab(t)
	a := l.boot("a", 1, nil)
	b := l.boot(name, 1, func(c *order.Config) { c.Linger = 10 * time.Millisecond })
	l.ask(b, "done", "x", 10*time.Second, backendRuns)
	l.advance(10 * time.Millisecond) // its answer now waits for the same commit
	two := l.ask(b, key, "x", 10*time.Second, backendSlow)
	other := l.ask(b, key+"b", "y", 10*time.Second, backendRuns)
	one := l.ask(a, key, "x", 10*time.Second, backendSlow)
	l.advance(4 * time.Second)
	require.Equal(t, 1, l.runs[key])
	require.ElementsMatch(t, []codes.Code{codes.OK, codes.OrderRunning}, []codes.Code{one.code(), two.code()})
	require.NoError(t, other.err, "a conflicting claim must not fail the others of its commit")
	require.Equal(t, 1, l.runs[key+"b"])
	require.NoError(t, l.ask(a, "done", "x", time.Second, backendRuns).err)
	require.Equal(t, 1, l.runs["done"])
	require.Zero(t, b.orders.Stats().Pending)
	l.stop()
}

// Guards against sending an order whose refusal was "not run" once the
// store returns, and against losing those whose deadline is later.
func TestStoreDownThenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		a := l.boot("a", 1, func(c *order.Config) { c.MaxPending = 6 })
		l.table.SetFault(fakes.FaultUnavailable)
		short := l.ask(a, "short", "x", 5*time.Second, backendRuns)
		long := l.ask(a, "long", "x", 60*time.Second, backendRuns)
		l.ask(a, "third", "x", 60*time.Second, backendRuns)
		full := l.ask(a, "fourth", "x", 60*time.Second, backendRuns)
		require.Equal(t, codes.OrderNotRun, full.code(), "three wait, and there is room for three more")
		small := order.Request{Workspace: "small", Key: "k", Deadline: l.timer.Now() + time.Second}
		go func() { _, _ = a.orders.Do(a.ctx, small, nil) }()
		synctest.Wait()
		require.Equal(t, 4, a.orders.Stats().Pending, "a small workspace still gets in")
		l.advance(30 * time.Second)
		require.Equal(t, codes.OrderNotRun, short.code())
		require.False(t, long.done)
		l.table.SetFault(fakes.FaultNone)
		l.advance(5 * time.Second)
		require.NoError(t, long.err)
		require.True(t, long.done)
		require.Equal(t, map[string]int{"long": 1, "third": 1}, l.runs)
		for i := range 10 {
			require.NoError(t, l.ask(a, fmt.Sprint("later-", i), "x", time.Second, backendRuns).err, "room is given back")
		}
		l.stop()
	})
}

// Guards against a host that is paused past the deadline and then sends an
// order that a retry may have been told about.
func TestPausedHostRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		a, b := l.boot("a", 1, nil), l.boot("b", 1, nil)
		a.onWrite = func(w core.Write, after bool) {
			if after && w.ExpectVersion == 0 {
				a.pause(true)
			}
		}
		first := l.ask(a, key, "x", 5*time.Second, backendRuns)
		l.net.SetCut("a", "b", true)
		l.advance(10 * time.Second)
		second := l.ask(b, key, "x", 5*time.Second, backendRuns)
		require.Equal(t, codes.OrderUnknown, second.code())
		l.net.SetCut("a", "b", false)
		a.pause(false)
		l.advance(5 * time.Second)
		require.Equal(t, codes.OrderNotRun, first.code())
		require.Zero(t, l.runs[key])
		third := l.ask(b, key, "x", 5*time.Second, backendRuns)
		require.NoError(t, third.err)
		l.stop()
	})
}

// deaf is a timer whose alarms a paused host does not hear.
type deaf struct{ core.Timer }

func (deaf) After(time.Duration) <-chan time.Duration { return nil }

// Guards against sending an order whose claim is confirmed after the
// deadline, as when the whole process was paused.
func TestClaimConfirmedAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		a := l.boot("a", 1, func(c *order.Config) { c.Timer = deaf{l.timer} })
		a.onWrite = func(w core.Write, after bool) {
			if after && w.ExpectVersion == 0 {
				l.timer.Advance(time.Minute)
			}
		}
		first := l.ask(a, key, "x", time.Second, backendRuns)
		require.Equal(t, codes.OrderNotRun, first.code())
		require.Zero(t, l.runs[key])
		a.onWrite = nil
		require.NoError(t, l.ask(a, key, "x", time.Second, backendRuns).err)
		l.stop()
	})
}

// Guards against refusing a retry at the same host for as long as the
// abandoned claim of the first attempt may still take effect.
func TestRetryDoesNotWaitForTheAbandonedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		a := l.boot("a", 1, nil)
		a.lossy = fakes.FaultLostRequest
		first := l.ask(a, key, "x", time.Second, backendRuns)
		l.mu.Lock()
		a.cut = true
		l.mu.Unlock()
		l.advance(2 * time.Second)
		require.Equal(t, codes.OrderNotRun, first.code())
		l.mu.Lock()
		a.cut = false
		l.mu.Unlock()
		retry := l.ask(a, key, "x", 5*time.Second, backendRuns)
		l.advance(3 * time.Second)
		require.True(t, retry.done)
		require.NoError(t, retry.err)
		require.Equal(t, 1, l.runs[key])
		l.advance(2 * time.Minute)
		require.Zero(t, a.orders.Stats().Pending)
		l.stop()
	})
}

// Guards against a claim that returns after its release, because an earlier
// commit of it was still under way.
func TestReleasedClaimReturnsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		a, b := l.boot("a", 1, nil), l.boot("b", 1, nil)
		a.late = true
		first := l.ask(a, key, "x", 5*time.Second, backendRefuses)
		l.advance(2 * time.Second)
		require.Equal(t, codes.OrderNotRun, first.code())
		l.land()
		l.advance(3 * time.Second)
		require.NoError(t, l.ask(b, key, "x", time.Second, backendRuns).err)
		require.Equal(t, 1, l.runs[key])
		l.stop()
	})
}

// Guards against taking a whole commit for done because one of its rows
// was written by an earlier commit whose outcome was unknown.
func TestOneRowDoesNotProveTheCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		a, b := l.boot("a", 1, nil), l.boot("b", 1, nil)
		a.late = true
		l.ask(a, "k1", "x", 9*time.Second, backendRuns)
		l.land()
		first := l.ask(a, "k2", "x", 9*time.Second, backendRuns)
		require.Zero(t, l.runs["k2"], "the store rests after a failure")
		a.lossy = fakes.FaultLostResponse
		l.advance(500 * time.Millisecond)
		l.advance(5 * time.Second)
		require.NoError(t, first.err)
		repeat := l.ask(b, "k2", "x", time.Second, backendRuns)
		require.NoError(t, repeat.err)
		require.True(t, repeat.result.Replayed)
		require.Equal(t, map[string]int{"k1": 1, "k2": 1}, l.runs)
		l.stop()
	})
}
