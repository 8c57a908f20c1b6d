package keys_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/keys"
	"azurering/core/seats"
	"azurering/core/timer"
)

const bound = 4 * time.Second

// fakeSeat is a keys.Seat with fixed answers.
type fakeSeat struct {
	acting bool
	reader bool
	find   map[core.DomainID]core.HostID
}

func (s *fakeSeat) Acting() (uint64, bool) { return 1, s.acting }
func (s *fakeSeat) ShouldPoll() bool       { return s.reader }

func (s *fakeSeat) FindHolder(_ context.Context, d core.DomainID) (core.HostID, error) {
	if h, ok := s.find[d]; ok {
		return h, nil
	}
	return "", codes.New(codes.SeatLost, "test: no holder of domain %s", d)
}

// node is one host with its parts.
type node struct {
	*keys.Keys
	clock    *timer.Manual
	evidence *seats.Evidence
	seat     *fakeSeat
	peer     *fakes.Peer
}

type cluster struct {
	table fakes.Table
	net   fakes.Network
	hosts map[core.HostID]*node
}

// newCluster starts one fresh host with an acting seat per domain. Each domain
// has the name of its host.
func newCluster(tb testing.TB, names ...core.HostID) *cluster {
	c := &cluster{hosts: map[core.HostID]*node{}}
	for _, n := range names {
		c.addHost(tb, n, names)
	}
	return c
}

func (c *cluster) addHost(tb testing.TB, name core.HostID, names []core.HostID) {
	n := &node{clock: timer.NewManual(), seat: &fakeSeat{acting: true, reader: true, find: map[core.DomainID]core.HostID{}}, peer: c.net.Peer(name)}
	var domains []core.DomainID
	for _, o := range names {
		domains = append(domains, core.DomainID(o))
		n.seat.find[core.DomainID(o)] = o
	}
	list := func() []core.DomainID { return domains }
	n.evidence = seats.NewEvidence(seats.EvidenceConfig{
		Timer: n.clock, FreshnessBound: bound, Domains: list,
		HasApplied:   func(_, withdrawn uint64) bool { return n.ContainsSet(withdrawn) },
		AppliedState: func() (uint64, uint64) { return 1, n.Digest() },
	})
	k, err := keys.New(keys.Config{
		Host: core.Host{Name: name, Domain: core.DomainID(name)}, Table: &c.table, Peers: n.peer, Timer: n.clock, Seat: n.seat,
		Evidence: n.evidence, Domains: list, MaxConcurrentCalls: 1,
		Neighbours: func() []core.HostID {
			var out []core.HostID
			for _, o := range names {
				if o != name {
					out = append(out, o)
				}
			}
			return out
		},
	})
	require.NoError(tb, err)
	n.Keys = k
	n.refreshEvidence()
	c.hosts[name] = n
}

func (n *node) refreshEvidence() {
	n.evidence.RecordStoreRead(core.SpaceConfig, n.clock.Now())
	n.evidence.RecordStoreRead(core.SpaceWithdrawn, n.clock.Now())
}

func testKey(id core.KeyID) core.Key {
	return core.Key{Name: id, Workspace: "loft-a", Hash: sha256.Sum256([]byte("secret-" + string(id)))}
}

func withdrawals(from, to int) []core.Withdrawal {
	var out []core.Withdrawal
	for i := from; i < to; i++ {
		out = append(out, core.Withdrawal{Key: core.KeyID(fmt.Sprintf("k%05d", i))})
	}
	return out
}

// TestCheckCodes guards against a wrong code for any kind of key, on fresh and
// on stale hosts, and against a running stream that ends with another code
// than a new check.
func TestCheckCodes(t *testing.T) {
	cases := []struct {
		name      string
		bearer    string
		change    func(n *node)
		freshCode codes.Code
		staleCode codes.Code
	}{
		{"no key", "", nil, codes.KeyMissing, codes.KeyMissing},
		{"valid key", "secret-k1", nil, codes.OK, codes.KeyUnproven},
		{"unknown key", "secret-k9", nil, codes.KeyUnknown, codes.KeyUnproven},
		{"oversized key", strings.Repeat("x", 1<<20), nil, codes.KeyUnknown, codes.KeyUnproven},
		{"key that stays in the sheet", "secret-k1", func(n *node) { n.SetKeys([]core.Key{testKey("k1"), testKey("k3")}) }, codes.OK, codes.KeyUnproven},
		{"key that left the sheet", "secret-k1", func(n *node) { n.SetKeys([]core.Key{testKey("k2")}) }, codes.KeyUnknown, codes.KeyUnproven},
		{"withdrawn key", "secret-k1", func(n *node) {
			_, _ = n.Withdraw(context.Background(), core.Withdrawal{Key: "k1"})
		}, codes.KeyWithdrawn, codes.KeyWithdrawn},
		{"withdrawn key that a later sheet lists again", "secret-k1", func(n *node) {
			_, _ = n.Withdraw(context.Background(), core.Withdrawal{Key: "k1"})
			n.SetKeys(nil)
			n.SetKeys([]core.Key{testKey("k1"), testKey("k2")})
		}, codes.KeyWithdrawn, codes.KeyWithdrawn},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			n := newCluster(t, "a").hosts["a"]
			n.SetKeys([]core.Key{testKey("k1"), testKey("k2")})
			stream := n.Watch("k1")
			require.NoError(t, stream.Err())
			require.Same(t, stream, n.Watch("k1"), "streams of a key must share a watch")
			if tc.change != nil {
				tc.change(n)
			}
			_, ws, err := n.Check(tc.bearer)
			require.Equal(t, tc.freshCode, codes.Of(err))
			require.Equal(t, err == nil, ws == "loft-a")
			if tc.bearer == "secret-k1" {
				require.Equal(t, tc.freshCode, codes.Of(stream.Err()))
				require.Equal(t, tc.freshCode, codes.Of(n.Watch("k1").Err()))
			}
			n.clock.Advance(bound)
			_, _, err = n.Check(tc.bearer)
			require.Equal(t, tc.staleCode, codes.Of(err))
			require.Error(t, stream.Err(), "the host is no longer fresh")
			n.EndStaleWatches()
			require.NotNil(t, <-doneErr(stream))
			n.refreshEvidence()
			_, _, err = n.Check("secret-k1")
			require.Equal(t, err, n.Watch("k1").Err(), "a new stream after the host is fresh again")
		})
	}
}

// doneErr waits until the watch is done and returns a channel with its error.
// It blocks for ever if the watch does not end.
func doneErr(w *keys.Watch) chan error {
	<-w.Done()
	c := make(chan error, 1)
	c <- w.Err()
	return c
}

// TestWithdrawReportsProgress guards against a report that claims more than
// was reached under a fault, and against a second call that does not complete
// the withdrawal once the fault has ended.
func TestWithdrawReportsProgress(t *testing.T) {
	cases := []struct {
		name     string
		fault    func(c *cluster)
		repair   func(c *cluster)
		durable  bool
		inForce  []core.DomainID
		accepted bool
	}{
		{name: "no fault", durable: true, inForce: []core.DomainID{"a", "b", "c"}, accepted: true},
		{
			name: "store down", fault: func(c *cluster) { c.table.SetFault(fakes.FaultUnavailable) },
			repair: func(c *cluster) { c.table.SetFault(fakes.FaultNone) }, inForce: []core.DomainID{"a", "b", "c"},
		},
		{
			name: "store throttled", fault: func(c *cluster) { c.table.SetFault(fakes.FaultThrottled) },
			repair: func(c *cluster) { c.table.SetFault(fakes.FaultNone) }, inForce: []core.DomainID{"a", "b", "c"},
		},
		{
			name: "answers lost", fault: func(c *cluster) { c.table.SetFault(fakes.FaultLostResponse) }, durable: true,
			inForce: []core.DomainID{"a", "b", "c"}, accepted: true,
		},
		{
			name: "commits lost", fault: func(c *cluster) { c.table.SetFault(fakes.FaultLostRequest) },
			repair: func(c *cluster) { c.table.SetFault(fakes.FaultNone) }, inForce: []core.DomainID{"a", "b", "c"},
		},
		{
			name: "one domain cut off", fault: func(c *cluster) { c.net.SetCut("a", "b", true) }, durable: true,
			inForce: []core.DomainID{"a", "c"}, accepted: true,
		},
		{
			name: "two domains cut off", fault: func(c *cluster) { c.net.SetCut("a", "b", true); c.net.SetCut("a", "c", true) },
			repair: func(c *cluster) { c.net.SetCut("a", "c", false) }, durable: true, inForce: []core.DomainID{"a"},
		},
		{
			name: "holders do not act", fault: func(c *cluster) { c.hosts["a"].seat.acting, c.hosts["b"].seat.acting = false, false },
			repair: func(c *cluster) { c.hosts["a"].seat.acting = true }, durable: true, inForce: []core.DomainID{"c"},
		},
		{
			name: "seats taken over", fault: func(c *cluster) { c.writeSeats(2, "a", "b", "c") },
			repair: func(c *cluster) { c.writeSeats(1, "a", "b", "c") }, durable: true, inForce: []core.DomainID{"a", "b", "c"},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cl := newCluster(t, "a", "b", "c")
			cl.writeSeats(1, "a", "b", "c")
			for _, n := range cl.hosts {
				n.SetKeys([]core.Key{testKey("k1")})
			}
			if tc.fault != nil {
				tc.fault(cl)
			}
			a := cl.hosts["a"]
			report, err := a.Withdraw(context.Background(), core.Withdrawal{Key: "k1"})
			require.Equal(t, tc.durable, report.Durable, "%v", err)
			require.Equal(t, tc.inForce, report.InForce)
			require.Len(t, report.Pending, 3-len(tc.inForce))
			require.Equal(t, tc.accepted, report.Accepted, "%v", err)
			if !tc.accepted {
				require.True(t, codes.Is(err, codes.WithdrawPending), "%v", err)
				tc.repair(cl)
				report, err = a.Withdraw(context.Background(), core.Withdrawal{Key: "k1", Workspace: "loft-a"})
			}
			require.NoError(t, err)
			require.True(t, report.Accepted && report.Durable && report.Known)
			rows, err := cl.table.List(context.Background(), core.SpaceWithdrawn, "", 0)
			require.NoError(t, err)
			require.Len(t, rows, 1)
		})
	}
}

// writeSeats writes seat rows of the named domains, each held by the host of
// the same name, in the encoding of package seats.
func (c *cluster) writeSeats(epoch uint64, names ...core.HostID) {
	ctx := context.Background()
	for _, n := range names {
		old, _ := c.table.Get(ctx, core.SpaceSeat, string(n))
		// The array holds holder, incarnation, run, epoch, candidates and clean.
		value := append([]byte{0x86, 0x61}, n[0], 0x01, 0x61, 'r', byte(epoch), 0x81, 0x61, n[0], 0xf4)
		_ = c.table.Commit(ctx, []core.Write{{Kind: core.WritePut, Space: core.SpaceSeat, Key: string(n), ExpectVersion: old.Version, Token: "t", Value: value}})
	}
}

// TestInvalidInputIsRefused guards against invalid requests, settings and
// messages that are accepted or that change the set.
func TestInvalidInputIsRefused(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a", "b")
	a := c.hosts["a"]
	a.SetKeys([]core.Key{testKey("k1")})
	for _, w := range []core.Withdrawal{{}, {Key: "k1", Workspace: "other"}} {
		_, err := a.Withdraw(ctx, w)
		require.True(t, codes.Is(err, codes.RequestBad), "%v", err)
	}
	_, err := keys.New(keys.Config{})
	require.True(t, codes.Is(err, codes.SettingsInvalid))
	for _, bad := range []core.Message{core.AttestRequest{}, core.WithdrawPush{LogRows: 1}, core.WithdrawPush{More: true}} {
		c.net.Peer("b").Handle(core.KindWithdrawPull, func(context.Context, core.HostID, core.Message) (core.Message, error) { return bad, nil })
		require.True(t, codes.Is(a.Pull(ctx, "b"), codes.PeerFrame))
	}
	_, err = a.Withdraw(ctx, core.Withdrawal{Key: "k7"})
	require.True(t, codes.Is(err, codes.WithdrawPending), "an unknown key must be withdrawn too")
	require.True(t, a.IsWithdrawn("k7"))
	known, _ := a.CountWithdrawals()
	require.Equal(t, 1, known)
}

// TestPollNeedsWholeLog guards against a read of the log with a missing or
// malformed row that counts as evidence: the missing row may be a withdrawal.
func TestPollNeedsWholeLog(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a", "b")
	_, _ = c.hosts["a"].Withdraw(ctx, core.Withdrawal{Key: "k1"})
	row, err := c.table.Get(ctx, core.SpaceWithdrawn, fmt.Sprintf("%020d", 1))
	require.NoError(t, err)
	putRow := func(name string, value []byte) {
		require.NoError(t, c.table.Commit(ctx, []core.Write{{Kind: core.WritePut, Space: core.SpaceWithdrawn, Key: name, Token: "t", Value: value}}))
	}
	putRow(fmt.Sprintf("%020d", 3), row.Value)
	b := c.hosts["b"]
	b.clock.Advance(time.Second)
	require.Error(t, b.Poll(ctx))
	require.True(t, b.IsWithdrawn("k1"), "rows before the gap must be used")
	at, _ := b.evidence.StoreReadAt()
	require.Zero(t, at)
	putRow(fmt.Sprintf("%020d", 2), []byte("no row"))
	require.Error(t, b.Poll(ctx))
	at, _ = b.evidence.StoreReadAt()
	require.Zero(t, at)
}

// TestPullIsCompleteAndNotForwarded guards against pulls that stop after one
// answer or do not record the digest that proves them complete, and against
// forwarding what a host catches up on.
func TestPullIsCompleteAndNotForwarded(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a", "b", "c")
	a, b := c.hosts["a"], c.hosts["b"]
	for i := 0; i < 2500; i += 100 {
		_, err := b.peer.Call(ctx, "a", core.WithdrawPush{Withdrawals: withdrawals(i, i+100)})
		require.NoError(t, err)
		c.net.SetDown("c", true)
		require.NoError(t, a.Tick(ctx))
	}
	_, err := c.hosts["c"].peer.Call(ctx, "c", core.WithdrawPull{})
	require.Error(t, err, "c is down")
	c.net.SetDown("c", false)
	lagging := c.hosts["c"]
	require.False(t, lagging.ContainsSet(a.Digest()))
	require.NoError(t, lagging.Pull(ctx, "a"))
	require.True(t, lagging.ContainsSet(a.Digest()))
	known, unstored := lagging.CountWithdrawals()
	require.Equal(t, 2500, known)
	require.Zero(t, unstored, "pulled log rows must count as stored")
	sent := lagging.peer.CallCount()
	require.NoError(t, lagging.Tick(ctx))
	require.Equal(t, sent, lagging.peer.CallCount(), "pulled withdrawals must not be forwarded")

	var beat core.Heartbeat
	a.FillHeartbeat(&beat)
	beat.WithdrawalDigest = a.Digest()
	lagging.ObserveHeartbeat("a", beat)
	require.NoError(t, lagging.Tick(ctx))
	require.Equal(t, sent, lagging.peer.CallCount(), "hosts with equal sets must not pull")
	_, err = b.peer.Call(ctx, "a", core.WithdrawPush{Withdrawals: withdrawals(9000, 9001)})
	require.NoError(t, err)
	beat.WithdrawalDigest = a.Digest()
	lagging.ObserveHeartbeat("a", beat)
	require.NoError(t, lagging.Tick(ctx))
	require.True(t, lagging.IsWithdrawn("k09000"))
}

// TestWriteRetriesBackOff guards against a flood of writes when the table
// comes back: a host that does not poll the table writes only if those that do
// have not, and the pauses between tries grow.
func TestWriteRetriesBackOff(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a", "b")
	a, b := c.hosts["a"], c.hosts["b"]
	b.seat.reader = false
	c.table.SetFault(fakes.FaultUnavailable)
	_, err := a.peer.Call(ctx, "b", core.WithdrawPush{Withdrawals: withdrawals(0, 1)})
	require.NoError(t, err)
	countReads := func(n *node, ticks int) int {
		before, _ := c.table.Counts()
		for range ticks {
			n.clock.Advance(time.Second)
			_ = n.Tick(ctx)
		}
		after, _ := c.table.Counts()
		return after - before
	}
	require.Zero(t, countReads(b, 12), "hosts that poll the table must come first")
	require.LessOrEqual(t, countReads(b, 600), 14)
	_, err = a.peer.Call(ctx, "a", core.WithdrawPush{Withdrawals: withdrawals(0, 1)})
	require.NoError(t, err)
	n := countReads(a, 600) - 600 // without the polls
	require.LessOrEqual(t, n, 80, "a host that polls the table must pause between its tries too")
	require.GreaterOrEqual(t, n, 60, "a host that polls the table must write soon after the table is back")
	c.table.SetFault(fakes.FaultNone)
	require.NotZero(t, countReads(b, 90), "the other host must keep trying")
	_, unstored := b.CountWithdrawals()
	require.Zero(t, unstored)
}

func BenchmarkCheck(b *testing.B) {
	for _, size := range []int{8, 10000} {
		b.Run(fmt.Sprintf("keys=%d", size), func(b *testing.B) {
			n := newCluster(b, "a").hosts["a"]
			var list []core.Key
			for i := range size {
				list = append(list, testKey(core.KeyID(fmt.Sprintf("k%d", i))))
			}
			n.SetKeys(list)
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := n.Check("secret-k5"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSetKeys(b *testing.B) {
	var list []core.Key
	for i := range 10001 {
		list = append(list, testKey(core.KeyID(fmt.Sprintf("k%d", i))))
	}
	for name, step := range map[string]int{"same": 0, "changed": 1} {
		b.Run(name, func(b *testing.B) {
			n := newCluster(b, "a").hosts["a"]
			i := 0
			for b.Loop() {
				n.SetKeys(list[i%2 : i%2+10000])
				i += step
			}
		})
	}
}

// BenchmarkSet measures the memory per withdrawal of a set of 100,000.
func BenchmarkSet(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		n := newCluster(b, "a").hosts["a"]
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range 100 {
			_, _ = n.peer.Call(context.Background(), "a", core.WithdrawPush{Withdrawals: withdrawals(1000*i, 1000*i+1000)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/100000, "B/withdrawal")
		runtime.KeepAlive(n)
	}
}

func ExampleKeys() {
	ctx := context.Background()
	c := newCluster(&testing.T{}, "a", "b", "c")
	c.writeSeats(1, "a", "b", "c")
	host := c.hosts["b"]
	host.SetKeys([]core.Key{testKey("k1")})
	id, workspace, err := host.Check("secret-k1")
	fmt.Println(id, workspace, err)
	stream := host.Watch("k1")

	report, err := c.hosts["a"].Withdraw(ctx, core.Withdrawal{Key: "k1"})
	fmt.Println(report.Accepted, report.InForce, err)
	_, _, err = host.Check("secret-k1")
	fmt.Println(err)
	fmt.Println(stream.Err())
	// Output:
	// k1 loft-a <nil>
	// true [a b c] <nil>
	// keys: key was withdrawn (code 2003)
	// keys: key was withdrawn (code 2003)
}
