package picker

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
	"azurering/core/codes"
)

const (
	// coldFactor is how many times longer a server works on an object that
	// it has not handled recently.
	coldFactor = 3.0
	// spillBusy is the share of busy slots in a service above which no
	// request goes to another server than its object's own: there it would
	// take the time of several others.
	spillBusy = 0.7
	// busyLife is how long the share of busy slots of a service counts as
	// known. A slot turns over in a hundred milliseconds or more.
	busyLife = 10 * time.Millisecond
	// maxCandidates is how many servers a request looks at. That so many are
	// full or avoided while others are not is rare.
	maxCandidates = 24
	// positionLife is how long the order of the hosts of a domain counts as
	// known: until their next beat.
	positionLife = 400 * time.Millisecond
	// defaultWork is the assumed time of a request before the first answer.
	defaultWork = 250 * time.Millisecond
	// coldSpacing is the least time between two requests of one host to a
	// cold server.
	coldSpacing = 1100 * time.Millisecond
)

// Request says what a server is needed for.
type Request struct {
	Service   core.ServiceID
	Object    string // what the request concerns; equal objects go to one server
	Homes     []core.RegionID
	HomesOnly bool // only servers in Homes may serve the request
	Exclude   []core.ServerID
	// Sticky says that servers are faster for objects that they handled.
	Sticky bool
	// LargeAnswer says that the answer is large.
	LargeAnswer bool
	// MaxLatency is how long the answer may take, waiting at the server
	// included. A server with a free slot is taken in any case.
	MaxLatency time.Duration
}

// Lease is the place of one request at a server.
type Lease struct {
	core.Instance
	view   *Picker
	server *server
	start  time.Duration
	queued bool // the request had to wait at the server
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// mix combines two hashes into a number between 0 and 1.
func mix(a, b uint64) float64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return (float64(x>>11) + 0.5) / (1 << 53)
}

type candidate struct {
	*server
	rank float64 // lower is better
	cold bool
}

// candidates returns the servers that may get the request, best first, and
// no more than a request needs to look at. It reports whether there are any,
// those included that are cold and not for this host to warm.
func (v *Picker) candidates(now time.Duration, ask Request) (list []candidate, exist bool) {
	v.refresh()
	object := hashName(ask.Object)
	list = make([]candidate, 0, maxCandidates+1)
	for _, s := range v.services[ask.Service] {
		if s.doubt || v.evacuated[s.Domain] || !v.allowed(s, ask) {
			continue
		}
		exist = true
		cold := now < s.coldUntil
		if cold && !v.mayWarm(now, s) {
			continue
		}
		// Weighted rendezvous hashing: an exponential variate with the
		// weight as its rate.
		weight := s.weight
		if ask.LargeAnswer {
			weight = s.large
		}
		rank := -math.Log(mix(object, s.hash)) / weight
		if len(list) == maxCandidates && rank >= list[maxCandidates-1].rank {
			continue
		}
		at := sort.Search(len(list), func(i int) bool { return list[i].rank > rank })
		list = slices.Insert(list, at, candidate{server: s, rank: rank, cold: cold})
		list = list[:min(len(list), maxCandidates)]
	}
	return list, exist
}

func (v *Picker) allowed(s *server, ask Request) bool {
	for _, id := range ask.Exclude {
		if id == s.Name {
			return false
		}
	}
	if !ask.HomesOnly {
		return true
	}
	for _, home := range ask.Homes {
		if v.cfg.Regions[s.Domain] == home {
			return true
		}
	}
	return false
}

// busy estimates the requests at a server now.
func (s *server) busy(now time.Duration) float64 {
	others := float64(s.remote)
	if age := now - s.loadAt; s.loadAt > 0 && age < 4*loadLife {
		reported := float64(s.load) * math.Exp(-float64(age)/float64(loadLife))
		others = max(others, reported)
	}
	return float64(s.inFlight) + others
}

// Acquire chooses a server and counts the request there. Errors carry
// NoServer (no server may serve the request) or NoCapacity (all are full).
func (v *Picker) Acquire(ask Request) (*Lease, error) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	list, exist := v.candidates(now, ask)
	if !exist {
		return nil, codes.New(codes.NoServer, "picker: no server of service %s may serve this request", ask.Service)
	}
	s := v.pick(now, list, ask)
	if s == nil {
		return nil, codes.New(codes.NoCapacity, "picker: all servers of service %s are full", ask.Service)
	}
	queued := s.busy(now) >= float64(s.Slots)
	s.inFlight++
	return &Lease{Instance: s.Instance, view: v, server: s, start: now, queued: queued}, nil
}

// pick returns the server that is expected to answer first, if that is soon
// enough. An object's own server is the first that is neither cold nor
// avoided; the others are slower for it and only taken while there is room.
func (v *Picker) pick(now time.Duration, list []candidate, ask Request) *server {
	var best *server
	shortest := ask.MaxLatency
	work := v.work(ask.Service)
	owned := false // the object's own server was seen
	full := ask.Sticky && v.isBusy(now, ask.Service)
	for _, c := range list {
		if c.cold {
			c.coldNext = now + coldSpacing
			return c.server
		}
		other := ask.Sticky && owned
		if other && full {
			break
		}
		owned = true
		if now < c.shedUntil {
			continue
		}
		ahead := c.busy(now) - float64(c.Slots) + 1 // requests that go before this one
		if ahead <= 0 && !other {
			return c.server
		}
		took := work + time.Duration(max(ahead, 0)/float64(c.Slots)*float64(work))
		if other {
			if ahead > 0 {
				continue
			}
			took = time.Duration(coldFactor * float64(work))
		}
		if took < shortest {
			best, shortest = c.server, took
		}
	}
	return best
}

// isBusy reports whether most slots of a service are taken. It looks at all
// servers only from time to time.
func (v *Picker) isBusy(now time.Duration, service core.ServiceID) bool {
	last := v.busy[service]
	if last.at > 0 && now < last.at+busyLife {
		return last.most
	}
	busy, slots := 0.0, 0.0
	for _, s := range v.services[service] {
		if s.doubt || v.evacuated[s.Domain] {
			continue
		}
		busy += min(s.busy(now), float64(s.Slots))
		slots += float64(s.Slots)
	}
	v.busy[service] = load{at: now, most: busy > spillBusy*slots}
	return busy > spillBusy*slots
}

// load says whether most slots of a service were taken at a time.
type load struct {
	at   time.Duration
	most bool
}

// work returns the mean time in which servers of a service answer without a
// queue.
func (v *Picker) work(service core.ServiceID) time.Duration {
	if w := v.works[service]; w > 0 {
		return w
	}
	return defaultWork
}

// mayWarm reports whether a cold server may get a request of this host now.
// The hosts of the server's own failure domain that come first in order
// share its rate; all others leave it alone.
func (v *Picker) mayWarm(now time.Duration, s *server) bool {
	if s.Domain != v.cfg.Domain || now < s.coldNext {
		return false
	}
	backing := v.cfg.Service(s.Service)
	return backing != nil && v.position(now) < int(backing.ColdRate)
}

// position returns how many hosts of the own failure domain come before this
// one.
func (v *Picker) position(now time.Duration) int {
	if v.positionAt > 0 && now < v.positionAt+positionLife {
		return v.before
	}
	v.before, v.positionAt = slices.Index(v.cfg.DomainHosts(v.cfg.Domain), v.cfg.Host), now
	if v.before < 0 {
		v.before = math.MaxInt // hosts that are not ready warm no server
	}
	return v.before
}
