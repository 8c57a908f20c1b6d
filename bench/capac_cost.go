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

// processTime returns the processor time that the process has used so far, or
// 0 if it cannot be read.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureCost measures an operation with testing.Benchmark. The processor time
// is that of the benchmark's last, longest round.
func measureCost(operation string, size int, unit string, run func()) CostResult {
	var cpu time.Duration
	n := 1
	result := testing.Benchmark(func(b *testing.B) {
		before := processTime()
		for range b.N {
			run()
		}
		cpu, n = processTime()-before, b.N
	})
	return CostResult{Operation: operation, Size: size, Unit: unit, Wall: time.Duration(result.NsPerOp()), CPU: cpu / time.Duration(n)}
}

// CostTable formats results as a Markdown table.
func CostTable(results []CostResult) string {
	var b strings.Builder
	b.WriteString("| operation | size | wall | processor |\n|--|--:|--:|--:|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %d %s | %.2f µs | %.2f µs |\n", r.Operation, r.Size, r.Unit, micros(r.Wall), micros(r.CPU))
	}
	return b.String()
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// CostSizes are the sizes at which Costs measures: numbers of objects.
type CostSizes struct {
	Keys, Hosts, Resources, Callers, Blocks []int
	// Servers is the number of backend servers in the sheets.
	Servers int
}

// Costs measures the processor time of control plane operations and of
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

// changeCosts measures applying a change to a sheet with n keys, and the work
// that a host does after each change.
func changeCosts(n, servers int) []CostResult {
	s := makeSheet(54, 100, servers, n, 0)
	k := newKeys(&fakes.Table{}, timer.NewManual())
	k.SetKeys(s.Keys)
	grant := core.Change{Kind: core.ChangeGrant, Key: makeKey(n+1, s.Workspaces[0].Name)}
	rate := core.Change{Kind: core.ChangeRate, Workspace: s.Workspaces[0]}
	applyChange := func(ch core.Change) func() {
		return func() {
			if _, err := sheet.Apply(s, ch); err != nil {
				panic(err)
			}
		}
	}
	return []CostResult{
		measureCost("fold a grant into the sheet", n, "keys", applyChange(grant)),
		measureCost("fold a rate into the sheet", n, "keys", applyChange(rate)),
		measureCost("keys.SetKeys after a change", n, "keys", func() { k.SetKeys(s.Keys) }),
		measureCost("share.LimitsOf after a change, 100 workspaces", servers, "servers", func() { share.LimitsOf(1, s) }),
	}
}

func newKeys(table core.Table, t core.Timer) *keys.Keys {
	self := makeHost(0, 0)
	domains := func() []core.DomainID { return nil }
	evidence := seats.NewEvidence(seats.EvidenceConfig{Timer: t, Domains: domains})
	k, err := keys.New(keys.Config{
		Host: self, Table: table, Peers: new(fakes.Network).Peer(self.Name), Timer: t, Seat: noSeat{}, Evidence: evidence,
		Domains: domains, Neighbours: func() []core.HostID { return nil },
	})
	if err != nil {
		panic(err) // the configuration above is complete
	}
	return k
}

// noSeat is the keys.Seat of a host that never holds the seat but polls the
// store.
type noSeat struct{}

// Acting implements keys.Seat.
func (noSeat) Acting() (uint64, bool) { return 0, false }

// FindHolder implements keys.Seat.
func (noSeat) FindHolder(context.Context, core.DomainID) (core.HostID, error) { return "", nil }

// ShouldPoll implements keys.Seat.
func (noSeat) ShouldPoll() bool { return true }

func steerCosts(blocks, servers int) []CostResult {
	s := makeSheet(54, 8, servers, 0, blocks)
	st := steer.New(steer.Config{Sheet: &s, Hosts: makeHosts(5724), Self: makeHost(0, 0)})
	buf := make([]core.Host, 0, 4)
	i, now := 0, time.Duration(0)
	look := measureCost("look-up", blocks, "blocks", func() {
		i += 7919
		if _, err := st.Lookup("parts", s.Blocks[i%blocks].Prefix.Addr().Next(), buf); err != nil {
			panic(err)
		}
	})
	drain := measureCost("steer.Apply of a drain", blocks, "blocks", func() {
		next := s
		i++
		next.Drains = []core.Drain{{Kind: core.DrainServer, Target: string(s.Servers[i%len(s.Servers)].Name), Mode: core.ModeDrain}}
		now += time.Second
		st.Apply(now, &next)
	})
	plan := measureCost("steer.Plan, once a second", blocks, "blocks", func() {
		now += time.Second
		st.Replan(now)
	})
	return []CostResult{look, drain, plan}
}

// makeHosts returns n hosts, spread over 54 domains.
func makeHosts(n int) []core.Host {
	var list []core.Host
	for i := range n {
		list = append(list, makeHost(i%54, i/54))
	}
	return list
}

func beatCosts(n int) []CostResult {
	list := makeHosts(n)
	g := member.New(member.Config{Self: list[0], Interval: heartbeatInterval})
	g.Merge(0, "", list)
	now := time.Duration(0)
	// After a minute of rounds without changes the view no longer gossips
	// the merged entries.
	peers := g.Neighbours(list[0])
	for range 120 {
		now += heartbeatInterval
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
		measureCost("heartbeat sent: Beat and Encode", n, "hosts", func() { _, _ = wire.EncodeFrame(1, g.NewHeartbeat(now, peers[0].Name)) }),
		measureCost("heartbeat received: Decode and Receive", n, "hosts", func() {
			_, m, _ := wire.DecodeFrame(raw)
			b := m.(core.Heartbeat)
			b.Host = peers[0]
			g.HandleHeartbeat(now, b)
		}),
		measureCost("member.Tick", n, "hosts", func() {
			now += heartbeatInterval
			for _, p := range peers {
				g.HandleHeartbeat(now, core.Heartbeat{Host: p})
			}
			g.Tick(now)
		}),
		measureCost("member.Hosts, once per heartbeat round", n, "hosts", func() { g.Hosts() }),
		measureCost("member.Live of the own domain, once per heartbeat", n, "hosts", func() { g.Live(list[0].Domain) }),
		measureCost("member.Neighbours, once per push", n, "hosts", func() { g.Neighbours(list[0]) }),
	}
}

func seatCost(domains int) (CostResult, error) {
	f, err := NewFleet(FleetConfig{Domains: domains, PerDomain: 3, Workspaces: 8, Seed: 7})
	if err != nil {
		return CostResult{}, err
	}
	f.Run(warmUpTime)
	holder := f.hosts[0]
	for _, h := range f.hosts {
		if h.role() == "holder" {
			holder = h
			break
		}
	}
	return measureCost("seat tick of a holder", domains, "domains", func() {
		f.timer.Advance(seatInterval)
		holder.evidence.RecordStoreRead(core.SpaceConfig, f.timer.Now())
		holder.evidence.RecordStoreRead(core.SpaceWithdrawn, f.timer.Now())
		_ = holder.seat.Tick(context.Background())
	}), nil
}

// newLender returns a lender that acts for its domain and has created its
// share rows, its timer, and the items of a loan request for all resources.
func newLender(resources int) (*share.Lender, *timer.Manual, []core.LoanItem) {
	t := timer.NewManual()
	k := share.NewLender(share.LenderConfig{
		Domain: domainName(0), Table: &fakes.Table{}, Timer: t, MaxCommitsPerSecond: 1e6,
		ActingEpoch: func() (uint64, bool) { return 1, true },
		SeatCheck: func() (core.Write, bool) {
			return core.Write{Kind: core.WriteCheck, Space: core.SpaceSeat, Key: string(domainName(0))}, true
		},
		DomainOf: func(core.HostID) (core.DomainID, bool) { return domainName(0), true },
	})
	s := makeSheet(54, resources, 0, 0, 0)
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
			panic("bench: keeper has no share row of resource " + string(item.Resource))
		}
	}
	return k, t, items
}

func askCost(resources, hosts int) CostResult {
	k, t, items := newLender(resources)
	seq := uint64(0)
	requestLoans := func() {
		seq++
		if seq%uint64(hosts) == 0 {
			t.Advance(3 * time.Second)
		}
		m := core.LoanRequest{Host: makeHost(0, int(seq)%hosts).Name, Incarnation: 1, Seq: seq, Epoch: 1, Items: items}
		if _, err := k.Grant(m); err != nil {
			panic(err)
		}
	}
	for range hosts {
		requestLoans()
	}
	return measureCost(fmt.Sprintf("loan ask answered, %d hosts", hosts), resources, "resources", requestLoans)
}

// newOrders returns orders on a fake table, and a function that stops them.
// They use the real timer, because a manual one goes through all pending
// alarms at each call.
func newOrders() (*order.Orders, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	o := order.New(order.Config{
		Table: &fakes.Table{}, Timer: timer.NewReal(), Host: "entry", Incarnation: 1, MaxPending: 1 << 20, Linger: -1,
		ShouldSweep: func() bool { return false },
	})
	var running sync.WaitGroup
	running.Go(func() { o.Run(ctx) })
	return o, func() {
		cancel()
		running.Wait()
	}
}

func claimCost(callers int) CostResult {
	o, stop := newOrders()
	defer stop()
	send := func(context.Context) (order.Result, error) {
		return order.Result{Status: 201, Body: make([]byte, 200)}, nil
	}
	n := 0
	result := measureCost("order claimed and recorded", callers, "callers", func() {
		var requests sync.WaitGroup
		for i := range callers {
			key := fmt.Sprintf("order-%09d-%03d", n, i)
			requests.Go(func() {
				w := core.WorkspaceID(fmt.Sprintf("workspace-%02d", i%8))
				if _, err := o.Do(context.Background(), order.Request{Workspace: w, Key: key, Deadline: time.Hour}, send); err != nil {
					panic(err)
				}
			})
		}
		requests.Wait()
		n++
	})
	result.Wall /= time.Duration(callers)
	result.CPU /= time.Duration(callers)
	return result
}

// MemoryResult is the memory that a number of items of one kind use.
type MemoryResult struct {
	Item  string
	Count int
	Bytes uint64 // of all items together
}

// measureMemory returns by how much the live heap grows with what build
// returns.
func measureMemory(item string, count int, build func() any) MemoryResult {
	before := liveHeap()
	items := build()
	after := liveHeap()
	runtime.KeepAlive(items)
	return MemoryResult{Item: item, Count: count, Bytes: max(after, before) - before}
}

// liveHeap returns the bytes of heap objects that survive garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// MemoryTable formats results as a Markdown table.
func MemoryTable(results []MemoryResult) string {
	var b strings.Builder
	b.WriteString("| item | count | bytes | bytes each |\n|--|--:|--:|--:|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %d | %d | %.0f |\n", r.Item, r.Count, r.Bytes, float64(r.Bytes)/float64(r.Count))
	}
	return b.String()
}

// MemorySizes are the sizes at which Memory measures: numbers of items.
type MemorySizes struct{ Blocks, Sites, Hosts, Shares, Keys, Withdrawals, Orders []int }

// Memory measures the bytes that items of each kind use on one host.
func Memory(sizes MemorySizes) ([]MemoryResult, error) {
	var out []MemoryResult
	for _, n := range sizes.Blocks {
		out = append(out, blockMemory(n)...)
	}
	for _, n := range sizes.Sites {
		out = append(out, measureMemory("backend server: sheet, steering, limits", n, func() any {
			s := decodedSheet(makeSheet(54, 8, n, 0, 0))
			st := steer.New(steer.Config{Sheet: &s, Self: makeHost(0, 0)})
			return []any{s, st, share.LimitsOf(1, s)}
		}))
	}
	for _, n := range sizes.Hosts {
		out = append(out, measureMemory("host known to membership, with a directory", n, func() any {
			g := member.New(member.Config{Self: makeHost(0, 0)})
			g.Merge(0, "", makeHosts(n))
			directory := make(map[core.HostID]core.Host, n)
			for _, h := range g.Hosts() {
				directory[h.Name] = h
			}
			return []any{g, directory}
		}))
	}
	for _, n := range sizes.Shares {
		out = append(out, measureMemory("workspace share of a keeper, 54 domains, 106 hosts", n, func() any { return lenderWithLoans(n) }))
	}
	for _, n := range sizes.Keys {
		out = append(out, measureMemory("key: sheet and index", n, func() any {
			s := decodedSheet(makeSheet(54, 8, 0, n, 0))
			k := newKeys(&fakes.Table{}, timer.NewManual())
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

// decodedSheet returns a sheet as a host holds it in memory after reading it
// from the object store.
func decodedSheet(s core.Sheet) core.Sheet {
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
	blockList := measureMemory("block: list of the sheet", n, func() any {
		s = decodedSheet(makeSheet(54, 8, 54, 0, n))
		return s
	})
	var st *steer.Planner
	lookupTable := measureMemory("block: look-up table", n, func() any {
		st = steer.New(steer.Config{Sheet: &s, Self: makeHost(0, 0)})
		return st
	})
	encoded := measureMemory("block: encoded body of a sheet", n, func() any {
		body, err := wire.EncodeSheet(s)
		if err != nil {
			panic(err)
		}
		return body
	})
	runtime.KeepAlive(s)
	runtime.KeepAlive(st)
	return []MemoryResult{blockList, lookupTable, encoded}
}

// lenderWithLoans returns a lender that has lent all n resources to 106 hosts.
func lenderWithLoans(n int) *share.Lender {
	k, _, items := newLender(n)
	for h := range 106 {
		if _, err := k.Grant(core.LoanRequest{Host: makeHost(0, h).Name, Incarnation: 1, Seq: 1, Epoch: 1, Items: items}); err != nil {
			panic(err)
		}
	}
	return k
}

func withdrawalMemory(n int) (MemoryResult, error) {
	k := newKeys(withdrawalLog{entries: n}, timer.NewManual())
	var err error
	r := measureMemory("withdrawal", n, func() any {
		err = k.Poll(context.Background())
		return k
	})
	if count, _ := k.CountWithdrawals(); err == nil && count != n {
		err = fmt.Errorf("bench: read %d of %d withdrawals", count, n)
	}
	return r, err
}

func orderMemory(n int) MemoryResult {
	o, stop := newOrders()
	release := make(chan struct{})
	var requests, sent sync.WaitGroup
	r := measureMemory("order in flight, with its goroutine and its row in the fake table", n, func() any {
		sent.Add(n)
		for i := range n {
			requests.Go(func() {
				w := core.WorkspaceID(fmt.Sprintf("workspace-%02d", i%8))
				_, _ = o.Do(context.Background(), order.Request{Workspace: w, Key: fmt.Sprintf("order-%09d", i), Deadline: time.Hour},
					func(context.Context) (order.Result, error) {
						sent.Done()
						<-release
						return order.Result{Status: 201}, nil
					})
			})
		}
		sent.Wait()
		return o
	})
	close(release)
	requests.Wait()
	stop()
	return r
}
