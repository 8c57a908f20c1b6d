package bench

import (
	"cmp"
	"slices"
	"time"

	"azurering/core"
	"azurering/core/steer"
)

// baselineTTL is the lifetime of the baselines' answers, equal to the mean
// lifetime of azurering's answers.
const baselineTTL = 27 * time.Second

// baseline implements both baseline policies. It ranks the domains that are
// believed to be reachable by distance, or by measured load and then by
// distance.
type baseline struct {
	m      *model
	byLoad bool
}

func (p *baseline) tick(time.Duration) {}

func (p *baseline) lookUp(now time.Duration, c *modelCaller) ([]int, time.Duration, bool) {
	m := p.m
	utilization := make([]float64, len(m.deployment.domains))
	if s, ok := m.latestSample(now); ok && p.byLoad {
		for _, l := range s.loads[c.service] {
			i := slices.Index(m.deployment.domains, l.Domain)
			utilization[i] = 1 - float64(l.Free)/float64(l.Total)
		}
	}
	var ranked []int
	for i := range m.deployment.domains {
		if i != m.drainedDomain && m.knownReachable(now, c.home, i) {
			ranked = append(ranked, i)
		}
	}
	// Ties are broken by an order that depends on the caller's address block,
	// so that callers are spread over equal domains.
	n := len(m.deployment.domains)
	rotation := func(i int) int { return (i + int(c.addr.As4()[2])) % n }
	slices.SortFunc(ranked, func(a, b int) int {
		return cmp.Or(cmp.Compare(utilization[a], utilization[b]), cmp.Compare(m.deployment.delay(c.home, a), m.deployment.delay(c.home, b)), cmp.Compare(rotation(a), rotation(b)))
	})
	return ranked, baselineTTL, len(ranked) > 0
}

// steeringPolicy is azurering's policy, with one steer.Planner per entry host.
type steeringPolicy struct {
	m          *model
	instances  []*steer.Planner
	buf        []core.Host
	sheet      *core.Sheet
	hostStates string // host states of the last update, see updateHosts
	lastSample time.Duration
}

func newSteeringPolicy(m *model) *steeringPolicy {
	p := &steeringPolicy{m: m, buf: make([]core.Host, 0, 4), sheet: m.deployment.sheet, lastSample: -1}
	for _, h := range m.deployment.hosts {
		p.instances = append(p.instances, steer.New(steer.Config{Self: h, Sheet: m.deployment.sheet, Hosts: m.deployment.hosts, RequestRate: callerRate}))
	}
	return p
}

func (p *steeringPolicy) tick(now time.Duration) {
	m := p.m
	if drained := m.drainedDomain >= 0; drained != (len(p.sheet.Drains) > 0) {
		next := *m.deployment.sheet
		if drained {
			next.Drains = []core.Drain{{Kind: core.DrainDomain, Target: string(m.deployment.domains[m.drainedDomain]), Mode: core.ModeDrain}}
		}
		p.sheet = &next
		for _, s := range p.instances {
			s.Apply(now, &next)
		}
	}
	p.updateHosts(now)
	sample, ok := m.latestSample(now)
	for i, s := range p.instances {
		if ok && sample.at > p.lastSample {
			for k, service := range m.deployment.services {
				s.AddLoads(now, service.name, now-sample.at, p.reachableLoads(now, i/hostsPerDomain, sample.loads[k]))
			}
		}
		s.Replan(now)
	}
	if ok {
		p.lastSample = sample.at
	}
}

// reachableLoads returns the measurements of the domains that hosts of the
// home domain can reach.
func (p *steeringPolicy) reachableLoads(now time.Duration, home int, loads []core.DomainLoad) []core.DomainLoad {
	var out []core.DomainLoad
	for _, l := range loads {
		if p.m.reachable(now, home, slices.Index(p.m.deployment.domains, l.Domain)) {
			out = append(out, l)
		}
	}
	return out
}

// updateHosts passes each instance the states of all hosts as its domain sees
// them, if any state has changed.
func (p *steeringPolicy) updateHosts(now time.Duration) {
	n := len(p.m.deployment.domains)
	states := make([]byte, 0, n*n)
	for home := range n {
		for domain := range n {
			state := byte('d')
			if p.m.knownReachable(now, home, domain) {
				state = 'l'
			}
			states = append(states, state)
		}
	}
	if string(states) == p.hostStates {
		return
	}
	p.hostStates = string(states)
	for i, s := range p.instances {
		home := i / hostsPerDomain
		hosts := slices.Clone(p.m.deployment.hosts)
		for j := range hosts {
			if states[home*n+j/hostsPerDomain] == 'd' {
				hosts[j].State = core.HostDead
			}
		}
		s.SetHosts(now, hosts)
	}
}

// lookUp asks a random host of the first reachable domain: the home domain, a
// domain of the caller's previous answer, or any other domain.
func (p *steeringPolicy) lookUp(now time.Duration, c *modelCaller) ([]int, time.Duration, bool) {
	m := p.m
	entry := c.home
	for i := 0; !m.reachable(now, c.home, entry) && i < len(c.ranked); i++ {
		entry = c.ranked[i]
	}
	for i := 0; !m.reachable(now, c.home, entry) && i < len(m.deployment.domains); i++ {
		entry = (int(c.addr.As4()[2]) + i) % len(m.deployment.domains)
	}
	s := p.instances[entry*hostsPerDomain+m.random.IntN(hostsPerDomain)]
	a, err := s.Lookup(m.deployment.services[c.service].name, c.addr, p.buf)
	if err != nil {
		return nil, 0, false
	}
	var ranked []int
	for _, h := range a.Hosts {
		i := slices.Index(m.deployment.domains, h.Domain)
		if !slices.Contains(ranked, i) {
			ranked = append(ranked, i)
		}
	}
	return ranked, a.Lifetime, true
}
