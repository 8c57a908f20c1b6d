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

// The model has one queue per domain and service, with as many slots as the
// servers there have. Callers send requests at random times, cache a look-up
// answer for its lifetime, and try the next domain of the answer if one cannot
// be reached. It serves to compare policies and does not simulate the
// protocols between hosts.
const (
	// callerRate is the mean number of requests per second of a caller.
	callerRate = 0.5
	// targetUtilization is the mean fraction of all slots in use.
	targetUtilization = 0.5
	// measurementLag is the age at which a measurement becomes available to
	// policies. Measurements are taken every five seconds.
	measurementLag = 15 * time.Second
	// maxMeasurementAge is the age up to which policies use a measurement.
	maxMeasurementAge = 60 * time.Second
	// detectionDelay is the time until hosts detect that another host is dead
	// or reachable again.
	detectionDelay = 6 * time.Second
	// failoverDelay is the time that a caller loses on a host that cannot be
	// reached.
	failoverDelay = 250 * time.Millisecond
	// coldSlowdown is the factor by which cold caches lengthen the service
	// time of a request.
	coldSlowdown = 2.0
	// warmupRequests is the number of requests after which a domain has the
	// data of another domain's callers in its caches.
	warmupRequests = 100.0
	// coldPeriod is the time until the caches of a domain that returns from a
	// drain are warm.
	coldPeriod = 60 * time.Second
)

// smoothingSeconds is the time constant of the moving average of slots in use
// from which the headroom is computed. Without it the headroom would show
// single seconds that are full by chance.
const smoothingSeconds = 10

// settlingTime is the time after the start, or after a fault begins or ends,
// in which callers may still use older answers.
const settlingTime = 40 * time.Second

// demandSkew is the demand of the callers of each domain relative to the mean.
var demandSkew = []float64{1.5, 0.7, 1.2, 0.6, 1.2, 0.8}

// policy is a steering policy.
type policy interface {
	// lookUp returns the indexes of the domains for a caller, best first, and
	// the lifetime of this answer. It reports false if there is no answer.
	lookUp(now time.Duration, c *modelCaller) (ranked []int, ttl time.Duration, ok bool)
	// tick is called once per second.
	tick(now time.Duration)
}

// modelCaller is a caller with its cached look-up answer.
type modelCaller struct {
	// random is the source of the times and service times of the caller's
	// requests, so that they are the same for all policies.
	random      *rand.Rand
	nextRequest time.Duration
	addr        netip.Addr
	home        int           // domain
	service     int           // index in deployment.services
	ranked      []int         // domains of the cached answer, best first
	expires     time.Duration // when the cached answer expires
}

type callerHeap []*modelCaller

func (h callerHeap) Len() int           { return len(h) }
func (h callerHeap) Less(i, j int) bool { return h[i].nextRequest < h[j].nextRequest }
func (h callerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *callerHeap) Push(x any)        { *h = append(*h, x.(*modelCaller)) }
func (h *callerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// queue holds the slots of one service in one domain.
type queue struct {
	freeAt      []time.Duration
	coldUntil   time.Duration // when the caches are warm again after a drain
	served      []float64     // recent requests by home domain of the caller, halved every minute
	lastRequest []time.Duration
}

type model struct {
	cfg                  PolicyConfig
	deployment           deployment
	scenario             string
	policy               policy
	random               *rand.Rand
	callers              callerHeap
	queues               [][]*queue // by domain and service
	samples              []sample
	faultStart, faultEnd time.Duration // of the scenario's fault
	drainedDomain        int           // domain, or -1
	result               PolicyResult
	latencies            *hdrhistogram.Histogram
	waitedRequests       int
	awayRequests         int
	utilization          []float64 // moving average of the fraction of slots in use, by domain
	peaks                []float64
	worstWait            time.Duration // longest wait for a slot in the current second
}

type sample struct {
	at    time.Duration
	loads [][]core.DomainLoad // by service
}

func newModel(cfg PolicyConfig, d deployment, scenario, name string) *model {
	end := time.Duration(cfg.Seconds) * time.Second
	m := &model{
		cfg: cfg, deployment: d, scenario: scenario, random: rand.New(rand.NewPCG(cfg.Seed, 11)),
		utilization: make([]float64, len(d.domains)), faultStart: end / 3, faultEnd: 2 * end / 3, drainedDomain: -1, latencies: newHistogram(),
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
			q := &queue{freeAt: make([]time.Duration, slots), served: make([]float64, len(d.domains)), lastRequest: make([]time.Duration, len(d.domains))}
			q.served[i] = warmupRequests
			row = append(row, q)
		}
		m.queues = append(m.queues, row)
	}
	m.addCallers()
	switch name {
	case PolicySteer:
		m.policy = newSteeringPolicy(m)
	case PolicyNearest:
		m.policy = &baseline{m: m}
	default:
		m.policy = &baseline{m: m, byLoad: true}
	}
	return m
}

// addCallers creates as many callers as give the target utilization.
func (m *model) addCallers() {
	for s, service := range m.deployment.services {
		slots := 0
		for i := range m.queues {
			slots += len(m.queues[i][s].freeAt)
		}
		n := targetUtilization * float64(slots) / (callerRate * service.serviceTime.Seconds())
		for home := range m.deployment.domains {
			for range int(math.Round(n * demandSkew[home] / float64(len(demandSkew)))) {
				c := &modelCaller{home: home, service: s, random: rand.New(rand.NewPCG(m.cfg.Seed, uint64(len(m.callers))))}
				c.addr = netip.AddrFrom4([4]byte{10, byte(home), byte(c.random.IntN(64)), byte(c.random.IntN(256))})
				c.nextRequest = exponential(c.random, time.Duration(float64(time.Second)/callerRate))
				m.callers = append(m.callers, c)
			}
		}
	}
	heap.Init(&m.callers)
}

// demandFactor returns the factor by which the request rate of a home domain's
// callers differs from its mean. It varies over the run as over a day, and in
// ScenarioBlind it rises in the last third of the run.
func (m *model) demandFactor(now time.Duration, home int) float64 {
	factor := 1 + 0.15*math.Sin(2*math.Pi*(now.Seconds()/float64(m.cfg.Seconds)+float64(home)/6))
	if m.scenario == ScenarioBlind && now > m.faultEnd {
		factor *= 1.2
	}
	return factor
}

func (m *model) faultActive(now time.Duration) bool { return now >= m.faultStart && now < m.faultEnd }

// reachable reports whether callers and hosts of a home domain can reach a
// domain. ScenarioRegion loses region 1 for good. ScenarioCut separates domain
// 2 and its callers from all others while the fault lasts.
func (m *model) reachable(now time.Duration, home, domain int) bool {
	switch m.scenario {
	case ScenarioRegion:
		return now < m.faultStart || domain/2 != 1
	case ScenarioCut:
		return !m.faultActive(now) || (home == 2) == (domain == 2)
	default:
		return true
	}
}

// knownReachable reports whether the hosts of a home domain believe that a
// domain is reachable. They detect changes after detectionDelay.
func (m *model) knownReachable(now time.Duration, home, domain int) bool {
	return m.reachable(now, home, domain) && m.reachable(max(now-detectionDelay, 0), home, domain) ||
		m.reachable(max(now-detectionDelay, 0), home, domain)
}

func (m *model) run() PolicyResult {
	end := time.Duration(m.cfg.Seconds) * time.Second
	for now := time.Duration(0); now < end; now += time.Second {
		m.tick(now)
		for m.callers[0].nextRequest < now+time.Second {
			c := m.callers[0]
			// Half of the service time is fixed, half is exponential.
			half := m.deployment.services[c.service].serviceTime / 2
			m.request(c.nextRequest, c, half+exponential(c.random, half))
			interval := time.Duration(float64(time.Second) / callerRate / m.demandFactor(c.nextRequest, c.home))
			c.nextRequest += exponential(c.random, interval)
			heap.Fix(&m.callers, 0)
		}
	}
	r := m.result
	r.Requests = int(m.latencies.TotalCount())
	r.P50 = time.Duration(m.latencies.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(m.latencies.ValueAtQuantile(99)) * time.Microsecond
	slices.Sort(m.peaks)
	r.Headroom = 1 - m.peaks[len(m.peaks)*99/100]
	r.Waited = float64(m.waitedRequests) / float64(r.Requests)
	r.Away = float64(m.awayRequests) / float64(r.Requests)
	return r
}

// tick runs once per second: it starts and ends drains, takes measurements,
// checks the regions and ticks the policy.
func (m *model) tick(now time.Duration) {
	if m.worstWait >= 100*time.Millisecond {
		m.result.Overload++
	}
	m.worstWait = 0
	if m.scenario == ScenarioDrain {
		previous := m.drainedDomain
		m.drainedDomain = -1
		if m.faultActive(now) {
			m.drainedDomain = 4
		}
		if previous >= 0 && m.drainedDomain < 0 {
			for _, q := range m.queues[previous] {
				q.coldUntil = now + coldPeriod
			}
		}
	}
	var loads [][]core.DomainLoad
	busySlots, totalSlots := make([]int, len(m.deployment.domains)), make([]int, len(m.deployment.domains))
	for s := range m.deployment.services {
		var row []core.DomainLoad
		for i, domain := range m.deployment.domains {
			q := m.queues[i][s]
			busy := 0
			for _, free := range q.freeAt {
				if free > now {
					busy++
				}
			}
			busySlots[i] += busy
			totalSlots[i] += len(q.freeAt)
			if m.reachable(now, (i+1)%6, i) && i != m.drainedDomain {
				row = append(row, core.DomainLoad{Domain: domain, Free: int64(len(q.freeAt) - busy), Total: int64(len(q.freeAt))})
			}
		}
		loads = append(loads, row)
	}
	peak := 0.0
	for i := range busySlots {
		m.utilization[i] += (float64(busySlots[i])/float64(totalSlots[i]) - m.utilization[i]) / smoothingSeconds
		peak = max(peak, m.utilization[i])
	}
	m.peaks = append(m.peaks, peak)
	m.checkRegionCapacity(now)
	if now%(5*time.Second) == 0 && (m.scenario != ScenarioBlind || now < m.faultStart) {
		m.samples = append(m.samples, sample{at: now, loads: loads})
	}
	m.policy.tick(now)
}

// checkRegionCapacity counts a violation for each region whose callers need
// more slots than it has. It skips the settling time, in which callers use
// older answers and only the region's own hosts could reject them.
func (m *model) checkRegionCapacity(now time.Duration) {
	if now < settlingTime || now >= m.faultStart && now < m.faultStart+settlingTime || now >= m.faultEnd && now < m.faultEnd+settlingTime {
		return
	}
	needed, available := make([]float64, 3), make([]float64, 3)
	for _, c := range m.callers {
		for _, domain := range c.ranked {
			if m.reachable(now, c.home, domain) {
				needed[domain/2] += callerRate * m.demandFactor(now, c.home) * m.deployment.services[c.service].serviceTime.Seconds()
				break
			}
		}
	}
	for i := range m.queues {
		for s := range m.queues[i] {
			if i != m.drainedDomain && m.reachable(now, i, i) {
				available[i/2] += float64(len(m.queues[i][s].freeAt))
			}
		}
	}
	for r := range needed {
		if needed[r] > available[r] {
			m.result.Violations++
		}
	}
}

// latestSample returns the newest measurement that is available to policies.
// It reports false if there is none or if it is too old.
func (m *model) latestSample(now time.Duration) (sample, bool) {
	for i := len(m.samples) - 1; i >= 0; i-- {
		if m.samples[i].at <= now-measurementLag {
			return m.samples[i], now-m.samples[i].at <= maxMeasurementAge
		}
	}
	return sample{}, false
}

// request sends one request of a caller and records its latency. The caller
// looks up domains first if its answer has expired.
func (m *model) request(now time.Duration, c *modelCaller, serviceTime time.Duration) {
	elapsed := time.Duration(0)
	if now >= c.expires || len(c.ranked) == 0 {
		ranked, ttl, ok := m.policy.lookUp(now, c)
		if !ok {
			m.result.Violations++
			return
		}
		if ranked[0] == m.drainedDomain && now > m.faultStart+time.Second {
			m.result.Violations++
		}
		c.ranked, c.expires = ranked, now+ttl
	}
	for _, domain := range c.ranked {
		if !m.reachable(now+elapsed, c.home, domain) {
			elapsed += failoverDelay
			c.expires = now // the next request looks up again
			continue
		}
		m.serve(now, elapsed, c, domain, serviceTime)
		return
	}
	// No domain of the answer is reachable. One second stands for another
	// look-up and attempt.
	_ = m.latencies.RecordValue(int64((elapsed + time.Second) / time.Microsecond))
}

func (m *model) serve(now, elapsed time.Duration, c *modelCaller, domain int, serviceTime time.Duration) {
	q := m.queues[domain][c.service]
	networkDelay := m.deployment.clientDelay + m.deployment.delay(c.home, domain)
	arrival := now + elapsed + networkDelay
	earliest := 0
	for i, free := range q.freeAt {
		if free < q.freeAt[earliest] {
			earliest = i
		}
	}
	start := max(arrival, q.freeAt[earliest])
	serviceTime = time.Duration(float64(serviceTime) * q.slowdown(now, c.home))
	q.freeAt[earliest] = start + serviceTime
	if wait := start - arrival; wait > 0 {
		m.waitedRequests++
		m.worstWait = max(m.worstWait, wait)
	}
	if domain != c.home {
		m.awayRequests++
	}
	total := elapsed + networkDelay + (start - arrival) + serviceTime + networkDelay
	_ = m.latencies.RecordValue(int64(total / time.Microsecond))
}

// slowdown returns the factor by which cold caches lengthen the service time
// of a request from a home domain, and counts the request as one that warms
// the caches. Caches lose half of their warmth in a minute.
func (q *queue) slowdown(now time.Duration, home int) float64 {
	q.served[home] *= math.Exp2(-(now - q.lastRequest[home]).Seconds() / 60)
	q.lastRequest[home] = now
	q.served[home]++
	cold := 1 - min(q.served[home]/warmupRequests, 1)
	if now < q.coldUntil {
		cold = max(cold, float64(q.coldUntil-now)/float64(coldPeriod))
	}
	return 1 + (coldSlowdown-1)*cold
}
