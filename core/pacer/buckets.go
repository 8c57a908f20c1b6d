package pacer

import (
	"sync"
	"time"

	"azurering/core"
	"azurering/core/picker"
)

const (
	// burstTime is the time whose requests a server may get at once.
	burstTime = 500 * time.Millisecond
	// handoverTime is how long a new coordinator of a server waits before it
	// grants: three heartbeat intervals, after which no host asks the previous
	// one any more. Both would grant the whole limit meanwhile.
	handoverTime = 1200 * time.Millisecond
	// maxPause is the longest time between two calls of retain after which the host
	// is still taken for the coordinator. After a longer one, hosts of its failure
	// domain may have taken it for dead.
	maxPause = 1200 * time.Millisecond
	// minRate is the lowest rate that is granted, in requests per second. A server
	// that gets nothing cannot tell that its limit has ended.
	minRate = 0.25
	// contestedShare is the part of a limit that is granted while another coordinator
	// may be cut off. It grants the whole limit, and the bound of the users is one and
	// a half times that; the rest covers requests on their way.
	contestedShare = 0.4
	// minWait is the shortest time until a host may ask again. It bounds the
	// messages to a coordinator.
	minWait = 20 * time.Millisecond
	// noticeInterval is the time between two notices of an unchanged limit. They
	// reach hosts that missed the first one or have started since.
	noticeInterval = 2 * time.Second
	// maxEndNotices is how often the end of a limit is told.
	maxEndNotices = 3
)

// buckets holds a token bucket for each server that this host coordinates. It is
// safe for concurrent use.
type buckets struct {
	timer    core.Timer
	onChange func(Coordination)

	mu       sync.Mutex
	servers  map[core.ServerID]*bucket
	retained time.Duration  // time of the last call of retain; 0 before the first
	changes  []Coordination // not reported yet
}

type bucket struct {
	server    core.Instance
	contested bool          // as of the last request
	grants    time.Duration // when this host begins to grant
	tokens    float64       // one allows one request
	updated   time.Duration // time of the last refill

	noticed    picker.Limit  // limit of the last notice
	noticeAt   time.Duration // time of the last notice
	endNotices int           // notices since the limit ended
}

// take takes a token for one request to a server that accepts perSecond requests
// per second, and reports whether there was one. If not, wait is the time until
// there may be one. The first call for a server makes this host its coordinator.
// Contested is that of core.Coordinator.
func (s *buckets) take(i core.Instance, perSecond float64, contested bool) (wait time.Duration, ok bool) {
	now := s.timer.Now()
	s.mu.Lock()
	defer s.unlockAndReport()
	s.dropAfterPause(now)
	b := s.servers[i.Name]
	if b == nil || b.server.StartedMs != i.StartedMs {
		b = &bucket{server: i, contested: contested, grants: now + handoverTime, updated: now + handoverTime}
		s.servers[i.Name] = b
		s.addChange(b, true)
	}
	if b.contested != contested {
		b.contested = contested
		s.addChange(b, true)
	}
	if now < b.grants {
		return max(b.grants-now, minWait), false
	}
	if contested {
		perSecond *= contestedShare
	}
	rate := max(perSecond, minRate)
	b.tokens = min(b.tokens+(now-b.updated).Seconds()*rate, max(1, rate*burstTime.Seconds()))
	b.updated = now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return max(time.Duration((1-b.tokens)/rate*float64(time.Second)), minWait), false
}

// retain ends the coordination of the servers for which keep returns false. The
// host has to wait before it grants requests to them again. Call it several times
// a second.
func (s *buckets) retain(keep func(core.Instance) bool) {
	now := s.timer.Now()
	s.mu.Lock()
	defer s.unlockAndReport()
	s.dropAfterPause(now)
	s.retained = now
	for name, b := range s.servers {
		if !keep(b.server) {
			delete(s.servers, name)
			s.addChange(b, false)
		}
	}
}

// due returns the servers whose limits are to be told to the other hosts now: those
// that have changed, and the others every noticeInterval. It ends the coordination
// of servers without a limit once that was told.
func (s *buckets) due(limit func(core.Instance) picker.Limit) []core.Instance {
	now := s.timer.Now()
	s.mu.Lock()
	defer s.unlockAndReport()
	var list []core.Instance
	for name, b := range s.servers {
		current := limit(b.server)
		isSame := current.Named == b.noticed.Named && current.PerSecond == b.noticed.PerSecond
		if isSame && now < b.noticeAt+noticeInterval {
			continue
		}
		list = append(list, b.server)
		b.noticed, b.noticeAt = current, now
		if current.Named {
			b.endNotices = 0
			continue
		}
		if b.endNotices++; b.endNotices >= maxEndNotices {
			delete(s.servers, name)
			s.addChange(b, false)
		}
	}
	return list
}

// dropAfterPause ends the coordination of all servers if retain is overdue: the
// process was paused, and another host may have taken over meanwhile.
func (s *buckets) dropAfterPause(now time.Duration) {
	if s.retained == 0 || now <= s.retained+maxPause {
		return
	}
	for _, b := range s.servers {
		s.addChange(b, false)
	}
	clear(s.servers)
}

func (s *buckets) addChange(b *bucket, active bool) {
	s.changes = append(s.changes, Coordination{Server: b.server.Name, Active: active, Contested: b.contested})
}

// unlockAndReport unlocks s.mu and reports the changes since it was locked.
func (s *buckets) unlockAndReport() {
	changes := s.changes
	s.changes = nil
	s.mu.Unlock()
	for _, c := range changes {
		s.onChange(c)
	}
}

// count returns how many servers this host coordinates.
func (s *buckets) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.servers)
}
