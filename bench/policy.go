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
	// Seconds is the virtual time of one run. Zero means 600. The fault of a
	// scenario begins after a third of it; a fault that is repaired ends
	// after two thirds.
	Seconds int
	Seed    uint64
}

// PolicyResult is the outcome of one run: one policy in one scenario of a
// deployment.
type PolicyResult struct {
	Deployment string
	Scenario   string
	Policy     string
	Requests   int
	P50, P99   time.Duration
	// Headroom is the fraction of free slots in the fullest domain, as a
	// moving average over about ten seconds. 99% of the seconds of the run
	// had at least this headroom.
	Headroom float64
	// Waited is the fraction of requests that found no free slot.
	Waited float64
	// Overload counts the seconds in which a request waited 100 ms or more.
	Overload int
	// Away is the fraction of requests served outside the caller's home
	// domain.
	Away float64
	// Violations counts look-ups that returned a drained domain first more
	// than a second after the drain began, look-ups without an answer, and
	// for each region the seconds in which the callers sent to it needed more
	// slots than it had.
	Violations int
}

// The names of the policies, in the order of the table.
const (
	PolicySteer   = "azurering"
	PolicyNearest = "nearest domain"
	PolicyLeast   = "least measured load"
)

// The names of the scenarios, in the order of the table.
const (
	ScenarioQuiet  = "quiet day"
	ScenarioRegion = "region lost"
	ScenarioDrain  = "planned drain, cold caches"
	ScenarioCut    = "domain cut off"
	ScenarioBlind  = "measurements stopped"
	hostsPerDomain = 2 // entry hosts per domain
)

// deployment is one of the deployments of docs/design.md, section 2. The
// domains 2i and 2i+1 are those of region i.
type deployment struct {
	name             string
	sheet            *core.Sheet
	hosts            []core.Host
	domains          []core.DomainID
	sameRegionDelay  time.Duration // one-way delay between domains of a region
	crossRegionDelay time.Duration // one-way delay between regions
	clientDelay      time.Duration // one-way delay to clients
	services         []modelService
}

type modelService struct {
	name        core.ServiceID
	serviceTime time.Duration // mean time that a request occupies a slot
}

func deployments() []deployment {
	association := deployment{
		name: "association", sameRegionDelay: 3 * time.Millisecond,
		domains:  []core.DomainID{"kushiro", "nemuro", "wakkanai", "rumoi", "hakodate", "esashi"},
		services: []modelService{{"loft-desk", 150 * time.Millisecond}, {"ami-archive", 400 * time.Millisecond}},
	}
	association.buildSheet([]core.RegionID{"doto", "dohoku", "donan"}, []int{35, 12}, []int{3, 3})
	atlas := deployment{
		name: "atlas", sameRegionDelay: 5 * time.Millisecond,
		domains:  []core.DomainID{"cw-mohammedia", "cw-berrechid", "nd-tetouan", "nd-larache", "ss-aitmelloul", "ss-inezgane"},
		services: []modelService{{"job-board", 150 * time.Millisecond}, {"manual-vault", 400 * time.Millisecond}},
	}
	atlas.buildSheet([]core.RegionID{"centre-ouest", "nord-detroit", "souss-sud"}, []int{30, 12}, []int{5, 3})
	return []deployment{association, atlas}
}

// buildSheet builds the sheet and the hosts. Servers are assigned to domains
// round-robin, and each domain has 64 blocks of client addresses.
func (d *deployment) buildSheet(regions []core.RegionID, servers, slots []int) {
	d.crossRegionDelay, d.clientDelay = 12*time.Millisecond, 3*time.Millisecond
	d.sheet = &core.Sheet{Name: d.name}
	for i, r := range regions {
		d.sheet.Regions = append(d.sheet.Regions, core.Region{Name: r, Domains: d.domains[2*i : 2*i+2]})
		for _, other := range regions[:i] {
			d.sheet.Links = append(d.sheet.Links, core.Link{From: other, To: r, Delay: d.crossRegionDelay})
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
		for n := range hostsPerDomain {
			d.hosts = append(d.hosts, core.Host{Name: core.HostID(fmt.Sprintf("%s-%d", domain, n)), Domain: domain, State: core.HostLive})
		}
		for b := range 64 {
			d.sheet.Blocks = append(d.sheet.Blocks, core.AddressBlock{Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i), byte(b), 0}), 24), Domain: domain})
		}
	}
}

// delay returns the one-way network delay between two domains.
func (d *deployment) delay(a, b int) time.Duration {
	switch {
	case a == b:
		return 0
	case a/2 == b/2:
		return d.sameRegionDelay
	default:
		return d.crossRegionDelay
	}
}

// Policies runs every scenario of both deployments with every policy, with
// the same seed. The results of the policies for one scenario follow each
// other, azurering's first.
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

// exponential returns an exponentially distributed random duration.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-r.Float64()) * float64(mean))
}

// newHistogram returns a histogram of microseconds up to ten minutes, with
// three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}
