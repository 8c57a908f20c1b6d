// Package demo runs a deployment in small in one process: the platform's
// stand-in, entry hosts in every failure domain, backend servers and
// callers, with faults, and checks what must always hold.
package demo

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// Deployment names one of the two deployments.
type Deployment string

// The values of Deployment.
const (
	Association Deployment = "association"
	Atlas       Deployment = "atlas"
)

// hostsPerDomain gives the 12 entry hosts that each deployment runs.
const hostsPerDomain = 2

// plan is a deployment scaled down for one process.
type plan struct {
	regions  []core.Region
	mbits    int64
	desk     servicePlan // look-ups and orders
	vault    servicePlan // downloads
	answer   time.Duration
	download int // bytes
	stall    bool
}

type servicePlan struct {
	name      core.ServiceID
	perDomain int
	slots     int
	conns     int
}

func planOf(d Deployment) (plan, error) {
	switch d {
	case Association:
		return plan{
			regions: []core.Region{
				{Name: "doto", Domains: []core.DomainID{"kushiro", "nemuro"}},
				{Name: "dohoku", Domains: []core.DomainID{"wakkanai", "rumoi"}},
				{Name: "donan", Domains: []core.DomainID{"hakodate", "esashi"}},
			},
			mbits: 4000, answer: 10 * time.Millisecond, download: 256 << 10,
			desk:  servicePlan{name: "loft-desk", perDomain: 6, slots: 3, conns: 400},
			vault: servicePlan{name: "ami-archive", perDomain: 2, slots: 3, conns: 400},
		}, nil
	case Atlas:
		return plan{
			regions: []core.Region{
				{Name: "centre-ouest", Domains: []core.DomainID{"cw-mohammedia", "cw-berrechid"}},
				{Name: "nord-detroit", Domains: []core.DomainID{"nd-tetouan", "nd-larache"}},
				{Name: "souss-sud", Domains: []core.DomainID{"ss-aitmelloul", "ss-inezgane"}},
			},
			mbits: 280, answer: 10 * time.Millisecond, download: 128 << 10,
			desk:  servicePlan{name: "job-board", perDomain: 5, slots: 5, conns: 360},
			vault: servicePlan{name: "manual-vault", perDomain: 2, slots: 3, conns: 360},
		}, nil
	default:
		return plan{}, codes.New(codes.UsageBad, "demo: unknown deployment %q; there are association and atlas", d)
	}
}

// tenant is a workspace with its key and what its callers send.
type tenant struct {
	name  core.WorkspaceID
	key   string
	rate  int64 // requests per second
	burst int64
}

// tenants returns eight workspaces, two of them large.
func tenants(d Deployment) []tenant {
	var out []tenant
	for i := range 8 {
		t := tenant{name: core.WorkspaceID(fmt.Sprintf("ws-%d", i+1)), rate: 12, burst: 24}
		if i < 2 {
			t.rate, t.burst = 60, 120
		}
		t.key = fmt.Sprintf("%s-%s-key-7f3a", d, t.name)
		out = append(out, t)
	}
	return out
}

func (t tenant) keyName() core.KeyID { return core.KeyID(t.name + "-key") }

// sheetOf returns the configuration of a deployment over the given servers.
func sheetOf(d Deployment, p plan, list []tenant, servers []core.Server) core.Sheet {
	s := core.Sheet{Name: string(d), Regions: p.regions, Servers: servers}
	for i, a := range p.regions {
		for _, b := range p.regions[i+1:] {
			s.Links = append(s.Links, core.Link{From: a.Name, To: b.Name, BandwidthMbps: p.mbits, Delay: 12 * time.Millisecond})
		}
	}
	for _, t := range list {
		s.Workspaces = append(s.Workspaces, core.Workspace{Name: t.name, Rate: t.rate * 1000, Burst: t.burst * 1000})
		s.Keys = append(s.Keys, core.Key{Name: t.keyName(), Workspace: t.name, Hash: sha256.Sum256([]byte(t.key))})
	}
	s.Workspaces = append(s.Workspaces, core.Workspace{Name: "public", Rate: 50_000, Burst: 100_000})
	s.Services = []core.Service{
		{Name: p.desk.name, Routes: []core.Route{
			{Path: "/lookup", Access: core.AccessKeyed, Kind: core.RouteIdempotent, Class: core.ClassLookup, Timeout: 5 * time.Second},
			{Path: "/orders", Access: core.AccessKeyed, Kind: core.RouteOrder, Class: core.ClassOrder, Timeout: 10 * time.Second},
			{Path: "/open", Access: core.AccessOpen, Kind: core.RouteIdempotent, Class: core.ClassLookup, Workspace: "public", Timeout: 5 * time.Second},
		}},
		{Name: p.vault.name, Routes: []core.Route{
			{Path: "/files", Access: core.AccessKeyed, Kind: core.RouteIdempotent, Class: core.ClassDownload, Timeout: 10 * time.Second},
		}},
	}
	s.Blocks = blocks(p)
	return s
}

// blocks gives each failure domain one block of loopback addresses and all
// others to the first domain.
func blocks(p plan) []core.AddressBlock {
	out := []core.AddressBlock{{Prefix: netip.MustParsePrefix("127.0.0.0/8"), Domain: p.regions[0].Domains[0]}}
	n := byte(0)
	for _, r := range p.regions {
		for _, d := range r.Domains {
			n++
			out = append(out, core.AddressBlock{Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 1, n, 0}), 24), Domain: d})
		}
	}
	return out
}
