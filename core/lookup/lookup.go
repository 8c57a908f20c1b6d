// Package lookup chooses the entry hosts to whose addresses a caller is
// directed. Entry hosts use it to answer lookup requests.
package lookup

import (
	"azurering/core"
)

const (
	// MaxAddresses is the maximum number of addresses in an answer.
	MaxAddresses = 64
	// minHosts is the number of hosts of the caller's domain below which the
	// other hosts of its region are added, so that a caller has another host
	// left if one fails.
	minHosts = 2
)

// Host is an entry host that accepts callers.
type Host struct {
	Domain  core.DomainID
	Address string // where callers connect
}

// Choose returns the addresses of the hosts for callers in a failure domain:
// those of the domain, with those of the rest of its region if the domain has
// fewer than two, and those of other regions only if the region has none. It
// returns at most Most addresses. Regions holds the region of each domain.
func Choose(hosts []Host, domain core.DomainID, region core.RegionID, regions map[core.DomainID]core.RegionID) []string {
	var addresses, sameRegion, otherRegions []string
	for _, h := range hosts {
		switch {
		case h.Domain == domain:
			addresses = append(addresses, h.Address)
		case regions[h.Domain] == region:
			sameRegion = append(sameRegion, h.Address)
		default:
			otherRegions = append(otherRegions, h.Address)
		}
	}
	if len(addresses) < minHosts {
		addresses = append(addresses, sameRegion...)
	}
	if len(addresses) == 0 {
		addresses = otherRegions
	}
	return addresses[:min(len(addresses), MaxAddresses)]
}
