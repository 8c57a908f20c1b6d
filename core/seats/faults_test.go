package seats_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
)

// do is a step of a fault case; check runs after each and between.
type do func(t *testing.T, w *world)

func run(d time.Duration) do { return func(_ *testing.T, w *world) { w.advance(d) } }

func split(hosts ...core.HostID) do {
	return func(_ *testing.T, w *world) { w.isolate(group(hosts...), true) }
}

func cut(a, b core.HostID, on bool) do { return func(_ *testing.T, w *world) { w.setCut(a, b, on) } }

func links() do { return func(_ *testing.T, w *world) { w.healLinks() } }

func noDB(on bool, hosts ...core.HostID) do {
	return func(_ *testing.T, w *world) {
		for _, h := range hosts {
			w.hosts[h].noDB = on
		}
	}
}

func pause(h core.HostID, on bool) do {
	return func(_ *testing.T, w *world) { w.pause(w.hosts[h], on) }
}

func restart(h core.HostID) do {
	return func(_ *testing.T, w *world) { w.kill(w.hosts[h]); w.start(h, w.hosts[h].Domain) }
}

func kill(h core.HostID) do { return func(_ *testing.T, w *world) { w.kill(w.hosts[h]) } }

func commit(h core.HostID, fault string) do {
	return func(_ *testing.T, w *world) { w.hosts[h].commit = fault }
}

// used runs until the fault of a host's commit has happened.
func used(h core.HostID) do {
	return func(_ *testing.T, w *world) {
		for w.hosts[h].commit != "" {
			w.advance(frame)
		}
	}
}

func release(h core.HostID) do {
	return func(_ *testing.T, w *world) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = w.hosts[h].seat.Release(ctx)
		w.check()
	}
}

// acts says which host acts for domain a, "" for none and "any" for some.
func acts(want core.HostID) do {
	return func(t *testing.T, w *world) {
		got := core.HostID("")
		if h := w.acting("a"); h != nil {
			got = h.Name
		}
		if want == "any" && got != "" {
			return
		}
		require.Equal(t, want, got, "acting host of domain a at %v", w.now)
	}
}

// always runs for some time and demands the same acting host throughout.
func always(want core.HostID, d time.Duration) do {
	return func(t *testing.T, w *world) {
		for ; d > 0; d -= frame {
			w.advance(frame)
			acts(want)(t, w)
		}
	}
}

// until runs frame by frame until a host sees itself in an epoch.
func until(h core.HostID, epoch uint64) do {
	return func(t *testing.T, w *world) {
		for range 200 {
			holder, e := w.hosts[h].seat.Holder()
			if holder == h && e >= epoch {
				return
			}
			w.advance(frame)
		}
		require.Fail(t, "no takeover", "host %s did not reach epoch %d", h, epoch)
	}
}

func candidates(h core.HostID, want ...core.HostID) do {
	return func(t *testing.T, w *world) { require.ElementsMatch(t, want, w.hosts[h].seat.View().Candidates) }
}

// replaced brings domain a to epoch 3: a2 has taken the seat from a1, which
// is paused, and a4 has taken it from a2. Host a3 knows nothing of it.
func replaced() []do {
	return []do{
		noDB(true, "a3"), cut("a3", "a2", true), cut("a3", "a4", true), pause("a1", true),
		until("a2", 2), run(12 * time.Second), acts("a2"), candidates("a2", "a2", "a4"),
	}
}

func steps(lists ...[]do) []do {
	var out []do
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

// Each case starts with four hosts of domain a, of which a1 holds the seat
// and a2 and a3 are the other candidates. The world checks after each step
// that at most one host acts.
func TestSeatFaults(t *testing.T) {
	const s = time.Second
	cases := []struct {
		name  string // the failure that the case guards against
		steps []do
	}{
		{"store outage stops a holder whose candidates promise", []do{
			func(_ *testing.T, w *world) { w.down = true }, always("a1", 60*s),
		}},
		{"holder cut off with all candidates loses its seat to another host", []do{
			split("a1", "a2", "a3"), noDB(true, "a1", "a2", "a3"), always("a1", 60*s),
		}},
		{"holder acts by the promise of one of two candidates", []do{
			split("a1", "a2"), noDB(true, "a1", "a2"), run(30 * s), acts("a3"),
		}},
		{"holder acts during a store outage with a dead candidate", []do{
			func(_ *testing.T, w *world) { w.down = true }, kill("a2"), run(9 * s), acts(""),
			func(_ *testing.T, w *world) { w.down = false }, run(3 * s), acts("a1"), candidates("a1", "a1", "a3", "a4"),
		}},
		{"successor of a dead holder waits too long or not at all", []do{
			kill("a1"), run(3 * s), acts(""), run(12 * s), acts("any"), candidates("a2", "a2", "a3", "a4"),
		}},
		{"restarted holder acts in the epoch of its earlier run", []do{
			restart("a1"), run(s), acts(""), run(8 * s), acts("a1"),
		}},
		{"restarted candidate promises although its earlier run took the seat", steps(replaced(), []do{
			kill("a2"), until("a4", 3), run(8 * s), acts("a4"),
			cut("a1", "a4", true), cut("a2", "a4", true), noDB(true, "a1"), restart("a2"), noDB(true, "a2"),
			pause("a1", false), run(20 * s), acts("a4"),
		})},
		{"restarted candidate promises for an older epoch than the row's", steps(replaced(), []do{
			kill("a2"), until("a4", 3), run(8 * s), acts("a4"),
			cut("a1", "a4", true), cut("a2", "a4", true), noDB(true, "a1"), restart("a2"), run(s), noDB(true, "a2"),
			pause("a1", false), run(20 * s), acts("a4"),
		})},
		{"candidate with a takeover of unknown outcome promises", []do{
			noDB(true, "a1", "a3"), run(4 * s), acts("a1"), split("a1"), commit("a2", "late"), used("a2"),
			noDB(true, "a2"), links(), run(10 * s), acts(""),
			func(_ *testing.T, w *world) { w.landLate() }, noDB(false, "a2"), run(8 * s), acts("a2"),
		}},
		{"promises of the old row count while a change of candidates is unknown", []do{
			cut("a1", "a3", true), commit("a1", "unanswered"),
			used("a1"), noDB(true, "a1", "a2", "a3"), links(), split("a4"), run(60 * s), acts("a4"),
		}},
		{"holder stops asking for promises while a change of candidates is unknown", []do{
			cut("a1", "a3", true), commit("a1", "unanswered"), used("a1"), noDB(true, "a1", "a2", "a3", "a4"), links(),
			always("a1", 60*s),
		}},
		{"promise outlives the bound", []do{
			noDB(true, "a1"), run(6 * s), acts("a1"), pause("a1", true), run(3 * s), acts("a1"), run(2 * s), acts(""), run(9 * s), acts("any"),
		}},
		{"promise counts from its answer", []do{
			noDB(true, "a1", "a3"), run(6 * s), acts("a1"), func(_ *testing.T, w *world) {
				w.hosts["a1"].lag, w.hosts["a1"].lagKind = 14*s, core.KindSeatPromise
			}, run(16 * s), acts("a2"),
		}},
		{"slow read of the row counts from its end", []do{
			func(_ *testing.T, w *world) { w.hosts["a1"].stall, w.hosts["a1"].slow = 14*s, core.SpaceSeat }, run(16 * s), acts("any"),
		}},
		{"host that only the store connects takes the seat back again and again", []do{
			split("a1"), run(20 * s), always("any", 60*s),
		}},
		{"release leaves the successor waiting", []do{
			release("a1"), kill("a1"), acts(""), run(3 * s), acts("a2"),
		}},
		{"holder acts on after a release whose answer was lost", []do{
			commit("a1", "unanswered"), release("a1"), release("a1"), run(3 * s), acts("a2"),
		}},
		{"release during the waiting time lets the next holder act at once", []do{
			split("a1"), noDB(true, "a3"), until("a2", 2), noDB(false, "a3"), pause("a1", true), release("a2"), run(3 * s), acts("a1"),
			run(9 * s), acts("a3"),
		}},
		{"seat of ended candidates is lost for ever", []do{
			kill("a1"), kill("a2"), kill("a3"), run(60 * s), acts(""),
			func(_ *testing.T, w *world) { w.gone["a1"], w.gone["a2"], w.gone["a3"] = true, true, true },
			run(30 * s), acts("a4"),
		}},
		{"domain with a single host never gets its seat back", []do{
			kill("a2"), kill("a3"), kill("a4"), run(20 * s), candidates("a1", "a1"),
			kill("a1"), restart("a4"), run(40 * s), acts("a4"),
		}},
		{"fence of a replaced holder still lets commits through", []do{
			func(t *testing.T, w *world) {
				old := w.hosts["a1"]
				fence, ok := old.seat.Fence()
				require.True(t, ok)
				require.NoError(t, w.table.Commit(context.Background(), []core.Write{fence}))
				w.pause(old, true)
				w.advance(20 * s)
				acts("any")(t, w)
				fence, _ = old.seat.Fence()
				require.True(t, codes.Is(w.table.Commit(context.Background(), []core.Write{fence}), codes.StoreConflict))
			},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(1, 4, t.Fatalf)
			w.advance(15 * s)
			acts("a1")(t, w)
			candidates("a1", "a1", "a2", "a3")(t, w)
			for _, step := range c.steps {
				step(t, w)
			}
		})
	}
}

// Each case starts with three domains of three hosts. The withdrawal of
// key-00 is asked for on a1; the world checks that no host admits it later
// than the bound and its margin after it was accepted.
func TestEvidenceFaults(t *testing.T) {
	const s = time.Second
	withdraw := func(accepted bool) do {
		return func(t *testing.T, w *world) {
			r, err := w.withdraw(w.hosts["a1"], keyName(0))
			require.Equal(t, accepted, r.Accepted, "%+v %v", r, err)
			if !accepted {
				require.True(t, codes.Is(err, codes.WithdrawPending), "%v", err)
			}
		}
	}
	admits := func(h core.HostID, want codes.Code) do {
		return func(t *testing.T, w *world) {
			_, _, err := w.hosts[h].keys.Check(bearer(keyName(1)))
			require.Equal(t, want, codes.Of(err), "check on host %s at %v", h, w.now)
		}
	}
	domainC := []core.HostID{"c1", "c2", "c3"}
	all := []core.HostID{"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"}
	cases := []struct {
		name  string
		steps []do
	}{
		{"keyed routes stop in a store outage", []do{
			noDB(true, all...), run(60 * s), admits("a3", codes.OK), admits("c2", codes.OK),
		}},
		{"domain cut off from everything goes on admitting", []do{
			split(domainC...), noDB(true, domainC...), withdraw(true), run(6 * s), admits("c1", codes.KeyUnproven),
			links(), run(4 * s), admits("c1", codes.OK),
		}},
		{"a replaced holder attests", []do{
			split("b1", "c1", "c2", "c3"), noDB(true, append(domainC, "b1")...), run(20 * s), withdraw(true), run(20 * s),
			admits("c1", codes.KeyUnproven),
		}},
		{"a new holder attests before it has read the withdrawals", []do{
			split(append(domainC, "b2", "b3")...), noDB(true, domainC...), withdraw(true),
			func(_ *testing.T, w *world) { w.hosts["b2"].noLog, w.hosts["b3"].noLog = true, true },
			kill("b1"), run(30 * s),
		}},
		{"a seat that changed hands during the withdrawal counts", []do{
			split(domainC...), func(t *testing.T, w *world) {
				w.hosts["a1"].stall = 25 * s
				w.onStall = func() { w.kill(w.hosts["b1"]) }
				withdraw(false)(t, w)
				w.onStall = nil
			}, run(3 * s), withdraw(true),
		}},
		{"a slow read of the log counts from its end", []do{
			split(domainC...), func(t *testing.T, w *world) {
				for _, h := range domainC {
					w.hosts[h].noLog = h != "c1"
				}
				w.hosts["c1"].stall, w.hosts["c1"].slow = 3*s, core.SpaceWithdrawn
				w.onStall = func() {
					w.hosts["c1"].noLog = true
					withdraw(true)(t, w)
				}
			}, run(20 * s), admits("c1", codes.KeyUnproven),
		}},
		{"an attestation counts from its answer", []do{
			noDB(true, domainC...), func(t *testing.T, w *world) {
				w.quiet = true
				w.hosts["c1"].lag, w.hosts["c1"].lagKind, w.hosts["c1"].lagTo = 8*s, core.KindAttest, "b1"
				w.onStall = func() {
					w.isolate(group(domainC...), true)
					withdraw(true)(t, w)
				}
			}, run(30 * s), func(t *testing.T, w *world) {
				require.Zero(t, w.hosts["c1"].lag, "host b1 was asked")
			},
		}},
		{"a withdrawal without a majority of domains is accepted", []do{
			split("a1", "a2", "a3"), withdraw(false), links(), run(10 * s), withdraw(true),
		}},
		{"a withdrawal that is not durable is accepted", []do{
			noDB(true, all...), withdraw(false), run(5 * s), func(t *testing.T, w *world) {
				for _, h := range all {
					require.True(t, w.hosts[h].keys.IsWithdrawn(keyName(0)), "host %s", h)
				}
			},
			kill("a1"), noDB(false, all...), run(30 * s), func(t *testing.T, w *world) {
				_, loose := w.hosts["c3"].keys.CountWithdrawals()
				require.Zero(t, loose, "the other hosts wrote it")
			},
		}},
		{"a lost answer makes the log hold a withdrawal twice", []do{
			commit("a1", "unanswered"), withdraw(true), commit("a1", "late"), run(5 * s), func(t *testing.T, w *world) {
				w.landLate()
				rows, err := w.table.List(context.Background(), core.SpaceWithdrawn, "", 0)
				require.NoError(t, err)
				require.Len(t, rows, 1)
			},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(3, 3, t.Fatalf)
			w.advance(15 * s)
			for _, h := range all {
				admits(h, codes.OK)(t, w)
			}
			for _, step := range c.steps {
				step(t, w)
			}
		})
	}
}
