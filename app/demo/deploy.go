// Package demo runs a scaled-down deployment in one process: an emulated
// platform, entry hosts in every failure domain, backend servers and callers.
// It injects faults, checks the invariants of the system and prints a report.
// The demo command of the command line uses it.
package demo

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// Deployment names one of the two built-in deployments.
type Deployment string

// The built-in deployments.
const (
	Association Deployment = "association"
	Atlas       Deployment = "atlas"
)

// hostsPerDomain is the number of entry hosts per failure domain. Each
// deployment has 6 domains and thus 12 entry hosts.
const hostsPerDomain = 2

// plan describes a deployment scaled down to one process.
type plan struct {
	regions       []core.Region
	linkMbits     int64         // capacity of each link between regions, Mbit/s
	apiService    servicePlan   // lookups and orders
	fileService   servicePlan   // downloads
	serviceTime   time.Duration // mean time of a backend server per request
	downloadBytes int
	stallServers  bool // some responses take longer than callers wait
}

// servicePlan describes the backend servers of a service.
type servicePlan struct {
	name             core.ServiceID
	serversPerDomain int
	slots            int // concurrent requests per server
	conns            int // connections per server
}

func newPlan(d Deployment) (plan, error) {
	switch d {
	case Association:
		return plan{
			regions: []core.Region{
				{Name: "doto", Domains: []core.DomainID{"kushiro", "nemuro"}},
				{Name: "dohoku", Domains: []core.DomainID{"wakkanai", "rumoi"}},
				{Name: "donan", Domains: []core.DomainID{"hakodate", "esashi"}},
			},
			linkMbits: 4000, serviceTime: 10 * time.Millisecond, downloadBytes: 256 << 10,
			apiService:  servicePlan{name: "loft-desk", serversPerDomain: 6, slots: 3, conns: 400},
			fileService: servicePlan{name: "ami-archive", serversPerDomain: 2, slots: 3, conns: 400},
		}, nil
	case Atlas:
		return plan{
			regions: []core.Region{
				{Name: "centre-ouest", Domains: []core.DomainID{"cw-mohammedia", "cw-berrechid"}},
				{Name: "nord-detroit", Domains: []core.DomainID{"nd-tetouan", "nd-larache"}},
				{Name: "souss-sud", Domains: []core.DomainID{"ss-aitmelloul", "ss-inezgane"}},
			},
			linkMbits: 280, serviceTime: 10 * time.Millisecond, downloadBytes: 128 << 10,
			apiService:  servicePlan{name: "job-board", serversPerDomain: 5, slots: 5, conns: 360},
			fileService: servicePlan{name: "manual-vault", serversPerDomain: 2, slots: 3, conns: 360},
		}, nil
	default:
		return plan{}, codes.New(codes.UsageBad, "demo: unknown deployment %q; want association or atlas", d)
	}
}

// workspace is a workspace with its API key and rate limit.
type workspace struct {
	name  core.WorkspaceID
	key   string
	rate  int64 // requests per second
	burst int64 // requests
}

// newWorkspaces returns eight workspaces; the first two have five times the
// rate of the others.
func newWorkspaces(d Deployment) []workspace {
	var workspaces []workspace
	for i := range 8 {
		ws := workspace{name: core.WorkspaceID(fmt.Sprintf("ws-%d", i+1)), rate: 12, burst: 24}
		if i < 2 {
			ws.rate, ws.burst = 60, 120
		}
		ws.key = fmt.Sprintf("%s-%s-key-7f3a", d, ws.name)
		workspaces = append(workspaces, ws)
	}
	return workspaces
}

func (ws workspace) keyName() core.KeyID { return core.KeyID(ws.name + "-key") }

// newSheet returns the configuration sheet of a deployment with the given
// backend servers.
func newSheet(d Deployment, p plan, workspaces []workspace, servers []core.Server) core.Sheet {
	s := core.Sheet{Name: string(d), Regions: p.regions, Servers: servers}
	for i, a := range p.regions {
		for _, b := range p.regions[i+1:] {
			s.Links = append(s.Links, core.Link{From: a.Name, To: b.Name, BandwidthMbps: p.linkMbits, Delay: 12 * time.Millisecond})
		}
	}
	for _, ws := range workspaces {
		s.Workspaces = append(s.Workspaces, core.Workspace{Name: ws.name, Rate: ws.rate * 1000, Burst: ws.burst * 1000})
		s.Keys = append(s.Keys, core.Key{Name: ws.keyName(), Workspace: ws.name, Hash: sha256.Sum256([]byte(ws.key))})
	}
	s.Workspaces = append(s.Workspaces, core.Workspace{Name: "public", Rate: 50_000, Burst: 100_000})
	s.Services = []core.Service{
		{Name: p.apiService.name, Routes: []core.Route{
			{Path: "/lookup", Access: core.AccessKeyed, Kind: core.RouteIdempotent, Class: core.ClassLookup, Timeout: 5 * time.Second},
			{Path: "/orders", Access: core.AccessKeyed, Kind: core.RouteOrder, Class: core.ClassOrder, Timeout: 10 * time.Second},
			{Path: "/open", Access: core.AccessOpen, Kind: core.RouteIdempotent, Class: core.ClassLookup, Workspace: "public", Timeout: 5 * time.Second},
		}},
		{Name: p.fileService.name, Routes: []core.Route{
			{Path: "/files", Access: core.AccessKeyed, Kind: core.RouteIdempotent, Class: core.ClassDownload, Timeout: 10 * time.Second},
		}},
	}
	s.Blocks = addressBlocks(p)
	return s
}

// addressBlocks maps one block of loopback addresses to each failure domain,
// and the rest of 127.0.0.0/8 to the first domain.
func addressBlocks(p plan) []core.AddressBlock {
	list := []core.AddressBlock{{Prefix: netip.MustParsePrefix("127.0.0.0/8"), Domain: p.regions[0].Domains[0]}}
	n := byte(0)
	for _, r := range p.regions {
		for _, d := range r.Domains {
			n++
			list = append(list, core.AddressBlock{Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 1, n, 0}), 24), Domain: d})
		}
	}
	return list
}
