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

// The one-way network delays between hosts. Those between domains and between
// regions are from docs/design.md, section 2; the one within a domain is an
// assumption.
const (
	sameDomainDelay  = time.Millisecond
	sameRegionDelay  = 3 * time.Millisecond
	crossRegionDelay = 12 * time.Millisecond
)

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Domains   int
	PerDomain int // entry hosts of each domain
	// Workspaces is the number of workspaces in the sheet. Servers is the
	// number of backend servers of each domain.
	Workspaces int
	Servers    int
	Loss       float64 // probability that a message, or an answer, is lost
	Seed       uint64
	// PeersOnly stops hosts from polling the configuration log in the store,
	// so that changes spread between peers only.
	PeersOnly bool
}

// Fleet runs the control plane of entry hosts in one process, in virtual time
// and on in-memory fakes. Heartbeats and configuration pushes are delivered
// after the network delay between the hosts; all other messages are answered
// immediately. A run depends only on its configuration. A Fleet is not safe
// for concurrent use.
type Fleet struct {
	cfg     FleetConfig
	timer   *timer.Manual
	random  *rand.Rand
	table   fakes.Table
	objects fakes.Objects
	net     fakes.Network
	sheet   core.Sheet
	hosts   []*fleetHost
	byName  map[core.HostID]*fleetHost
	events  eventQueue
	seq     int
	// counting is whether messages and store calls are counted.
	counting  bool
	appliedAt map[uint64][]time.Duration // times at which hosts applied a version
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// NewFleet returns a fleet whose first host has published the first sheet.
// Apart from that the hosts only know the platform's list of hosts.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{
		cfg: cfg, timer: timer.NewManual(), random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		byName: make(map[core.HostID]*fleetHost), appliedAt: make(map[uint64][]time.Duration),
		sheet: makeSheet(cfg.Domains, cfg.Workspaces, cfg.Servers*cfg.Domains, 0, 0),
	}
	var list []core.Host
	for d := range cfg.Domains {
		for i := range cfg.PerDomain {
			list = append(list, makeHost(d, i))
		}
	}
	for _, h := range list {
		if err := f.addHost(h); err != nil {
			return nil, err
		}
	}
	for _, h := range f.hosts {
		h.view.AddCandidates(0, list)
	}
	if _, err := f.hosts[0].log.PublishSheet(context.Background(), f.sheet, 0); err != nil {
		return nil, err
	}
	for i, h := range f.hosts {
		h.schedule(i, len(f.hosts))
	}
	return f, nil
}

func domainName(d int) core.DomainID { return core.DomainID(fmt.Sprintf("domain-%02d", d)) }

func makeHost(d, i int) core.Host {
	return core.Host{
		Name: core.HostID(fmt.Sprintf("entry-%02d-%03d", d, i)), Domain: domainName(d), Incarnation: 1_790_000_000_000, State: core.HostLive,
		CallerAddress: fmt.Sprintf("10.%d.%d.1:443", d, i), PeerAddress: fmt.Sprintf("10.%d.%d.1:444", d, i),
	}
}

// regionOf returns the index of a domain's region. The ratio of regions to
// domains is that of the design size: 24 regions for 54 domains.
func regionOf(d, domains int) int { return d * 24 / 54 % max(1, (domains*24+53)/54) }

// makeSheet returns a valid sheet with the given numbers of objects.
func makeSheet(domains, workspaces, servers, keys, blocks int) core.Sheet {
	s := core.Sheet{Name: "capacity", Services: []core.Service{{Name: "parts", Routes: []core.Route{
		{Path: "/look", Access: core.AccessKeyed, Kind: core.RouteIdempotent, Class: core.ClassLookup},
		{Path: "/order", Access: core.AccessKeyed, Kind: core.RouteOrder, Class: core.ClassOrder},
	}}}}
	for d := range domains {
		r := regionOf(d, domains)
		for len(s.Regions) <= r {
			s.Regions = append(s.Regions, core.Region{Name: core.RegionID(fmt.Sprintf("region-%02d", len(s.Regions)))})
		}
		s.Regions[r].Domains = append(s.Regions[r].Domains, domainName(d))
	}
	for i := range workspaces {
		s.Workspaces = append(s.Workspaces, core.Workspace{Name: core.WorkspaceID(fmt.Sprintf("workspace-%03d", i)), Rate: 1_000_000_000, Burst: 1_000_000_000})
	}
	for i := range servers {
		s.Servers = append(s.Servers, core.Server{
			Name: core.ServerID(fmt.Sprintf("server-%04d", i)), Service: "parts", Domain: domainName(i % domains),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i%domains, i/250%250, i%250), Slots: 4, MaxConns: 400,
		})
	}
	for i := range keys {
		s.Keys = append(s.Keys, makeKey(i, s.Workspaces[i%workspaces].Name))
	}
	s.Blocks = makeBlocks(blocks, domains)
	return s
}

func makeKey(i int, w core.WorkspaceID) core.Key {
	name := fmt.Sprintf("key-%07d", i)
	return core.Key{Name: core.KeyID(name), Workspace: w, Hash: sha256.Sum256([]byte(name))}
}

// makeBlocks returns n distinct /24 address blocks, scattered over the IPv4
// address space: multiplying by an odd number modulo 2^24 yields no network
// twice.
func makeBlocks(n, domains int) []core.AddressBlock {
	blocks := make([]core.AddressBlock, 0, n)
	names := make([]core.DomainID, domains)
	for d := range names {
		names[d] = domainName(d)
	}
	for i := uint32(0); len(blocks) < n; i++ {
		network := i * 2654435 & (1<<24 - 1)
		if network < 1<<16 || network >= 223<<16 {
			continue
		}
		addr := netip.AddrFrom4([4]byte{byte(network >> 16), byte(network >> 8), byte(network), 0})
		blocks = append(blocks, core.AddressBlock{Prefix: netip.PrefixFrom(addr, 24), Domain: names[i%uint32(domains)]})
	}
	return blocks
}

func (f *Fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.timer.Now() + d, seq: f.seq, run: run})
}

func (f *Fleet) every(first, period time.Duration, run func()) {
	f.after(first, func() {
		run()
		f.every(period, period, run)
	})
}

// Run advances the virtual time by d and runs the events that are due.
func (f *Fleet) Run(d time.Duration) {
	end := f.timer.Now() + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.timer.Advance(e.at - f.timer.Now())
		e.run()
	}
	f.timer.Advance(end - f.timer.Now())
}

// loseMessage decides at random whether a message is lost.
func (f *Fleet) loseMessage() bool { return f.random.Float64() < f.cfg.Loss }

func (f *Fleet) delay(a, b *fleetHost) time.Duration {
	switch {
	case a.Domain == b.Domain:
		return sameDomainDelay
	case regionOf(a.domainIndex, f.cfg.Domains) == regionOf(b.domainIndex, f.cfg.Domains):
		return sameRegionDelay
	default:
		return crossRegionDelay
	}
}

// tally counts messages or store calls. For store calls Bytes is the number
// of rows.
type tally struct {
	Count int
	Bytes int
}

func (t tally) plus(o tally) tally {
	return tally{Count: t.Count + o.Count, Bytes: t.Bytes + o.Bytes}
}

// messageFamilies groups the message kinds by the mechanism that uses them.
var messageFamilies = map[core.MessageKind]string{
	core.KindHeartbeat: "beat", core.KindConfigPull: "config", core.KindConfigPush: "config", core.KindObjectPull: "config",
	core.KindObjectBody: "config", core.KindWithdrawPush: "withdraw", core.KindWithdrawAck: "withdraw", core.KindWithdrawPull: "withdraw",
	core.KindAttest: "attest", core.KindAttested: "attest", core.KindSeatPromise: "promise", core.KindSeatPromised: "promise",
	core.KindLoanRequest: "loan", core.KindLoanResponse: "loan",
}

func (f *Fleet) countMessage(from, to *fleetHost, m core.Message) {
	if !f.counting {
		return
	}
	raw, err := wire.EncodeFrame(1, m)
	if err != nil {
		panic(err) // the host sent a message that no transport would accept
	}
	t := tally{Count: 1, Bytes: len(raw)}
	family := messageFamilies[m.Kind()]
	from.sent[family] = from.sent[family].plus(t)
	to.received[family] = to.received[family].plus(t)
}

// fleetPeers implements core.Peers for one host. It loses messages at random
// and counts them. The configuration log sends pushes from several
// goroutines: they are queued, and fleetHost.sendPushes sends them in a fixed
// order. All other messages are sent from the fleet's goroutine.
type fleetPeers struct {
	*fakes.Peer
	host *fleetHost
	mu   *sync.Mutex
}

type queuedPush struct {
	to core.HostID
	m  core.Message
}

// Call implements core.Peers.
func (p fleetPeers) Call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	if m.Kind() == core.KindConfigPush {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.host.pushes = append(p.host.pushes, queuedPush{to: to, m: m})
		return core.ConfigPush{}, nil
	}
	f, target := p.host.fleet, p.host.fleet.byName[to]
	f.countMessage(p.host, target, m)
	if f.loseMessage() {
		return nil, lostMessageError(to)
	}
	answer, err := p.Peer.Call(ctx, to, m)
	target.forwardWithdrawals()
	if err != nil {
		return nil, err
	}
	f.countMessage(target, p.host, answer)
	if f.loseMessage() {
		return nil, lostMessageError(to)
	}
	return answer, nil
}

// sendPushes sends the pending configuration pushes of the host's log.
func (h *fleetHost) sendPushes() {
	h.log.PushPending(context.Background())
	pushes := h.pushes
	h.pushes = nil
	slices.SortStableFunc(pushes, func(a, b queuedPush) int { return compareStrings(string(a.to), string(b.to)) })
	for _, p := range pushes {
		target := h.fleet.byName[p.to]
		h.fleet.countMessage(h, target, p.m)
		if h.fleet.loseMessage() {
			continue
		}
		h.fleet.after(h.fleet.delay(h, target), func() { h.deliverPush(target, p.m) })
	}
}

func (h *fleetHost) deliverPush(target *fleetHost, m core.Message) {
	answer, err := h.peers.Peer.Call(context.Background(), target.Name, m)
	if err == nil {
		h.fleet.countMessage(target, h, answer)
	}
	target.sendPushes()
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// recordApply records the time at which a host applied a version.
func (f *Fleet) recordApply(s config.State) {
	f.appliedAt[s.Version] = append(f.appliedAt[s.Version], f.timer.Now())
}
