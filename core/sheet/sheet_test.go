package sheet_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/sheet"
)

func valid() core.Sheet {
	return core.Sheet{
		Regions: []core.Region{
			{Name: "doto", Domains: []core.DomainID{"kushiro", "nemuro"}},
			{Name: "donan", Domains: []core.DomainID{"hakodate"}},
		},
		Links:      []core.Link{{From: "doto", To: "donan", BandwidthMbps: 4000}},
		Workspaces: []core.Workspace{{Name: "loft-a", Rate: 1000, Burst: 2000}},
		Services: []core.Service{{Name: "desk", Routes: []core.Route{
			{Path: "/queue", Access: core.AccessKeyed, Kind: core.RouteIdempotent, Class: core.ClassLookup},
			{Path: "/public", Access: core.AccessOpen, Kind: core.RouteIdempotent, Class: core.ClassLookup, Workspace: "loft-a"},
		}}},
		Servers: []core.Server{{Name: "desk-1", Service: "desk", Domain: "kushiro", Address: "127.0.0.1:9000", Slots: 3, MaxConns: 400}},
		Keys:    []core.Key{{Name: "k1", Workspace: "loft-a", Hash: [32]byte{1}}},
		Blocks:  []core.AddressBlock{{Prefix: netip.MustParsePrefix("10.0.0.0/24"), Domain: "kushiro"}},
		Shifts:  []core.Shift{{Name: "s1", From: "doto", To: "donan", SharePerMille: 100, Cap: 5000}},
		Drains:  []core.Drain{{Kind: core.DrainServer, Target: "desk-1", Mode: core.ModeDrain}},
	}
}

// Guards against a faulty sheet that gets into force. Each case breaks one
// value of a valid sheet.
func TestCheckFindsFaults(t *testing.T) {
	require.NoError(t, sheet.Check(valid()))
	for name, spoil := range map[string]func(*core.Sheet){
		"no regions":                   func(s *core.Sheet) { s.Regions = nil },
		"region without domains":       func(s *core.Sheet) { s.Regions[0].Domains = nil },
		"domain twice":                 func(s *core.Sheet) { s.Regions[1].Domains = []core.DomainID{"kushiro"} },
		"name with a space":            func(s *core.Sheet) { s.Regions[0].Name = "do to" },
		"link to nowhere":              func(s *core.Sheet) { s.Links[0].To = "x" },
		"link without budget":          func(s *core.Sheet) { s.Links[0].BandwidthMbps = 0 },
		"rate zero":                    func(s *core.Sheet) { s.Workspaces[0].Rate = 0 },
		"rate too large":               func(s *core.Sheet) { s.Workspaces[0].Rate = 1 << 60 },
		"burst below one request":      func(s *core.Sheet) { s.Workspaces[0].Burst = 999 },
		"workspace twice":              func(s *core.Sheet) { s.Workspaces = append(s.Workspaces, s.Workspaces[0]) },
		"route without slash":          func(s *core.Sheet) { s.Services[0].Routes[0].Path = "queue" },
		"route twice":                  func(s *core.Sheet) { s.Services[0].Routes[1].Path = "/queue" },
		"route kind":                   func(s *core.Sheet) { s.Services[0].Routes[0].Kind = "maybe" },
		"route class":                  func(s *core.Sheet) { s.Services[0].Routes[0].Class = "" },
		"route access":                 func(s *core.Sheet) { s.Services[0].Routes[0].Access = "" },
		"open route without workspace": func(s *core.Sheet) { s.Services[0].Routes[1].Workspace = "" },
		"keyed route with workspace":   func(s *core.Sheet) { s.Services[0].Routes[0].Workspace = "loft-a" },
		"server without service":       func(s *core.Sheet) { s.Servers[0].Service = "x" },
		"server without domain":        func(s *core.Sheet) { s.Servers[0].Domain = "x" },
		"server by host name":          func(s *core.Sheet) { s.Servers[0].Address = "localhost:9000" },
		"server without slots":         func(s *core.Sheet) { s.Servers[0].Slots = 0 },
		"key of nobody":                func(s *core.Sheet) { s.Keys[0].Workspace = "x" },
		"two keys with one hash": func(s *core.Sheet) {
			s.Keys = append(s.Keys, core.Key{Name: "k2", Workspace: "loft-a", Hash: [32]byte{1}})
		},
		"block not masked":       func(s *core.Sheet) { s.Blocks[0].Prefix = netip.MustParsePrefix("10.0.0.1/24") },
		"block of no domain":     func(s *core.Sheet) { s.Blocks[0].Domain = "x" },
		"shift to itself":        func(s *core.Sheet) { s.Shifts[0].To = "doto" },
		"shift of more than all": func(s *core.Sheet) { s.Shifts[0].SharePerMille = 1001 },
		"shift without cap":      func(s *core.Sheet) { s.Shifts[0].Cap = 0 },
		"drain of nothing":       func(s *core.Sheet) { s.Drains[0].Target = "x" },
		"drain mode":             func(s *core.Sheet) { s.Drains[0].Mode = "x" },
	} {
		t.Run(name, func(t *testing.T) {
			s := valid()
			spoil(&s)
			require.Equal(t, codes.SheetInvalid, codes.Of(sheet.Check(s)))
		})
	}
}

// Guards against changes that do not take effect, take effect on the sheet
// that is still in use, or are accepted although they do not fit.
func TestApply(t *testing.T) {
	for _, c := range []struct {
		name   string
		change core.Change
		code   codes.Code
		check  func(*testing.T, core.Sheet)
	}{
		{"grant", core.Change{Kind: core.ChangeGrant, Key: core.Key{Name: "k2", Workspace: "loft-a", Hash: [32]byte{2}}}, codes.OK, func(t *testing.T, s core.Sheet) { require.Len(t, s.Keys, 2) }},
		{"grant twice", core.Change{Kind: core.ChangeGrant, Key: core.Key{Name: "k1", Workspace: "loft-a", Hash: [32]byte{2}}}, codes.ChangeInvalid, nil},
		{"grant to nobody", core.Change{Kind: core.ChangeGrant, Key: core.Key{Name: "k2", Workspace: "x", Hash: [32]byte{2}}}, codes.ChangeInvalid, nil},
		{"grant with the hash of another key", core.Change{Kind: core.ChangeGrant, Key: core.Key{Name: "k2", Workspace: "loft-a", Hash: valid().Keys[0].Hash}}, codes.ChangeInvalid, nil},
		{"grant with a bad name", core.Change{Kind: core.ChangeGrant, Key: core.Key{Name: "K 2", Workspace: "loft-a", Hash: [32]byte{2}}}, codes.ChangeInvalid, nil},
		{"revoke", core.Change{Kind: core.ChangeRevoke, Target: "k1"}, codes.OK, func(t *testing.T, s core.Sheet) { require.Empty(t, s.Keys) }},
		{"revoke unknown", core.Change{Kind: core.ChangeRevoke, Target: "k9"}, codes.ChangeInvalid, nil},
		{"stop after drain", core.Change{Kind: core.ChangeDrain, Drain: core.Drain{Kind: core.DrainServer, Target: "desk-1", Mode: core.ModeStop}}, codes.OK, func(t *testing.T, s core.Sheet) {
			require.Equal(t, []core.Drain{{Kind: core.DrainServer, Target: "desk-1", Mode: core.ModeStop}}, s.Drains)
		}},
		{"drain twice", core.Change{Kind: core.ChangeDrain, Drain: core.Drain{Kind: core.DrainServer, Target: "desk-1", Mode: core.ModeDrain}}, codes.ChangeInvalid, nil},
		{"shift twice", core.Change{Kind: core.ChangeShift, Shift: core.Shift{Name: "s1", From: "doto", To: "donan", SharePerMille: 1, Cap: 1}}, codes.ChangeInvalid, nil},
		{"resume drain", core.Change{Kind: core.ChangeResume, Target: "desk-1"}, codes.OK, func(t *testing.T, s core.Sheet) { require.Empty(t, s.Drains) }},
		{"resume shift", core.Change{Kind: core.ChangeResume, Target: "s1"}, codes.OK, func(t *testing.T, s core.Sheet) { require.Empty(t, s.Shifts) }},
		{"resume nothing", core.Change{Kind: core.ChangeResume, Target: "x"}, codes.ChangeInvalid, nil},
		{"rate", core.Change{Kind: core.ChangeRate, Workspace: core.Workspace{Name: "loft-a", Rate: 7, Burst: 7000}}, codes.OK, func(t *testing.T, s core.Sheet) { require.EqualValues(t, 7, s.Workspaces[0].Rate) }},
		{"rate of nobody", core.Change{Kind: core.ChangeRate, Workspace: core.Workspace{Name: "x", Rate: 7, Burst: 7000}}, codes.ChangeInvalid, nil},
		{"rate out of range", core.Change{Kind: core.ChangeRate, Workspace: core.Workspace{Name: "loft-a", Rate: -1, Burst: 7000}}, codes.ChangeInvalid, nil},
		{"unknown kind", core.Change{Kind: "x"}, codes.ChangeInvalid, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := valid()
			after, err := sheet.Apply(before, c.change)
			require.Equal(t, c.code, codes.Of(err), "%v", err)
			require.Equal(t, valid(), before, "the old sheet was modified")
			if c.check != nil {
				c.check(t, after)
				require.NoError(t, sheet.Check(after))
			}
		})
	}
}
