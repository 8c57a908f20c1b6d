package lookup_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/lookup"
)

func TestChoose(t *testing.T) {
	regions := map[core.DomainID]core.RegionID{"a": "north", "b": "north", "c": "south"}
	hosts := []lookup.Host{
		{Domain: "a", Address: "a1"},
		{Domain: "a", Address: "a2"},
		{Domain: "b", Address: "b1"},
		{Domain: "c", Address: "c1"},
	}
	require.Equal(t, []string{"a1", "a2"}, lookup.Choose(hosts, "a", "north", regions))
	// One host alone would leave callers without any when it fails.
	require.Equal(t, []string{"b1", "a1", "a2"}, lookup.Choose(hosts, "b", "north", regions))
	// Hosts of other regions may not see requests bound to their homes.
	require.Equal(t, []string{"c1"}, lookup.Choose(hosts, "c", "south", regions))
	// A region without hosts is served by the others.
	require.Equal(t, []string{"a1", "a2", "b1"}, lookup.Choose(hosts[:3], "c", "south", regions))
	require.Empty(t, lookup.Choose(nil, "a", "north", regions))
}

func TestChooseNamesNoMoreThanAllowed(t *testing.T) {
	hosts := make([]lookup.Host, 3*lookup.MaxAddresses)
	for i := range hosts {
		hosts[i].Domain = "a"
	}
	require.Len(t, lookup.Choose(hosts, "a", "north", nil), lookup.MaxAddresses)
}
