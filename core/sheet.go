package core

import (
	"net/netip"
	"time"
)

// Access says whether a route requires a key.
type Access string

// The values of Access.
const (
	AccessOpen  Access = "open"
	AccessKeyed Access = "keyed"
)

// RouteKind says whether a request may safely be executed more than once.
type RouteKind string

// The values of RouteKind.
const (
	RouteIdempotent RouteKind = "idempotent" // may be executed more than once
	RouteOrder      RouteKind = "order"      // is executed at most once, under an idempotency key
)

// Class groups requests for metrics and for link budgets, and determines what
// Route.Timeout covers.
type Class string

// The values of Class.
const (
	ClassLookup   Class = "lookup"
	ClassOrder    Class = "order"
	ClassDownload Class = "download"
)

// Sheet is the complete configuration that operators publish.
type Sheet struct {
	Name       string
	Regions    []Region
	Links      []Link
	Services   []Service
	Servers    []Server
	Workspaces []Workspace
	Keys       []Key
	Blocks     []AddressBlock
	Shifts     []Shift
	Drains     []Drain
}

// Region is a set of failure domains that are close to each other.
type Region struct {
	Name    RegionID
	Domains []DomainID
}

// Link is the bandwidth budget between two regions, the same in each
// direction.
type Link struct {
	From          RegionID
	To            RegionID
	BandwidthMbps int64         // megabits per second in each direction
	Delay         time.Duration // one-way delay
}

// Service is a named service with the routes that its backend servers answer.
type Service struct {
	Name   ServiceID
	Routes []Route
	// SlowStart is the slow start of a backend server: the time over which its
	// load is ramped up. Zero means none.
	SlowStart time.Duration
}

// Route is a path prefix of a service.
type Route struct {
	Path   string
	Access Access
	Kind   RouteKind
	Class  Class
	// Workspace is the one whose rate limit applies to requests on an open
	// route. It is empty on keyed routes, where the key belongs to a workspace.
	Workspace WorkspaceID
	// Timeout limits the time until the answer is complete; for
	// ClassDownload, until it starts. Zero means 30 s.
	Timeout time.Duration
}

// Server is one backend server.
type Server struct {
	Name     ServerID
	Service  ServiceID
	Domain   DomainID
	Address  string // IP address and port
	Slots    int    // maximum concurrent requests
	MaxConns int    // maximum open connections
}

// Workspace is one customer, with a rate limit that applies to all hosts
// together.
type Workspace struct {
	Name  WorkspaceID
	Rate  int64 // thousandths of a request per second
	Burst int64 // thousandths of a request
}

// Key is an access key of a workspace. Only the hash of the key is kept.
type Key struct {
	Name      KeyID
	Workspace WorkspaceID
	Hash      [32]byte // SHA-256 of the key
}

// AddressBlock maps a block of caller addresses to its nearest failure domain.
type AddressBlock struct {
	Prefix netip.Prefix
	Domain DomainID
}

// Shift moves a share of the callers of one region to another region.
type Shift struct {
	Name          string
	From          RegionID
	To            RegionID
	SharePerMille int   // thousandths of the blocks of From
	Cap           int64 // thousandths of a request per second that To accepts
}

// DrainKind says what a drain empties.
type DrainKind string

// The values of DrainKind.
const (
	DrainServer DrainKind = "server"
	DrainHost   DrainKind = "host"
	DrainDomain DrainKind = "domain"
)

// DrainMode says what is expected after the drain: that the target returns
// (ModeDrain) or that it is shut down (ModeStop).
type DrainMode string

// The values of DrainMode.
const (
	ModeDrain DrainMode = "drain"
	ModeStop  DrainMode = "stop"
)

// Drain stops new requests to a backend server, an entry host or a failure
// domain.
type Drain struct {
	Kind   DrainKind
	Target string
	Mode   DrainMode
	// Timeout limits the time that requests in flight get to finish. Zero
	// means 60 s.
	Timeout time.Duration
}

// ChangeKind says what a Change does.
type ChangeKind string

// The values of ChangeKind.
const (
	ChangeGrant  ChangeKind = "grant"  // adds Key
	ChangeRevoke ChangeKind = "revoke" // removes the key named Target
	ChangeShift  ChangeKind = "shift"  // adds Shift
	ChangeDrain  ChangeKind = "drain"  // adds Drain
	ChangeResume ChangeKind = "resume" // ends the shift or drain named Target
	ChangeRate   ChangeKind = "rate"   // replaces rate and burst of Workspace
)

// Change is an incremental change of the configuration. Kind determines which
// of the other fields are used.
type Change struct {
	Kind      ChangeKind
	Target    string
	Key       Key
	Shift     Shift
	Drain     Drain
	Workspace Workspace
}

// LogEntryKind says whether an Entry holds a whole sheet or a change.
type LogEntryKind string

// The values of EntryKind.
const (
	EntrySheet  LogEntryKind = "sheet"
	EntryChange LogEntryKind = "change"
)

// LogEntry is one version in the configuration log.
type LogEntry struct {
	Version     uint64
	Kind        LogEntryKind
	SheetObject string // object name of the sheet's body, for EntrySheet
	Change      Change // for EntryChange
	Token       string // random token of the write
}

// Withdrawal revokes a key: it must not be used any more.
type Withdrawal struct {
	Key       KeyID
	Workspace WorkspaceID
}
