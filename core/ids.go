package core

// HostID names one entry host. It stays the same over restarts; the
// incarnation of the host tells its runs apart.
type HostID string

// DomainID names one failure domain.
type DomainID string

// RegionID names one region, a set of failure domains.
type RegionID string

// WorkspaceID names one workspace.
type WorkspaceID string

// ServiceID names one service.
type ServiceID string

// ServerID names one backend server.
type ServerID string

// KeyID names one key. Key ids are never reused.
type KeyID string

// Resource names something of which domains hold shares, for example
// "rate/loft-a" or "slots/desk-1".
type Resource string

// RateResource returns the resource of a workspace's rate and burst.
func RateResource(w WorkspaceID) Resource { return Resource("rate/" + string(w)) }

// SlotsResource returns the resource of a backend server's slots.
func SlotsResource(s ServerID) Resource { return Resource("slots/" + string(s)) }

// ShiftResource returns the resource of a shift's cap.
func ShiftResource(id string) Resource { return Resource("shift/" + id) }

// LinkResource returns the resource of the link budget between two regions.
func LinkResource(from, to RegionID) Resource {
	return Resource("link/" + string(from) + "/" + string(to))
}
