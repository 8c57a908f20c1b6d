package picker

import (
	"math"
	"time"

	"azurering/core"
)

const (
	// minLimitLogInterval is the minimum time between two changes of a server's
	// limit that are reported as worth a log line.
	minLimitLogInterval = time.Second
	// limitFreshness is how long a limit lowers the server's share of the requests
	// after an answer that names it. After that the server is offered as much as
	// before, within the limit, to hear whether the limit still holds.
	limitFreshness = 2 * time.Second
	// minLimitedSlots is the least number of slots as which a server with a limit
	// counts.
	minLimitedSlots = 0.05
	// maxFullTime bounds how long a server is passed over without another attempt
	// to get a permit, so that the end of a low limit is noticed.
	maxFullTime = time.Second
)

// Limit is what is known of the rate of requests that a server accepts from all
// hosts together.
type Limit struct {
	Named     bool          // the server's latest answer named a limit
	PerSecond float64       // requests per second; set if Named
	HeardAt   time.Duration // when that answer arrived, here or at another host; 0 if there was none
}

// LimitChange says how what is known of a server's limit has changed.
type LimitChange struct {
	Server  core.ServerID
	Source  core.HostID // host that told of the change; empty for an answer of the server
	Old     Limit
	New     Limit
	Invalid bool // the answer named a limit that cannot be used; New equals Old
	// Frequent is set if a change of the same server was reported less than
	// minLimitLogInterval ago.
	Frequent bool
}

// RecordLimit records what an answer of a server says of its limit. A limit ends
// with an answer to a request that the server ran and that names none; status
// checks and rejections that name none say nothing.
func (v *Picker) RecordLimit(i core.Instance, m core.ReplyMeta) {
	if m.Instance != "" && m.Instance != i.Name {
		return // another server answered
	}
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	s := v.servers[i.Name]
	if s == nil || s.StartedMs != i.StartedMs || s.Address != i.Address {
		v.mu.Unlock()
		return
	}
	change := LimitChange{Server: i.Name, New: s.limit}
	switch {
	case m.RateLimit.State == core.RateLimitNamed:
		change.New = Limit{Named: true, PerSecond: m.RateLimit.PerSecond, HeardAt: max(now, 1)}
	case m.RateLimit.State == core.RateLimitInvalid:
		change.Invalid = true
	case m.Stamped && !m.NotExecuted:
		change.New = Limit{HeardAt: max(now, 1)}
	}
	changed := s.applyLimit(now, &change)
	s.limitUntold = s.limitUntold || changed && !change.Invalid
	v.mu.Unlock()
	v.reportLimit(change, changed)
}

// TakeUntoldLimits returns the servers whose own answers changed what is known of
// their limits since the last call.
func (v *Picker) TakeUntoldLimits() []core.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []core.Instance
	for _, s := range v.servers {
		if s.limitUntold {
			s.limitUntold = false
			list = append(list, s.Instance)
		}
	}
	return list
}

// MergeLimit adopts what another host knows of a server's limit, if it is newer.
// It returns the server, and false if this host does not know that start of it.
func (v *Picker) MergeLimit(id core.ServerID, startedMs int64, known Limit, source core.HostID) (i core.Instance, ok bool) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	s := v.servers[id]
	if s == nil || !s.listed || s.StartedMs != startedMs {
		v.mu.Unlock()
		return core.Instance{}, false
	}
	i = s.Instance
	change := LimitChange{Server: id, Source: source, New: s.limit}
	if known.HeardAt > s.limit.HeardAt {
		change.New = known
	}
	changed := s.applyLimit(now, &change)
	v.mu.Unlock()
	v.reportLimit(change, changed)
	return i, true
}

// applyLimit puts a change in force and sets its Old and Frequent. It reports
// whether there is anything to report.
func (s *server) applyLimit(now time.Duration, c *LimitChange) bool {
	c.Old, s.limit = s.limit, c.New
	if !c.New.Named || c.New.PerSecond > c.Old.PerSecond {
		s.fullUntil = 0
	}
	if !c.Invalid && c.New.Named == c.Old.Named && c.New.PerSecond == c.Old.PerSecond {
		return false
	}
	c.Frequent = s.limitLoggedAt > 0 && now < s.limitLoggedAt+minLimitLogInterval
	if !c.Frequent {
		s.limitLoggedAt = now
	}
	return true
}

func (v *Picker) reportLimit(c LimitChange, changed bool) {
	if changed && v.cfg.OnLimit != nil {
		v.cfg.OnLimit(c)
	}
}

// Limit returns what is known of a server's limit. It is the zero Limit if this
// host knows another start of the server.
func (v *Picker) Limit(i core.Instance) Limit {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.servers[i.Name]; s != nil && s.StartedMs == i.StartedMs {
		return s.limit
	}
	return Limit{}
}

// Decline ends a lease that was not used because the server is at its limit. The
// server is passed over for the given time.
func (l *Lease) Decline(wait time.Duration) {
	v := l.view
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	l.server.fullUntil = max(l.server.fullUntil, now+min(wait, maxFullTime))
	v.mu.Unlock()
	l.Release(OutcomeCancelled, nil)
}

// AtLimitError is the error of Acquire if all servers that could take the request
// are at their limits.
type AtLimitError struct {
	Cause error
	Wait  time.Duration // until one of them may accept a request
}

// Error implements error.
func (e *AtLimitError) Error() string { return e.Cause.Error() }

// Unwrap returns the coded error.
func (e *AtLimitError) Unwrap() error { return e.Cause }

// limitWait returns the time until the first of the servers may accept a request
// again, if all of them are at their limits, and otherwise 0.
func limitWait(now time.Duration, list []candidate) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, c := range list {
		shortest = min(shortest, c.fullUntil-now)
	}
	if len(list) == 0 || shortest < 0 {
		return 0
	}
	return shortest
}

// usableSlots returns the number of slots that the server may fill. At its limit,
// a server fills as large a part of them as localLoadLimit.
func (v *Picker) usableSlots(now time.Duration, s *server) float64 {
	slots := float64(s.Slots)
	if !s.limit.Named || now > s.limit.HeardAt+limitFreshness {
		return slots
	}
	busy := s.limit.PerSecond * v.processingTime(s.Service).Seconds()
	return min(slots, max(busy/localLoadLimit, minLimitedSlots))
}

// NumLimited returns the number of listed servers that name a limit.
func (v *Picker) NumLimited() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, s := range v.servers {
		if s.listed && s.limit.Named {
			n++
		}
	}
	return n
}
