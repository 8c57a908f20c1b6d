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

// newEvidence returns an Evidence of five domains whose host has reached
// version 3 and covers the digests below 10.
func newEvidence(clock core.Timer) *seats.Evidence {
	return seats.NewEvidence(seats.EvidenceConfig{
		Timer: clock, FreshnessBound: bound, Domains: func() []core.DomainID { return []core.DomainID{"a", "b", "c", "d", "e"} },
		HasApplied:   func(version, withdrawn uint64) bool { return version <= 3 && withdrawn < 10 },
		AppliedState: func() (uint64, uint64) { return 3, 9 },
	})
}

// Guards the age of evidence from each source. The local time is 20 s; none
// means that the host must not be fresh.
func TestEvidence(t *testing.T) {
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
		name string
		do   func(e *seats.Evidence)
		age  time.Duration
	}{
		{"nothing", func(*seats.Evidence) {}, none},
		{"configuration only", func(e *seats.Evidence) { e.RecordStoreRead(core.SpaceConfig, 19*s) }, none},
		{"withdrawals only", func(e *seats.Evidence) { e.RecordStoreRead(core.SpaceWithdrawn, 19*s) }, none},
		{"other space", func(e *seats.Evidence) {
			e.RecordStoreRead(core.SpaceConfig, 19*s)
			e.RecordStoreRead(core.SpaceSeat, 19*s)
		}, none},
		{"older of the two reads", func(e *seats.Evidence) {
			e.RecordStoreRead(core.SpaceConfig, 19*s)
			e.RecordStoreRead(core.SpaceWithdrawn, 17*s)
			e.RecordStoreRead(core.SpaceConfig, 18*s)
		}, 3 * s},
		{"expired read", func(e *seats.Evidence) {
			e.RecordStoreRead(core.SpaceConfig, 16*s)
			e.RecordStoreRead(core.SpaceWithdrawn, 19*s)
		}, none},
		{"minority", func(e *seats.Evidence) { attest(e, 20*s, "a", "b") }, none},
		{"majority as old as its oldest", func(e *seats.Evidence) {
			attest(e, 20*s, "a", "b")
			attest(e, 17*s, "c", "d")
		}, 3 * s},
		{"domains outside of the configuration", func(e *seats.Evidence) { attest(e, 20*s, "a", "b", "x", "y", "z") }, none},
		{"relay", func(e *seats.Evidence) {
			require.True(t, e.MergeHeartbeat(19*s, core.Heartbeat{ConfigVersion: 3, EvidenceFresh: true, EvidenceAge: 2 * s}))
		}, 3 * s},
		{"relay that says no evidence", func(e *seats.Evidence) { e.MergeHeartbeat(19*s, core.Heartbeat{ConfigVersion: 3, EvidenceAge: 2 * s}) }, none},
		{"relay with a bad age", func(e *seats.Evidence) {
			e.MergeHeartbeat(19*s, core.Heartbeat{EvidenceFresh: true, EvidenceAge: -9 * s, DomainAges: ages(-9*s, "a", "b", "c")})
		}, none},
		{"relay of a newer version", func(e *seats.Evidence) {
			require.False(t, e.MergeHeartbeat(20*s, core.Heartbeat{ConfigVersion: 4, EvidenceFresh: true, DomainAges: ages(0, "a", "b", "c")}))
		}, none},
		{"relay of unknown withdrawals", func(e *seats.Evidence) {
			require.False(t, e.MergeHeartbeat(20*s, core.Heartbeat{WithdrawalDigest: 11, EvidenceFresh: true, DomainAges: ages(0, "a", "b", "c")}))
		}, none},
		{"ages add up to a majority", func(e *seats.Evidence) {
			attest(e, 20*s, "a")
			e.MergeHeartbeat(19*s, core.Heartbeat{DomainAges: ages(s, "b", "c")})
		}, 2 * s},
		{"never older than before", func(e *seats.Evidence) {
			e.RecordRelay(19*s, 0)
			e.RecordRelay(19*s, 2*s)
			attest(e, 17*s, "a", "b", "c")
		}, s},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEvidence(timer.NewManual())
			c.do(e)
			require.Equal(t, c.age >= 0, e.Fresh(20*s))
			var b core.Heartbeat
			e.FillHeartbeat(20*s, &b)
			require.Equal(t, c.age >= 0, b.EvidenceFresh)
			require.Equal(t, [2]uint64{3, 9}, [2]uint64{b.ConfigVersion, b.WithdrawalDigest})
			if c.age < 0 {
				return
			}
			require.Equal(t, c.age, b.EvidenceAge)
			require.True(t, e.Fresh(20*s+bound-c.age-1))
			require.False(t, e.Fresh(20*s+bound-c.age))
			require.True(t, c.age > bound/2 || b.DomainAges == nil, "single ages travel only while the evidence is old")
		})
	}
}

// Guards against settings and messages that must be refused with a code, and
// against a row that cannot be decoded passing as a free seat.
func TestSeatRefusals(t *testing.T) {
	ctx := context.Background()
	_, err := seats.New(seats.Config{})
	require.True(t, codes.Is(err, codes.SettingsInvalid))
	_, err = seats.New(seats.Config{Host: core.Host{Name: "a1", Domain: "a"}})
	require.True(t, codes.Is(err, codes.SettingsInvalid))

	w := newWorld(1, 2, t.Fatalf)
	_, err = w.hosts["a2"].peer.Call(ctx, "a1", core.SeatPromiseRequest{Domain: "b", Epoch: 1})
	require.True(t, codes.Is(err, codes.PeerRefused))
	bad := core.Write{Kind: core.WritePut, Space: core.SpaceSeat, Key: "a", Token: "t", Value: []byte("no row")}
	require.NoError(t, w.table.Commit(ctx, []core.Write{bad}))
	require.Error(t, w.hosts["a1"].seat.Tick(ctx))
	w.advance(20 * time.Second)
	require.Nil(t, w.acting("a"))
	_, err = seats.List(ctx, w.table)
	require.True(t, codes.Is(err, codes.Internal))
}

// Guards the store against reads by hosts that are no candidates, and the
// holder against their questions.
func TestTraffic(t *testing.T) {
	w := newWorld(2, 5, t.Fatalf)
	// The first reads of a4 and a5 find no row, and peers tell them of it.
	for _, step := range []do{
		noDB(true, "a1", "a2", "a3"), run(time.Second), noDB(false, "a1", "a2", "a3"), noDB(true, "a4", "a5"),
		split("a4", "a5"), run(5 * time.Second), links(), run(5 * time.Second), noDB(false, "a4", "a5"), run(30 * time.Second),
	} {
		step(t, w)
	}
	for _, h := range w.hosts {
		clear(h.reads)
		clear(h.peer.sent)
	}
	w.advance(60 * time.Second)
	seat, log := 0, 0
	for _, h := range w.hosts {
		seat += h.reads[core.SpaceSeat]
		log += h.reads[core.SpaceWithdrawn]
		require.LessOrEqual(t, h.peer.sent[core.KindSeatPromise], 2*2, "host %s", h.Name)
		if h.Name == "a4" || h.Name == "a5" {
			require.Zero(t, h.reads[core.SpaceSeat]+h.reads[core.SpaceWithdrawn], "reads of host %s", h.Name)
			require.LessOrEqual(t, h.peer.sent[core.KindAttest], 17, "host %s", h.Name)
		}
	}
	require.LessOrEqual(t, seat, 2*63)
	require.LessOrEqual(t, log, 2*2*63)
}

// BenchmarkTraffic measures store reads and messages of a domain of 105
// hosts among 54 domains, in virtual time, with the store up and down. Each
// host has four neighbours.
func BenchmarkTraffic(b *testing.B) {
	const seconds = 60
	for _, down := range []bool{false, true} {
		b.Run(fmt.Sprintf("down=%v", down), func(b *testing.B) {
			for range b.N {
				w := newWorld(54, 3, b.Fatalf)
				for i := range 102 {
					w.start(core.HostID(fmt.Sprintf("a1%03d", i)), "a")
				}
				w.lax = true
				w.advance(30 * time.Second)
				w.down = down
				w.advance(30 * time.Second)
				for _, h := range w.hosts {
					clear(h.reads)
					clear(h.peer.sent)
					clear(h.peer.to)
				}
				fresh := 0.0
				for range seconds {
					w.advance(time.Second)
					for _, h := range w.hosts {
						if h.Domain == "a" && h.ev.Fresh(h.clock.Now()) {
							fresh += 100.0 / seconds / 105
						}
					}
				}
				most, all := map[core.MessageKind]float64{}, map[core.MessageKind]float64{}
				reads := map[core.Space]float64{}
				got := map[core.HostID]float64{}
				for _, h := range w.hosts {
					for to, n := range h.peer.to {
						got[to] += float64(n) / seconds
					}
				}
				answered := 0.0
				for _, n := range got {
					answered = max(answered, n)
				}
				for _, h := range w.hosts {
					if h.Domain != "a" {
						continue
					}
					for s, n := range h.reads {
						reads[s] += float64(n) / seconds
					}
					for k, n := range h.peer.sent {
						most[k] = max(most[k], float64(n)/seconds)
						all[k] += float64(n) / seconds / 105
					}
				}
				for _, s := range []core.Space{core.SpaceSeat, core.SpaceWithdrawn} {
					b.ReportMetric(reads[s], string(s)+"-reads/s")
				}
				for _, k := range []core.MessageKind{core.KindAttest, core.KindSeatPromise, core.KindWithdrawPull} {
					b.ReportMetric(all[k], string(k)+"/host/s")
					b.ReportMetric(most[k], string(k)+"-most/s")
				}
				b.ReportMetric(answered, "attest-answered-most/s")
				b.ReportMetric(fresh, "%fresh")
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
		// The readers of the table record what they have read and applied.
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
