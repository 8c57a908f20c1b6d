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
	// coldObjectFactor is how many times longer a server takes for an object
	// that it has not handled recently.
	coldObjectFactor = 3.0
	// maxSpillLoad is the fraction of a service's busy slots above which
	// requests go only to the owner of their object, because another server
	// takes coldObjectFactor times as long.
	maxSpillLoad = 0.7
	// saturationTTL is how long the saturation of a service is cached. That
	// is short against the 100 ms or more for which a request occupies a slot.
	saturationTTL = 10 * time.Millisecond
	// maxCandidates bounds the servers considered for one request. If all
	// of these are full or avoided, the request fails although a server further
	// down may have capacity; that is rare.
	maxCandidates = 24
	// hostIndexTTL is how long this host's index in its failure domain is
	// cached: one heartbeat interval.
	hostIndexTTL = 400 * time.Millisecond
	// defaultProcessingTime is assumed for a service before its first answer.
	defaultProcessingTime = 250 * time.Millisecond
	// warmInterval is the minimum time between two requests of one host to a
	// cold server.
	warmInterval = 1100 * time.Millisecond
)

// Request describes the request that needs a server.
type Request struct {
	Service   core.ServiceID
	Object    string // identity of the requested object; requests for the same object prefer the same server
	Homes     []core.RegionID
	HomesOnly bool            // only servers in Homes may serve the request
	Exclude   []core.ServerID // servers that must not be chosen again
	// Unlimited excludes servers that name a limit.
	Unlimited bool
	// Sticky reports whether servers are faster for objects that they have
	// handled.
	Sticky bool
	// LargeAnswer reports whether the answer is large.
	LargeAnswer bool
	// MaxLatency is how long the answer may take, including the queue at the
	// server. The owner of a sticky object, or any server for other requests,
	// is chosen regardless while it has a free slot.
	MaxLatency time.Duration
}

// Lease counts one request at a server until Done.
type Lease struct {
	core.Instance
	// RemovedFor is how long ago the server's entry was removed. It is 0 unless
	// the entry has lapsed.
	RemovedFor time.Duration
	// Limit is what was known of the server's limit at the choice, and LimitAge
	// how long ago the server named it.
	Limit    Limit
	LimitAge time.Duration
	// PassedOver is the first server that was passed over because it is at its
	// limit, if any.
	PassedOver core.ServerID

	view     *Picker
	server   *server
	start    time.Duration
	queued   bool // all slots of the server were busy at the start
	released bool
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// unitHash combines two hashes into a number strictly between 0 and 1.
func unitHash(a, b uint64) float64 {
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
	score float64 // lower is better
	cold  bool
}

// candidates returns at most maxCandidates servers for the request, best
// first. eligible reports whether any server may serve it, including cold
// servers that this host must not warm now.
func (v *Picker) candidates(now time.Duration, req Request) (list []candidate, eligible bool) {
	v.refreshServices()
	object := hashName(req.Object)
	list = make([]candidate, 0, maxCandidates+1)
	for _, s := range v.services[req.Service] {
		if s.suspect || s.isExpired(now) || v.evacuated[s.Domain] || !v.allowed(s, req) {
			continue
		}
		eligible = true
		cold := now < s.coldUntil
		if cold && !v.mayWarm(now, s) {
			continue
		}
		// Weighted rendezvous hashing: the score is an exponential variate
		// with the weight as its rate.
		weight := s.weight
		if req.LargeAnswer {
			weight = s.largeWeight
		}
		u := unitHash(object, s.hash)
		worst := math.Inf(1)
		if len(list) == maxCandidates {
			worst = list[maxCandidates-1].score
		}
		if (1-u)/weight >= worst {
			continue // -log(u) is never less, and most servers need no logarithm
		}
		score := -math.Log(u) / weight
		if score >= worst {
			continue
		}
		i := sort.Search(len(list), func(i int) bool { return list[i].score > score })
		list = slices.Insert(list, i, candidate{server: s, score: score, cold: cold})
		list = list[:min(len(list), maxCandidates)]
	}
	return list, eligible
}

func (v *Picker) allowed(s *server, req Request) bool {
	for _, id := range req.Exclude {
		if id == s.Name {
			return false
		}
	}
	if !req.HomesOnly {
		return true
	}
	for _, home := range req.Homes {
		if v.cfg.Regions[s.Domain] == home {
			return true
		}
	}
	return false
}

// estimatedLoad returns the estimated number of requests at the server,
// running or queued.
func (s *server) estimatedLoad(now time.Duration) float64 {
	fromOthers := float64(s.remoteInFlight)
	if age := now - s.reportedAt; s.reportedAt > 0 && age < 4*loadDecay {
		reported := float64(s.reportedLoad) * math.Exp(-float64(age)/float64(loadDecay))
		fromOthers = max(fromOthers, reported)
	}
	return float64(s.inFlight) + fromOthers
}

// Acquire chooses a server and counts the request there until Lease.Release.
// Errors carry the code NoServer (no server may serve the request) or
// NoCapacity (no eligible server can take it in time).
func (v *Picker) Acquire(req Request) (*Lease, error) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	list, eligible := v.candidates(now, req)
	if !eligible {
		return nil, codes.New(codes.NoServer, "picker: all listed servers of service %s are unreachable, evacuated, already tried or outside the home regions", req.Service)
	}
	s := v.pick(now, list, req)
	if s == nil {
		err := codes.New(codes.NoCapacity, "picker: no server of service %s has capacity within the latency target", req.Service)
		if wait := limitWait(now, list); wait > 0 {
			return nil, &AtLimitError{Cause: err, Wait: wait}
		}
		return nil, err
	}
	queued := s.estimatedLoad(now) >= float64(s.Slots)
	s.inFlight++
	lease := &Lease{Instance: s.Instance, view: v, server: s, start: now, queued: queued, Limit: s.limit}
	if s.limit.Named {
		lease.LimitAge = now - s.limit.HeardAt
	}
	for _, c := range list {
		if c.server == s {
			break
		}
		if now < c.fullUntil {
			lease.PassedOver = c.Name
			break
		}
	}
	if s.expiresAt > 0 {
		lease.RemovedFor = now - s.removedAt
	}
	return lease, nil
}

// pick goes through the candidates in order. It returns the first one that is
// cold, or that is the owner of the object (for requests that are not sticky:
// any server) and has a free slot. Otherwise it returns the one with the
// earliest expected answer, or nil if none is expected to answer within
// req.MaxLatency. Servers at their limits are passed over. A cold candidate is
// only listed when this host may warm it. The owner is the first candidate that
// is neither cold nor at its limit; the others are slower for the object and only
// used while the service has spare slots.
func (v *Picker) pick(now time.Duration, list []candidate, req Request) *server {
	var best *server
	shortest := req.MaxLatency
	processing := v.processingTime(req.Service)
	ownerSeen := false // the owner of the object was considered
	saturated := req.Sticky && v.isSaturated(now, req.Service)
	for _, c := range list {
		if now < c.fullUntil || req.Unlimited && c.limit.Named {
			continue // the next candidate takes its place as the owner
		}
		if c.cold {
			c.nextWarm = now + warmInterval
			return c.server
		}
		isOther := req.Sticky && ownerSeen
		if isOther && saturated {
			break
		}
		ownerSeen = true
		if now < c.shedUntil {
			continue
		}
		ahead := c.estimatedLoad(now) - float64(c.Slots) + 1 // requests that must finish before this one starts
		if ahead <= 0 && !isOther {
			return c.server
		}
		expected := processing + time.Duration(max(ahead, 0)/float64(c.Slots)*float64(processing))
		if isOther {
			if ahead > 0 {
				continue
			}
			expected = time.Duration(coldObjectFactor * float64(processing))
		}
		if expected < shortest {
			best, shortest = c.server, expected
		}
	}
	return best
}

// isSaturated reports whether more than maxSpillLoad of a service's slots
// are busy. The result is cached for saturationTTL because it needs a scan of
// all servers.
func (v *Picker) isSaturated(now time.Duration, service core.ServiceID) bool {
	last := v.saturations[service]
	if last.at > 0 && now < last.at+saturationTTL {
		return last.saturated
	}
	busy, slots := 0.0, 0.0
	for _, s := range v.services[service] {
		if s.suspect || s.isExpired(now) || v.evacuated[s.Domain] {
			continue
		}
		usable := v.usableSlots(now, s)
		busy += min(s.estimatedLoad(now), usable)
		slots += usable
	}
	v.saturations[service] = saturation{at: now, saturated: busy > maxSpillLoad*slots}
	return busy > maxSpillLoad*slots
}

// saturation is a cached result of isSaturated.
type saturation struct {
	at        time.Duration
	saturated bool
}

// processingTime returns the mean time in which servers of a service answer
// without a queue.
func (v *Picker) processingTime(service core.ServiceID) time.Duration {
	if w := v.processingTimes[service]; w > 0 {
		return w
	}
	return defaultProcessingTime
}

// mayWarm reports whether this host may send a request to a cold server now.
// The first int(ColdRate) hosts of the server's failure domain, in their
// common order, each send it one request per warmInterval; all others leave
// it alone.
func (v *Picker) mayWarm(now time.Duration, s *server) bool {
	if s.Domain != v.cfg.Domain || now < s.nextWarm {
		return false
	}
	backing := v.cfg.Service(s.Service)
	return backing != nil && v.hostIndex(now) < int(backing.ColdRate)
}

// hostIndex returns the index of this host among the hosts that
// Config.DomainHosts returns for its failure domain.
func (v *Picker) hostIndex(now time.Duration) int {
	if v.ownIndexAt > 0 && now < v.ownIndexAt+hostIndexTTL {
		return v.ownIndex
	}
	v.ownIndex, v.ownIndexAt = slices.Index(v.cfg.DomainHosts(v.cfg.Domain), v.cfg.Host), now
	if v.ownIndex < 0 {
		v.ownIndex = math.MaxInt // a host that DomainHosts does not list warms no server
	}
	return v.ownIndex
}
