// Package picker chooses a backend server for each request among all servers
// that the platform lists.
//
// A View keeps what the host knows of each server: its entry, the work in
// flight there, its last reported load, and whether it is cold or in doubt.
// Requests for one object go to the same server from every host as long as
// it has room, because servers are faster for objects that they handled
// before. It starts no goroutines and does no I/O.
package picker

import (
	"sync"
	"time"

	"azurering/core"
)

const (
	// loadLife is how long a load that a server reported counts fully. A
	// slot turns over about once a second.
	loadLife = time.Second
	// shedPause keeps requests off a server that refused one, until some of
	// its work has ended.
	shedPause = 250 * time.Millisecond
	// firstEject and maxEject bound how long a server that cannot be reached
	// gets nothing before it is checked again.
	firstEject = 500 * time.Millisecond
	maxEject   = 2 * time.Second
	// lapseHold is how long an entry that vanished during an outage of the
	// store still counts. Servers renew lapsed entries within about 2 s.
	lapseHold = 2 * time.Second
	// coldMargin extends the cold time for the age of the entry.
	coldMargin = 300 * time.Millisecond
)

// Config configures a View. Timer is required.
type Config struct {
	Timer   core.Timer
	Host    core.HostID
	Domain  core.DomainID
	Region  core.RegionID
	Regions map[core.DomainID]core.RegionID
	// DomainHosts returns the hosts of a failure domain that are alive, in a fixed
	// order that is the same on every host.
	DomainHosts func(core.DomainID) []core.HostID
	// Service returns what the configuration says of a service, or nil.
	Service func(core.ServiceID) *core.ServiceConfig
	// RequestCheck asks for a health check of a server. It must not block.
	RequestCheck func(core.Instance)
}

// Picker is the host's view of the backend servers. It is safe for concurrent
// use.
type Picker struct {
	cfg Config

	mu         sync.Mutex
	servers    map[core.ServerID]*server
	services   map[core.ServiceID][]*server // servers that are listed
	stale      bool                         // services is older than the entries
	evacuated  map[core.DomainID]bool
	works      map[core.ServiceID]time.Duration // mean time of answers without a queue
	busy       map[core.ServiceID]load
	demands    map[core.ServiceID]*demand
	before     int           // hosts of the own domain that come before this one
	positionAt time.Duration // when before was looked up
}

// server is what the host knows of one server. View.mu guards it.
type server struct {
	core.Instance
	listed    bool
	goneAt    time.Duration // when a lapsed entry stops to count; 0 if it has not lapsed
	hash      uint64
	weight    float64 // share of objects that it should own
	large     float64 // the same for objects with large answers
	inFlight  int
	remote    int // work in flight of other hosts, as they report it
	load      int // work at the server by its own report, without that of this host
	loadAt    time.Duration
	coldUntil time.Duration
	coldNext  time.Duration // earliest next request while cold
	shedUntil time.Duration
	doubt     bool // gets nothing until a health check succeeds
	checkAt   time.Duration
	ejects    int
}

// New returns a view without servers.
func New(cfg Config) *Picker {
	return &Picker{
		cfg:       cfg,
		servers:   make(map[core.ServerID]*server),
		services:  make(map[core.ServiceID][]*server),
		evacuated: make(map[core.DomainID]bool),
		works:     make(map[core.ServiceID]time.Duration),
		busy:      make(map[core.ServiceID]load),
		demands:   make(map[core.ServiceID]*demand),
	}
}

// Update takes in the entry of a server and reports whether it changed
// anything.
func (v *Picker) Update(i core.Instance) bool {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[i.Name]
	if s == nil {
		s = &server{hash: hashName(string(i.Name))}
		v.servers[i.Name] = s
	}
	if s.listed && (i.StartedMs < s.StartedMs || i.StartedMs == s.StartedMs && i.Sequence < s.Sequence) {
		return false // a report that arrived late
	}
	same := s.listed && s.Instance == i && s.goneAt == 0
	reborn := s.listed && (s.StartedMs != i.StartedMs || s.Address != i.Address)
	if reborn {
		*s = server{hash: s.hash, inFlight: s.inFlight}
	}
	s.Instance, s.listed, s.goneAt = i, true, 0
	switch {
	case i.ColdLeft > 0:
		s.coldUntil = max(s.coldUntil, now+i.ColdLeft+coldMargin)
	case reborn:
		s.coldUntil = now + v.coldFor(i.Service)
	}
	v.stale = true
	return !same
}

func (v *Picker) coldFor(service core.ServiceID) time.Duration {
	if b := v.cfg.Service(service); b != nil {
		return b.ColdDuration + coldMargin
	}
	return coldMargin
}

// Remove takes in that a server's entry is gone. An entry that lapsed while
// the store was out of reach counts for a little longer, as the server may
// only have been unable to renew it.
func (v *Picker) Remove(id core.ServerID, lapsed bool) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[id]
	if s == nil || !s.listed {
		return
	}
	if lapsed && s.State == core.InstanceReady {
		if s.goneAt == 0 {
			s.goneAt = now + lapseHold
		}
		return
	}
	v.unlist(s)
}

func (v *Picker) unlist(s *server) {
	s.listed = false
	if s.inFlight == 0 {
		delete(v.servers, s.Name)
	}
	v.stale = true
}

// Tick drops the lapsed entries whose time is over and asks for the health
// checks that are due. It is called a few times a second.
func (v *Picker) Tick() {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		if s.listed && s.goneAt > 0 && now >= s.goneAt {
			v.unlist(s)
			continue
		}
		if s.listed && s.doubt && now >= s.checkAt {
			v.check(now, s)
		}
	}
}

// refresh lists the servers that may be chosen, by service, if entries have
// changed. A list of thousands of entries arrives at once, so that it waits
// for the next use.
func (v *Picker) refresh() {
	if !v.stale {
		return
	}
	v.stale = false
	clear(v.services)
	for _, s := range v.servers {
		if s.listed && s.State == core.InstanceReady {
			v.services[s.Service] = append(v.services[s.Service], s)
		}
	}
	v.reweigh()
}

// SetEvacuated replaces the set of failure domains whose servers get nothing.
// Servers of a domain that is taken back count as cold, as they may have
// become so meanwhile.
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
	v.stale = true
}

// Servers returns the servers that are listed.
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
