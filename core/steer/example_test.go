package steer_test

import (
	"fmt"
	"net/netip"

	"azurering/core"
	"azurering/core/steer"
)

// A caller's address leads to the entry hosts of the nearest domain, with
// another domain to fall back on.
func ExampleSteer() {
	sheet := &core.Sheet{
		Regions:  []core.Region{{Name: "doto", Domains: []core.DomainID{"kushiro", "nemuro"}}},
		Services: []core.Service{{Name: "loft-desk"}},
		Servers: []core.Server{
			{Name: "desk-1", Service: "loft-desk", Domain: "kushiro", Slots: 3},
			{Name: "desk-2", Service: "loft-desk", Domain: "nemuro", Slots: 3},
		},
		Blocks: []core.AddressBlock{{Prefix: netip.MustParsePrefix("198.51.100.0/24"), Domain: "nemuro"}},
	}
	hosts := []core.Host{
		{Name: "entry-k", Domain: "kushiro", State: core.HostLive},
		{Name: "entry-n", Domain: "nemuro", State: core.HostLive},
	}
	s := steer.New(steer.Config{Self: hosts[0], Sheet: sheet, Hosts: hosts})
	a, err := s.Lookup("loft-desk", netip.MustParseAddr("198.51.100.7"), nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, h := range a.Hosts {
		fmt.Println(h.Name)
	}
	// Output:
	// entry-n
	// entry-k
}
