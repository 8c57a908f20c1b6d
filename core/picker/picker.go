// Package picker chooses a backend server for each request among all servers
// that the platform lists. Package proxy asks it for each request.
//
// A Picker holds what the host knows about each server: its entry, the requests
// in flight there, its last reported load, and whether it is cold or suspect.
// All hosts of a region (for large answers: of a failure domain) prefer the
// same server for an object while it has capacity, because servers are faster
// for objects that they have handled.
// The package starts no goroutines and does no I/O.
package picker

import (
	"math"
	"sync"
	"time"

	"azurering/core"
)

const (
	// loadDecay is the time constant with which a load reported by a server
	// loses weight. A slot turns over about once a second.
	loadDecay = time.Second
	// shedBackoff is how long a server that refused a request because of load
	// gets no other, so that some of its work can finish.
	shedBackoff = 250 * time.Millisecond
	// minCheckDelay and maxCheckDelay bound the exponential delay between health
	// checks of a server that cannot be reached.
	minCheckDelay = 500 * time.Millisecond
	maxCheckDelay = 2 * time.Second
	// coldMargin extends the cold time to cover the age of the entry.
	coldMargin = 300 * time.Millisecond
	// lateReportTime is how long after the removal of a server's entry an older report
	// of the server is told from a newer one. A write that got no answer may take
	// effect seconds later.
	lateReportTime = time.Minute
)

// Config configures a Picker. Timer, DomainHosts, Service and RequestCheck are
// required.
type Config struct {
	Timer   core.Timer
	Host    core.HostID
	Domain  core.DomainID
	Region  core.RegionID
	Regions map[core.DomainID]core.RegionID
	// DomainHosts returns the hosts of a failure domain that may be serving
	// callers, this host included in its own, in an order that is the same on every
	// host. It returns none while this host does not know the others.
	DomainHosts func(core.DomainID) []core.HostID
	// Service returns the configuration of a service, or nil if there is
	// none.
	Service func(core.ServiceID) *core.ServiceConfig
	// RequestCheck requests a health check of a server; its result goes to
	// Picker.HandleCheck. It is called with the view locked, so it must neither
	// block nor call the view.
	RequestCheck func(core.Instance)
	// OnLimit is called for each change of a server's limit and for each limit
	// that cannot be used. Nil is allowed.
	OnLimit func(LimitChange)
	// OnLeave is called for each notice that is new to this host. Nil is allowed.
	OnLeave func(LeaveNotice)
}

// Picker holds this host's knowledge of the backend servers. It is safe for
// concurrent use.
type Picker struct {
	cfg Config

	mu              sync.Mutex
	servers         map[core.ServerID]*server
	removed         map[core.ServerID]lastReport // servers whose entries were removed
	leaves          map[startID]leave            // servers that have said that they leave
	services        map[core.ServiceID][]*server // listed and ready servers
	servicesStale   bool                         // entries changed since services and the weights were computed
	evacuated       map[core.DomainID]bool
	processingTimes map[core.ServiceID]time.Duration // moving averages of answer times without a queue
	saturations     map[core.ServiceID]saturation
	demands         map[core.ServiceID]*demand
	ownIndex        int           // cached index of this host in its failure domain
	ownIndexAt      time.Duration // when ownIndex was computed
}

// server is what the host knows about one server. Picker.mu guards it.
type server struct {
	core.Instance
	listed         bool
	expiresAt      time.Duration // when a lapsed entry is dropped; 0 if it has not lapsed
	removedAt      time.Duration // when a lapsed entry was removed
	hash           uint64
	weight         float64 // share of the objects that the server should own
	largeWeight    float64 // the same for objects with large answers
	inFlight       int
	remoteInFlight int // requests of other hosts, as they report them
	reportedLoad   int // requests at the server as it reported, without those of this host
	reportedAt     time.Duration
	coldUntil      time.Duration
	nextWarm       time.Duration // earliest next request while cold
	shedUntil      time.Duration
	suspect        bool // gets no requests until a health check succeeds
	nextCheck      time.Duration
	checks         int // health checks requested since the last answer
	limit          Limit
	fullUntil      time.Duration // the server is at its limit until then
	limitUntold    bool          // an answer changed limit, and TakeUntoldLimits has not returned the server since
	limitLoggedAt  time.Duration // last change of limit that was reported as not frequent
}

// lastReport is the last entry of a server that is not listed any more.
type lastReport struct {
	core.Instance
	removedAt time.Duration
}

// New returns a view without servers.
func New(cfg Config) *Picker {
	return &Picker{
		cfg:             cfg,
		servers:         make(map[core.ServerID]*server),
		removed:         make(map[core.ServerID]lastReport),
		leaves:          make(map[startID]leave),
		services:        make(map[core.ServiceID][]*server),
		evacuated:       make(map[core.DomainID]bool),
		processingTimes: make(map[core.ServiceID]time.Duration),
		saturations:     make(map[core.ServiceID]saturation),
		demands:         make(map[core.ServiceID]*demand),
	}
}

// UpdateResult says what Update did with an entry.
type UpdateResult string

// The values of UpdateResult.
const (
	EntryChanged   UpdateResult = "changed"   // the entry is new, differs, or had lapsed
	EntryUnchanged UpdateResult = "unchanged" // the entry is the known one
	EntryOlder     UpdateResult = "older"     // the entry is older than the known one and was ignored
)

// Update adds or updates the entry of a server. It ignores an entry that is older
// than the known one, unless it says that the server leaves.
func (v *Picker) Update(i core.Instance) UpdateResult {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[i.Name]
	if s != nil && s.listed && isOlder(i, s.Instance) || v.isLateReport(i) {
		return EntryOlder
	}
	delete(v.removed, i.Name)
	if s == nil {
		s = &server{hash: hashName(string(i.Name))}
		v.servers[i.Name] = s
	}
	unchanged := s.listed && s.Instance == i && s.expiresAt == 0
	restarted := s.Name != "" && (s.StartedMs != i.StartedMs || s.Address != i.Address)
	if restarted {
		*s = server{hash: s.hash, inFlight: s.inFlight}
	}
	s.Instance, s.listed, s.expiresAt = i, true, 0
	switch {
	case i.ColdLeft > 0:
		s.coldUntil = max(s.coldUntil, now+i.ColdLeft+coldMargin)
	case restarted:
		s.coldUntil = now + v.coldFor(i.Service)
	}
	v.servicesStale = true
	if unchanged {
		return EntryUnchanged
	}
	return EntryChanged
}

// isLateReport reports whether an entry was written before the last one of the same
// start of a server whose entry has been removed.
func (v *Picker) isLateReport(i core.Instance) bool {
	last, ok := v.removed[i.Name]
	return ok && i.StartedMs > 0 && i.StartedMs == last.StartedMs && i.Sequence < last.Sequence
}

// isOlder reports whether an entry was written before the known one. Clocks can be
// set back between two starts of a server, so an earlier start does not show that
// for sure. The entry counts then if the server leaves: taking a server that
// stays for one that leaves lasts only until its next report.
func isOlder(i, known core.Instance) bool {
	if i.StartedMs == known.StartedMs {
		return i.Sequence < known.Sequence
	}
	return i.StartedMs < known.StartedMs && i.State != core.InstanceDraining
}

func (v *Picker) coldFor(service core.ServiceID) time.Duration {
	if b := v.cfg.Service(service); b != nil {
		return b.ColdDuration + coldMargin
	}
	return coldMargin
}

// Remove handles the removal of a server's entry. If hold is not 0, the entry
// has lapsed: the server may only have been unable to renew it and stays in use
// for that long.
func (v *Picker) Remove(id core.ServerID, hold time.Duration) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[id]
	if s == nil || !s.listed {
		return
	}
	if hold > 0 && s.State == core.InstanceReady {
		if s.expiresAt == 0 {
			s.removedAt, s.expiresAt = now, now+hold
		}
		return
	}
	v.unlist(now, s)
}

// WasRemoved reports whether the entry of this start of a server was removed not long ago.
func (v *Picker) WasRemoved(i core.Instance) bool {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	last, ok := v.removed[i.Name]
	return ok && last.StartedMs == i.StartedMs && now < last.removedAt+lateReportTime
}

func (v *Picker) unlist(now time.Duration, s *server) {
	s.listed = false
	v.removed[s.Name] = lastReport{Instance: s.Instance, removedAt: now}
	if s.inFlight == 0 {
		delete(v.servers, s.Name)
	}
	v.servicesStale = true
}

// isExpired reports whether the server's entry has lapsed and was not renewed in
// time.
func (s *server) isExpired(now time.Duration) bool { return s.expiresAt > 0 && now >= s.expiresAt }

// Tick drops the lapsed entries that were not renewed in time, returns their names,
// and requests the health checks that are due. Call it several times a second.
func (v *Picker) Tick() (dropped []core.ServerID) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		if s.listed && s.isExpired(now) {
			v.unlist(now, s)
			dropped = append(dropped, s.Name)
			continue
		}
		if s.listed && s.suspect && now >= s.nextCheck {
			v.requestCheck(now, s)
		}
	}
	v.dropOldLeaves(now)
	for id, last := range v.removed {
		if now >= last.removedAt+lateReportTime {
			delete(v.removed, id)
		}
	}
	return dropped
}

// NumLapsed returns the number of servers in use whose entries have lapsed.
func (v *Picker) NumLapsed() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, s := range v.servers {
		if s.listed && s.expiresAt > 0 {
			n++
		}
	}
	return n
}

// refreshServices rebuilds the list of ready servers of each service, and the
// weights, if entries changed. It runs on the next use rather than on each
// change, because thousands of entries arrive at once.
func (v *Picker) refreshServices() {
	if !v.servicesStale {
		return
	}
	v.servicesStale = false
	clear(v.services)
	for _, s := range v.servers {
		if s.listed && s.State == core.InstanceReady && !v.saysItLeaves(s) {
			v.services[s.Service] = append(v.services[s.Service], s)
		}
	}
	v.updateWeights()
}

// SetEvacuated replaces the set of failure domains whose servers get no requests.
// Servers of a domain that is no longer evacuated count as cold, because they
// may have become cold in the meantime.
func (v *Picker) SetEvacuated(domains map[core.DomainID]bool) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for d := range v.evacuated {
		if domains[d] {
			continue
		}
		for _, s := range v.servers {
			if s.Domain == d {
				s.coldUntil = max(s.coldUntil, now+v.coldFor(s.Service))
			}
		}
	}
	v.evacuated = domains
	v.servicesStale = true
}

// ConnShares returns, for each listed server, this host's even share of the
// connections that the server accepts from the given number of hosts together. It is
// math.MaxInt if the service does not name that number.
func (v *Picker) ConnShares(hosts int) map[core.ServerID]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	shares := make(map[core.ServerID]int, len(v.servers))
	for id, s := range v.servers {
		if !s.listed {
			continue
		}
		shares[id] = math.MaxInt
		if c := v.cfg.Service(s.Service); c != nil && c.MaxConns > 0 {
			shares[id] = c.MaxConns / max(hosts, 1)
		}
	}
	return shares
}

// Servers returns the set of listed servers.
func (v *Picker) Servers() map[core.ServerID]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	names := make(map[core.ServerID]bool, len(v.servers))
	for id, s := range v.servers {
		if s.listed {
			names[id] = true
		}
	}
	return names
}
