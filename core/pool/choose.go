package pool

import (
	"math"
	"sync/atomic"
	"time"

	"azurering/core"
)

// Lease is one slot of a server, held for one request. It is safe for
// concurrent use.
type Lease struct {
	Server core.Server

	pool   *Pool
	server *server
	start  time.Duration
	done   atomic.Bool
}

// Release releases the slot and reports the outcome. Only the first call counts.
func (l *Lease) Release(now time.Duration, o Outcome) {
	if l.done.Swap(true) {
		return
	}
	l.pool.finish(now, l, o)
}

func (p *Pool) finish(now time.Duration, l *Lease, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := l.server
	s.inUse--
	p.inUse--
	p.meanUse = movingAverage(p.meanUse, (now - l.start).Seconds())
	if s.removed && s.inUse == 0 && p.servers[s.Name] == s {
		delete(p.servers, s.Name)
	}
	if s.Address == l.Server.Address {
		s.observe(now, now-l.start, o)
		p.ejectIfFailing(now, s)
	}
	if o == OutcomeOK {
		p.meanLatency = movingAverage(p.meanLatency, (now - l.start).Seconds())
	}
	p.dispatch(now)
}

// freeSlots returns how many more requests a server may get, and how many of
// its slots this host holds. During its ramp a server offers only a part of its
// slots, at least one.
func (p *Pool) freeSlots(now time.Duration, s *server) (free, held int) {
	if s.isEjected(now) || !s.acceptsRequests(now, p.cfg.ReportTTL) {
		return 0, 0
	}
	held = p.cfg.Slots(s.Name)
	if progress := s.rampProgress(now); progress < 1 && held > 0 {
		return max(int(progress*float64(held)), 1) - s.inUse, held
	}
	return held - s.inUse, held
}

// score returns the score of a server, raised at random by up to 10 percent, so
// that a slightly worse server is still tried when there is little work. Lower
// is better.
func (p *Pool) score(now time.Duration, s *server, held int) float64 {
	return s.score(now, held, p.meanLatency, p.cfg.ReportTTL) * (1 + 0.1*p.rand.Float64())
}

// choose compares Choices randomly drawn servers that have a free slot and
// returns the one with the lowest score. The number of draws is limited: if
// they find fewer servers it compares those, and if they find none it scans all
// servers.
func (p *Pool) choose(now time.Duration, avoid core.ServerID) *server {
	n := len(p.active)
	if n == 0 {
		return nil
	}
	var best *server
	bestScore, found := math.Inf(1), 0
	for range 4 * p.cfg.Choices {
		s := p.active[p.rand.IntN(n)]
		if s == best || s.Name == avoid || p.skipCold(now, s) {
			continue
		}
		free, held := p.freeSlots(now, s)
		if free <= 0 {
			continue
		}
		if v := p.score(now, s, held); v < bestScore {
			best, bestScore = s, v
		}
		if found++; found == p.cfg.Choices {
			return best
		}
	}
	if best != nil {
		return best
	}
	return p.chooseFromAll(now, avoid)
}

// skipCold reports whether a draw passes over a cold server. It does so at
// random, so that the server's share of the work grows with its ramp.
func (p *Pool) skipCold(now time.Duration, s *server) bool {
	progress := s.rampProgress(now)
	return progress < 1 && p.rand.Float64() > max(progress, minDrawShare)
}

// chooseFromAll returns the server with the lowest score of all that have a
// free slot. It returns the server to avoid only if there is no other.
func (p *Pool) chooseFromAll(now time.Duration, avoid core.ServerID) *server {
	var best, fallback *server
	bestScore := math.Inf(1)
	offset := p.rand.IntN(len(p.active))
	for i := range p.active {
		s := p.active[(offset+i)%len(p.active)]
		free, held := p.freeSlots(now, s)
		if free <= 0 {
			continue
		}
		if s.Name == avoid {
			fallback = s
			continue
		}
		if v := p.score(now, s, held); v < bestScore {
			best, bestScore = s, v
		}
	}
	if best == nil {
		return fallback
	}
	return best
}

// ejectIfFailing ejects a server that keeps failing, unless too many servers
// are ejected already. Each further ejection takes twice as long.
func (p *Pool) ejectIfFailing(now time.Duration, s *server) {
	failing := s.failuresInRow >= p.cfg.EjectAfter || (s.outcomes >= 10 && s.failureRate > 0.5)
	if !failing || s.isEjected(now) || s.removed || p.countEjected(now) >= p.ejectionLimit() {
		return
	}
	if s.ejections > 0 && now > s.ejectedUntil+ejectionReset {
		s.ejections = 0
	}
	length := min(p.cfg.BaseEjection<<min(s.ejections, 10), maxEjection)
	s.ejections++
	s.ejectedUntil = now + length
	s.failuresInRow, s.outcomes, s.failureRate = 0, 0, 0
	s.startRamp(s.ejectedUntil, max(p.cfg.RecoveryRamp, p.cfg.SlowStart))
	p.stats.Ejections++
}

func (p *Pool) countEjected(now time.Duration) int {
	n := 0
	for _, s := range p.active {
		if s.isEjected(now) {
			n++
		}
	}
	return n
}

// ejectionLimit returns how many servers may be ejected at the same time.
func (p *Pool) ejectionLimit() int {
	n := len(p.active)
	if n < 2 {
		return 0
	}
	return max(int(p.cfg.MaxEjectedShare*float64(n)), 1)
}
