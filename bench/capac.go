// Package bench regenerates the measurements of docs/MEASURES.md and
// docs/CAPACITY.md.
package bench

import (
	"container/heap"
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"azurering/core"
	"azurering/core/config"
	"azurering/core/fakes"
	"azurering/core/timer"
	"azurering/io/wire"
)

// The one-way delays between hosts: those between domains and regions are of
// docs/design.md, section 2; the one inside a domain is an assumption.
const (
	capacNear   = time.Millisecond
	capacRegion = 3 * time.Millisecond
	capacFar    = 12 * time.Millisecond
)

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Domains   int
	PerDomain int // entry hosts of each domain
	// Workspaces and Servers size the sheet; Servers counts the backend
	// servers of each domain.
	Workspaces int
	Servers    int
	Loss       float64 // of messages, each way
	Seed       uint64
	// PeersOnly keeps the readers from the configuration log, so that
	// changes spread over peers alone.
	PeersOnly bool
}

// Fleet runs the control parts of entry hosts in one process over in-memory
// fakes in virtual time. Heartbeats and configuration pushes take the delay
// of their link; the other messages are answered at once. It runs in one
// goroutine, and a run depends only on its configuration.
type Fleet struct {
	cfg     FleetConfig
	timer   *timer.Manual
	random  *rand.Rand
	table   fakes.Table
	objects fakes.Objects
	net     fakes.Network
	sheet   core.Sheet
	hosts   []*capacHost
	byName  map[core.HostID]*capacHost
	queue   capacEvents
	seq     int
	// counting switches the counters of messages and store calls on.
	counting bool
	applied  map[uint64][]time.Duration // per version, when hosts applied it
}

type capacEvent struct {
	at  time.Duration
	seq int
	run func()
}

type capacEvents []capacEvent

func (q capacEvents) Len() int { return len(q) }
func (q capacEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q capacEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *capacEvents) Push(x any)   { *q = append(*q, x.(capacEvent)) }
func (q *capacEvents) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// NewFleet returns a fleet that has published its first sheet. Its hosts
// know the platform's list and nothing else.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{
		cfg: cfg, timer: timer.NewManual(), random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		byName: make(map[core.HostID]*capacHost), applied: make(map[uint64][]time.Duration),
		sheet: capacSheet(cfg.Domains, cfg.Workspaces, cfg.Servers*cfg.Domains, 0, 0),
	}
	var list []core.Host
	for d := range cfg.Domains {
		for i := range cfg.PerDomain {
			list = append(list, capacHostOf(d, i))
		}
	}
	for _, h := range list {
		if err := f.boot(h); err != nil {
			return nil, err
		}
	}
	for _, h := range f.hosts {
		h.group.AddCandidates(0, list)
	}
	if _, err := f.hosts[0].log.PublishSheet(context.Background(), f.sheet, 0); err != nil {
		return nil, err
	}
	for i, h := range f.hosts {
		h.schedule(i, len(f.hosts))
	}
	return f, nil
}

func capacDomain(d int) core.DomainID { return core.DomainID(fmt.Sprintf("domain-%02d", d)) }

func capacHostOf(d, i int) core.Host {
	return core.Host{
		Name: core.HostID(fmt.Sprintf("entry-%02d-%03d", d, i)), Domain: capacDomain(d), Incarnation: 1_790_000_000_000, State: core.HostLive,
		CallerAddress: fmt.Sprintf("10.%d.%d.1:443", d, i), PeerAddress: fmt.Sprintf("10.%d.%d.1:444", d, i),
	}
}

// capacRegionOf puts the domains into the regions of the design size: 24
// regions for 54 domains.
func capacRegionOf(d, domains int) int { return d * 24 / 54 % max(1, (domains*24+53)/54) }

// capacSheet returns a valid sheet of the given numbers.
func capacSheet(domains, workspaces, servers, keys, blocks int) core.Sheet {
	s := core.Sheet{Name: "capacity", Services: []core.Service{{Name: "parts", Routes: []core.Route{
		{Path: "/look", Access: core.AccessKeyed, Kind: core.RouteIdempotent, Class: core.ClassLookup},
		{Path: "/order", Access: core.AccessKeyed, Kind: core.RouteOrder, Class: core.ClassOrder},
	}}}}
	for d := range domains {
		r := capacRegionOf(d, domains)
		for len(s.Regions) <= r {
			s.Regions = append(s.Regions, core.Region{Name: core.RegionID(fmt.Sprintf("region-%02d", len(s.Regions)))})
		}
		s.Regions[r].Domains = append(s.Regions[r].Domains, capacDomain(d))
	}
	for i := range workspaces {
		s.Workspaces = append(s.Workspaces, core.Workspace{Name: core.WorkspaceID(fmt.Sprintf("workspace-%03d", i)), Rate: 1_000_000_000, Burst: 1_000_000_000})
	}
	for i := range servers {
		s.Servers = append(s.Servers, core.Server{
			Name: core.ServerID(fmt.Sprintf("server-%04d", i)), Service: "parts", Domain: capacDomain(i % domains),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i%domains, i/250%250, i%250), Slots: 4, MaxConns: 400,
		})
	}
	for i := range keys {
		s.Keys = append(s.Keys, capacKey(i, s.Workspaces[i%workspaces].Name))
	}
	s.Blocks = capacBlocks(blocks, domains)
	return s
}

func capacKey(i int, w core.WorkspaceID) core.Key {
	name := fmt.Sprintf("key-%07d", i)
	return core.Key{Name: core.KeyID(name), Workspace: w, Hash: sha256.Sum256([]byte(name))}
}

// capacBlocks returns blocks of 24 bits at pseudo-random places. A
// multiplication by an odd number spreads them without repetitions.
func capacBlocks(n, domains int) []core.AddressBlock {
	blocks := make([]core.AddressBlock, 0, n)
	names := make([]core.DomainID, domains)
	for d := range names {
		names[d] = capacDomain(d)
	}
	for i := uint32(0); len(blocks) < n; i++ {
		net := i * 2654435 & (1<<24 - 1)
		if net < 1<<16 || net >= 223<<16 {
			continue
		}
		addr := netip.AddrFrom4([4]byte{byte(net >> 16), byte(net >> 8), byte(net), 0})
		blocks = append(blocks, core.AddressBlock{Prefix: netip.PrefixFrom(addr, 24), Domain: names[i%uint32(domains)]})
	}
	return blocks
}

func (f *Fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, capacEvent{at: f.timer.Now() + d, seq: f.seq, run: run})
}

func (f *Fleet) every(first, period time.Duration, run func()) {
	f.after(first, func() {
		run()
		f.every(period, period, run)
	})
}

// Run runs the events of the next d of virtual time.
func (f *Fleet) Run(d time.Duration) {
	end := f.timer.Now() + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(capacEvent)
		f.timer.Advance(e.at - f.timer.Now())
		e.run()
	}
	f.timer.Advance(end - f.timer.Now())
}

func (f *Fleet) lost() bool { return f.random.Float64() < f.cfg.Loss }

func (f *Fleet) delay(a, b *capacHost) time.Duration {
	switch {
	case a.Domain == b.Domain:
		return capacNear
	case capacRegionOf(a.domain, f.cfg.Domains) == capacRegionOf(b.domain, f.cfg.Domains):
		return capacRegion
	default:
		return capacFar
	}
}

// capacTally counts messages or store calls.
type capacTally struct {
	Count int
	Bytes int
}

func (t capacTally) plus(o capacTally) capacTally {
	return capacTally{Count: t.Count + o.Count, Bytes: t.Bytes + o.Bytes}
}

// capacFamilies joins the kinds of messages that one mechanism uses.
var capacFamilies = map[core.MessageKind]string{
	core.KindHeartbeat: "beat", core.KindConfigPull: "config", core.KindConfigPush: "config", core.KindObjectPull: "config",
	core.KindObjectBody: "config", core.KindWithdrawPush: "withdraw", core.KindWithdrawAck: "withdraw", core.KindWithdrawPull: "withdraw",
	core.KindAttest: "attest", core.KindAttested: "attest", core.KindSeatPromise: "promise", core.KindSeatPromised: "promise",
	core.KindLoanRequest: "loan", core.KindLoanResponse: "loan",
}

func (f *Fleet) count(from, to *capacHost, m core.Message) {
	if !f.counting {
		return
	}
	raw, err := wire.EncodeFrame(1, m)
	if err != nil {
		panic(err) // a part sent a message that no transport would accept
	}
	t := capacTally{Count: 1, Bytes: len(raw)}
	family := capacFamilies[m.Kind()]
	from.sent[family] = from.sent[family].plus(t)
	to.received[family] = to.received[family].plus(t)
}

// capacPeers is the core.Peers of one host. It is used by one goroutine,
// except for configuration pushes, which are collected and sent in a fixed
// order by capacHost.flush.
type capacPeers struct {
	*fakes.Peer
	host *capacHost
	mu   *sync.Mutex
}

type capacPush struct {
	to core.HostID
	m  core.Message
}

// Call implements core.Peers.
func (p capacPeers) Call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	if m.Kind() == core.KindConfigPush {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.host.pushes = append(p.host.pushes, capacPush{to: to, m: m})
		return core.ConfigPush{}, nil
	}
	f, target := p.host.fleet, p.host.fleet.byName[to]
	f.count(p.host, target, m)
	if f.lost() {
		return nil, capacLost(to)
	}
	answer, err := p.Peer.Call(ctx, to, m)
	target.poke()
	if err != nil {
		return nil, err
	}
	f.count(target, p.host, answer)
	if f.lost() {
		return nil, capacLost(to)
	}
	return answer, nil
}

// flush sends the configuration pushes that the log has queued.
func (h *capacHost) flush() {
	h.log.PushPending(context.Background())
	pushes := h.pushes
	h.pushes = nil
	slices.SortStableFunc(pushes, func(a, b capacPush) int { return cmpString(string(a.to), string(b.to)) })
	for _, p := range pushes {
		target := h.fleet.byName[p.to]
		h.fleet.count(h, target, p.m)
		if h.fleet.lost() {
			continue
		}
		h.fleet.after(h.fleet.delay(h, target), func() { h.arrive(target, p.m) })
	}
}

func (h *capacHost) arrive(target *capacHost, m core.Message) {
	answer, err := h.peers.Peer.Call(context.Background(), target.Name, m)
	if err == nil {
		h.fleet.count(target, h, answer)
	}
	target.flush()
}

func cmpString(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// applyHook notes when a host applied a version.
func (f *Fleet) applyHook(s config.State) {
	f.applied[s.Version] = append(f.applied[s.Version], f.timer.Now())
}
