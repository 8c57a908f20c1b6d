package core

import "time"

// Rules is one version of the configuration that the platform's operators
// publish. It is immutable once built.
type Rules struct {
	Version  uint64
	Routes   []Rule
	Services []Backing
	// Workspaces is empty if requests need no API key.
	Workspaces []Holder
	Limits     Limits
}

// Rule routes the requests for one host name and path prefix to services.
type Rule struct {
	Name    string
	Host    string
	Prefix  string // begins and ends with a slash
	Kind    RouteKind
	Class   Class
	Parts   []Part        // one part unless the traffic is split
	Timeout time.Duration // limit for the complete answer
	Target  time.Duration // latency objective
	// Attempts limits the servers that may run one request; servers that
	// refuse it do not count. Zero means the default of the proxy.
	Attempts int
	Priority int // 0 is the highest
	Access   Access
	Sticky   bool       // prefer servers that handled the request's object before
	Homes    []RegionID // home regions
}

// Part is one service of a traffic split. Its share of the traffic is its
// Weight over the sum of all weights.
type Part struct {
	Service ServiceID
	Weight  float64
}

// Backing is the configuration of one service.
type Backing struct {
	Name   ServiceID
	Health string // path of health checks
	Conns  int    // maximum connections to one server from all hosts together
	// A server is cold for ColdFor after its start. Meanwhile all hosts
	// together send it at most ColdRate requests per second.
	ColdFor  time.Duration
	ColdRate float64
}

// Holder is a workspace with its API keys.
type Holder struct {
	Workspace
	Keys []string
	// Priority overrides that of the route; nil if the workspace has none.
	Priority *int
	Homes    []RegionID // home regions
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration // timeout for reading the header
	IdleTime    time.Duration // timeout of an idle connection
}

// InstanceState is the state that a backend server reports of itself.
type InstanceState string

// The values of InstanceState.
const (
	InstanceReady    InstanceState = "ready"
	InstanceDraining InstanceState = "draining"
)

// Instance is one run of a backend server, from its start to its end, as the
// platform lists it.
type Instance struct {
	Server
	State InstanceState
	// ColdFor is the remaining warm-up at the time the entry was written.
	ColdFor time.Duration
	Born    int64 // Unix milliseconds of the server's start, on its own clock
	// Sequence increases with each report of one run, so that reports that
	// arrive out of order are detected.
	Sequence uint64
}

// Bounds holds the limits that the platform sets for hosts.
type Bounds struct {
	Grace       time.Duration // between SIGTERM and SIGKILL
	Lookup      time.Duration // maximum lifetime (TTL) of a look-up answer
	RetryRatio  float64       // retries per request, for all hosts together
	RetryExtra  float64       // additional retries in each RetryWindow
	RetryWindow time.Duration
	RateSlack   float64 // requests that a workspace may start beyond its rate and burst
}

// Place is the location and the settings of a host, read once at start.
type Place struct {
	Name    HostID
	Domain  DomainID
	Region  RegionID
	Regions map[DomainID]RegionID
	Address string // IP address of the host

	Caller string // listen address for callers
	Ready  string // listen address for readiness checks
	Lookup string // listen address for look-ups
	Peer   int    // port for traffic between hosts

	Metrics string // listen address for metrics; empty for none
	Store   string // address of the platform's store
	Memory  int64  // memory limit in bytes
	Bounds  Bounds
}
