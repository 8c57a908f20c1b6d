package core

import "time"

// RoutingConfig is one version of the configuration that the platform's operators
// publish. A Rules value is never changed after it is built.
type RoutingConfig struct {
	Version  uint64
	Routes   []RoutingRule
	Services []ServiceConfig
	// Workspaces is empty if requests need no key.
	Workspaces []WorkspaceConfig
	Limits     Limits
}

// RoutingRule takes the requests of one host name and path prefix to services.
type RoutingRule struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          RouteKind
	Class         Class
	Split         []WeightedService // one part unless the traffic is split
	Timeout       time.Duration     // longest time until the final answer
	LatencyTarget time.Duration     // latency objective
	MaxAttempts   int               // most servers that may run one request
	Priority      int               // 0 is the highest
	Access        Access
	Sticky        bool // servers are faster for objects that they handled before
	HomeRegions   []RegionID
}

// WeightedService is one service of a traffic split.
type WeightedService struct {
	Service ServiceID
	Weight  float64
}

// ServiceConfig holds what the configuration says of one service.
type ServiceConfig struct {
	Name       ServiceID
	HealthPath string // path of health checks
	MaxConns   int    // most connections to one server from all hosts together
	// ColdDuration and ColdRate bound what a server takes after its start:
	// ColdRate requests a second from all hosts together.
	ColdDuration time.Duration
	ColdRate     float64
}

// WorkspaceConfig is a workspace with its keys.
type WorkspaceConfig struct {
	Workspace
	Keys []string
	// Priority goes before that of the route; nil if the workspace has none.
	Priority    *int
	HomeRegions []RegionID
}

// Limits bounds what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
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
	// ColdLeft is how long the server stayed cold when the entry was written.
	ColdLeft  time.Duration
	StartedMs int64 // Unix milliseconds of the server's start, on its own clock
	// Sequence grows with each report of one boot. A late report has a lower
	// one than those before it.
	Sequence uint64
}

// PlatformLimits holds the figures of the platform's rules that the host keeps.
type PlatformLimits struct {
	ShutdownGrace time.Duration // between SIGTERM and SIGKILL
	MaxLookupTTL  time.Duration // longest lifetime of a look-up's answer
	RetryRatio    float64       // retries a request, for all hosts together
	MinRetries    float64       // retries beyond the ratio in one RetryWindow
	RetryWindow   time.Duration
	RateSlack     float64 // requests that a workspace may start beyond its rate and burst
}

// HostSettings is where a host runs and what it learns at start.
type HostSettings struct {
	Name    HostID
	Domain  DomainID
	Region  RegionID
	Regions map[DomainID]RegionID
	Address string // IP address

	CallerListen string // listen address for callers
	ReadyListen  string // listen address for readiness checks
	LookupListen string // listen address for look-ups
	PeerPort     int    // port for traffic between hosts

	MetricsListen string // listen address for metrics; empty for none
	StoreAddress  string // address of the platform's store
	MemoryBytes   int64  // bytes
	Bounds        PlatformLimits
}
