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

// Guards against answering a key with the answer to another body, another
// workspace or a damaged object.
func TestAnswersBelongToTheirRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		a := l.boot("a", 1, func(c *order.Config) { c.MaxInlineBytes = 1 })
		require.NoError(t, l.ask(a, key, "x", time.Second, backendRuns).err)
		require.Equal(t, codes.OrderMismatch, l.ask(a, key, "y", time.Second, backendRuns).code())
		repeat := l.ask(a, key, "x", time.Second, backendRuns)
		require.True(t, repeat.result.Replayed)
		require.Equal(t, answerTo(key, "x"), string(repeat.result.Body))
		send := func(context.Context) (order.Result, error) { return order.Result{Body: []byte("own")}, nil }
		for _, r := range []order.Request{{Workspace: "p/k", Key: "c"}, {Workspace: "p", Key: "k/c"}, {Workspace: "p/k/k", Key: "c"}} {
			got, err := a.orders.Do(a.ctx, r, send)
			require.NoError(t, err)
			require.False(t, got.Replayed, "%v", r)
		}
		rows, err := l.table.List(a.ctx, core.SpaceOrder, "", 0)
		require.NoError(t, err)
		require.Len(t, rows, 4)
		l.stop()
	})
}

// Guards against a record that is deleted while its key is still accepted,
// against records that stay for ever, and against old keys that run again.
func TestRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		a := l.boot("a", 1, func(c *order.Config) {
			c.ShouldSweep, c.SweepPage, c.Retention, c.Skew = nil, 3, time.Hour, 5*time.Minute
		})
		var dated []string
		for range 10 {
			id, err := uuid.NewV7()
			require.NoError(t, err)
			dated = append(dated, id.String())
		}
		for _, k := range append([]string{"p", "q", "r", "s"}, dated...) {
			require.NoError(t, l.ask(a, k, "x", time.Second, backendRuns).err)
		}
		send := func(context.Context) (order.Result, error) { return order.Result{}, nil }
		_, err := a.orders.Do(a.ctx, order.Request{Workspace: "zeta", Key: "p"}, send)
		require.NoError(t, err)
		l.advance(50 * time.Minute)
		young, early := uuid.Must(uuid.NewV7()), uuid.Must(uuid.NewV7())
		// A key may be younger than its claim, as with a fast caller's clock.
		copy(young[:6], dateOf(l.wall()))
		copy(early[:6], dateOf(l.wall().Add(40*time.Minute)))
		require.NoError(t, l.ask(a, "young", "x", time.Second, backendRuns).err)
		require.NoError(t, l.ask(a, young.String(), "x", time.Second, backendRuns).err)
		require.NoError(t, l.ask(a, early.String(), "x", time.Second, backendRuns).err)
		rows, err := l.table.List(a.ctx, core.SpaceOrder, "", 0)
		require.NoError(t, err)
		require.Len(t, rows, 18)
		l.advance(18 * time.Minute)
		rows, err = l.table.List(a.ctx, core.SpaceOrder, "", 0)
		require.NoError(t, err)
		require.Len(t, rows, 3)
		l.advance(55 * time.Minute)
		rows, err = l.table.List(a.ctx, core.SpaceOrder, "", 0)
		require.NoError(t, err)
		require.Len(t, rows, 1, "the key from the future is still accepted")
		l.advance(time.Hour)
		rows, err = l.table.List(a.ctx, core.SpaceOrder, "", 0)
		require.NoError(t, err)
		require.Empty(t, rows)
		require.Equal(t, codes.OrderExpired, l.ask(a, dated[0], "x", time.Second, backendRuns).code())
		require.Equal(t, 1, l.runs[dated[0]])
		l.stop()
	})
}

func dateOf(at time.Time) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(at.UnixMilli()))[2:]
}

// Guards against losing a large answer while the object store is down, and
// against claims that wait for it.
func TestObjectStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		a, b := l.boot("a", 1, func(c *order.Config) { c.MaxInlineBytes = 1 }), l.boot("b", 1, nil)
		l.objs.SetFault(fakes.FaultUnavailable)
		for _, k := range []string{"k1", "k2"} {
			require.NoError(t, l.ask(a, k, "x", time.Second, backendRuns).err)
		}
		local := l.ask(a, "k1", "x", time.Second, backendRuns)
		require.NoError(t, local.err)
		require.True(t, local.result.Replayed)
		require.Equal(t, codes.OrderRunning, l.ask(b, "k1", "x", time.Second, backendRuns).code())
		l.advance(5 * time.Minute)
		l.objs.SetFault(fakes.FaultLostResponse)
		l.advance(2 * time.Second)
		l.objs.SetFault(fakes.FaultNone)
		l.advance(2 * time.Second)
		repeat := l.ask(b, "k1", "x", time.Second, backendRuns)
		require.NoError(t, repeat.err)
		require.Equal(t, answerTo("k1", "x"), string(repeat.result.Body))
		require.Zero(t, a.orders.Stats().Pending)
		l.objs.SetFault(fakes.FaultUnavailable)
		require.Equal(t, codes.OrderUnknown, l.ask(b, "k1", "x", time.Second, backendRuns).code())
		require.Equal(t, map[string]int{"k1": 1, "k2": 1}, l.runs)
		l.stop()
	})
}

// Guards against answers to a repeat while the first request runs: another
// body is refused, a restarted host does not vouch for an older claim, and
// an answer that is recorded meanwhile is returned.
func TestRepeatsMeetAClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		a := l.boot("a", 1, nil)
		asked, hold := false, make(chan struct{})
		b := l.boot("b", 1, func(c *order.Config) {
			c.Alive = func(core.HostID, uint64) bool {
				asked = true
				<-hold
				return true
			}
		})
		first := l.ask(a, key, "x", 5*time.Second, backendSlow)
		require.Equal(t, codes.OrderMismatch, l.ask(a, key, "y", time.Second, backendRuns).code())
		require.Equal(t, codes.OrderRunning, l.ask(a, key, "x", time.Second, backendRuns).code())
		repeat := l.ask(b, key, "x", 20*time.Second, backendRuns)
		require.True(t, asked)
		l.advance(5 * time.Second)
		require.NoError(t, first.err)
		close(hold)
		synctest.Wait()
		require.NoError(t, repeat.err)
		require.True(t, repeat.result.Replayed)

		l.ask(a, "other", "x", 5*time.Second, backendSlow)
		a.kill()
		a = l.boot("a", 2, nil)
		a.pause(true)
		l.ask(a, "other", "x", 5*time.Second, backendSlow)
		require.Equal(t, codes.OrderUnknown, l.ask(b, "other", "x", time.Second, backendRuns).code())
		l.stop()
	})
}

// Guards against releasing an order whose sender panicked after it may have
// sent.
func TestPanicKeepsTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		a := l.boot("a", 1, nil)
		r := order.Request{Workspace: "loft", Key: key, Hash: order.Hash("POST", "/orders", []byte("x"))}
		require.Panics(t, func() {
			_, _ = a.orders.Do(a.ctx, r, func(context.Context) (order.Result, error) { panic("sender") })
		})
		l.advance(time.Minute)
		require.Equal(t, codes.OrderUnknown, l.ask(a, key, "x", time.Second, backendRuns).code())
		l.stop()
	})
}

// Guards against an answer that arrives after its record expired and
// overwrites the claim of a newer order with the same key.
func TestLateAnswerSparesTheNextClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		short := func(c *order.Config) {
			c.Retention, c.Skew, c.ShouldSweep = time.Minute, time.Second, func() bool { return c.Host == "b" }
		}
		a, b := l.boot("a", 1, short), l.boot("b", 1, short)
		l.ask(a, key, "x", time.Second, backendSlow)
		a.pause(true)
		l.advance(3 * time.Minute)
		next := l.ask(b, key, "y", time.Second, backendSlow)
		a.pause(false)
		l.advance(4 * time.Second)
		require.NoError(t, next.err)
		repeat := l.ask(b, key, "y", time.Second, backendRuns)
		require.NoError(t, repeat.err)
		require.Equal(t, answerTo(key, "y"), string(repeat.result.Body))
		require.Equal(t, uint64(1), a.orders.Stats().LostAnswers)
		l.stop()
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
