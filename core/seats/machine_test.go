package seats_test

import (
	"context"
	"flag"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"azurering/core"
	"azurering/core/codes"
)

// TestMain fixes the seed of the property tests unless the command line sets
// another one.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if !set[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// Guards the rules of sections 7.2 and 7.3 under random schedules of faults:
// one acting holder per domain, no check of an accepted withdrawal passes
// after the bound and its margin, no set shrinks. After all faults have
// ended, all seats act, all hosts are fresh and know all withdrawals.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3, rapid.IntRange(2, 4).Draw(t, "hosts"), t.Fatalf)
		w.advance(15 * time.Second)
		next := 0
		pick := func() *host { return w.hosts[rapid.SampledFrom(w.names).Draw(t, "host")] }
		running := func() *host {
			h := pick()
			if !h.up() {
				t.Skip("host is not up")
			}
			return h
		}
		seconds := func() time.Duration {
			return time.Duration(rapid.IntRange(1, 40).Draw(t, "length")) * 250 * time.Millisecond
		}
		run := func(*rapid.T) { w.advance(seconds()) }
		t.Repeat(map[string]func(*rapid.T){
			"run1": run, "run2": run, "run3": run, "run4": run,
			"pause":  func(*rapid.T) { w.pause(running(), true) },
			"resume": func(*rapid.T) { h := pick(); w.pause(h, false) },
			"cut":    func(*rapid.T) { w.setCut(pick().Name, pick().Name, true) },
			"split": func(*rapid.T) {
				group := map[core.HostID]bool{}
				for _, n := range w.names {
					group[n] = rapid.Bool().Draw(t, "side")
				}
				w.isolate(group, true)
			},
			"mend":     func(*rapid.T) { w.isolate(map[core.HostID]bool{pick().Name: true}, false) },
			"mendAll":  func(*rapid.T) { w.isolate(nil, false); w.healLinks() },
			"store":    func(*rapid.T) { w.down = rapid.Bool().Draw(t, "down") },
			"unstore":  func(*rapid.T) { h := pick(); h.noDB = !h.noDB },
			"landLate": func(*rapid.T) { w.landLate() },
			"commit": func(*rapid.T) {
				pick().commit = rapid.SampledFrom([]string{"before", "late", "lost", "unanswered"}).Draw(t, "fault")
			},
			"stall": func(*rapid.T) {
				h := running()
				h.stall, h.frozen = seconds(), rapid.Bool().Draw(t, "frozen")
			},
			"lag": func(*rapid.T) {
				h := running()
				kinds := []core.MessageKind{core.KindAttest, core.KindSeatPromise, core.KindHeartbeat, core.KindWithdrawPush, core.KindWithdrawPull}
				h.lag, h.lagKind, h.frozen = seconds(), rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.Bool().Draw(t, "frozen")
			},
			"restart": func(*rapid.T) { h := running(); w.kill(h); w.start(h.Name, h.Domain) },
			"kill":    func(*rapid.T) { w.kill(running()) },
			"start": func(*rapid.T) {
				if h := pick(); h.dead {
					w.start(h.Name, h.Domain)
				}
			},
			"release": func(*rapid.T) {
				h := running()
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				_ = h.seat.Release(ctx)
				w.check()
				w.kill(h)
			},
			"withdraw": func(*rapid.T) {
				_, _ = w.withdraw(running(), keyName(next%(checkedKeys-1)))
				next++
			},
			"again": func(*rapid.T) { _, _ = w.withdraw(running(), keyName(rapid.IntRange(0, checkedKeys-2).Draw(t, "key"))) },
			"":      func(*rapid.T) { w.check() },
		})
		w.heal()
		w.advance(90 * time.Second)
		w.checkHealed(t)
	})
}

func (w *world) healLinks() {
	for _, a := range w.names {
		for _, b := range w.names {
			w.setCut(a, b, false)
		}
	}
}

func (w *world) checkHealed(t *rapid.T) {
	rows, err := w.table.List(context.Background(), core.SpaceWithdrawn, "", 0)
	if err != nil {
		t.Fatalf("list: %v", err)
	}
	for _, d := range w.domains {
		if w.acting(d) == nil {
			t.Fatalf("domain %s has no acting holder after all faults ended", d)
		}
	}
	for _, n := range w.names {
		h := w.hosts[n]
		if all, loose := h.keys.CountWithdrawals(); all != len(rows) || loose != 0 {
			t.Fatalf("host %s knows %d withdrawals, %d of them not stored; the table has %d", n, all, loose, len(rows))
		}
		if _, _, err := h.keys.Check(bearer(keyName(checkedKeys - 1))); err != nil {
			t.Fatalf("host %s refuses a valid key: %v", n, err)
		}
	}
}

// Guards, under the race detector, the methods that are safe for concurrent
// use against the goroutine of Tick, with peer calls in parallel.
func TestConcurrent(t *testing.T) {
	w := newWorld(3, 3, t.Fatalf)
	w.advance(15 * time.Second)
	w.parallel = 16
	for _, n := range w.names {
		w.kill(w.hosts[n])
		w.start(n, w.hosts[n].Domain)
	}
	ctx := context.Background()
	ended, cancel := context.WithCancel(ctx)
	cancel()
	var wg sync.WaitGroup
	for i, n := range w.names {
		h := w.hosts[n]
		wg.Go(func() {
			for range 60 {
				h.clock.Advance(200 * time.Millisecond)
				_ = h.seat.Tick(ctx)
				_ = h.keys.Tick(ctx)
				h.ev.RecordStoreRead(core.SpaceConfig, h.clock.Now())
			}
			_ = h.seat.Release(ended)
		})
		wg.Go(func() {
			for j := range 60 {
				_, _, _ = h.keys.Check(bearer(keyName(j % checkedKeys)))
				h.keys.Watch(keyName(j % checkedKeys)).Err()
				h.keys.ObserveHeartbeat(w.names[(i+1)%len(w.names)], h.beat())
				h.seat.Fence()
				_, _ = h.seat.FindHolder(ctx, w.domains[j%3])
			}
			_, _ = h.keys.Withdraw(ctx, core.Withdrawal{Key: keyName(i % (checkedKeys - 1))})
		})
	}
	wg.Wait()
	rows, err := w.table.List(ctx, core.SpaceWithdrawn, "", 0)
	require.NoError(t, err)
	require.NotEmpty(t, rows)
	require.LessOrEqual(t, len(rows), checkedKeys-1, "no withdrawal is logged twice")
}

// Guards against a call without a deadline: if the table and all peers hang,
// the rounds of every role still end.
func TestHangingCalls(t *testing.T) {
	w := newWorld(3, 4, t.Fatalf)
	w.timeout = time.Millisecond
	for _, n := range w.names {
		w.start(n, w.hosts[n].Domain)
	}
	w.advance(15 * time.Second)
	ctx := context.Background()
	for _, n := range w.names {
		h := w.hosts[n]
		h.hang = true
		for range 20 {
			h.clock.Advance(time.Second)
			_ = h.seat.Tick(ctx)
			_ = h.keys.Tick(ctx)
		}
		_, err := h.keys.Withdraw(ctx, core.Withdrawal{Key: keyName(0)})
		require.True(t, codes.Is(err, codes.WithdrawPending), "%v", err)
		_, ok := h.seat.Acting()
		require.False(t, ok)
	}
}
