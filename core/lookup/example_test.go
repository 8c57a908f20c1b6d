package lookup_test

import (
	"fmt"

	"azurering/core"
	"azurering/core/lookup"
)

func ExampleChoose() {
	hosts := []lookup.Host{
		{Domain: "kushiro", Address: "10.0.0.1:80"},
		{Domain: "nemuro", Address: "10.0.0.2:80"},
		{Domain: "esashi", Address: "10.0.0.3:80"},
	}
	regions := map[core.DomainID]core.RegionID{"kushiro": "doto", "nemuro": "doto", "esashi": "donan"}
	fmt.Println(lookup.Choose(hosts, "nemuro", "doto", regions))
	// Output: [10.0.0.2:80 10.0.0.1:80]
}
