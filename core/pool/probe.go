package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

// ProbeReport is the result of one probe, as the prober shares it with the other
// hosts of its failure domain.
type ProbeReport struct {
	Server core.ServerID
	Prober core.HostID
	Age    time.Duration // time since the probe's answer
	Health core.Health
	Failed bool // the probe got no answer; Health does not count
}

// ProbeTargets returns the servers that this host probes, given the live hosts of
// the failure domain. The highest rendezvous hash makes each server the duty
// of one host, and a change of hosts moves only the servers concerned.
func (p *Pool) ProbeTargets(live []core.HostID) []core.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	var mine []core.Server
	for _, s := range p.active {
		if ProberOf(s.Name, live) == p.cfg.Host {
			mine = append(mine, s.Server)
		}
	}
	return mine
}

// ProberOf returns the host that probes a server, empty if there is no host.
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

// AddReport takes the result of an own probe or of one that a host of the
// domain shared. Reports older than the newest known one are dropped.
func (p *Pool) AddReport(now time.Duration, r ProbeReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[r.Server]
	at := now - r.Age
	if s == nil || r.Age < 0 || (s.reported && at <= s.reportAt) {
		return
	}
	left := s.reported && s.report.Leaving
	if r.Failed {
		// A failed probe says nothing new about leaving.
		r.Health = core.Health{Leaving: left, Load: -1}
	}
	s.reported, s.report, s.failed, s.reportAt = true, r.Health, r.Failed, at
	if left && !r.Health.Leaving {
		s.ramp(now, p.cfg.SlowStart)
	}
	p.dispatch(now)
}
