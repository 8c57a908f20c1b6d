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

// TestMain sets a fixed seed for the property tests unless the command line
// gives another one.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// TestRandomFaults guards the safety rules under random schedules of faults:
// at most one acting holder per domain, no admission of a withdrawn key later
// than the bound and its margin after acceptance, and no host that loses a
// withdrawal. After all faults have ended, all seats have an acting holder,
// and all hosts are fresh and know all withdrawals.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3, rapid.IntRange(2, 4).Draw(t, "hosts"), t.Fatalf)
		sim.advance(15 * time.Second)
		next := 0
		pick := func() *simHost { return sim.hosts[rapid.SampledFrom(sim.names).Draw(t, "host")] }
		running := func() *simHost {
			h := pick()
			if !h.up() {
				t.Skip("host is not up")
			}
			return h
		}
		seconds := func() time.Duration {
			return time.Duration(rapid.IntRange(1, 40).Draw(t, "length")) * 250 * time.Millisecond
		}
		run := func(*rapid.T) { sim.advance(seconds()) }
		// The actions' names fix their order and with it the schedules of a seed,
		// because rapid sorts them.
		t.Repeat(map[string]func(*rapid.T){
			"run1": run, "run2": run, "run3": run, "run4": run,
			"pause":   func(*rapid.T) { sim.pause(running(), true) },
			"resume":  func(*rapid.T) { h := pick(); sim.pause(h, false) },
			"cutLink": func(*rapid.T) { sim.setCut(pick().Name, pick().Name, true) },
			"split": func(*rapid.T) {
				group := map[core.HostID]bool{}
				for _, n := range sim.names {
					group[n] = rapid.Bool().Draw(t, "side")
				}
				sim.isolate(group, true)
			},
			"mendHost":    func(*rapid.T) { sim.isolate(map[core.HostID]bool{pick().Name: true}, false) },
			"mendLinks":   func(*rapid.T) { sim.isolate(nil, false); sim.healLinks() },
			"storeDown":   func(*rapid.T) { sim.storeDown = rapid.Bool().Draw(t, "down") },
			"toggleStore": func(*rapid.T) { h := pick(); h.storeCut = !h.storeCut },
			"lateCommits": func(*rapid.T) { sim.applyLateCommits() },
			"commitFault": func(*rapid.T) {
				pick().commitFault = rapid.SampledFrom([]string{"before", "late", "lost", "unanswered"}).Draw(t, "fault")
			},
			"stall": func(*rapid.T) {
				h := running()
				h.stallFor, h.frozenInStall = seconds(), rapid.Bool().Draw(t, "frozen")
			},
			"lagAnswer": func(*rapid.T) {
				h := running()
				kinds := []core.MessageKind{core.KindAttest, core.KindSeatPromise, core.KindHeartbeat, core.KindWithdrawPush, core.KindWithdrawPull}
				h.answerDelay, h.delayKind, h.frozenInStall = seconds(), rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.Bool().Draw(t, "frozen")
			},
			"restart": func(*rapid.T) { h := running(); sim.kill(h); sim.start(h.Name, h.Domain) },
			"kill":    func(*rapid.T) { sim.kill(running()) },
			"start": func(*rapid.T) {
				if h := pick(); h.dead {
					sim.start(h.Name, h.Domain)
				}
			},
			"release": func(*rapid.T) {
				h := running()
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				_ = h.seat.Release(ctx)
				sim.check()
				sim.kill(h)
			},
			"withdraw": func(*rapid.T) {
				_, _ = sim.withdraw(running(), keyName(next%(keyCount-1)))
				next++
			},
			"again": func(*rapid.T) { _, _ = sim.withdraw(running(), keyName(rapid.IntRange(0, keyCount-2).Draw(t, "key"))) },
			"":      func(*rapid.T) { sim.check() },
		})
		sim.heal()
		sim.advance(90 * time.Second)
		sim.checkRecovered(t)
	})
}

func (sim *simulation) healLinks() {
	for _, a := range sim.names {
		for _, b := range sim.names {
			sim.setCut(a, b, false)
		}
	}
}

func (sim *simulation) checkRecovered(t *rapid.T) {
	rows, err := sim.table.List(context.Background(), core.SpaceWithdrawn, "", 0)
	if err != nil {
		t.Fatalf("list of withdrawals: %v", err)
	}
	for _, d := range sim.domains {
		if sim.acting(d) == nil {
			t.Fatalf("domain %s has no acting holder after all faults ended", d)
		}
	}
	for _, n := range sim.names {
		h := sim.hosts[n]
		if known, unstored := h.keys.CountWithdrawals(); known != len(rows) || unstored != 0 {
			t.Fatalf("host %s knows %d withdrawals, %d of them not stored; the table has %d", n, known, unstored, len(rows))
		}
		if _, _, err := h.keys.Check(bearer(keyName(keyCount - 1))); err != nil {
			t.Fatalf("host %s refuses a valid key: %v", n, err)
		}
	}
}

// TestConcurrentUse guards against data races, under the race detector,
// between the goroutine of Tick and the methods that are safe for concurrent
// use, with concurrent calls to peers.
func TestConcurrentUse(t *testing.T) {
	sim := newSimulation(3, 3, t.Fatalf)
	sim.advance(15 * time.Second)
	sim.parallel = 16
	for _, n := range sim.names {
		sim.kill(sim.hosts[n])
		sim.start(n, sim.hosts[n].Domain)
	}
	ctx := context.Background()
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	var wg sync.WaitGroup
	for i, n := range sim.names {
		h := sim.hosts[n]
		wg.Go(func() {
			for range 60 {
				h.clock.Advance(200 * time.Millisecond)
				_ = h.seat.Tick(ctx)
				_ = h.keys.Tick(ctx)
				h.evidence.RecordStoreRead(core.SpaceConfig, h.clock.Now())
			}
			_ = h.seat.Release(cancelled)
		})
		wg.Go(func() {
			for j := range 60 {
				_, _, _ = h.keys.Check(bearer(keyName(j % keyCount)))
				h.keys.Watch(keyName(j % keyCount)).Err()
				h.keys.ObserveHeartbeat(sim.names[(i+1)%len(sim.names)], h.beat())
				h.seat.Fence()
				_, _ = h.seat.FindHolder(ctx, sim.domains[j%3])
			}
			_, _ = h.keys.Withdraw(ctx, core.Withdrawal{Key: keyName(i % (keyCount - 1))})
		})
	}
	wg.Wait()
	rows, err := sim.table.List(ctx, core.SpaceWithdrawn, "", 0)
	require.NoError(t, err)
	require.NotEmpty(t, rows)
	require.LessOrEqual(t, len(rows), keyCount-1, "no withdrawal may be logged twice")
}

// TestTickEndsWhenCallsHang guards against a call without a deadline: if the
// table and all peers hang, the ticks of every role must still end.
func TestTickEndsWhenCallsHang(t *testing.T) {
	sim := newSimulation(3, 4, t.Fatalf)
	sim.callTimeout = time.Millisecond
	for _, n := range sim.names {
		sim.start(n, sim.hosts[n].Domain)
	}
	sim.advance(15 * time.Second)
	ctx := context.Background()
	for _, n := range sim.names {
		h := sim.hosts[n]
		h.callsHang = true
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
