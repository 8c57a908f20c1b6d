package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

// ProbeReport is the result of one health probe, which the probing host shares with
// the other hosts of its failure domain.
type ProbeReport struct {
	Server core.ServerID
	Prober core.HostID
	Age    time.Duration // time since the probe ended
	Health core.Health
	Failed bool // the probe got no answer; Health is ignored
}

// ProbeTargets returns the servers that this host has to probe, given the live hosts
// of the failure domain.
func (p *Pool) ProbeTargets(live []core.HostID) []core.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	var assigned []core.Server
	for _, s := range p.active {
		if ProberOf(s.Name, live) == p.cfg.Host {
			assigned = append(assigned, s.Server)
		}
	}
	return assigned
}

// ProberOf returns the host that probes a server, or an empty name if there is no
// host. It uses rendezvous hashing: when hosts join or leave, only the servers
// that they gain or lose change their prober.
func ProberOf(id core.ServerID, live []core.HostID) core.HostID {
	var best core.HostID
	var bestHash uint64
	for _, h := range live {
		hash := xxhash.Sum64String(string(h) + "\x00" + string(id))
		if best == "" || hash > bestHash || (hash == bestHash && h < best) {
			best, bestHash = h, hash
		}
	}
	return best
}

// AddReport records the result of a probe of this host or of another host of the
// domain. A report that is not newer than the last one of its server is
// ignored.
func (p *Pool) AddReport(now time.Duration, r ProbeReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[r.Server]
	at := now - r.Age
	if s == nil || r.Age < 0 || (s.hasReport && at <= s.reportedAt) {
		return
	}
	wasLeaving := s.hasReport && s.report.Leaving
	if r.Failed {
		// A failed probe tells nothing about whether the server leaves, so the
		// earlier value is kept.
		r.Health = core.Health{Leaving: wasLeaving, Load: -1}
	}
	s.hasReport, s.report, s.probeFailed, s.reportedAt = true, r.Health, r.Failed, at
	if wasLeaving && !r.Health.Leaving {
		s.startRamp(now, p.cfg.SlowStart)
	}
	p.dispatch(now)
}
