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

// acquisition is the state of an Acquire call.
type acquisition struct {
	lease *pool.Lease
	err   error
	done  bool
}

// acquire calls Acquire in a goroutine and returns when the call has ended or
// waits for a slot.
func acquire(t *testing.T, p *pool.Pool, ask pool.Request) *acquisition {
	a := &acquisition{}
	go func() {
		a.lease, a.err = p.Acquire(t.Context(), ask)
		a.done = true
	}()
	synctest.Wait()
	return a
}

// A workspace with many requests must not starve others, neither while slots
// are scarce nor when the queue is full.
func TestLargeWorkspaceDoesNotStarveOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, m := newPool(1, 2, func(c *pool.Config) { c.MaxQueued, c.MaxWait = 20, time.Hour })
		var leases []*pool.Lease
		for range 2 {
			leases = append(leases, acquire(t, p, pool.Request{Workspace: "large"}).lease)
		}
		small := []*acquisition{acquire(t, p, pool.Request{Workspace: "s1"})}
		var large []*acquisition
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
			require.True(t, s.done, "a small workspace must be served before the backlog of a large one")
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

// Two workspaces with similar backlogs must be served alternately, not one after
// the other. A cancelled request must not delay later ones of its workspace.
func TestBacklogsAreServedAlternately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, m := newPool(1, 1, func(c *pool.Config) { c.MaxWait = time.Hour })
		lease := acquire(t, p, pool.Request{Workspace: "x"}).lease
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = p.Acquire(ctx, pool.Request{Workspace: "a"}) }()
		synctest.Wait()
		var waiting []*acquisition
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

// racingTimer releases a slot at the very time at which a wait ends.
type racingTimer struct {
	*timer.Manual
	free func()
}

func (l *racingTimer) After(time.Duration) <-chan time.Duration {
	l.free()
	c := make(chan time.Duration, 1)
	c <- l.Now()
	return c
}

// If a slot is granted at the very time at which the wait ends, Acquire must
// return it; otherwise the slot would leak.
func TestSlotGrantedAtTimeoutIsNotLost(t *testing.T) {
	racing := &racingTimer{Manual: timer.NewManual()}
	p, _ := newPool(1, 1, func(c *pool.Config) { c.Timer = racing })
	for range 100 {
		hold, err := p.Pick(0, pool.Request{})
		require.NoError(t, err)
		racing.free = func() { hold.Release(0, pool.OutcomeOK) }
		l, err := p.Acquire(t.Context(), pool.Request{Workspace: "w"})
		require.NoError(t, err)
		l.Release(0, pool.OutcomeOK)
		require.Zero(t, p.Stats(0).InUse)
	}
}

// Waits must end by the deadline and by MaxWait, a request that stopped waiting
// must not leak a slot, and a request that cannot be served in time must be
// refused at once.
func TestWaitsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, m := newPool(1, 1, nil)
		hold := acquire(t, p, pool.Request{Workspace: "w"})
		waiting := acquire(t, p, pool.Request{Workspace: "w"})
		withDeadline := acquire(t, p, pool.Request{Workspace: "w", Deadline: 200 * time.Millisecond})
		m.Advance(250 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, codes.NoCapacity, codes.Of(withDeadline.err))
		require.False(t, waiting.done)
		require.Equal(t, codes.RequestDeadline, codes.Of(acquire(t, p, pool.Request{Deadline: 200 * time.Millisecond}).err))
		m.Advance(250 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, codes.NoCapacity, codes.Of(waiting.err))
		hold.lease.Release(m.Now(), pool.OutcomeOK)
		require.Zero(t, p.Stats(m.Now()).InUse)
		// A slot was in use for 500 ms, so the second request in the queue
		// cannot be served within 500 ms.
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

// A request that waits must get a slot that is lent to the host meanwhile.
func TestWakeServesWaitingRequests(t *testing.T) {
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
