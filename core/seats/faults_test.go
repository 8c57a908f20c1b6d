package seats_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
)

// step is a step of a test case: it injects a fault, lets time pass or checks
// the state.
type step func(t *testing.T, sim *simulation)

func runFor(d time.Duration) step { return func(_ *testing.T, sim *simulation) { sim.advance(d) } }

// isolate cuts all links between the given hosts and the others.
func isolate(hosts ...core.HostID) step {
	return func(_ *testing.T, sim *simulation) { sim.isolate(hostSet(hosts...), true) }
}

func cutLink(a, b core.HostID, isCut bool) step {
	return func(_ *testing.T, sim *simulation) { sim.setCut(a, b, isCut) }
}

func healLinks() step { return func(_ *testing.T, sim *simulation) { sim.healLinks() } }

// blockStore sets whether the given hosts cannot reach the table.
func blockStore(blocked bool, hosts ...core.HostID) step {
	return func(_ *testing.T, sim *simulation) {
		for _, h := range hosts {
			sim.hosts[h].storeCut = blocked
		}
	}
}

func pause(h core.HostID, paused bool) step {
	return func(_ *testing.T, sim *simulation) { sim.pause(sim.hosts[h], paused) }
}

// restart starts a new run of a host.
func restart(h core.HostID) step {
	return func(_ *testing.T, sim *simulation) { sim.kill(sim.hosts[h]); sim.start(h, sim.hosts[h].Domain) }
}

func kill(h core.HostID) step { return func(_ *testing.T, sim *simulation) { sim.kill(sim.hosts[h]) } }

// failCommit sets the fault of a host's next commit; simTable.Commit lists the
// faults.
func failCommit(h core.HostID, fault string) step {
	return func(_ *testing.T, sim *simulation) { sim.hosts[h].commitFault = fault }
}

// untilCommitFault lets time pass until the fault of a host's commit has
// occurred.
func untilCommitFault(h core.HostID) step {
	return func(_ *testing.T, sim *simulation) {
		for sim.hosts[h].commitFault != "" {
			sim.advance(timeStep)
		}
	}
}

// release makes one try to release a host's seat.
func release(h core.HostID) step {
	return func(_ *testing.T, sim *simulation) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = sim.hosts[h].seat.Release(ctx)
		sim.check()
	}
}

// requireActing checks which host acts for domain a: "" stands for none, "any"
// for at least one.
func requireActing(want core.HostID) step {
	return func(t *testing.T, sim *simulation) {
		got := core.HostID("")
		if h := sim.acting("a"); h != nil {
			got = h.Name
		}
		if want == "any" && got != "" {
			return
		}
		require.Equal(t, want, got, "acting host of domain a at %v", sim.now)
	}
}

// requireActingFor lets time pass and checks at each time step that the given
// host acts.
func requireActingFor(want core.HostID, d time.Duration) step {
	return func(t *testing.T, sim *simulation) {
		for ; d > 0; d -= timeStep {
			sim.advance(timeStep)
			requireActing(want)(t, sim)
		}
	}
}

// untilHolder lets time pass until a host sees itself as the holder in the
// given epoch or a later one.
func untilHolder(h core.HostID, epoch uint64) step {
	return func(t *testing.T, sim *simulation) {
		for range 200 {
			holder, seen := sim.hosts[h].seat.Holder()
			if holder == h && seen >= epoch {
				return
			}
			sim.advance(timeStep)
		}
		require.Fail(t, "no takeover", "host %s did not become the holder in epoch %d", h, epoch)
	}
}

func requireCandidates(h core.HostID, want ...core.HostID) step {
	return func(t *testing.T, sim *simulation) {
		require.ElementsMatch(t, want, sim.hosts[h].seat.View().Candidates)
	}
}

// takenOverByA2 brings domain a to epoch 2: a2 has taken the seat from a1,
// which is paused, and the candidates are a2 and a4. Host a3 knows nothing of
// that.
func takenOverByA2() []step {
	return []step{
		blockStore(true, "a3"), cutLink("a3", "a2", true), cutLink("a3", "a4", true), pause("a1", true),
		untilHolder("a2", 2), runFor(12 * time.Second), requireActing("a2"), requireCandidates("a2", "a2", "a4"),
	}
}

func concat(lists ...[]step) []step {
	var out []step
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

// TestOneHolderActsUnderFaults guards against two acting holders, and against
// a seat that stays without one, after faults of the table, links and hosts.
// Each case starts with four hosts of domain a: a1 holds the seat, a2 and a3
// are the other candidates. The simulation checks after each step that at most
// one host acts.
func TestOneHolderActsUnderFaults(t *testing.T) {
	const s = time.Second
	cases := []struct {
		name  string // what must hold
		steps []step
	}{
		{"holder acts during a store outage while its candidates promise", []step{
			func(_ *testing.T, sim *simulation) { sim.storeDown = true }, requireActingFor("a1", 60*s),
		}},
		{"holder cut off together with all candidates keeps its seat", []step{
			isolate("a1", "a2", "a3"), blockStore(true, "a1", "a2", "a3"), requireActingFor("a1", 60*s),
		}},
		{"promise of one of two candidates does not suffice", []step{
			isolate("a1", "a2"), blockStore(true, "a1", "a2"), runFor(30 * s), requireActing("a3"),
		}},
		{"holder with a dead candidate does not act during a store outage", []step{
			func(_ *testing.T, sim *simulation) { sim.storeDown = true }, kill("a2"), runFor(9 * s), requireActing(""),
			func(_ *testing.T, sim *simulation) { sim.storeDown = false }, runFor(3 * s), requireActing("a1"), requireCandidates("a1", "a1", "a3", "a4"),
		}},
		{"successor of a dead holder acts after the waiting time", []step{
			kill("a1"), runFor(3 * s), requireActing(""), runFor(12 * s), requireActing("any"), requireCandidates("a2", "a2", "a3", "a4"),
		}},
		{"restarted holder does not act in the epoch of its earlier run", []step{
			restart("a1"), runFor(s), requireActing(""), runFor(8 * s), requireActing("a1"),
		}},
		{"restarted candidate whose earlier run took the seat does not promise", concat(takenOverByA2(), []step{
			kill("a2"), untilHolder("a4", 3), runFor(8 * s), requireActing("a4"),
			cutLink("a1", "a4", true), cutLink("a2", "a4", true), blockStore(true, "a1"), restart("a2"), blockStore(true, "a2"),
			pause("a1", false), runFor(20 * s), requireActing("a4"),
		})},
		{"restarted candidate does not promise for an epoch older than the row's", concat(takenOverByA2(), []step{
			kill("a2"), untilHolder("a4", 3), runFor(8 * s), requireActing("a4"),
			cutLink("a1", "a4", true), cutLink("a2", "a4", true), blockStore(true, "a1"), restart("a2"), runFor(s), blockStore(true, "a2"),
			pause("a1", false), runFor(20 * s), requireActing("a4"),
		})},
		{"candidate with a takeover of unknown outcome does not promise", []step{
			blockStore(true, "a1", "a3"), runFor(4 * s), requireActing("a1"), isolate("a1"), failCommit("a2", "late"), untilCommitFault("a2"),
			blockStore(true, "a2"), healLinks(), runFor(10 * s), requireActing(""),
			func(_ *testing.T, sim *simulation) { sim.applyLateCommits() }, blockStore(false, "a2"), runFor(8 * s), requireActing("a2"),
		}},
		{"promises of the old candidates do not suffice while a change of candidates has an unknown outcome", []step{
			cutLink("a1", "a3", true), failCommit("a1", "unanswered"),
			untilCommitFault("a1"), blockStore(true, "a1", "a2", "a3"), healLinks(), isolate("a4"), runFor(60 * s), requireActing("a4"),
		}},
		{"holder renews promises while a change of candidates has an unknown outcome", []step{
			cutLink("a1", "a3", true), failCommit("a1", "unanswered"), untilCommitFault("a1"), blockStore(true, "a1", "a2", "a3", "a4"), healLinks(),
			requireActingFor("a1", 60*s),
		}},
		{"promise expires after the bound", []step{
			blockStore(true, "a1"), runFor(6 * s), requireActing("a1"), pause("a1", true), runFor(3 * s), requireActing("a1"), runFor(2 * s), requireActing(""), runFor(9 * s), requireActing("any"),
		}},
		{"promise counts from the request, not from the answer", []step{
			blockStore(true, "a1", "a3"), runFor(6 * s), requireActing("a1"), func(_ *testing.T, sim *simulation) {
				sim.hosts["a1"].answerDelay, sim.hosts["a1"].delayKind = 14*s, core.KindSeatPromise
			}, runFor(16 * s), requireActing("a2"),
		}},
		{"slow read of the row counts from its start", []step{
			func(_ *testing.T, sim *simulation) {
				sim.hosts["a1"].stallFor, sim.hosts["a1"].stallSpace = 14*s, core.SpaceSeat
			}, runFor(16 * s), requireActing("any"),
		}},
		{"seat stays with one host if another is connected only through the store", []step{
			isolate("a1"), runFor(20 * s), requireActingFor("any", 60*s),
		}},
		{"successor acts soon after a release", []step{
			release("a1"), kill("a1"), requireActing(""), runFor(3 * s), requireActing("a2"),
		}},
		{"holder does not act after a release whose answer was lost", []step{
			failCommit("a1", "unanswered"), release("a1"), release("a1"), runFor(3 * s), requireActing("a2"),
		}},
		{"holder after a release during the waiting time waits as well", []step{
			isolate("a1"), blockStore(true, "a3"), untilHolder("a2", 2), blockStore(false, "a3"), pause("a1", true), release("a2"), runFor(3 * s), requireActing("a1"),
			runFor(9 * s), requireActing("a3"),
		}},
		{"another host takes the seat once all candidates are gone for good", []step{
			kill("a1"), kill("a2"), kill("a3"), runFor(60 * s), requireActing(""),
			func(_ *testing.T, sim *simulation) {
				sim.ended["a1"], sim.ended["a2"], sim.ended["a3"] = true, true, true
			},
			runFor(30 * s), requireActing("a4"),
		}},
		{"another host takes the seat of a holder without other candidates", []step{
			kill("a2"), kill("a3"), kill("a4"), runFor(20 * s), requireCandidates("a1", "a1"),
			kill("a1"), restart("a4"), runFor(40 * s), requireActing("a4"),
		}},
		{"fence of a replaced holder fails its commits", []step{
			func(t *testing.T, sim *simulation) {
				old := sim.hosts["a1"]
				fence, ok := old.seat.Fence()
				require.True(t, ok)
				require.NoError(t, sim.table.Commit(context.Background(), []core.Write{fence}))
				sim.pause(old, true)
				sim.advance(20 * s)
				requireActing("any")(t, sim)
				fence, _ = old.seat.Fence()
				require.True(t, codes.Is(sim.table.Commit(context.Background(), []core.Write{fence}), codes.StoreConflict))
			},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(1, 4, t.Fatalf)
			sim.advance(15 * s)
			requireActing("a1")(t, sim)
			requireCandidates("a1", "a1", "a2", "a3")(t, sim)
			for _, step := range c.steps {
				step(t, sim)
			}
		})
	}
}

// TestWithdrawnKeysExpireUnderFaults guards against a host that admits a
// withdrawn key because its evidence claims more than was proven. Each case
// starts with three domains of three hosts; the withdrawal of key-00 is
// requested at a1. The simulation checks that no host admits the key later
// than the bound and its margin after acceptance.
func TestWithdrawnKeysExpireUnderFaults(t *testing.T) {
	const s = time.Second
	withdraw := func(accepted bool) step {
		return func(t *testing.T, sim *simulation) {
			r, err := sim.withdraw(sim.hosts["a1"], keyName(0))
			require.Equal(t, accepted, r.Accepted, "%+v %v", r, err)
			if !accepted {
				require.True(t, codes.Is(err, codes.WithdrawPending), "%v", err)
			}
		}
	}
	admits := func(h core.HostID, want codes.Code) step {
		return func(t *testing.T, sim *simulation) {
			_, _, err := sim.hosts[h].keys.Check(bearer(keyName(1)))
			require.Equal(t, want, codes.Of(err), "check on host %s at %v", h, sim.now)
		}
	}
	domainC := []core.HostID{"c1", "c2", "c3"}
	all := []core.HostID{"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"}
	cases := []struct {
		name  string
		steps []step
	}{
		{"keys are admitted during a store outage", []step{
			blockStore(true, all...), runFor(60 * s), admits("a3", codes.OK), admits("c2", codes.OK),
		}},
		{"domain cut off from everything stops admitting", []step{
			isolate(domainC...), blockStore(true, domainC...), withdraw(true), runFor(6 * s), admits("c1", codes.KeyUnproven),
			healLinks(), runFor(4 * s), admits("c1", codes.OK),
		}},
		{"replaced holder does not attest", []step{
			isolate("b1", "c1", "c2", "c3"), blockStore(true, append(domainC, "b1")...), runFor(20 * s), withdraw(true), runFor(20 * s),
			admits("c1", codes.KeyUnproven),
		}},
		{"new holder does not attest before it has read the withdrawals", []step{
			isolate(append(domainC, "b2", "b3")...), blockStore(true, domainC...), withdraw(true),
			func(_ *testing.T, sim *simulation) {
				sim.hosts["b2"].logUnreadable, sim.hosts["b3"].logUnreadable = true, true
			},
			kill("b1"), runFor(30 * s),
		}},
		{"seat that changed hands during the withdrawal does not count", []step{
			isolate(domainC...), func(t *testing.T, sim *simulation) {
				sim.hosts["a1"].stallFor = 25 * s
				sim.onStall = func() { sim.kill(sim.hosts["b1"]) }
				withdraw(false)(t, sim)
				sim.onStall = nil
			}, runFor(3 * s), withdraw(true),
		}},
		{"slow read of the log counts from its start", []step{
			isolate(domainC...), func(t *testing.T, sim *simulation) {
				for _, h := range domainC {
					sim.hosts[h].logUnreadable = h != "c1"
				}
				sim.hosts["c1"].stallFor, sim.hosts["c1"].stallSpace = 3*s, core.SpaceWithdrawn
				sim.onStall = func() {
					sim.hosts["c1"].logUnreadable = true
					withdraw(true)(t, sim)
				}
			}, runFor(20 * s), admits("c1", codes.KeyUnproven),
		}},
		{"attestation counts from the request, not from the answer", []step{
			blockStore(true, domainC...), func(t *testing.T, sim *simulation) {
				sim.noRemoteBeats = true
				sim.hosts["c1"].answerDelay, sim.hosts["c1"].delayKind, sim.hosts["c1"].delayPeer = 8*s, core.KindAttest, "b1"
				sim.onStall = func() {
					sim.isolate(hostSet(domainC...), true)
					withdraw(true)(t, sim)
				}
			}, runFor(30 * s), func(t *testing.T, sim *simulation) {
				require.Zero(t, sim.hosts["c1"].answerDelay, "host b1 must have been asked")
			},
		}},
		{"withdrawal without a majority of domains is not accepted", []step{
			isolate("a1", "a2", "a3"), withdraw(false), healLinks(), runFor(10 * s), withdraw(true),
		}},
		{"withdrawal that is not durable is not accepted", []step{
			blockStore(true, all...), withdraw(false), runFor(5 * s), func(t *testing.T, sim *simulation) {
				for _, h := range all {
					require.True(t, sim.hosts[h].keys.IsWithdrawn(keyName(0)), "host %s", h)
				}
			},
			kill("a1"), blockStore(false, all...), runFor(30 * s), func(t *testing.T, sim *simulation) {
				_, unstored := sim.hosts["c3"].keys.CountWithdrawals()
				require.Zero(t, unstored, "the other hosts must have written it")
			},
		}},
		{"log holds a withdrawal once after a lost answer", []step{
			failCommit("a1", "unanswered"), withdraw(true), failCommit("a1", "late"), runFor(5 * s), func(t *testing.T, sim *simulation) {
				sim.applyLateCommits()
				rows, err := sim.table.List(context.Background(), core.SpaceWithdrawn, "", 0)
				require.NoError(t, err)
				require.Len(t, rows, 1)
			},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(3, 3, t.Fatalf)
			sim.advance(15 * s)
			for _, h := range all {
				admits(h, codes.OK)(t, sim)
			}
			for _, step := range c.steps {
				step(t, sim)
			}
		})
	}
}
