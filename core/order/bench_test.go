package order_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/order"
	"azurering/core/timer"
)

// slowTable delays the calls of a table as a store in another region does,
// and counts rows.
type slowTable struct {
	fakes.Table
	silent               bool // does not tell which rows refused a commit
	commits, rows, reads atomic.Int64
}

func (s *slowTable) Commit(ctx context.Context, writes []core.Write) error {
	s.commits.Add(1)
	s.rows.Add(int64(len(writes)))
	time.Sleep(8 * time.Millisecond)
	err := s.Table.Commit(ctx, writes)
	if s.silent && codes.Is(err, codes.StoreConflict) {
		return codes.New(codes.StoreConflict, "bench: conflict")
	}
	return err
}

func (s *slowTable) Get(ctx context.Context, space core.Space, key string) (core.Row, error) {
	s.reads.Add(1)
	time.Sleep(4 * time.Millisecond)
	return s.Table.Get(ctx, space, key)
}

// BenchmarkOrders measures what one order costs the store at a host with N
// callers that order without a pause. Commits take 8 ms, reads 4 ms, the
// backend 10 to 30 ms. One operation is one order of each caller.
func BenchmarkOrders(b *testing.B) {
	for _, c := range []struct {
		name    string
		repeats int
		silent  bool
		issued  bool
	}{{name: "all-new"}, {name: "issued", issued: true}, {name: "2%-repeats", repeats: 50}, {name: "2%-repeats,silent-store", repeats: 50, silent: true}} {
		for _, callers := range []int{1, 10, 50, 200} {
			b.Run(fmt.Sprintf("%s/callers=%d", c.name, callers), func(b *testing.B) {
				benchOrders(b, callers, c.repeats, c.silent, c.issued)
			})
		}
	}
}

// benchOrders lets one of every repeats orders reuse a key that the same
// caller used ten orders before.
func benchOrders(b *testing.B, callers, repeats int, silent, issued bool) {
	table := &slowTable{silent: silent}
	ctx, cancel := context.WithCancel(context.Background())
	orders := order.New(order.Config{Table: table, Timer: timer.NewReal(), Host: "a", Incarnation: 1, ShouldSweep: func() bool { return false }})
	var run, work sync.WaitGroup
	run.Go(func() { orders.Run(ctx) })
	send := func(context.Context) (order.Result, error) {
		time.Sleep(time.Duration(10+rand.IntN(20)) * time.Millisecond)
		return order.Result{Status: 201, Body: make([]byte, 200)}, nil
	}
	var turn atomic.Int64
	for range callers {
		work.Go(func() {
			var keys []string
			for i := range b.N {
				key := uuid.NewString()
				if n := turn.Add(1); repeats > 0 && i >= 10 && n%int64(repeats) == 0 {
					key = keys[i-10]
				}
				if issued {
					key = orders.KeyPrefix() + key
				}
				keys = append(keys, key)
				if _, err := orders.Do(ctx, order.Request{Workspace: "w", Key: key}, send); err != nil {
					b.Error(err)
				}
			}
		})
	}
	work.Wait()
	for orders.Stats().Pending > 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	run.Wait()
	n := float64(b.N * callers)
	b.ReportMetric(float64(table.commits.Load())/n, "commits/order")
	b.ReportMetric(float64(table.rows.Load())/n, "rows/order")
	b.ReportMetric(float64(table.reads.Load())/n, "reads/order")
}
