// Package steer maps client addresses to ranked entry hosts. The entry hosts
// use it in app/entry to answer look-ups and to choose where to spill
// requests. It does no I/O.
//
// Look-ups read an immutable snapshot and take no lock. A plan that is made
// once a second distributes the demand of each home domain over the domains
// near it, as far as this host's part of their capacity allows, and any
// excess over all domains by capacity.
package steer

import (
	"encoding/binary"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
	"azurering/core/codes"
)

// Config configures a Planner. Zero values select the defaults.
type Config struct {
	// Self is this host. Its domain counts as local.
	Self core.Host
	// Sheet is the initial configuration, Hosts the initially known entry
	// hosts.
	Sheet *core.Sheet
	Hosts []core.Host
	// Start is the monotonic time of the start.
	Start time.Duration
	// Lifetime is the longest lifetime of an answer, 30 s by default. Lifetimes
	// are spread over the upper fifth, so that callers do not all ask at the
	// same time.
	Lifetime time.Duration
	// TargetUtilization is the share of a domain's capacity that is planned, 0.85 by
	// default. The rest absorbs load that the plan cannot foresee.
	TargetUtilization float64
	// LocalFraction is the fraction of a domain's capacity that is planned by the
	// hosts of that domain, 0.75 by default. Callers mostly ask hosts near
	// them.
	LocalFraction float64
	// SlotsPerCaller is the expected number of slots that one caller with a cached
	// answer keeps busy, 0.05 by default. Measurements correct it by up to a
	// factor of four.
	SlotsPerCaller float64
	// RequestRate is the expected number of requests per second of one caller, 0.5
	// by default. It converts the caps of shifts into callers.
	RequestRate float64
	// MaxMeasurementAge is the age above which a measurement is ignored, 60 s by default.
	MaxMeasurementAge time.Duration
	// RegionDelay is the delay between domains of one region, DefaultDelay that between
	// regions without a link. The defaults are 4 ms and 100 ms.
	RegionDelay  time.Duration
	DefaultDelay time.Duration
	// MaxHosts is the maximum number of hosts in an answer, 4 by default.
	MaxHosts int
}

func (c Config) withDefaults() Config {
	durations := []struct {
		d *time.Duration
		v time.Duration
	}{{&c.Lifetime, 30 * time.Second}, {&c.MaxMeasurementAge, 60 * time.Second}, {&c.RegionDelay, 4 * time.Millisecond}, {&c.DefaultDelay, 100 * time.Millisecond}}
	for _, f := range durations {
		if *f.d <= 0 {
			*f.d = f.v
		}
	}
	floats := []struct {
		f *float64
		v float64
	}{{&c.TargetUtilization, 0.85}, {&c.LocalFraction, 0.75}, {&c.SlotsPerCaller, 0.05}, {&c.RequestRate, 0.5}}
	for _, f := range floats {
		if *f.f <= 0 {
			*f.f = f.v
		}
	}
	if c.MaxHosts <= 0 {
		c.MaxHosts = 4
	}
	return c
}

// Answer is the result of a look-up.
type Answer struct {
	// Hosts are the entry hosts to use, best first.
	Hosts []core.Host
	// Lifetime is how long the caller may use the answer.
	Lifetime time.Duration
	// Domain is the failure domain of the first host.
	Domain core.DomainID
	// Shift is the name of the shift that moved the caller's block, if any.
	Shift string
}

// Planner answers look-ups. All methods are safe for concurrent use.
// Lookup, SpillTargets and ShiftOf take no lock.
type Planner struct {
	cfg     Config
	current atomic.Pointer[snapshot]
	mu      sync.Mutex
	domains domainIndex

	sheet        *core.Sheet
	hosts        []core.Host
	blocks       *blockTable
	linkDelays   map[core.RegionID]map[core.RegionID]time.Duration
	domainOrder  [][]int32         // by home domain: all domains, nearest first
	domainDelays [][]time.Duration // by home domain: the delays of these domains
	services     map[core.ServiceID]*service
	shifts       []shiftState
	warmingSince map[serverKey]time.Duration // start of the ramp of each server that returned cold
	drained      map[serverKey]bool          // servers that take no new work
	shortLinks   map[core.RegionID]bool
	refusedUntil map[serviceDomain]time.Duration
	second       int64                        // time of the last plan, in seconds
	slotCache    map[core.DomainID]domainView // hosts and slots of the last plan
}

// New returns a Planner with a first plan.
func New(cfg Config) *Planner {
	cfg = cfg.withDefaults()
	s := &Planner{
		cfg:          cfg,
		services:     make(map[core.ServiceID]*service),
		warmingSince: make(map[serverKey]time.Duration),
		shortLinks:   make(map[core.RegionID]bool),
		refusedUntil: make(map[serviceDomain]time.Duration),
		slotCache:    make(map[core.DomainID]domainView),
	}
	sheet := cfg.Sheet
	if sheet == nil {
		sheet = &core.Sheet{}
	}
	s.hosts = cfg.Hosts
	s.Apply(cfg.Start, sheet)
	return s
}

// snapshot is the immutable state that look-ups read. Only its counters and
// quotas change.
type snapshot struct {
	blocks      *blockTable
	domains     []domainView
	tables      map[core.ServiceID]*table
	shifts      [][]shiftView // by home domain
	counters    *counters
	lifetime    time.Duration
	maxHosts    int
	spillOrders map[core.ServiceID]spillOrder
}

// domainView is a failure domain in a snapshot.
type domainView struct {
	name      core.DomainID
	seed      uint64
	hosts     []core.Host // hosts that answers may contain
	slotHosts [][2]uint16 // by hash slot: the indices of the first and second host
}

// table is the plan of one service.
type table struct {
	index         int
	rankings      []ranking // by home domain; the last one is for unknown addresses
	shiftRankings []ranking // by shift
}

// ranking ranks the domains for one home: blocks are distributed over the
// weighted ones; the others are fallbacks, nearest first.
type ranking struct {
	weighted  []weightedDomain
	fallbacks []fallback
}

// fallback is a domain that gets callers only if others fail. Domains with
// equal delays form a group. Each block starts at its own member of a group,
// so that callers who lose their domain spread over the group.
type fallback struct {
	domain     int32
	groupStart int32 // index of the group's first member
	groupSize  int32
}

type weightedDomain struct {
	domain int32
	seed   uint64
	weight float64
}

type shiftView struct {
	index     int
	name      string
	seed      uint64
	share     float64 // share of the blocks, after the cap
	fullShare float64 // share of the blocks, without the cap
	// quota is the number of callers that may still be moved before the next
	// plan.
	quota *atomic.Int64
}

// uniform maps a hash to a number between 0 and 1, both exclusive.
func uniform(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// Lookup returns the ranked entry hosts for a client address. It appends them
// to buf[:0] and does not allocate if buf has room for Config.MaxHosts hosts.
// Errors have the code ServiceAbsent for an unknown service or NoCapacity if
// no domain can serve.
func (s *Planner) Lookup(service core.ServiceID, addr netip.Addr, buf []core.Host) (Answer, error) {
	snap := s.current.Load()
	t := snap.tables[service]
	if t == nil {
		return Answer{}, codes.New(codes.ServiceAbsent, "steer: no service %s", service)
	}
	hash, home := snap.blocks.lookup(addr)
	r := &t.rankings[home]
	a := Answer{Hosts: buf[:0]}
	for i := range snap.shifts[home] {
		sh := &snap.shifts[home][i]
		if uniform(hashPair(hash, sh.seed)) < sh.share && sh.quota.Add(-1) >= 0 {
			r = &t.shiftRankings[sh.index]
			a.Shift = sh.name
			break
		}
	}
	first := snap.appendRanked(r, hash, &a)
	if first < 0 {
		return Answer{}, codes.New(codes.NoCapacity, "steer: no entry host can take callers of %s", service)
	}
	a.Domain = snap.domains[first].name
	// The lowest eight bits of the hash choose the lifetime, those above them
	// the hosts.
	a.Lifetime = snap.lifetime - snap.lifetime/5*time.Duration(hash&0xff)/256
	snap.counters.add(t.index, int(home), int(first))
	return a, nil
}

// appendRanked appends the hosts of the chosen domains to the answer. It
// returns the first domain, or -1 if there is none.
func (snap *snapshot) appendRanked(r *ranking, hash uint64, a *Answer) int32 {
	first, second := int32(-1), int32(-1)
	bestScore, secondScore := math.Inf(1), math.Inf(1)
	for _, p := range r.weighted {
		score := 0.0
		if len(r.weighted) > 1 {
			score = -math.Log(uniform(hashPair(hash, p.seed))) / p.weight
		}
		switch {
		case score < bestScore:
			second, secondScore = first, bestScore
			first, bestScore = p.domain, score
		case score < secondScore:
			second, secondScore = p.domain, score
		}
	}
	if first >= 0 {
		snap.appendHosts(first, hash, (snap.maxHosts+1)/2, a)
	}
	if second >= 0 && len(a.Hosts) < snap.maxHosts {
		snap.appendHosts(second, hash, 1, a)
	}
	for i := range r.fallbacks {
		if len(a.Hosts) >= snap.maxHosts {
			break
		}
		g := &r.fallbacks[i]
		// These bits are above those that choose the host.
		member := (int64(i) - int64(g.groupStart) + int64(hash>>20)) % int64(g.groupSize)
		d := r.fallbacks[int64(g.groupStart)+member].domain
		if len(snap.domains[d].hosts) == 0 || d == second {
			continue
		}
		if first < 0 {
			first = d
		}
		snap.appendHosts(d, hash, 1, a)
	}
	return first
}

// appendHosts appends up to n hosts of a domain.
func (snap *snapshot) appendHosts(domain int32, hash uint64, n int, a *Answer) {
	v := &snap.domains[domain]
	n = min(n, snap.maxHosts-len(a.Hosts), len(v.hosts))
	if n <= 0 {
		return
	}
	// The bits above those of the lifetime choose the slot.
	pair := v.slotHosts[(hash>>8)%hashSlots]
	for i := range min(n, len(pair)) {
		a.Hosts = append(a.Hosts, v.hosts[pair[i]])
	}
}

// ShiftOf returns the name of the shift that covers a client address, whether
// or not the cap lets this host move it. The receiving region counts the
// requests of such callers against the shift's cap.
func (s *Planner) ShiftOf(addr netip.Addr) (string, bool) {
	snap := s.current.Load()
	hash, home := snap.blocks.lookup(addr)
	for _, sh := range snap.shifts[home] {
		if uniform(hashPair(hash, sh.seed)) < sh.fullShare {
			return sh.name, true
		}
	}
	return "", false
}
