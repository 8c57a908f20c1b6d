package seats_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/seats"
	"azurering/core/timer"
)

// newEvidence returns the Evidence of a host in a system of five domains. The
// host has reached configuration version 3 and covers withdrawal digests below
// 10.
func newEvidence(clock core.Timer) *seats.Evidence {
	return seats.NewEvidence(seats.EvidenceConfig{
		Timer: clock, FreshnessBound: bound, Domains: func() []core.DomainID { return []core.DomainID{"a", "b", "c", "d", "e"} },
		HasApplied:   func(version, withdrawn uint64) bool { return version <= 3 && withdrawn < 10 },
		AppliedState: func() (uint64, uint64) { return 3, 9 },
	})
}

// TestEvidenceAge guards against evidence that claims to be younger than its
// source proves, which would admit withdrawn keys. The local time is 20 s; an
// age of none means that the host must not be fresh.
func TestEvidenceAge(t *testing.T) {
	const s, none = time.Second, -time.Second
	attest := func(e *seats.Evidence, at time.Duration, domains ...core.DomainID) {
		for _, d := range domains {
			e.RecordAttestation(d, at)
		}
	}
	ages := func(age time.Duration, domains ...core.DomainID) []core.EvidenceAge {
		var out []core.EvidenceAge
		for _, d := range domains {
			out = append(out, core.EvidenceAge{Domain: d, Age: age})
		}
		return out
	}
	cases := []struct {
		name   string
		record func(e *seats.Evidence)
		age    time.Duration
	}{
		{"no evidence", func(*seats.Evidence) {}, none},
		{"read of the configuration only", func(e *seats.Evidence) { e.RecordStoreRead(core.SpaceConfig, 19*s) }, none},
		{"read of the withdrawals only", func(e *seats.Evidence) { e.RecordStoreRead(core.SpaceWithdrawn, 19*s) }, none},
		{"read of another space does not count", func(e *seats.Evidence) {
			e.RecordStoreRead(core.SpaceConfig, 19*s)
			e.RecordStoreRead(core.SpaceSeat, 19*s)
		}, none},
		{"older of the two reads counts", func(e *seats.Evidence) {
			e.RecordStoreRead(core.SpaceConfig, 19*s)
			e.RecordStoreRead(core.SpaceWithdrawn, 17*s)
			e.RecordStoreRead(core.SpaceConfig, 18*s)
		}, 3 * s},
		{"one of the two reads expired", func(e *seats.Evidence) {
			e.RecordStoreRead(core.SpaceConfig, 16*s)
			e.RecordStoreRead(core.SpaceWithdrawn, 19*s)
		}, none},
		{"attestations of a minority", func(e *seats.Evidence) { attest(e, 20*s, "a", "b") }, none},
		{"majority is as old as its oldest attestation", func(e *seats.Evidence) {
			attest(e, 20*s, "a", "b")
			attest(e, 17*s, "c", "d")
		}, 3 * s},
		{"attestations of unconfigured domains do not count", func(e *seats.Evidence) { attest(e, 20*s, "a", "b", "x", "y", "z") }, none},
		{"relayed evidence", func(e *seats.Evidence) {
			require.True(t, e.MergeHeartbeat(19*s, core.Heartbeat{ConfigVersion: 3, EvidenceFresh: true, EvidenceAge: 2 * s}))
		}, 3 * s},
		{"relay by a host without evidence", func(e *seats.Evidence) { e.MergeHeartbeat(19*s, core.Heartbeat{ConfigVersion: 3, EvidenceAge: 2 * s}) }, none},
		{"relay with a negative age", func(e *seats.Evidence) {
			e.MergeHeartbeat(19*s, core.Heartbeat{EvidenceFresh: true, EvidenceAge: -9 * s, DomainAges: ages(-9*s, "a", "b", "c")})
		}, none},
		{"relay by a host with a newer configuration", func(e *seats.Evidence) {
			require.False(t, e.MergeHeartbeat(20*s, core.Heartbeat{ConfigVersion: 4, EvidenceFresh: true, DomainAges: ages(0, "a", "b", "c")}))
		}, none},
		{"relay by a host with unknown withdrawals", func(e *seats.Evidence) {
			require.False(t, e.MergeHeartbeat(20*s, core.Heartbeat{WithdrawalDigest: 11, EvidenceFresh: true, DomainAges: ages(0, "a", "b", "c")}))
		}, none},
		{"relayed attestations complete a majority", func(e *seats.Evidence) {
			attest(e, 20*s, "a")
			e.MergeHeartbeat(19*s, core.Heartbeat{DomainAges: ages(s, "b", "c")})
		}, 2 * s},
		{"older evidence does not replace newer", func(e *seats.Evidence) {
			e.RecordRelay(19*s, 0)
			e.RecordRelay(19*s, 2*s)
			attest(e, 17*s, "a", "b", "c")
		}, s},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := newEvidence(timer.NewManual())
			tc.record(e)
			require.Equal(t, tc.age >= 0, e.Fresh(20*s))
			var b core.Heartbeat
			e.FillHeartbeat(20*s, &b)
			require.Equal(t, tc.age >= 0, b.EvidenceFresh)
			require.Equal(t, [2]uint64{3, 9}, [2]uint64{b.ConfigVersion, b.WithdrawalDigest})
			if tc.age < 0 {
				return
			}
			require.Equal(t, tc.age, b.EvidenceAge)
			require.True(t, e.Fresh(20*s+bound-tc.age-1))
			require.False(t, e.Fresh(20*s+bound-tc.age))
			require.True(t, tc.age > bound/2 || b.DomainAges == nil, "a heartbeat carries single attestations only while the evidence is old")
		})
	}
}

// TestInvalidInputIsRefused guards against invalid settings and messages that
// are accepted, and against a row that cannot be decoded being taken for a
// vacant seat.
func TestInvalidInputIsRefused(t *testing.T) {
	ctx := context.Background()
	_, err := seats.New(seats.Config{})
	require.True(t, codes.Is(err, codes.SettingsInvalid))
	_, err = seats.New(seats.Config{Host: core.Host{Name: "a1", Domain: "a"}})
	require.True(t, codes.Is(err, codes.SettingsInvalid))

	sim := newSimulation(1, 2, t.Fatalf)
	_, err = sim.hosts["a2"].peer.Call(ctx, "a1", core.SeatPromiseRequest{Domain: "b", Epoch: 1})
	require.True(t, codes.Is(err, codes.PeerRefused))
	bad := core.Write{Kind: core.WritePut, Space: core.SpaceSeat, Key: "a", Token: "t", Value: []byte("no row")}
	require.NoError(t, sim.table.Commit(ctx, []core.Write{bad}))
	require.Error(t, sim.hosts["a1"].seat.Tick(ctx))
	sim.advance(20 * time.Second)
	require.Nil(t, sim.acting("a"))
	_, err = seats.List(ctx, sim.table)
	require.True(t, codes.Is(err, codes.Internal))
}

// TestSeatTrafficPerRole guards against table reads by hosts that are not
// candidates, and against more messages than each role needs.
func TestSeatTrafficPerRole(t *testing.T) {
	sim := newSimulation(2, 5, t.Fatalf)
	// At their first read a4 and a5 find no row; later they learn of it from
	// peers.
	for _, step := range []step{
		blockStore(true, "a1", "a2", "a3"), runFor(time.Second), blockStore(false, "a1", "a2", "a3"), blockStore(true, "a4", "a5"),
		isolate("a4", "a5"), runFor(5 * time.Second), healLinks(), runFor(5 * time.Second), blockStore(false, "a4", "a5"), runFor(30 * time.Second),
	} {
		step(t, sim)
	}
	for _, h := range sim.hosts {
		clear(h.reads)
		clear(h.peer.sent)
	}
	sim.advance(60 * time.Second)
	rowReads, logReads := 0, 0
	for _, h := range sim.hosts {
		rowReads += h.reads[core.SpaceSeat]
		logReads += h.reads[core.SpaceWithdrawn]
		require.LessOrEqual(t, h.peer.sent[core.KindSeatPromise], 2*2, "host %s", h.Name)
		if h.Name == "a4" || h.Name == "a5" {
			require.Zero(t, h.reads[core.SpaceSeat]+h.reads[core.SpaceWithdrawn], "reads of host %s", h.Name)
			require.LessOrEqual(t, h.peer.sent[core.KindAttest], 17, "host %s", h.Name)
		}
	}
	require.LessOrEqual(t, rowReads, 2*63)
	require.LessOrEqual(t, logReads, 2*2*63)
}

// BenchmarkTraffic measures table reads and messages of a domain of 105 hosts
// in a system of 54 domains, in virtual time, with the table up and down. Each
// host has four neighbours.
func BenchmarkTraffic(b *testing.B) {
	const seconds = 60
	for _, down := range []bool{false, true} {
		b.Run(fmt.Sprintf("down=%v", down), func(b *testing.B) {
			for range b.N {
				sim := newSimulation(54, 3, b.Fatalf)
				for i := range 102 {
					sim.start(core.HostID(fmt.Sprintf("a1%03d", i)), "a")
				}
				sim.skipChecks = true
				sim.advance(30 * time.Second)
				sim.storeDown = down
				sim.advance(30 * time.Second)
				for _, h := range sim.hosts {
					clear(h.reads)
					clear(h.peer.sent)
					clear(h.peer.attestsTo)
				}
				freshPercent := 0.0
				for range seconds {
					sim.advance(time.Second)
					for _, h := range sim.hosts {
						if h.Domain == "a" && h.evidence.Fresh(h.clock.Now()) {
							freshPercent += 100.0 / seconds / 105
						}
					}
				}
				maxSent, meanSent := map[core.MessageKind]float64{}, map[core.MessageKind]float64{}
				reads := map[core.Space]float64{}
				received := map[core.HostID]float64{}
				for _, h := range sim.hosts {
					for to, n := range h.peer.attestsTo {
						received[to] += float64(n) / seconds
					}
				}
				maxReceived := 0.0
				for _, n := range received {
					maxReceived = max(maxReceived, n)
				}
				for _, h := range sim.hosts {
					if h.Domain != "a" {
						continue
					}
					for s, n := range h.reads {
						reads[s] += float64(n) / seconds
					}
					for k, n := range h.peer.sent {
						maxSent[k] = max(maxSent[k], float64(n)/seconds)
						meanSent[k] += float64(n) / seconds / 105
					}
				}
				for _, s := range []core.Space{core.SpaceSeat, core.SpaceWithdrawn} {
					b.ReportMetric(reads[s], string(s)+"-reads/s")
				}
				for _, k := range []core.MessageKind{core.KindAttest, core.KindSeatPromise, core.KindWithdrawPull} {
					b.ReportMetric(meanSent[k], string(k)+"/host/s")
					b.ReportMetric(maxSent[k], string(k)+"-most/s")
				}
				b.ReportMetric(maxReceived, "attest-answered-most/s")
				b.ReportMetric(freshPercent, "%fresh")
			}
		})
	}
}

func ExampleSeat() {
	ctx := context.Background()
	clock, table, net := timer.NewManual(), &fakes.Table{}, &fakes.Network{}
	domains := func() []core.DomainID { return []core.DomainID{"kushiro"} }
	evidence := seats.NewEvidence(seats.EvidenceConfig{
		Timer: clock, Domains: domains,
		HasApplied: func(uint64, uint64) bool { return true }, AppliedState: func() (uint64, uint64) { return 1, 0 },
	})
	none := func(core.DomainID) []core.Host { return nil }
	seat, err := seats.New(seats.Config{
		Host: core.Host{Name: "host-1", Domain: "kushiro"}, Table: table, Peers: net.Peer("host-1"), Timer: clock,
		Evidence: evidence, Domains: domains, RemoteHosts: none, LocalHosts: func() []core.Host { return none("kushiro") },
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	for range 3 {
		clock.Advance(time.Second)
		// In a host, the code that polls the table records what it has read and
		// applied.
		evidence.RecordStoreRead(core.SpaceConfig, clock.Now())
		evidence.RecordStoreRead(core.SpaceWithdrawn, clock.Now())
		_ = seat.Tick(ctx)
		fmt.Println(seat.Acting())
	}
	fmt.Println(seat.Holder())
	fmt.Println(seat.Release(ctx))
	fmt.Println(seat.Acting())
	// Output:
	// 1 true
	// 1 true
	// 1 true
	// host-1 1
	// <nil>
	// 1 false
}

func ExampleEvidence() {
	clock := timer.NewManual()
	evidence := newEvidence(clock)
	evidence.RecordStoreRead(core.SpaceConfig, clock.Now())
	evidence.RecordStoreRead(core.SpaceWithdrawn, clock.Now())
	fmt.Println(evidence.Fresh(clock.Now()))
	clock.Advance(bound)
	fmt.Println(evidence.Fresh(clock.Now()))
	// Output:
	// true
	// false
}
