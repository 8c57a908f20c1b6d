package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"azurering/core"
)

// PolicyConfig configures the comparison of steering policies.
type PolicyConfig struct {
	// Seconds is the virtual time of one run, 600 by default. Faults begin
	// after a third of it and end, if they end, after two thirds.
	Seconds int
	Seed    uint64
}

// PolicyResult is the outcome of one run.
type PolicyResult struct {
	Deployment string
	Scenario   string
	Policy     string
	Requests   int
	P50, P99   time.Duration
	// Headroom is the free share of the slots of the fullest domain, averaged
	// over ten seconds, at the 99th percentile over the run.
	Headroom float64
	// Waited is the share of requests that found no free slot.
	Waited float64
	// Overload counts the seconds in which a request waited 100 ms or more.
	Overload int
	// Away is the share of requests served outside the home domain.
	Away float64
	// Violations counts look-ups that named a drained domain after the drain
	// was in force, look-ups without an answer, and seconds in which a region
	// was sent more callers than it has slots for.
	Violations int
}

// The names of the policies, in the order of the table.
const (
	PolicySteer   = "azurering"
	PolicyNearest = "nearest domain"
	PolicyLeast   = "least measured load"
)

// The names of the scenarios.
const (
	ScenarioQuiet   = "quiet day"
	ScenarioRegion  = "region lost"
	ScenarioDrain   = "planned drain, cold caches"
	ScenarioCut     = "domain cut off"
	ScenarioBlind   = "measurements stopped"
	deploymentHosts = 2 // entry hosts per domain
)

// deployment is one of the deployments of docs/design.md, section 2.
type deployment struct {
	name     string
	sheet    *core.Sheet
	hosts    []core.Host
	domains  []core.DomainID
	inside   time.Duration // one-way delay between domains of a region
	across   time.Duration // one-way delay between regions
	client   time.Duration // one-way delay to clients
	services []modelService
}

type modelService struct {
	name core.ServiceID
	work time.Duration // mean time in a slot
}

func deployments() []deployment {
	association := deployment{
		name: "association", inside: 3 * time.Millisecond,
		domains:  []core.DomainID{"kushiro", "nemuro", "wakkanai", "rumoi", "hakodate", "esashi"},
		services: []modelService{{"loft-desk", 150 * time.Millisecond}, {"ami-archive", 400 * time.Millisecond}},
	}
	association.build([]core.RegionID{"doto", "dohoku", "donan"}, []int{35, 12}, []int{3, 3})
	atlas := deployment{
		name: "atlas", inside: 5 * time.Millisecond,
		domains:  []core.DomainID{"cw-mohammedia", "cw-berrechid", "nd-tetouan", "nd-larache", "ss-aitmelloul", "ss-inezgane"},
		services: []modelService{{"job-board", 150 * time.Millisecond}, {"manual-vault", 400 * time.Millisecond}},
	}
	atlas.build([]core.RegionID{"centre-ouest", "nord-detroit", "souss-sud"}, []int{30, 12}, []int{5, 3})
	return []deployment{association, atlas}
}

// build makes the sheet: servers are dealt out over the domains in turn,
// and each domain has 64 blocks of client addresses.
func (d *deployment) build(regions []core.RegionID, servers, slots []int) {
	d.across, d.client = 12*time.Millisecond, 3*time.Millisecond
	d.sheet = &core.Sheet{Name: d.name}
	for i, r := range regions {
		d.sheet.Regions = append(d.sheet.Regions, core.Region{Name: r, Domains: d.domains[2*i : 2*i+2]})
		for _, other := range regions[:i] {
			d.sheet.Links = append(d.sheet.Links, core.Link{From: other, To: r, Delay: d.across})
		}
	}
	for i, s := range d.services {
		d.sheet.Services = append(d.sheet.Services, core.Service{Name: s.name, SlowStart: 60 * time.Second})
		for n := range servers[i] {
			d.sheet.Servers = append(d.sheet.Servers, core.Server{
				Name: core.ServerID(fmt.Sprintf("%s-%d", s.name, n)), Service: s.name, Domain: d.domains[n%len(d.domains)], Slots: slots[i],
			})
		}
	}
	for i, domain := range d.domains {
		for h := range deploymentHosts {
			d.hosts = append(d.hosts, core.Host{Name: core.HostID(fmt.Sprintf("%s-%d", domain, h)), Domain: domain, State: core.HostLive})
		}
		for b := range 64 {
			d.sheet.Blocks = append(d.sheet.Blocks, core.AddressBlock{Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i), byte(b), 0}), 24), Domain: domain})
		}
	}
}

func (d *deployment) delay(a, b int) time.Duration {
	switch {
	case a == b:
		return 0
	case a/2 == b/2:
		return d.inside
	default:
		return d.across
	}
}

// Policies runs every scenario of both deployments with every policy, on
// the same seeds.
func Policies(cfg PolicyConfig) []PolicyResult {
	if cfg.Seconds <= 0 {
		cfg.Seconds = 600
	}
	var out []PolicyResult
	for _, d := range deployments() {
		for _, scenario := range []string{ScenarioQuiet, ScenarioRegion, ScenarioDrain, ScenarioCut, ScenarioBlind} {
			for _, policy := range []string{PolicySteer, PolicyNearest, PolicyLeast} {
				out = append(out, newModel(cfg, d, scenario, policy).run())
			}
		}
	}
	return out
}

// PolicyTable formats results as a Markdown table.
func PolicyTable(results []PolicyResult) string {
	var b strings.Builder
	b.WriteString("| deployment | scenario | policy | requests | p50 ms | p99 ms | headroom | waited | overload s | away | violations |\n")
	b.WriteString("|---|---|---|---:|---:|---:|---:|---:|---:|---:|---:|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %s | %s | %d | %.0f | %.0f | %.0f%% | %.2f%% | %d | %.1f%% | %d |\n",
			r.Deployment, r.Scenario, r.Policy, r.Requests, millis(r.P50), millis(r.P99), 100*r.Headroom, 100*r.Waited, r.Overload, 100*r.Away, r.Violations)
	}
	return b.String()
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// exponential draws an exponentially distributed duration.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-r.Float64()) * float64(mean))
}

// newHistogram records microseconds up to ten minutes to three digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}
