package picker

import (
	"time"

	"azurering/core"
)

// minLimitLogInterval is the minimum time between two changes of a server's
// limit that are reported as worth a log line.
const minLimitLogInterval = time.Second

// Limit is what is known of the rate of requests that a server accepts from all
// hosts together.
type Limit struct {
	Named     bool          // the server's latest answer named a limit
	PerSecond float64       // requests per second; set if Named
	HeardAt   time.Duration // when that answer arrived; 0 if there was none
}

// LimitChange says how an answer changed what is known of a server's limit.
type LimitChange struct {
	Server  core.ServerID
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
	change, changed := v.recordLimit(i, m)
	if changed && v.cfg.OnLimit != nil {
		v.cfg.OnLimit(change)
	}
}

func (v *Picker) recordLimit(i core.Instance, m core.ReplyMeta) (change LimitChange, changed bool) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[i.Name]
	if s == nil || s.StartedMs != i.StartedMs || s.Address != i.Address {
		return change, false
	}
	change = LimitChange{Server: i.Name, Old: s.limit, New: s.limit}
	switch {
	case m.RateLimit.State == core.RateLimitNamed:
		change.New = Limit{Named: true, PerSecond: m.RateLimit.PerSecond, HeardAt: now}
	case m.RateLimit.State == core.RateLimitInvalid:
		change.Invalid = true
	case m.Stamped && !m.NotExecuted:
		change.New = Limit{HeardAt: now}
	}
	s.limit = change.New
	changed = change.Invalid || change.New.Named != change.Old.Named || change.New.PerSecond != change.Old.PerSecond
	if changed {
		change.Frequent = s.limitLoggedAt > 0 && now < s.limitLoggedAt+minLimitLogInterval
		if !change.Frequent {
			s.limitLoggedAt = now
		}
	}
	return change, changed
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
