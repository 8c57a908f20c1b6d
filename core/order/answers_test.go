package order_test

import (
	"context"
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/order"
)

// Guards against answering a request with the answer to another body, to
// another workspace's order, or from another order's object.
func TestAnswersBelongToTheirRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		a := sim.startHost("a", 1, func(c *order.Config) { c.MaxInlineBytes = 1 })
		require.NoError(t, sim.submit(a, key, "x", time.Second, backendRuns).err)
		require.Equal(t, codes.OrderMismatch, sim.submit(a, key, "y", time.Second, backendRuns).code())
		repeat := sim.submit(a, key, "x", time.Second, backendRuns)
		require.True(t, repeat.result.Replayed)
		require.Equal(t, answerTo(key, "x"), string(repeat.result.Body))
		send := func(context.Context) (order.Result, error) { return order.Result{Body: []byte("own")}, nil }
		for _, r := range []order.Request{{Workspace: "p/k", Key: "c"}, {Workspace: "p", Key: "k/c"}, {Workspace: "p/k/k", Key: "c"}} {
			got, err := a.orders.Do(a.ctx, r, send)
			require.NoError(t, err)
			require.False(t, got.Replayed, "%v", r)
		}
		rows, err := sim.table.List(a.ctx, core.SpaceOrder, "", 0)
		require.NoError(t, err)
		require.Len(t, rows, 4)
		sim.stop()
	})
}

// Guards against records that are deleted while their key is still accepted,
// against records that are never deleted, and against expired keys that run
// again.
func TestRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		a := sim.startHost("a", 1, func(c *order.Config) {
			c.ShouldSweep, c.SweepPage, c.Retention, c.Skew = nil, 3, time.Hour, 5*time.Minute
		})
		var dated []string
		for range 10 {
			id, err := uuid.NewV7()
			require.NoError(t, err)
			dated = append(dated, id.String())
		}
		for _, k := range append([]string{"p", "q", "r", "s"}, dated...) {
			require.NoError(t, sim.submit(a, k, "x", time.Second, backendRuns).err)
		}
		send := func(context.Context) (order.Result, error) { return order.Result{}, nil }
		_, err := a.orders.Do(a.ctx, order.Request{Workspace: "zeta", Key: "p"}, send)
		require.NoError(t, err)
		sim.advance(50 * time.Minute)
		young, early := uuid.Must(uuid.NewV7()), uuid.Must(uuid.NewV7())
		// The time in a key may be later than its claim, as with a caller
		// whose clock is fast.
		copy(young[:6], timestampBytes(sim.wall()))
		copy(early[:6], timestampBytes(sim.wall().Add(40*time.Minute)))
		require.NoError(t, sim.submit(a, "young", "x", time.Second, backendRuns).err)
		require.NoError(t, sim.submit(a, young.String(), "x", time.Second, backendRuns).err)
		require.NoError(t, sim.submit(a, early.String(), "x", time.Second, backendRuns).err)
		rows, err := sim.table.List(a.ctx, core.SpaceOrder, "", 0)
		require.NoError(t, err)
		require.Len(t, rows, 18)
		sim.advance(18 * time.Minute)
		rows, err = sim.table.List(a.ctx, core.SpaceOrder, "", 0)
		require.NoError(t, err)
		require.Len(t, rows, 3)
		sim.advance(55 * time.Minute)
		rows, err = sim.table.List(a.ctx, core.SpaceOrder, "", 0)
		require.NoError(t, err)
		require.Len(t, rows, 1, "the key with the later time is still accepted")
		sim.advance(time.Hour)
		rows, err = sim.table.List(a.ctx, core.SpaceOrder, "", 0)
		require.NoError(t, err)
		require.Empty(t, rows)
		require.Equal(t, codes.OrderExpired, sim.submit(a, dated[0], "x", time.Second, backendRuns).code())
		require.Equal(t, 1, sim.runsByKey[dated[0]])
		sim.stop()
	})
}

// timestampBytes returns the first six bytes of a UUIDv7 of a time.
func timestampBytes(at time.Time) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(at.UnixMilli()))[2:]
}

// Guards against losing a large answer while the object store is down, and
// against claims that wait for the object store.
func TestObjectStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		a, b := sim.startHost("a", 1, func(c *order.Config) { c.MaxInlineBytes = 1 }), sim.startHost("b", 1, nil)
		sim.objs.SetFault(fakes.FaultUnavailable)
		for _, k := range []string{"k1", "k2"} {
			require.NoError(t, sim.submit(a, k, "x", time.Second, backendRuns).err)
		}
		local := sim.submit(a, "k1", "x", time.Second, backendRuns)
		require.NoError(t, local.err)
		require.True(t, local.result.Replayed)
		require.Equal(t, codes.OrderRunning, sim.submit(b, "k1", "x", time.Second, backendRuns).code())
		sim.advance(5 * time.Minute)
		sim.objs.SetFault(fakes.FaultLostResponse)
		sim.advance(2 * time.Second)
		sim.objs.SetFault(fakes.FaultNone)
		sim.advance(2 * time.Second)
		repeat := sim.submit(b, "k1", "x", time.Second, backendRuns)
		require.NoError(t, repeat.err)
		require.Equal(t, answerTo("k1", "x"), string(repeat.result.Body))
		require.Zero(t, a.orders.Stats().Pending)
		sim.objs.SetFault(fakes.FaultUnavailable)
		require.Equal(t, codes.OrderUnknown, sim.submit(b, "k1", "x", time.Second, backendRuns).code())
		require.Equal(t, map[string]int{"k1": 1, "k2": 1}, sim.runsByKey)
		sim.stop()
	})
}

// Guards against wrong answers to a repeat while the first request runs:
// another body must be refused, a restarted host must not confirm an older
// claim, and an answer that is recorded meanwhile must be returned.
func TestRepeatsMeetAClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		a := sim.startHost("a", 1, nil)
		asked, hold := false, make(chan struct{})
		b := sim.startHost("b", 1, func(c *order.Config) {
			c.Alive = func(core.HostID, uint64) bool {
				asked = true
				<-hold
				return true
			}
		})
		first := sim.submit(a, key, "x", 5*time.Second, backendSlow)
		require.Equal(t, codes.OrderMismatch, sim.submit(a, key, "y", time.Second, backendRuns).code())
		require.Equal(t, codes.OrderRunning, sim.submit(a, key, "x", time.Second, backendRuns).code())
		repeat := sim.submit(b, key, "x", 20*time.Second, backendRuns)
		require.True(t, asked)
		sim.advance(5 * time.Second)
		require.NoError(t, first.err)
		close(hold)
		synctest.Wait()
		require.NoError(t, repeat.err)
		require.True(t, repeat.result.Replayed)

		sim.submit(a, "other", "x", 5*time.Second, backendSlow)
		a.kill()
		a = sim.startHost("a", 2, nil)
		a.setPaused(true)
		sim.submit(a, "other", "x", 5*time.Second, backendSlow)
		require.Equal(t, codes.OrderUnknown, sim.submit(b, "other", "x", time.Second, backendRuns).code())
		sim.stop()
	})
}

// Guards against releasing the claim of an order whose sender panicked,
// because the order may have been sent.
func TestPanicKeepsTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		a := sim.startHost("a", 1, nil)
		r := order.Request{Workspace: "loft", Key: key, Hash: order.Hash("POST", "/orders", []byte("x"))}
		require.Panics(t, func() {
			_, _ = a.orders.Do(a.ctx, r, func(context.Context) (order.Result, error) { panic("sender") })
		})
		sim.advance(time.Minute)
		require.Equal(t, codes.OrderUnknown, sim.submit(a, key, "x", time.Second, backendRuns).code())
		sim.stop()
	})
}

// Guards against an answer that arrives after its record expired and
// overwrites the claim of a newer order with the same key.
func TestLateAnswerSparesTheNextClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		short := func(c *order.Config) {
			c.Retention, c.Skew, c.ShouldSweep = time.Minute, time.Second, func() bool { return c.Host == "b" }
		}
		a, b := sim.startHost("a", 1, short), sim.startHost("b", 1, short)
		sim.submit(a, key, "x", time.Second, backendSlow)
		a.setPaused(true)
		sim.advance(3 * time.Minute)
		next := sim.submit(b, key, "y", time.Second, backendSlow)
		a.setPaused(false)
		sim.advance(4 * time.Second)
		require.NoError(t, next.err)
		repeat := sim.submit(b, key, "y", time.Second, backendRuns)
		require.NoError(t, repeat.err)
		require.Equal(t, answerTo(key, "y"), string(repeat.result.Body))
		require.Equal(t, uint64(1), a.orders.Stats().LostAnswers)
		sim.stop()
	})
}

// Guards against malformed keys that reach the table.
func TestBadKeys(t *testing.T) {
	o := order.New(order.Config{Table: &fakes.Table{}})
	for k, code := range map[string]codes.Code{"": codes.OrderKeyMissing, "a b": codes.RequestBad, "é": codes.RequestBad, string(make([]byte, 300)): codes.RequestBad} {
		_, err := o.Do(t.Context(), order.Request{Workspace: "w", Key: k}, nil)
		require.Equal(t, code, codes.Of(err))
	}
}
