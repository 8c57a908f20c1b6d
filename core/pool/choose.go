package pool

import (
	"math"
	"sync/atomic"
	"time"

	"azurering/core"
)

// Lease is one slot of one server, held for one request. It is safe for
// concurrent use.
type Lease struct {
	Server core.Server

	pool   *Pool
	server *server
	start  time.Duration
	done   atomic.Bool
}

// Release returns the slot and reports the outcome. Further calls do nothing.
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
	p.service = blend(p.service, (now - l.start).Seconds())
	if s.removed && s.inUse == 0 && p.servers[s.Name] == s {
		delete(p.servers, s.Name)
	}
	if s.Address == l.Server.Address {
		s.learn(now, now-l.start, o)
		p.judge(now, s)
	}
	if o == OutcomeOK {
		p.latency = blend(p.latency, (now - l.start).Seconds())
	}
	p.dispatch(now)
}

// room returns the free slots of a server. A cold server offers a part of
// its slots, at least one.
func (p *Pool) room(now time.Duration, s *server) (room, held int) {
	if s.isEjected(now) || !s.takesWork(now, p.cfg.ReportTTL) {
		return 0, 0
	}
	held = p.cfg.Slots(s.Name)
	if part := s.ramped(now); part < 1 && held > 0 {
		return max(int(part*float64(held)), 1) - s.inUse, held
	}
	return held - s.inUse, held
}

// score returns the score of a server with a few per cent of noise, so that
// a slightly worse server is still tried when there is little work.
func (p *Pool) score(now time.Duration, s *server, held int) float64 {
	return s.score(now, held, p.latency, p.cfg.ReportTTL) * (1 + 0.1*p.rand.Float64())
}

// choose draws servers at random until it has Choices with a free slot, and
// returns the best. If draws find too few, it looks at all of them.
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
		room, held := p.room(now, s)
		if room <= 0 {
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
	return p.scan(now, avoid)
}

// skipCold leaves a cold server out of a draw, so that its share of the
// work grows with its ramp.
func (p *Pool) skipCold(now time.Duration, s *server) bool {
	part := s.ramped(now)
	return part < 1 && p.rand.Float64() > max(part, rampFloor)
}

// scan returns the best server of all, the avoided one only if there is no
// other.
func (p *Pool) scan(now time.Duration, avoid core.ServerID) *server {
	var best, spare *server
	bestScore := math.Inf(1)
	from := p.rand.IntN(len(p.active))
	for i := range p.active {
		s := p.active[(from+i)%len(p.active)]
		room, held := p.room(now, s)
		if room <= 0 {
			continue
		}
		if s.Name == avoid {
			spare = s
			continue
		}
		if v := p.score(now, s, held); v < bestScore {
			best, bestScore = s, v
		}
	}
	if best == nil {
		return spare
	}
	return best
}

// judge ejects a server that fails, within the bound on ejected servers.
func (p *Pool) judge(now time.Duration, s *server) {
	failing := s.inRow >= p.cfg.EjectAfter || (s.outcomes >= 10 && s.failure > 0.5)
	if !failing || s.isEjected(now) || s.removed || p.ejected(now) >= p.ejectable() {
		return
	}
	if s.ejections > 0 && now > s.ejectedUntil+calm {
		s.ejections = 0
	}
	length := min(p.cfg.BaseEjection<<min(s.ejections, 10), maxEject)
	s.ejections++
	s.ejectedUntil = now + length
	s.inRow, s.outcomes, s.failure = 0, 0, 0
	s.ramp(s.ejectedUntil, max(p.cfg.RecoveryRamp, p.cfg.SlowStart))
	p.stats.Ejections++
}

func (p *Pool) ejected(now time.Duration) int {
	n := 0
	for _, s := range p.active {
		if s.isEjected(now) {
			n++
		}
	}
	return n
}

func (p *Pool) ejectable() int {
	n := len(p.active)
	if n < 2 {
		return 0
	}
	return max(int(p.cfg.MaxEjectedShare*float64(n)), 1)
}
