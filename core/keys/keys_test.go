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

// seat is a keys.Seat with fixed answers.
type seat struct {
	acting bool
	reader bool
	find   map[core.DomainID]core.HostID
}

func (s *seat) Acting() (uint64, bool) { return 1, s.acting }
func (s *seat) ShouldPoll() bool       { return s.reader }

func (s *seat) FindHolder(_ context.Context, d core.DomainID) (core.HostID, error) {
	if h, ok := s.find[d]; ok {
		return h, nil
	}
	return "", codes.New(codes.SeatLost, "test: no holder of domain %s", d)
}

// node is one host with its parts.
type node struct {
	*keys.Keys
	clock *timer.Manual
	ev    *seats.Evidence
	seat  *seat
	peer  *fakes.Peer
}

type cluster struct {
	table fakes.Table
	net   fakes.Network
	hosts map[core.HostID]*node
}

// newCluster starts one fresh, acting host per domain, named as its domain.
func newCluster(tb testing.TB, names ...core.HostID) *cluster {
	c := &cluster{hosts: map[core.HostID]*node{}}
	for _, n := range names {
		c.add(tb, n, names)
	}
	return c
}

func (c *cluster) add(tb testing.TB, name core.HostID, names []core.HostID) {
	n := &node{clock: timer.NewManual(), seat: &seat{acting: true, reader: true, find: map[core.DomainID]core.HostID{}}, peer: c.net.Peer(name)}
	var domains []core.DomainID
	for _, o := range names {
		domains = append(domains, core.DomainID(o))
		n.seat.find[core.DomainID(o)] = o
	}
	list := func() []core.DomainID { return domains }
	n.ev = seats.NewEvidence(seats.EvidenceConfig{
		Timer: n.clock, FreshnessBound: bound, Domains: list,
		HasApplied:   func(_, withdrawn uint64) bool { return n.ContainsSet(withdrawn) },
		AppliedState: func() (uint64, uint64) { return 1, n.Digest() },
	})
	k, err := keys.New(keys.Config{
		Host: core.Host{Name: name, Domain: core.DomainID(name)}, Table: &c.table, Peers: n.peer, Timer: n.clock, Seat: n.seat,
		Evidence: n.ev, Domains: list, MaxConcurrentCalls: 1,
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
	n.fresh()
	c.hosts[name] = n
}

func (n *node) fresh() {
	n.ev.RecordStoreRead(core.SpaceConfig, n.clock.Now())
	n.ev.RecordStoreRead(core.SpaceWithdrawn, n.clock.Now())
}

func key(id core.KeyID) core.Key {
	return core.Key{Name: id, Workspace: "loft-a", Hash: sha256.Sum256([]byte("secret-" + string(id)))}
}

func withdrawals(from, to int) []core.Withdrawal {
	var out []core.Withdrawal
	for i := from; i < to; i++ {
		out = append(out, core.Withdrawal{Key: core.KeyID(fmt.Sprintf("k%05d", i))})
	}
	return out
}

// Guards the code of each kind of check, in both states of freshness, and
// that a running stream of the key ends with the same code.
func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		bearer string
		change func(n *node)
		fresh  codes.Code
		stale  codes.Code
	}{
		{"no key", "", nil, codes.KeyMissing, codes.KeyMissing},
		{"valid key", "secret-k1", nil, codes.OK, codes.KeyUnproven},
		{"unknown key", "secret-k9", nil, codes.KeyUnknown, codes.KeyUnproven},
		{"oversized key", strings.Repeat("x", 1<<20), nil, codes.KeyUnknown, codes.KeyUnproven},
		{"other keys stay", "secret-k1", func(n *node) { n.SetKeys([]core.Key{key("k1"), key("k3")}) }, codes.OK, codes.KeyUnproven},
		{"key left the sheet", "secret-k1", func(n *node) { n.SetKeys([]core.Key{key("k2")}) }, codes.KeyUnknown, codes.KeyUnproven},
		{"withdrawn key", "secret-k1", func(n *node) {
			_, _ = n.Withdraw(context.Background(), core.Withdrawal{Key: "k1"})
		}, codes.KeyWithdrawn, codes.KeyWithdrawn},
		{"withdrawn key comes back with a sheet", "secret-k1", func(n *node) {
			_, _ = n.Withdraw(context.Background(), core.Withdrawal{Key: "k1"})
			n.SetKeys(nil)
			n.SetKeys([]core.Key{key("k1"), key("k2")})
		}, codes.KeyWithdrawn, codes.KeyWithdrawn},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newCluster(t, "a").hosts["a"]
			n.SetKeys([]core.Key{key("k1"), key("k2")})
			stream := n.Watch("k1")
			require.NoError(t, stream.Err())
			require.Same(t, stream, n.Watch("k1"), "streams of a key share a watch")
			if c.change != nil {
				c.change(n)
			}
			_, ws, err := n.Check(c.bearer)
			require.Equal(t, c.fresh, codes.Of(err))
			require.Equal(t, err == nil, ws == "loft-a")
			if c.bearer == "secret-k1" {
				require.Equal(t, c.fresh, codes.Of(stream.Err()))
				require.Equal(t, c.fresh, codes.Of(n.Watch("k1").Err()))
			}
			n.clock.Advance(bound)
			_, _, err = n.Check(c.bearer)
			require.Equal(t, c.stale, codes.Of(err))
			require.Error(t, stream.Err(), "freshness is over")
			n.EndStaleWatches()
			require.NotNil(t, <-closed(stream))
			n.fresh()
			_, _, err = n.Check("secret-k1")
			require.Equal(t, err, n.Watch("k1").Err(), "a new stream after freshness returned")
		})
	}
}

// closed fails by blocking for ever unless the watch is done.
func closed(w *keys.Watch) chan error {
	<-w.Done()
	c := make(chan error, 1)
	c <- w.Err()
	return c
}

// Guards what the report of a withdrawal says under each fault, and that a
// second call completes it once the fault has ended.
func TestWithdraw(t *testing.T) {
	cases := []struct {
		name     string
		fault    func(c *cluster)
		end      func(c *cluster)
		durable  bool
		inForce  []core.DomainID
		accepted bool
	}{
		{name: "no fault", durable: true, inForce: []core.DomainID{"a", "b", "c"}, accepted: true},
		{
			name: "store down", fault: func(c *cluster) { c.table.SetFault(fakes.FaultUnavailable) },
			end: func(c *cluster) { c.table.SetFault(fakes.FaultNone) }, inForce: []core.DomainID{"a", "b", "c"},
		},
		{
			name: "store throttled", fault: func(c *cluster) { c.table.SetFault(fakes.FaultThrottled) },
			end: func(c *cluster) { c.table.SetFault(fakes.FaultNone) }, inForce: []core.DomainID{"a", "b", "c"},
		},
		{
			name: "answers lost", fault: func(c *cluster) { c.table.SetFault(fakes.FaultLostResponse) }, durable: true,
			inForce: []core.DomainID{"a", "b", "c"}, accepted: true,
		},
		{
			name: "commits lost", fault: func(c *cluster) { c.table.SetFault(fakes.FaultLostRequest) },
			end: func(c *cluster) { c.table.SetFault(fakes.FaultNone) }, inForce: []core.DomainID{"a", "b", "c"},
		},
		{
			name: "one domain cut off", fault: func(c *cluster) { c.net.SetCut("a", "b", true) }, durable: true,
			inForce: []core.DomainID{"a", "c"}, accepted: true,
		},
		{
			name: "two domains cut off", fault: func(c *cluster) { c.net.SetCut("a", "b", true); c.net.SetCut("a", "c", true) },
			end: func(c *cluster) { c.net.SetCut("a", "c", false) }, durable: true, inForce: []core.DomainID{"a"},
		},
		{
			name: "holders do not act", fault: func(c *cluster) { c.hosts["a"].seat.acting, c.hosts["b"].seat.acting = false, false },
			end: func(c *cluster) { c.hosts["a"].seat.acting = true }, durable: true, inForce: []core.DomainID{"c"},
		},
		{
			name: "rows changed", fault: func(c *cluster) { c.seat(2, "a", "b", "c") },
			end: func(c *cluster) { c.seat(1, "a", "b", "c") }, durable: true, inForce: []core.DomainID{"a", "b", "c"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newCluster(t, "a", "b", "c")
			w.seat(1, "a", "b", "c")
			for _, n := range w.hosts {
				n.SetKeys([]core.Key{key("k1")})
			}
			if c.fault != nil {
				c.fault(w)
			}
			a := w.hosts["a"]
			report, err := a.Withdraw(context.Background(), core.Withdrawal{Key: "k1"})
			require.Equal(t, c.durable, report.Durable, "%v", err)
			require.Equal(t, c.inForce, report.InForce)
			require.Len(t, report.Pending, 3-len(c.inForce))
			require.Equal(t, c.accepted, report.Accepted, "%v", err)
			if !c.accepted {
				require.True(t, codes.Is(err, codes.WithdrawPending), "%v", err)
				c.end(w)
				report, err = a.Withdraw(context.Background(), core.Withdrawal{Key: "k1", Workspace: "loft-a"})
			}
			require.NoError(t, err)
			require.True(t, report.Accepted && report.Durable && report.Known)
			rows, err := w.table.List(context.Background(), core.SpaceWithdrawn, "", 0)
			require.NoError(t, err)
			require.Len(t, rows, 1)
		})
	}
}

// seat writes the seat rows of domains held by the hosts of the same name,
// in the encoding of package seats.
func (c *cluster) seat(epoch uint64, names ...core.HostID) {
	ctx := context.Background()
	for _, n := range names {
		old, _ := c.table.Get(ctx, core.SpaceSeat, string(n))
		// The parts are holder, incarnation, run, epoch, candidates and clean.
		value := append([]byte{0x86, 0x61}, n[0], 0x01, 0x61, 'r', byte(epoch), 0x81, 0x61, n[0], 0xf4)
		_ = c.table.Commit(ctx, []core.Write{{Kind: core.WritePut, Space: core.SpaceSeat, Key: string(n), ExpectVersion: old.Version, Token: "t", Value: value}})
	}
}

// Guards against requests and messages that must be refused with a code and
// change nothing.
func TestRefusals(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a", "b")
	a := c.hosts["a"]
	a.SetKeys([]core.Key{key("k1")})
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
	require.True(t, codes.Is(err, codes.WithdrawPending), "a key that this host does not know yet is withdrawn")
	require.True(t, a.IsWithdrawn("k7"))
	all, _ := a.CountWithdrawals()
	require.Equal(t, 1, all)
}

// Guards against a read of the log with a missing or malformed row passing
// as evidence: the missing row may be a withdrawal.
func TestPollNeedsWholeLog(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a", "b")
	_, _ = c.hosts["a"].Withdraw(ctx, core.Withdrawal{Key: "k1"})
	row, err := c.table.Get(ctx, core.SpaceWithdrawn, fmt.Sprintf("%020d", 1))
	require.NoError(t, err)
	put := func(name string, value []byte) {
		require.NoError(t, c.table.Commit(ctx, []core.Write{{Kind: core.WritePut, Space: core.SpaceWithdrawn, Key: name, Token: "t", Value: value}}))
	}
	put(fmt.Sprintf("%020d", 3), row.Value)
	b := c.hosts["b"]
	b.clock.Advance(time.Second)
	require.Error(t, b.Poll(ctx))
	require.True(t, b.IsWithdrawn("k1"), "rows before the gap count")
	at, _ := b.ev.StoreReadAt()
	require.Zero(t, at)
	put(fmt.Sprintf("%020d", 2), []byte("no row"))
	require.Error(t, b.Poll(ctx))
	at, _ = b.ev.StoreReadAt()
	require.Zero(t, at)
}

// Guards pulls longer than one answer, the digest that proves them complete,
// and that catching up is not forwarded as news.
func TestPull(t *testing.T) {
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
	fresh := c.hosts["c"]
	require.False(t, fresh.ContainsSet(a.Digest()))
	require.NoError(t, fresh.Pull(ctx, "a"))
	require.True(t, fresh.ContainsSet(a.Digest()))
	all, loose := fresh.CountWithdrawals()
	require.Equal(t, 2500, all)
	require.Zero(t, loose, "the log says that all are stored")
	sent := fresh.peer.CallCount()
	require.NoError(t, fresh.Tick(ctx))
	require.Equal(t, sent, fresh.peer.CallCount(), "catching up is no news")

	var beat core.Heartbeat
	a.FillHeartbeat(&beat)
	beat.WithdrawalDigest = a.Digest()
	fresh.ObserveHeartbeat("a", beat)
	require.NoError(t, fresh.Tick(ctx))
	require.Equal(t, sent, fresh.peer.CallCount(), "equal hosts do not pull")
	_, err = b.peer.Call(ctx, "a", core.WithdrawPush{Withdrawals: withdrawals(9000, 9001)})
	require.NoError(t, err)
	beat.WithdrawalDigest = a.Digest()
	fresh.ObserveHeartbeat("a", beat)
	require.NoError(t, fresh.Tick(ctx))
	require.True(t, fresh.IsWithdrawn("k09000"))
}

// Guards the store against a flood when it comes back: a host that does not
// read the table writes only when the readers have not, and pauses grow.
func TestWritePauses(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a", "b")
	a, b := c.hosts["a"], c.hosts["b"]
	b.seat.reader = false
	c.table.SetFault(fakes.FaultUnavailable)
	_, err := a.peer.Call(ctx, "b", core.WithdrawPush{Withdrawals: withdrawals(0, 1)})
	require.NoError(t, err)
	tries := func(n *node, ticks int) int {
		before, _ := c.table.Counts()
		for range ticks {
			n.clock.Advance(time.Second)
			_ = n.Tick(ctx)
		}
		after, _ := c.table.Counts()
		return after - before
	}
	require.Zero(t, tries(b, 12), "the readers come first")
	require.LessOrEqual(t, tries(b, 600), 14)
	_, err = a.peer.Call(ctx, "a", core.WithdrawPush{Withdrawals: withdrawals(0, 1)})
	require.NoError(t, err)
	n := tries(a, 600) - 600 // without the polls
	require.LessOrEqual(t, n, 80, "a reader, too, pauses between its tries")
	require.GreaterOrEqual(t, n, 60, "a reader must write soon after the store is back")
	c.table.SetFault(fakes.FaultNone)
	require.NotZero(t, tries(b, 90), "it keeps trying")
	_, loose := b.CountWithdrawals()
	require.Zero(t, loose)
}

func BenchmarkCheck(b *testing.B) {
	for _, size := range []int{8, 10000} {
		b.Run(fmt.Sprintf("keys=%d", size), func(b *testing.B) {
			n := newCluster(b, "a").hosts["a"]
			var list []core.Key
			for i := range size {
				list = append(list, key(core.KeyID(fmt.Sprintf("k%d", i))))
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
		list = append(list, key(core.KeyID(fmt.Sprintf("k%d", i))))
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

// BenchmarkSet measures the memory of 100,000 withdrawals.
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
	c.seat(1, "a", "b", "c")
	host := c.hosts["b"]
	host.SetKeys([]core.Key{key("k1")})
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
