package core

import (
	"net/netip"
	"time"
)

// Access says who may use a route.
type Access string

// The values of Access.
const (
	AccessOpen  Access = "open"
	AccessKeyed Access = "keyed"
)

// RouteKind says whether a request may safely run more than once.
type RouteKind string

// The values of RouteKind.
const (
	RouteIdempotent RouteKind = "idempotent"
	RouteOrder      RouteKind = "order"
)

// Class groups requests for metrics and for link budgets.
type Class string

// The values of Class.
const (
	ClassLookup   Class = "lookup"
	ClassOrder    Class = "order"
	ClassDownload Class = "download"
)

// Sheet is the whole configuration that operators publish.
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

// Region is a set of failure domains close to each other.
type Region struct {
	Name    RegionID
	Domains []DomainID
}

// Link is the budget between two regions, the same each way.
type Link struct {
	From          RegionID
	To            RegionID
	BandwidthMbps int64         // megabits per second each way
	Delay         time.Duration // one-way delay
}

// Service is what a group of backend servers serves.
type Service struct {
	Name   ServiceID
	Routes []Route
	// SlowStart is how long a backend server needs after a cold start until it
	// takes its full load. Zero means no ramp.
	SlowStart time.Duration
}

// Route is a path prefix of a service.
type Route struct {
	Path   string
	Access Access
	Kind   RouteKind
	Class  Class
	// Workspace pays for requests of an open route; it is empty on keyed
	// routes, where the key names the workspace.
	Workspace WorkspaceID
	// Timeout bounds one request. Zero means 30 s.
	Timeout time.Duration
}

// Server is one backend server.
type Server struct {
	Name     ServerID
	Service  ServiceID
	Domain   DomainID
	Address  string // IP address and port
	Slots    int    // concurrent requests
	MaxConns int    // open connections
}

// Workspace is one customer with a fleet-wide rate and burst.
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

// AddressBlock maps a block of client addresses to its nearest failure domain.
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

// DrainMode says whether the target comes back or ends after the drain.
type DrainMode string

// The values of DrainMode.
const (
	ModeDrain DrainMode = "drain"
	ModeStop  DrainMode = "stop"
)

// Drain takes new work away from a backend server, an entry host or a
// failure domain.
type Drain struct {
	Kind   DrainKind
	Target string
	Mode   DrainMode
	// Timeout bounds how long work in flight may take. Zero means 60 s.
	Timeout time.Duration
}

// ChangeKind names a small change of the configuration.
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

// Change is one small change of the configuration. Kind says which of the
// other fields count.
type Change struct {
	Kind      ChangeKind
	Target    string
	Key       Key
	Shift     Shift
	Drain     Drain
	Workspace Workspace
}

// LogEntryKind says what an entry of the configuration log holds.
type LogEntryKind string

// The values of EntryKind.
const (
	EntrySheet  LogEntryKind = "sheet"
	EntryChange LogEntryKind = "change"
)

// LogEntry is one version of the configuration log.
type LogEntry struct {
	Version     uint64
	Kind        LogEntryKind
	SheetObject string // object name of the sheet's body, for EntrySheet
	Change      Change // for EntryChange
	Token       string // random token of the write
}

// Withdrawal says that a key must not be used any more.
type Withdrawal struct {
	Key       KeyID
	Workspace WorkspaceID
}
