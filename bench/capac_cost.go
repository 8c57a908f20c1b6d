package bench

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"azurering/core"
	"azurering/core/fakes"
	"azurering/core/keys"
	"azurering/core/member"
	"azurering/core/order"
	"azurering/core/seats"
	"azurering/core/share"
	"azurering/core/sheet"
	"azurering/core/steer"
	"azurering/core/timer"
	"azurering/io/wire"
)

// CostResult is the processor time of one operation at one size.
type CostResult struct {
	Operation string
	Size      int
	Unit      string // what Size counts
	Wall      time.Duration
	CPU       time.Duration // of the whole process, garbage collection included
}

// processTime returns the processor time that the process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost runs an operation by testing.Benchmark.
func cost(operation string, size int, unit string, run func()) CostResult {
	var used time.Duration
	n := 1
	result := testing.Benchmark(func(b *testing.B) {
		before := processTime()
		for range b.N {
			run()
		}
		used, n = processTime()-before, b.N
	})
	return CostResult{Operation: operation, Size: size, Unit: unit, Wall: time.Duration(result.NsPerOp()), CPU: used / time.Duration(n)}
}

// CostTable renders results as Markdown.
func CostTable(results []CostResult) string {
	var b strings.Builder
	b.WriteString("| operation | size | wall | processor |\n|--|--:|--:|--:|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %d %s | %.2f µs | %.2f µs |\n", r.Operation, r.Size, r.Unit, micros(r.Wall), micros(r.CPU))
	}
	return b.String()
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// CostSizes are the sizes of Costs.
type CostSizes struct {
	Keys, Hosts, Resources, Callers, Blocks []int
	// Servers is the number of backend servers in the sheets.
	Servers int
}

// Costs measures the processor time of the control operations and of
// look-ups.
func Costs(sizes CostSizes) ([]CostResult, error) {
	var out []CostResult
	for _, n := range sizes.Keys {
		out = append(out, changeCosts(n, sizes.Servers)...)
	}
	for _, n := range sizes.Blocks {
		out = append(out, steerCosts(n, sizes.Servers)...)
	}
	for _, n := range sizes.Hosts {
		out = append(out, beatCosts(n)...)
	}
	for _, domains := range []int{6, 20, 54} {
		r, err := seatCost(domains)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	for _, n := range sizes.Resources {
		out = append(out, askCost(n, 106))
	}
	for _, n := range sizes.Callers {
		out = append(out, claimCost(n))
	}
	return out, nil
}

// changeCosts measures a grant of a key and what follows from each change.
func changeCosts(n, servers int) []CostResult {
	s := capacSheet(54, 100, servers, n, 0)
	k := capacKeys(&fakes.Table{}, timer.NewManual())
	k.SetKeys(s.Keys)
	grant := core.Change{Kind: core.ChangeGrant, Key: capacKey(n+1, s.Workspaces[0].Name)}
	rate := core.Change{Kind: core.ChangeRate, Workspace: s.Workspaces[0]}
	fold := func(ch core.Change) func() {
		return func() {
			if _, err := sheet.Apply(s, ch); err != nil {
				panic(err)
			}
		}
	}
	return []CostResult{
		cost("fold a grant into the sheet", n, "keys", fold(grant)),
		cost("fold a rate into the sheet", n, "keys", fold(rate)),
		cost("keys.SetKeys after a change", n, "keys", func() { k.SetKeys(s.Keys) }),
		cost("share.LimitsOf after a change, 100 workspaces", servers, "servers", func() { share.LimitsOf(1, s) }),
	}
}

func capacKeys(table core.Table, t core.Timer) *keys.Keys {
	self := capacHostOf(0, 0)
	domains := func() []core.DomainID { return nil }
	ev := seats.NewEvidence(seats.EvidenceConfig{Timer: t, Domains: domains})
	k, err := keys.New(keys.Config{
		Host: self, Table: table, Peers: new(fakes.Network).Peer(self.Name), Timer: t, Seat: capacNoSeat{}, Evidence: ev,
		Domains: domains, Neighbours: func() []core.HostID { return nil },
	})
	if err != nil {
		panic(err) // the configuration above is complete
	}
	return k
}

// capacNoSeat is the seat of a host that never holds one.
type capacNoSeat struct{}

// Acting implements keys.Seat.
func (capacNoSeat) Acting() (uint64, bool) { return 0, false }

// FindHolder implements keys.Seat.
func (capacNoSeat) FindHolder(context.Context, core.DomainID) (core.HostID, error) { return "", nil }

// ShouldPoll implements keys.Seat.
func (capacNoSeat) ShouldPoll() bool { return true }

func steerCosts(blocks, servers int) []CostResult {
	s := capacSheet(54, 8, servers, 0, blocks)
	st := steer.New(steer.Config{Sheet: &s, Hosts: capacView(5724), Self: capacHostOf(0, 0)})
	buf := make([]core.Host, 0, 4)
	i, now := 0, time.Duration(0)
	look := cost("look-up", blocks, "blocks", func() {
		i += 7919
		if _, err := st.Lookup("parts", s.Blocks[i%blocks].Prefix.Addr().Next(), buf); err != nil {
			panic(err)
		}
	})
	drain := cost("steer.Apply of a drain", blocks, "blocks", func() {
		next := s
		i++
		next.Drains = []core.Drain{{Kind: core.DrainServer, Target: string(s.Servers[i%len(s.Servers)].Name), Mode: core.ModeDrain}}
		now += time.Second
		st.Apply(now, &next)
	})
	plan := cost("steer.Plan, once a second", blocks, "blocks", func() {
		now += time.Second
		st.Replan(now)
	})
	return []CostResult{look, drain, plan}
}

// capacView returns about n hosts in 54 domains.
func capacView(n int) []core.Host {
	var list []core.Host
	for i := range n {
		list = append(list, capacHostOf(i%54, i/54))
	}
	return list
}

func beatCosts(n int) []CostResult {
	list := capacView(n)
	g := member.New(member.Config{Self: list[0], Interval: capacBeat})
	g.Merge(0, "", list)
	now := time.Duration(0)
	// A minute of quiet rounds ends the passing on of the merged entries.
	peers := g.Neighbours(list[0])
	for range 120 {
		now += capacBeat
		g.Tick(now)
		for _, p := range peers {
			for range 4 {
				g.NewHeartbeat(now, p.Name)
				g.HandleHeartbeat(now, core.Heartbeat{Host: p})
			}
		}
	}
	raw, err := wire.EncodeFrame(1, g.NewHeartbeat(now, peers[0].Name))
	if err != nil {
		panic(err)
	}
	return []CostResult{
		cost("heartbeat sent: Beat and Encode", n, "hosts", func() { _, _ = wire.EncodeFrame(1, g.NewHeartbeat(now, peers[0].Name)) }),
		cost("heartbeat received: Decode and Receive", n, "hosts", func() {
			_, m, _ := wire.DecodeFrame(raw)
			b := m.(core.Heartbeat)
			b.Host = peers[0]
			g.HandleHeartbeat(now, b)
		}),
		cost("member.Tick", n, "hosts", func() {
			now += capacBeat
			for _, p := range peers {
				g.HandleHeartbeat(now, core.Heartbeat{Host: p})
			}
			g.Tick(now)
		}),
		cost("member.Hosts, once per heartbeat round", n, "hosts", func() { g.Hosts() }),
		cost("member.Live of the own domain, once per heartbeat", n, "hosts", func() { g.Live(list[0].Domain) }),
		cost("member.Neighbours, once per push", n, "hosts", func() { g.Neighbours(list[0]) }),
	}
}

func seatCost(domains int) (CostResult, error) {
	f, err := NewFleet(FleetConfig{Domains: domains, PerDomain: 3, Workspaces: 8, Seed: 7})
	if err != nil {
		return CostResult{}, err
	}
	f.Run(capacWarm)
	holder := f.hosts[0]
	for _, h := range f.hosts {
		if h.role() == "holder" {
			holder = h
			break
		}
	}
	return cost("seat tick of a holder", domains, "domains", func() {
		f.timer.Advance(capacSeat)
		holder.ev.RecordStoreRead(core.SpaceConfig, f.timer.Now())
		holder.ev.RecordStoreRead(core.SpaceWithdrawn, f.timer.Now())
		_ = holder.seat.Tick(context.Background())
	}), nil
}

// capacKeeper returns a keeper that acts and has created its rows, with its
// timer.
func capacKeeper(resources int) (*share.Lender, *timer.Manual, []core.LoanItem) {
	t := timer.NewManual()
	k := share.NewLender(share.LenderConfig{
		Domain: capacDomain(0), Table: &fakes.Table{}, Timer: t, MaxCommitsPerSecond: 1e6,
		ActingEpoch: func() (uint64, bool) { return 1, true },
		SeatCheck: func() (core.Write, bool) {
			return core.Write{Kind: core.WriteCheck, Space: core.SpaceSeat, Key: string(capacDomain(0))}, true
		},
		DomainOf: func(core.HostID) (core.DomainID, bool) { return capacDomain(0), true },
	})
	s := capacSheet(54, resources, 0, 0, 0)
	k.SetLimits(share.LimitsOf(1, s))
	var items []core.LoanItem
	for _, w := range s.Workspaces {
		items = append(items, core.LoanItem{Resource: core.RateResource(w.Name), Demand: core.Amount{Rate: 1000, Burst: 1000}})
	}
	for range resources/50 + 2 {
		t.Advance(time.Second)
		k.Step(context.Background())
	}
	for _, item := range items {
		if _, known := k.Usable(item.Resource); !known {
			panic("bench: keeper does not know the row of " + string(item.Resource))
		}
	}
	return k, t, items
}

func askCost(resources, hosts int) CostResult {
	k, t, items := capacKeeper(resources)
	seq := uint64(0)
	ask := func() {
		seq++
		if seq%uint64(hosts) == 0 {
			t.Advance(3 * time.Second)
		}
		m := core.LoanRequest{Host: capacHostOf(0, int(seq)%hosts).Name, Incarnation: 1, Seq: seq, Epoch: 1, Items: items}
		if _, err := k.Grant(m); err != nil {
			panic(err)
		}
	}
	for range hosts {
		ask()
	}
	return cost(fmt.Sprintf("loan ask answered, %d hosts", hosts), resources, "resources", ask)
}

// capacOrders returns orders over a fake table, and what ends them. They use
// the real timer: a manual one goes through all pending alarms at each call.
func capacOrders() (*order.Orders, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	o := order.New(order.Config{
		Table: &fakes.Table{}, Timer: timer.NewReal(), Host: "entry", Incarnation: 1, MaxPending: 1 << 20, Linger: -1,
		ShouldSweep: func() bool { return false },
	})
	var run sync.WaitGroup
	run.Go(func() { o.Run(ctx) })
	return o, func() {
		cancel()
		run.Wait()
	}
}

func claimCost(callers int) CostResult {
	o, stop := capacOrders()
	defer stop()
	send := func(context.Context) (order.Result, error) {
		return order.Result{Status: 201, Body: make([]byte, 200)}, nil
	}
	n := 0
	all := cost("order claimed and recorded", callers, "callers", func() {
		var work sync.WaitGroup
		for i := range callers {
			key := fmt.Sprintf("order-%09d-%03d", n, i)
			work.Go(func() {
				w := core.WorkspaceID(fmt.Sprintf("workspace-%02d", i%8))
				if _, err := o.Do(context.Background(), order.Request{Workspace: w, Key: key, Deadline: time.Hour}, send); err != nil {
					panic(err)
				}
			})
		}
		work.Wait()
		n++
	})
	all.Wall /= time.Duration(callers)
	all.CPU /= time.Duration(callers)
	return all
}

// MemoryResult is the memory of some items.
type MemoryResult struct {
	Item  string
	Count int
	Bytes uint64 // of all items together
}

// memory returns the growth of the live heap by what build returns.
func memory(item string, count int, build func() any) MemoryResult {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return MemoryResult{Item: item, Count: count, Bytes: max(after, before) - before}
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// MemoryTable renders results as Markdown.
func MemoryTable(results []MemoryResult) string {
	var b strings.Builder
	b.WriteString("| item | count | bytes | bytes each |\n|--|--:|--:|--:|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %d | %d | %.0f |\n", r.Item, r.Count, r.Bytes, float64(r.Bytes)/float64(r.Count))
	}
	return b.String()
}

// MemorySizes are the sizes of Memory.
type MemorySizes struct{ Blocks, Sites, Hosts, Shares, Keys, Withdrawals, Orders []int }

// Memory measures the bytes that items of each kind keep on one host.
func Memory(sizes MemorySizes) ([]MemoryResult, error) {
	var out []MemoryResult
	for _, n := range sizes.Blocks {
		out = append(out, blockMemory(n)...)
	}
	for _, n := range sizes.Sites {
		out = append(out, memory("backend server: sheet, steering, limits", n, func() any {
			s := decoded(capacSheet(54, 8, n, 0, 0))
			st := steer.New(steer.Config{Sheet: &s, Self: capacHostOf(0, 0)})
			return []any{s, st, share.LimitsOf(1, s)}
		}))
	}
	for _, n := range sizes.Hosts {
		out = append(out, memory("host known to membership, with a directory", n, func() any {
			g := member.New(member.Config{Self: capacHostOf(0, 0)})
			g.Merge(0, "", capacView(n))
			directory := make(map[core.HostID]core.Host, n)
			for _, h := range g.Hosts() {
				directory[h.Name] = h
			}
			return []any{g, directory}
		}))
	}
	for _, n := range sizes.Shares {
		out = append(out, memory("workspace share of a keeper, 54 domains, 106 hosts", n, func() any { return busyKeeper(n) }))
	}
	for _, n := range sizes.Keys {
		out = append(out, memory("key: sheet and index", n, func() any {
			s := decoded(capacSheet(54, 8, 0, n, 0))
			k := capacKeys(&fakes.Table{}, timer.NewManual())
			k.SetKeys(s.Keys)
			return []any{s, k}
		}))
	}
	for _, n := range sizes.Withdrawals {
		r, err := withdrawalMemory(n)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	for _, n := range sizes.Orders {
		out = append(out, orderMemory(n))
	}
	return out, nil
}

// decoded returns a sheet as a host has it after it was read from the
// object store.
func decoded(s core.Sheet) core.Sheet {
	raw, err := wire.EncodeSheet(s)
	if err != nil {
		panic(err)
	}
	out, err := wire.DecodeSheet(raw)
	if err != nil {
		panic(err)
	}
	return out
}

func blockMemory(n int) []MemoryResult {
	var s core.Sheet
	list := memory("block: list of the sheet", n, func() any {
		s = decoded(capacSheet(54, 8, 54, 0, n))
		return s
	})
	var st *steer.Planner
	table := memory("block: look-up table", n, func() any {
		st = steer.New(steer.Config{Sheet: &s, Self: capacHostOf(0, 0)})
		return st
	})
	raw := memory("block: encoded body of a sheet", n, func() any {
		body, err := wire.EncodeSheet(s)
		if err != nil {
			panic(err)
		}
		return body
	})
	runtime.KeepAlive(s)
	runtime.KeepAlive(st)
	return []MemoryResult{list, table, raw}
}

func busyKeeper(n int) *share.Lender {
	k, _, items := capacKeeper(n)
	for h := range 106 {
		if _, err := k.Grant(core.LoanRequest{Host: capacHostOf(0, h).Name, Incarnation: 1, Seq: 1, Epoch: 1, Items: items}); err != nil {
			panic(err)
		}
	}
	return k
}

func withdrawalMemory(n int) (MemoryResult, error) {
	k := capacKeys(capacLog{n: n}, timer.NewManual())
	var err error
	r := memory("withdrawal", n, func() any {
		err = k.Poll(context.Background())
		return k
	})
	if all, _ := k.CountWithdrawals(); err == nil && all != n {
		err = fmt.Errorf("bench: %d of %d withdrawals were read", all, n)
	}
	return r, err
}

func orderMemory(n int) MemoryResult {
	o, stop := capacOrders()
	gate := make(chan struct{})
	var work, sent sync.WaitGroup
	r := memory("order in flight, with its goroutine and its row in the fake table", n, func() any {
		sent.Add(n)
		for i := range n {
			work.Go(func() {
				w := core.WorkspaceID(fmt.Sprintf("workspace-%02d", i%8))
				_, _ = o.Do(context.Background(), order.Request{Workspace: w, Key: fmt.Sprintf("order-%09d", i), Deadline: time.Hour},
					func(context.Context) (order.Result, error) {
						sent.Done()
						<-gate
						return order.Result{Status: 201}, nil
					})
			})
		}
		sent.Wait()
		return o
	})
	close(gate)
	work.Wait()
	stop()
	return r
}
