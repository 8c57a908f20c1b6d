// Package steer maps client addresses to ranked entry hosts. It is decision
// code without I/O.
//
// Look-ups read an immutable snapshot and take no lock. A plan that is made
// once a second spreads the demand of each home domain over the domains near
// it, so that no domain is promised more than this host's part of it.
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

// Config configures a Steer. Zero values mean the defaults.
type Config struct {
	// Self is this host. Its domain counts as local.
	Self core.Host
	// Sheet is the first configuration, with Hosts the known entry hosts.
	Sheet *core.Sheet
	Hosts []core.Host
	// Start is the monotonic time of the start.
	Start time.Duration
	// Lifetime is the longest lifetime of an answer, 30 s by default. The
	// lifetimes are spread over the upper fifth, so that callers don't ask in
	// step.
	Lifetime time.Duration
	// TargetUtilization is the share of a domain's capacity that is planned, 0.85 by
	// default. The rest absorbs what the plan cannot foresee.
	TargetUtilization float64
	// LocalFraction is the part of a domain's capacity that is planned by the hosts
	// of that domain, 0.75 by default. Callers ask mostly hosts near them.
	LocalFraction float64
	// SlotsPerCaller is the expected number of slots that one caller with a cached
	// answer keeps busy, 0.05 by default. Measurements correct it within a
	// factor of four.
	SlotsPerCaller float64
	// RequestRate is the expected number of requests per second of one caller, 0.5
	// by default. It counts against the caps of shifts.
	RequestRate float64
	// MaxMeasurementAge is the age from which a measurement no longer counts, 60 s by
	// default.
	MaxMeasurementAge time.Duration
	// RegionDelay is the delay between domains of one region, Far that between
	// regions without a link. The defaults are 4 ms and 100 ms.
	RegionDelay  time.Duration
	DefaultDelay time.Duration
	// MaxHosts is the number of hosts in an answer, 4 by default.
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
	// Shift names the shift that moved the caller's block, if any.
	Shift string
}

// Planner answers look-ups. Look, Spill and ShiftOf are safe for concurrent
// use and take no lock; the other methods are safe for concurrent use and
// take one.
type Planner struct {
	cfg  Config
	now  atomic.Pointer[snapshot]
	mu   sync.Mutex
	dict dictionary

	sheet    *core.Sheet
	hosts    []core.Host
	blocks   *blocks
	near     map[core.RegionID]map[core.RegionID]time.Duration
	order    [][]int32         // per home domain: all domains, nearest first
	class    [][]time.Duration // per home domain: the delays in that order
	services map[core.ServiceID]*service
	shifts   []shift
	warming  map[warmKey]time.Duration // servers taking work again since
	taken    map[warmKey]bool          // servers that take no work
	short    map[core.RegionID]bool
	refused  map[refusal]time.Duration
	slot     int64                        // second of the last plan
	spread   map[core.DomainID]domainView // hosts and slots of the last plan
}

// New returns a Steer that has made its first plan.
func New(cfg Config) *Planner {
	cfg = cfg.withDefaults()
	s := &Planner{
		cfg:      cfg,
		services: make(map[core.ServiceID]*service),
		warming:  make(map[warmKey]time.Duration),
		short:    make(map[core.RegionID]bool),
		refused:  make(map[refusal]time.Duration),
		spread:   make(map[core.DomainID]domainView),
	}
	sheet := cfg.Sheet
	if sheet == nil {
		sheet = &core.Sheet{}
	}
	s.hosts = cfg.Hosts
	s.Apply(cfg.Start, sheet)
	return s
}

// snapshot is what look-ups read. It is never changed.
type snapshot struct {
	blocks   *blocks
	domains  []domainView
	services map[core.ServiceID]*table
	shifts   [][]shiftView // per home domain
	counts   *counters
	life     time.Duration
	ranked   int
	spills   map[core.ServiceID]spillView
}

// domainView is a failure domain in a snapshot.
type domainView struct {
	name  core.DomainID
	seed  uint64
	hosts []core.Host // hosts that may be handed out
	slots [][2]uint16 // per slot of the hash: the first and second host
}

// table holds the plan of one service.
type table struct {
	index  int
	rows   []row // per home domain, the last one for unknown addresses
	shifts []row // per shift
}

// row ranks domains for one home: those with a weight share the blocks, the
// others stand by, nearest first.
type row struct {
	picks []pick
	rest  []standby
}

// standby is a domain that stands by. Those equally near are a group: each
// block begins at its own member, so that callers who lose their domain
// spread over the group.
type standby struct {
	domain int32
	first  int32 // index of the first member of its group
	size   int32
}

type pick struct {
	domain int32
	seed   uint64
	weight float64
}

type shiftView struct {
	index int
	name  string
	seed  uint64
	share float64 // of the blocks, after the cap
	full  float64 // of the blocks, without the cap
	// quota is the number of callers that may still be moved before the next
	// plan.
	quota *atomic.Int64
}

func unit(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// Lookup returns the ranked entry hosts for a client address. It appends them
// to buf[:0] and allocates nothing if buf has room for Config.Ranked hosts.
// Errors carry ServiceAbsent or NoCapacity (no domain can serve).
func (s *Planner) Lookup(service core.ServiceID, addr netip.Addr, buf []core.Host) (Answer, error) {
	snap := s.now.Load()
	t := snap.services[service]
	if t == nil {
		return Answer{}, codes.New(codes.ServiceAbsent, "steer: no service %s", service)
	}
	hash, home := snap.blocks.look(addr)
	r := &t.rows[home]
	a := Answer{Hosts: buf[:0]}
	for i := range snap.shifts[home] {
		sh := &snap.shifts[home][i]
		if unit(mix(hash, sh.seed)) < sh.share && sh.quota.Add(-1) >= 0 {
			r = &t.shifts[sh.index]
			a.Shift = sh.name
			break
		}
	}
	first := snap.rank(r, hash, &a)
	if first < 0 {
		return Answer{}, codes.New(codes.NoCapacity, "steer: no entry host can take callers of %s", service)
	}
	a.Domain = snap.domains[first].name
	// The lowest bits of the hash are not used for the choice.
	a.Lifetime = snap.life - snap.life/5*time.Duration(hash&0xff)/256
	snap.counts.add(t.index, int(home), int(first))
	return a, nil
}

// rank appends the hosts of the chosen domains and returns the first one.
func (snap *snapshot) rank(r *row, hash uint64, a *Answer) int32 {
	first, second := int32(-1), int32(-1)
	best, next := math.Inf(1), math.Inf(1)
	for _, p := range r.picks {
		score := 0.0
		if len(r.picks) > 1 {
			score = -math.Log(unit(mix(hash, p.seed))) / p.weight
		}
		switch {
		case score < best:
			second, next = first, best
			first, best = p.domain, score
		case score < next:
			second, next = p.domain, score
		}
	}
	if first >= 0 {
		snap.hostsOf(first, hash, (snap.ranked+1)/2, a)
	}
	if second >= 0 && len(a.Hosts) < snap.ranked {
		snap.hostsOf(second, hash, 1, a)
	}
	for i := range r.rest {
		if len(a.Hosts) >= snap.ranked {
			break
		}
		g := &r.rest[i]
		// The bits used here are above those that choose the host.
		at := (int64(i) - int64(g.first) + int64(hash>>20)) % int64(g.size)
		d := r.rest[int64(g.first)+at].domain
		if len(snap.domains[d].hosts) == 0 || d == second {
			continue
		}
		if first < 0 {
			first = d
		}
		snap.hostsOf(d, hash, 1, a)
	}
	return first
}

// hostsOf appends up to n hosts of a domain.
func (snap *snapshot) hostsOf(domain int32, hash uint64, n int, a *Answer) {
	v := &snap.domains[domain]
	n = min(n, snap.ranked-len(a.Hosts), len(v.hosts))
	if n <= 0 {
		return
	}
	// The bits below those of the lifetime choose the slot.
	at := v.slots[(hash>>8)%hostSlots]
	for i := range min(n, len(at)) {
		a.Hosts = append(a.Hosts, v.hosts[at[i]])
	}
}

// ShiftOf returns the shift that covers a client address, whether or not the
// cap lets this host move it. The receiving region counts such requests
// against shift/<id>.
func (s *Planner) ShiftOf(addr netip.Addr) (string, bool) {
	snap := s.now.Load()
	hash, home := snap.blocks.look(addr)
	for _, sh := range snap.shifts[home] {
		if unit(mix(hash, sh.seed)) < sh.full {
			return sh.name, true
		}
	}
	return "", false
}
