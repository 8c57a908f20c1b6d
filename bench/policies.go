package bench

import (
	"cmp"
	"slices"
	"time"

	"azurering/core"
	"azurering/core/steer"
)

// baselineLife is the lifetime of the baselines' answers, the mean of those
// of azurering.
const baselineLife = 27 * time.Second

// ranking is the baselines: it ranks the domains that are known to be
// reachable by distance, or by measured load and then by distance.
type ranking struct {
	m      *model
	byLoad bool
}

func (r *ranking) second(time.Duration) {}

func (r *ranking) look(now time.Duration, c *modelCaller) ([]int, time.Duration, bool) {
	m := r.m
	busy := make([]float64, len(m.d.domains))
	if s, ok := m.measured(now); ok && r.byLoad {
		for _, l := range s.loads[c.service] {
			i := slices.Index(m.d.domains, l.Domain)
			busy[i] = 1 - float64(l.Free)/float64(l.Total)
		}
	}
	var ranked []int
	for i := range m.d.domains {
		if i != m.drained && m.known(now, c.home, i) {
			ranked = append(ranked, i)
		}
	}
	// Equal domains come in an order of the caller's block.
	n := len(m.d.domains)
	turn := func(i int) int { return (i + int(c.addr.As4()[2])) % n }
	slices.SortFunc(ranked, func(a, b int) int {
		return cmp.Or(cmp.Compare(busy[a], busy[b]), cmp.Compare(m.d.delay(c.home, a), m.d.delay(c.home, b)), cmp.Compare(turn(a), turn(b)))
	})
	return ranked, baselineLife, len(ranked) > 0
}

// steered is one steer.Steer per entry host.
type steered struct {
	m      *model
	hosts  []*steer.Planner
	buf    []core.Host
	sheet  *core.Sheet
	states string // of the hosts as last told
	seen   time.Duration
}

func newSteered(m *model) *steered {
	p := &steered{m: m, buf: make([]core.Host, 0, 4), sheet: m.d.sheet, seen: -1}
	for _, h := range m.d.hosts {
		p.hosts = append(p.hosts, steer.New(steer.Config{Self: h, Sheet: m.d.sheet, Hosts: m.d.hosts, RequestRate: callerRate}))
	}
	return p
}

func (p *steered) second(now time.Duration) {
	m := p.m
	if drained := m.drained >= 0; drained != (len(p.sheet.Drains) > 0) {
		next := *m.d.sheet
		if drained {
			next.Drains = []core.Drain{{Kind: core.DrainDomain, Target: string(m.d.domains[m.drained]), Mode: core.ModeDrain}}
		}
		p.sheet = &next
		for _, s := range p.hosts {
			s.Apply(now, &next)
		}
	}
	p.tellHosts(now)
	sample, ok := m.measured(now)
	for i, s := range p.hosts {
		if ok && sample.at > p.seen {
			for k, service := range m.d.services {
				s.AddLoads(now, service.name, now-sample.at, p.visible(now, i/deploymentHosts, sample.loads[k]))
			}
		}
		s.Replan(now)
	}
	if ok {
		p.seen = sample.at
	}
}

// visible leaves out the measurements of domains that a host cannot reach.
func (p *steered) visible(now time.Duration, home int, loads []core.DomainLoad) []core.DomainLoad {
	var out []core.DomainLoad
	for _, l := range loads {
		if p.m.reachable(now, home, slices.Index(p.m.d.domains, l.Domain)) {
			out = append(out, l)
		}
	}
	return out
}

// tellHosts gives each host its view of the others when it changes.
func (p *steered) tellHosts(now time.Duration) {
	n := len(p.m.d.domains)
	states := make([]byte, 0, n*n)
	for home := range n {
		for domain := range n {
			state := byte('d')
			if p.m.known(now, home, domain) {
				state = 'l'
			}
			states = append(states, state)
		}
	}
	if string(states) == p.states {
		return
	}
	p.states = string(states)
	for i, s := range p.hosts {
		home := i / deploymentHosts
		hosts := slices.Clone(p.m.d.hosts)
		for j := range hosts {
			if states[home*n+j/deploymentHosts] == 'd' {
				hosts[j].State = core.HostDead
			}
		}
		s.SetHosts(now, hosts)
	}
}

// look asks a host: one of the home domain, or else of the domain that the
// last answer fell back to.
func (p *steered) look(now time.Duration, c *modelCaller) ([]int, time.Duration, bool) {
	m := p.m
	at := c.home
	for i := 0; !m.reachable(now, c.home, at) && i < len(c.ranked); i++ {
		at = c.ranked[i]
	}
	for i := 0; !m.reachable(now, c.home, at) && i < len(m.d.domains); i++ {
		at = (int(c.addr.As4()[2]) + i) % len(m.d.domains)
	}
	s := p.hosts[at*deploymentHosts+m.random.IntN(deploymentHosts)]
	a, err := s.Lookup(m.d.services[c.service].name, c.addr, p.buf)
	if err != nil {
		return nil, 0, false
	}
	var ranked []int
	for _, h := range a.Hosts {
		i := slices.Index(m.d.domains, h.Domain)
		if !slices.Contains(ranked, i) {
			ranked = append(ranked, i)
		}
	}
	return ranked, a.Lifetime, true
}
