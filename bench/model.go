package bench

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"azurering/core"
)

// The model is one queue per domain and service with as many slots as its
// servers have. Callers send requests at random times, keep an answer for
// its lifetime, and go to the next host of the answer if one cannot be
// reached. It is a fake for comparing policies, not a simulation of the
// protocols between hosts.
const (
	// callerRate is the mean number of requests per second of a caller.
	callerRate = 0.5
	// load is the mean share of all slots in use.
	load = 0.5
	// lag is the age of measurements; they come every five seconds.
	lag = 15 * time.Second
	// stale is the age from which no policy uses a measurement any more.
	stale = 60 * time.Second
	// notice is the time until hosts know that another is dead.
	notice = 6 * time.Second
	// failover is what a caller loses on a host that cannot be reached.
	failover = 250 * time.Millisecond
	// coldWork is the factor by which cold caches slow a request down.
	coldWork = 2.0
	// coldRequests is the number of requests after which a domain has the
	// data of another domain's callers in its caches.
	coldRequests = 100.0
	// coldFor is how long a restarted domain has cold caches.
	coldFor = 60 * time.Second
)

// smooth is the number of seconds over which the use of slots is averaged
// for the headroom; single seconds are full by chance.
const smooth = 10

// settling is the time after the start or a fault in which callers still
// use answers from before.
const settling = 40 * time.Second

// skew is the demand of the callers of each domain against the mean.
var skew = []float64{1.5, 0.7, 1.2, 0.6, 1.2, 0.8}

// policy chooses domains for a caller, best first.
type policy interface {
	look(now time.Duration, c *modelCaller) (ranked []int, life time.Duration, ok bool)
	second(now time.Duration)
}

type modelCaller struct {
	// random draws the times and the work of the caller's requests, so that
	// they are the same whatever the policy.
	random  *rand.Rand
	next    time.Duration
	addr    netip.Addr
	home    int
	service int
	ranked  []int
	till    time.Duration
}

type callerHeap []*modelCaller

func (h callerHeap) Len() int           { return len(h) }
func (h callerHeap) Less(i, j int) bool { return h[i].next < h[j].next }
func (h callerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *callerHeap) Push(x any)        { *h = append(*h, x.(*modelCaller)) }
func (h *callerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// queue is the slots of one service in one domain: the times at which they
// come free.
type queue struct {
	slots  []time.Duration
	cold   time.Duration // end of the cold start
	served []float64     // requests of the callers of each home, decaying
	used   []time.Duration
}

type model struct {
	cfg      PolicyConfig
	d        deployment
	scenario string
	policy   policy
	random   *rand.Rand
	callers  callerHeap
	queues   [][]*queue // by domain and service
	samples  []sample
	from, to time.Duration // the fault
	drained  int           // domain, or -1
	result   PolicyResult
	times    *hdrhistogram.Histogram
	waited   int
	away     int
	busy     []float64 // smoothed share of the slots in use, by domain
	peaks    []float64
	worst    time.Duration // longest wait of the second
}

type sample struct {
	at    time.Duration
	loads [][]core.DomainLoad // by service
}

func newModel(cfg PolicyConfig, d deployment, scenario, name string) *model {
	end := time.Duration(cfg.Seconds) * time.Second
	m := &model{
		cfg: cfg, d: d, scenario: scenario, random: rand.New(rand.NewPCG(cfg.Seed, 11)),
		busy: make([]float64, len(d.domains)), from: end / 3, to: 2 * end / 3, drained: -1, times: newHistogram(),
		result: PolicyResult{Deployment: d.name, Scenario: scenario, Policy: name},
	}
	for i := range d.domains {
		var row []*queue
		for _, s := range d.services {
			slots := 0
			for _, server := range d.sheet.Servers {
				if server.Domain == d.domains[i] && server.Service == s.name {
					slots += server.Slots
				}
			}
			q := &queue{slots: make([]time.Duration, slots), served: make([]float64, len(d.domains)), used: make([]time.Duration, len(d.domains))}
			q.served[i] = coldRequests
			row = append(row, q)
		}
		m.queues = append(m.queues, row)
	}
	m.populate()
	switch name {
	case PolicySteer:
		m.policy = newSteered(m)
	case PolicyNearest:
		m.policy = &ranking{m: m}
	default:
		m.policy = &ranking{m: m, byLoad: true}
	}
	return m
}

// populate makes callers so that the mean load is as wanted.
func (m *model) populate() {
	for s, service := range m.d.services {
		slots := 0
		for i := range m.queues {
			slots += len(m.queues[i][s].slots)
		}
		n := load * float64(slots) / (callerRate * service.work.Seconds())
		for home := range m.d.domains {
			for range int(math.Round(n * skew[home] / float64(len(skew)))) {
				c := &modelCaller{home: home, service: s, random: rand.New(rand.NewPCG(m.cfg.Seed, uint64(len(m.callers))))}
				c.addr = netip.AddrFrom4([4]byte{10, byte(home), byte(c.random.IntN(64)), byte(c.random.IntN(256))})
				c.next = exponential(c.random, time.Duration(float64(time.Second)/callerRate))
				m.callers = append(m.callers, c)
			}
		}
	}
	heap.Init(&m.callers)
}

// demand is the factor of the rate of callers: the day's wave, and a rise
// after measurements have stopped.
func (m *model) demand(now time.Duration, home int) float64 {
	wave := 1 + 0.15*math.Sin(2*math.Pi*(now.Seconds()/float64(m.cfg.Seconds)+float64(home)/6))
	if m.scenario == ScenarioBlind && now > m.to {
		wave *= 1.2
	}
	return wave
}

func (m *model) active(now time.Duration) bool { return now >= m.from && now < m.to }

// reachable reports whether callers of a home can reach a domain. The
// callers near a domain that is cut off are cut off with it.
func (m *model) reachable(now time.Duration, home, domain int) bool {
	switch m.scenario {
	case ScenarioRegion:
		return now < m.from || domain/2 != 1
	case ScenarioCut:
		return !m.active(now) || (home == 2) == (domain == 2)
	default:
		return true
	}
}

// known is reachable as hosts near a home know it.
func (m *model) known(now time.Duration, home, domain int) bool {
	return m.reachable(now, home, domain) && m.reachable(max(now-notice, 0), home, domain) ||
		m.reachable(max(now-notice, 0), home, domain)
}

func (m *model) run() PolicyResult {
	end := time.Duration(m.cfg.Seconds) * time.Second
	for now := time.Duration(0); now < end; now += time.Second {
		m.second(now)
		for m.callers[0].next < now+time.Second {
			c := m.callers[0]
			// Half of the work is fixed, half exponential.
			work := m.d.services[c.service].work / 2
			m.request(c.next, c, work+exponential(c.random, work))
			mean := time.Duration(float64(time.Second) / callerRate / m.demand(c.next, c.home))
			c.next += exponential(c.random, mean)
			heap.Fix(&m.callers, 0)
		}
	}
	r := m.result
	r.Requests = int(m.times.TotalCount())
	r.P50 = time.Duration(m.times.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(m.times.ValueAtQuantile(99)) * time.Microsecond
	slices.Sort(m.peaks)
	r.Headroom = 1 - m.peaks[len(m.peaks)*99/100]
	r.Waited = float64(m.waited) / float64(r.Requests)
	r.Away = float64(m.away) / float64(r.Requests)
	return r
}

// second does what happens once a second: faults, measurements, plans.
func (m *model) second(now time.Duration) {
	if m.worst >= 100*time.Millisecond {
		m.result.Overload++
	}
	m.worst = 0
	if m.scenario == ScenarioDrain {
		was := m.drained
		m.drained = -1
		if m.active(now) {
			m.drained = 4
		}
		if was >= 0 && m.drained < 0 {
			for _, q := range m.queues[was] {
				q.cold = now + coldFor
			}
		}
	}
	var loads [][]core.DomainLoad
	full, all := make([]int, len(m.d.domains)), make([]int, len(m.d.domains))
	for s := range m.d.services {
		var row []core.DomainLoad
		for i, domain := range m.d.domains {
			q := m.queues[i][s]
			busy := 0
			for _, free := range q.slots {
				if free > now {
					busy++
				}
			}
			full[i] += busy
			all[i] += len(q.slots)
			if m.reachable(now, (i+1)%6, i) && i != m.drained {
				row = append(row, core.DomainLoad{Domain: domain, Free: int64(len(q.slots) - busy), Total: int64(len(q.slots))})
			}
		}
		loads = append(loads, row)
	}
	peak := 0.0
	for i := range full {
		m.busy[i] += (float64(full[i])/float64(all[i]) - m.busy[i]) / smooth
		peak = max(peak, m.busy[i])
	}
	m.peaks = append(m.peaks, peak)
	m.checkRegions(now)
	if now%(5*time.Second) == 0 && (m.scenario != ScenarioBlind || now < m.from) {
		m.samples = append(m.samples, sample{at: now, loads: loads})
	}
	m.policy.second(now)
}

// checkRegions counts a violation for each second in which the callers that
// were sent to a region need more slots than it has. Within the settling
// time only the hosts of the region can hold them off.
func (m *model) checkRegions(now time.Duration) {
	if now < settling || now >= m.from && now < m.from+settling || now >= m.to && now < m.to+settling {
		return
	}
	need, have := make([]float64, 3), make([]float64, 3)
	for _, c := range m.callers {
		for _, domain := range c.ranked {
			if m.reachable(now, c.home, domain) {
				need[domain/2] += callerRate * m.demand(now, c.home) * m.d.services[c.service].work.Seconds()
				break
			}
		}
	}
	for i := range m.queues {
		for s := range m.queues[i] {
			if i != m.drained && m.reachable(now, i, i) {
				have[i/2] += float64(len(m.queues[i][s].slots))
			}
		}
	}
	for r := range need {
		if need[r] > have[r] {
			m.result.Violations++
		}
	}
}

// measured returns the newest measurement that hosts have by now.
func (m *model) measured(now time.Duration) (sample, bool) {
	for i := len(m.samples) - 1; i >= 0; i-- {
		if m.samples[i].at <= now-lag {
			return m.samples[i], now-m.samples[i].at <= stale
		}
	}
	return sample{}, false
}

// request sends one request of a caller and records its latency.
func (m *model) request(now time.Duration, c *modelCaller, work time.Duration) {
	spent := time.Duration(0)
	if now >= c.till || len(c.ranked) == 0 {
		ranked, life, ok := m.policy.look(now, c)
		if !ok {
			m.result.Violations++
			return
		}
		if ranked[0] == m.drained && now > m.from+time.Second {
			m.result.Violations++
		}
		c.ranked, c.till = ranked, now+life
	}
	for _, domain := range c.ranked {
		if !m.reachable(now+spent, c.home, domain) {
			spent += failover
			c.till = now // the next request asks again
			continue
		}
		m.serve(now, spent, c, domain, work)
		return
	}
	// Nothing on the list answers: the caller asks again and tries once more.
	_ = m.times.RecordValue(int64((spent + time.Second) / time.Microsecond))
}

func (m *model) serve(now, spent time.Duration, c *modelCaller, domain int, work time.Duration) {
	q := m.queues[domain][c.service]
	way := m.d.client + m.d.delay(c.home, domain)
	arrive := now + spent + way
	best := 0
	for i, free := range q.slots {
		if free < q.slots[best] {
			best = i
		}
	}
	start := max(arrive, q.slots[best])
	work = time.Duration(float64(work) * q.slow(now, c.home))
	q.slots[best] = start + work
	if wait := start - arrive; wait > 0 {
		m.waited++
		m.worst = max(m.worst, wait)
	}
	if domain != c.home {
		m.away++
	}
	total := spent + way + (start - arrive) + work + way
	_ = m.times.RecordValue(int64(total / time.Microsecond))
}

// slow is the factor by which cold caches slow down a request, and counts
// the request as one that warms them. Caches cool by half in a minute.
func (q *queue) slow(now time.Duration, home int) float64 {
	q.served[home] *= math.Exp2(-(now - q.used[home]).Seconds() / 60)
	q.used[home] = now
	q.served[home]++
	cold := 1 - min(q.served[home]/coldRequests, 1)
	if now < q.cold {
		cold = max(cold, float64(q.cold-now)/float64(coldFor))
	}
	return 1 + (coldWork-1)*cold
}
