// Package lookup chooses the entry hosts that a caller is told to connect
// to.
package lookup

import (
	"azurering/core"
)

const (
	// MaxAddresses is how many addresses an answer names at most.
	MaxAddresses = 64
	// enough is how many hosts an answer names if there are as many in the
	// caller's region, so that the loss of one host leaves another.
	enough = 2
)

// Host is an entry host that takes callers.
type Host struct {
	Domain  core.DomainID
	Address string // where callers connect
}

// Choose returns the hosts for callers of a failure domain: those of the
// domain itself, with others of its region if there are few, and all others
// only if the region has none.
func Choose(hosts []Host, domain core.DomainID, region core.RegionID, regions map[core.DomainID]core.RegionID) []string {
	var near, around, far []string
	for _, h := range hosts {
		switch {
		case h.Domain == domain:
			near = append(near, h.Address)
		case regions[h.Domain] == region:
			around = append(around, h.Address)
		default:
			far = append(far, h.Address)
		}
	}
	if len(near) < enough {
		near = append(near, around...)
	}
	if len(near) == 0 {
		near = far
	}
	return near[:min(len(near), MaxAddresses)]
}
