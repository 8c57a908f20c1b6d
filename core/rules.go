package core

import "time"

// RoutingConfig is one version of the configuration that the platform's operators
// publish. It is immutable once built.
type RoutingConfig struct {
	Version  uint64
	Routes   []RoutingRule
	Services []ServiceConfig
	// Workspaces is empty if requests need no API key.
	Workspaces []WorkspaceConfig
	Limits     Limits
	// Invalid says which entries cannot be used and why. The others are in force.
	Invalid []error
}

// RoutingRule routes the requests for one host name and path prefix to services.
type RoutingRule struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          RouteKind
	Class         Class
	Split         []WeightedService // one part unless the traffic is split
	Timeout       time.Duration     // limit for the complete answer
	LatencyTarget time.Duration     // latency objective
	// MaxAttempts limits the servers that may run one request; servers that
	// refuse it do not count. Zero means the default of the proxy.
	MaxAttempts int
	Priority    int // 0 is the highest
	Access      Access
	Sticky      bool       // prefer servers that handled the request's object before
	HomeRegions []RegionID // home regions
}

// WeightedService is one service of a traffic split. Its share of the traffic is its
// Weight over the sum of all weights.
type WeightedService struct {
	Service ServiceID
	Weight  float64
}

// ServiceConfig is the configuration of one service.
type ServiceConfig struct {
	Name       ServiceID
	HealthPath string // path of health checks
	MaxConns   int    // maximum connections to one server from all hosts together
	// A server is cold for ColdDuration after its start. Meanwhile all hosts
	// together send it at most ColdRate requests per second.
	ColdDuration time.Duration
	ColdRate     float64
}

// WorkspaceConfig is a workspace with its API keys.
type WorkspaceConfig struct {
	Workspace
	Keys []string
	// Priority overrides that of the route; nil if the workspace has none.
	Priority    *int
	HomeRegions []RegionID // home regions
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // timeout for reading the header
	IdleTimeout    time.Duration // timeout of an idle connection
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
	// ColdLeft is the remaining warm-up at the time the entry was written.
	ColdLeft  time.Duration
	StartedMs int64 // Unix milliseconds of the server's start, on its own clock
	// Sequence increases with each report of one run, so that reports that
	// arrive out of order are detected.
	Sequence uint64
}

// PlatformLimits holds the limits that the platform sets for hosts.
type PlatformLimits struct {
	ShutdownGrace time.Duration // between SIGTERM and SIGKILL
	DrainTimeout  time.Duration // requests may reach a server for so long after its leave was acknowledged
	ContactTime   time.Duration // a host is bound again once it has been undisturbed for so long
	RecoveryTime  time.Duration // the whole system has recovered from any loss so long after it
	MaxLookupTTL  time.Duration // maximum lifetime (TTL) of a look-up answer
	RetryRatio    float64       // retries per request, for all hosts together
	MinRetries    float64       // additional retries in each RetryWindow
	RetryWindow   time.Duration
	RateSlack     float64 // requests that a workspace may start beyond its rate and burst
}

// HostSettings is the location and the settings of a host, read once at start.
type HostSettings struct {
	Name    HostID
	Domain  DomainID
	Region  RegionID
	Regions map[DomainID]RegionID
	Address string // IP address of the host

	CallerListen string // listen address for callers
	ReadyListen  string // listen address for readiness checks
	LookupListen string // listen address for look-ups
	PeerPort     int    // port for traffic between hosts

	MetricsListen string // listen address for metrics; empty for none
	StoreAddress  string // address of the platform's store
	MemoryBytes   int64  // memory limit in bytes; 0 if the platform does not state it
	MaxFiles      int    // limit of open file descriptors; 0 if the platform does not state it
	// ServerHeartbeat is the interval at which backend servers write their
	// entries, or 0 if the platform does not state it.
	ServerHeartbeat time.Duration
	Bounds          PlatformLimits
}
