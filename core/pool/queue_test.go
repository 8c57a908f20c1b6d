package pool_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/pool"
	"azurering/core/timer"
)

// acquire starts a request that waits for a slot.
type acquired struct {
	lease *pool.Lease
	err   error
	done  bool
}

func acquire(t *testing.T, p *pool.Pool, ask pool.Request) *acquired {
	a := &acquired{}
	go func() {
		a.lease, a.err = p.Acquire(t.Context(), ask)
		a.done = true
	}()
	synctest.Wait()
	return a
}

// Guards against a large workspace that starves small ones, when slots are
// scarce and when the queue is full.
func TestSmallWorkspacesAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, m := newPool(1, 2, func(c *pool.Config) { c.MaxQueued, c.MaxWait = 20, time.Hour })
		var leases []*pool.Lease
		for range 2 {
			leases = append(leases, acquire(t, p, pool.Request{Workspace: "large"}).lease)
		}
		small := []*acquired{acquire(t, p, pool.Request{Workspace: "s1"})}
		var large []*acquired
		for range 29 {
			large = append(large, acquire(t, p, pool.Request{Workspace: "large"}))
		}
		require.Equal(t, 20, p.Stats(0).Queued)
		small = append(small, acquire(t, p, pool.Request{Workspace: "s2"}))
		require.Equal(t, 20, p.Stats(0).Queued)
		for _, l := range leases {
			l.Release(m.Now(), pool.OutcomeOK)
		}
		synctest.Wait()
		for _, s := range small {
			require.True(t, s.done, "a small workspace waits behind a large one")
			require.NoError(t, s.err)
			s.lease.Release(m.Now(), pool.OutcomeOK)
		}
		for range 25 {
			synctest.Wait()
			var out []*pool.Lease
			for _, a := range large {
				if a.lease != nil {
					out = append(out, a.lease)
				}
			}
			for _, l := range out {
				l.Release(m.Now(), pool.OutcomeOK)
			}
		}
		served, shed := 0, 0
		for _, a := range large {
			require.True(t, a.done)
			if a.err == nil {
				served++
			} else {
				require.Equal(t, codes.LoadShed, codes.Of(a.err))
				shed++
			}
		}
		require.Equal(t, 18, served)
		require.Equal(t, 11, shed)
		require.Zero(t, p.Stats(0).InUse)
	})
}

// Guards against serving backlogs one after the other: two workspaces with
// equal backlogs take turns. A request that leaves gives its turn back.
func TestBacklogsTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, m := newPool(1, 1, func(c *pool.Config) { c.MaxWait = time.Hour })
		lease := acquire(t, p, pool.Request{Workspace: "x"}).lease
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = p.Acquire(ctx, pool.Request{Workspace: "a"}) }()
		synctest.Wait()
		var waiting []*acquired
		var names []string
		for _, w := range []core.WorkspaceID{"a", "a", "a", "a", "a", "b", "b", "b", "b", "b", "b"} {
			waiting = append(waiting, acquire(t, p, pool.Request{Workspace: w}))
			names = append(names, string(w))
		}
		cancel()
		synctest.Wait()
		order := ""
		for range waiting {
			lease.Release(m.Now(), pool.OutcomeOK)
			synctest.Wait()
			for i, a := range waiting {
				if a.lease != nil && a.lease != lease && names[i] != "" {
					lease = a.lease
					order += names[i]
					names[i] = ""
				}
			}
		}
		require.Equal(t, "abababababb", order)
	})
}

// lateTimer frees a slot at the moment in which a wait ends.
type lateTimer struct {
	*timer.Manual
	free func()
}

func (l *lateTimer) After(time.Duration) <-chan time.Duration {
	l.free()
	c := make(chan time.Duration, 1)
	c <- l.Now()
	return c
}

// Guards against losing a slot that is granted in the moment in which the
// wait ends.
func TestGrantAtTheEndOfTheWait(t *testing.T) {
	late := &lateTimer{Manual: timer.NewManual()}
	p, _ := newPool(1, 1, func(c *pool.Config) { c.Timer = late })
	for range 100 {
		hold, err := p.Pick(0, pool.Request{})
		require.NoError(t, err)
		late.free = func() { hold.Release(0, pool.OutcomeOK) }
		l, err := p.Acquire(t.Context(), pool.Request{Workspace: "w"})
		require.NoError(t, err)
		l.Release(0, pool.OutcomeOK)
		require.Zero(t, p.Stats(0).InUse)
	}
}

// Guards against waits past the deadline or the bound, slots lost by a
// request that stopped waiting, and requests that wait although their turn
// cannot come in time.
func TestWaitsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, m := newPool(1, 1, nil)
		hold := acquire(t, p, pool.Request{Workspace: "w"})
		bounded := acquire(t, p, pool.Request{Workspace: "w"})
		dated := acquire(t, p, pool.Request{Workspace: "w", Deadline: 200 * time.Millisecond})
		m.Advance(250 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, codes.NoCapacity, codes.Of(dated.err))
		require.False(t, bounded.done)
		require.Equal(t, codes.RequestDeadline, codes.Of(acquire(t, p, pool.Request{Deadline: 200 * time.Millisecond}).err))
		m.Advance(250 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, codes.NoCapacity, codes.Of(bounded.err))
		hold.lease.Release(m.Now(), pool.OutcomeOK)
		require.Zero(t, p.Stats(m.Now()).InUse)
		// A slot is taken for 500 ms: the second in the queue cannot be
		// served within 500 ms.
		hold = acquire(t, p, pool.Request{Workspace: "w"})
		first := acquire(t, p, pool.Request{Workspace: "w"})
		require.Equal(t, codes.LoadShed, codes.Of(acquire(t, p, pool.Request{Workspace: "w"}).err))
		require.False(t, first.done)
		p.SetLeaving(m.Now(), "desk-0", true)
		synctest.Wait()
		require.Equal(t, codes.NoServer, codes.Of(first.err))
		hold.lease.Release(m.Now(), pool.OutcomeOK)
		require.Zero(t, p.Stats(m.Now()).InUse)
	})
}

// Guards against waiting requests that miss a slot lent meanwhile.
func TestWakeServesWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := 0
		p, m := newPool(1, 1, func(c *pool.Config) { c.Slots = func(core.ServerID) int { return held } })
		w := acquire(t, p, pool.Request{Workspace: "w"})
		require.False(t, w.done)
		held = 1
		p.Dispatch(m.Now())
		synctest.Wait()
		require.NoError(t, w.err)
		require.NotNil(t, w.lease)
	})
}
