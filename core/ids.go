package core

// HostID is the name of an entry host. It survives restarts; Host.Incarnation
// distinguishes the runs of a host.
type HostID string

// DomainID is the name of a failure domain.
type DomainID string

// RegionID is the name of a region, a set of failure domains.
type RegionID string

// WorkspaceID is the name of a workspace.
type WorkspaceID string

// ServiceID is the name of a service.
type ServiceID string

// ServerID is the name of a backend server.
type ServerID string

// KeyID is the name of an access key. It is never reused for another key.
type KeyID string

// Resource names a limit that is divided into shares among failure domains,
// for example "rate/loft-a" or "slots/desk-1".
type Resource string

// RateResource returns the resource for a workspace's rate and burst.
func RateResource(w WorkspaceID) Resource { return Resource("rate/" + string(w)) }

// SlotsResource returns the resource for a backend server's slots.
func SlotsResource(s ServerID) Resource { return Resource("slots/" + string(s)) }

// ShiftResource returns the resource for the cap of the shift with the given
// name.
func ShiftResource(id string) Resource { return Resource("shift/" + id) }

// LinkResource returns the resource for the link budget in one direction
// between two regions.
func LinkResource(from, to RegionID) Resource {
	return Resource("link/" + string(from) + "/" + string(to))
}
