package routes_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/routes"
)

func TestMatchTakesLongestPrefix(t *testing.T) {
	table := routes.Compile(core.RoutingConfig{Routes: []core.RoutingRule{
		{Name: "short", Host: "h.example", Prefix: "/a/"},
		{Name: "long", Host: "h.example", Prefix: "/a/b/"},
		{Name: "other", Host: "g.example", Prefix: "/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"},
		{"H.example:80", "/a/b/x", "long"},
		{"h.example", "/a/b", "short"},
		{"g.example", "/a/b/", "other"},
		{"h.example", "/a", ""},
		{"h.example", "/ab/", ""},
		{"f.example", "/a/", ""},
	} {
		got := table.Match(c.host, c.path)
		if c.want == "" {
			require.Nil(t, got, c)
			continue
		}
		require.NotNil(t, got, c)
		require.Equal(t, c.want, got.Name, c)
	}
}

// Where route and workspace both have homes, both bind.
func TestHomesOfBothBind(t *testing.T) {
	north, both := []core.RegionID{"north"}, []core.RegionID{"north", "south"}
	homes, bound := routes.HomeRegions(&core.RoutingRule{HomeRegions: both}, &core.WorkspaceConfig{HomeRegions: north})
	require.True(t, bound)
	require.Equal(t, north, homes)
	homes, bound = routes.HomeRegions(&core.RoutingRule{HomeRegions: []core.RegionID{"south"}}, &core.WorkspaceConfig{HomeRegions: north})
	require.True(t, bound)
	require.Empty(t, homes)
	_, bound = routes.HomeRegions(&core.RoutingRule{}, nil)
	require.False(t, bound)
	homes, bound = routes.HomeRegions(&core.RoutingRule{}, &core.WorkspaceConfig{HomeRegions: north})
	require.True(t, bound)
	require.Equal(t, north, homes)
}

func TestHolder(t *testing.T) {
	table := routes.Compile(core.RoutingConfig{Workspaces: []core.WorkspaceConfig{{Workspace: core.Workspace{Name: "w"}, Keys: []string{"a", "b"}}}})
	require.True(t, table.RequiresKey())
	require.Equal(t, core.WorkspaceID("w"), table.WorkspaceOf("b").Name)
	require.Nil(t, table.WorkspaceOf(""))
	require.False(t, routes.Compile(core.RoutingConfig{}).RequiresKey())
}
