package core

import "time"

// Rules is one version of the configuration that the platform's operators
// publish. A Rules value is never changed after it is built.
type Rules struct {
	Version  uint64
	Routes   []Rule
	Services []Backing
	// Workspaces is empty if requests need no key.
	Workspaces []Holder
	Limits     Limits
}

// Rule takes the requests of one host name and path prefix to services.
type Rule struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     RouteKind
	Class    Class
	Parts    []Part        // one part unless the traffic is split
	Timeout  time.Duration // longest time until the final answer
	Target   time.Duration // latency objective
	Attempts int           // most servers that may run one request
	Priority int           // 0 is the highest
	Access   Access
	Sticky   bool // servers are faster for objects that they handled before
	Homes    []RegionID
}

// Part is one service of a traffic split.
type Part struct {
	Service ServiceID
	Weight  float64
}

// Backing holds what the configuration says of one service.
type Backing struct {
	Name   ServiceID
	Health string // path of health checks
	Conns  int    // most connections to one server from all hosts together
	// ColdFor and ColdRate bound what a server takes after its start:
	// ColdRate requests a second from all hosts together.
	ColdFor  time.Duration
	ColdRate float64
}

// Holder is a workspace with its keys.
type Holder struct {
	Workspace
	Keys []string
	// Priority goes before that of the route; nil if the workspace has none.
	Priority *int
	Homes    []RegionID
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// InstanceState is what a backend server says of itself.
type InstanceState string

// The values of InstanceState.
const (
	InstanceReady    InstanceState = "ready"
	InstanceDraining InstanceState = "draining"
)

// Instance is one boot of a backend server as the platform lists it.
type Instance struct {
	Server
	State InstanceState
	// ColdFor is how long the server stayed cold when the entry was written.
	ColdFor time.Duration
	Born    int64 // Unix milliseconds of the server's start, on its own clock
	// Sequence grows with each report of one boot. A late report has a lower
	// one than those before it.
	Sequence uint64
}

// Bounds holds the figures of the platform's rules that the host keeps.
type Bounds struct {
	Grace       time.Duration // between SIGTERM and SIGKILL
	Lookup      time.Duration // longest lifetime of a look-up's answer
	RetryRatio  float64       // retries a request, for all hosts together
	RetryExtra  float64       // retries beyond the ratio in one RetryWindow
	RetryWindow time.Duration
	RateSlack   float64 // requests that a workspace may start beyond its rate and burst
}

// Place is where a host runs and what it learns at start.
type Place struct {
	Name    HostID
	Domain  DomainID
	Region  RegionID
	Regions map[DomainID]RegionID
	Address string // IP address

	Caller string // listen address for callers
	Ready  string // listen address for readiness checks
	Lookup string // listen address for look-ups
	Peer   int    // port for traffic between hosts

	Metrics string // listen address for metrics; empty for none
	Store   string // address of the platform's store
	Memory  int64  // bytes
	Bounds  Bounds
}
