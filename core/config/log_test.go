package config_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/config"
	"azurering/core/fakes"
	"azurering/io/wire"
)

// fleet is a few hosts over one fake platform.
type fleet struct {
	table   fakes.Table
	objects fakes.Objects
	net     fakes.Network
	logs    map[core.HostID]*config.Log
	applied map[core.HostID][]uint64
}

func newFleet(hosts ...core.HostID) *fleet {
	f := &fleet{logs: make(map[core.HostID]*config.Log), applied: make(map[core.HostID][]uint64)}
	for _, h := range hosts {
		f.start(h, hosts, 0)
	}
	return f
}

func (f *fleet) start(h core.HostID, hosts []core.HostID, every uint64) *config.Log {
	f.applied[h] = nil
	f.logs[h] = config.New(config.Config{
		Table: &f.table, Objects: &f.objects, Codec: wire.Codec{}, Peers: f.net.Peer(h),
		PushTargets: func() []core.HostID { return hosts }, SnapshotEvery: every,
		OnApply: func(s config.State) { f.applied[h] = append(f.applied[h], s.Version) },
	})
	return f.logs[h]
}

func testSheet() core.Sheet {
	return core.Sheet{
		Name:       "test",
		Regions:    []core.Region{{Name: "doto", Domains: []core.DomainID{"kushiro", "nemuro"}}},
		Workspaces: []core.Workspace{{Name: "loft-a", Rate: 10_000, Burst: 20_000}},
	}
}

func grant(n int) core.Change {
	k := core.Key{Name: core.KeyID(fmt.Sprintf("key-%d", n)), Workspace: "loft-a"}
	k.Hash[0], k.Hash[1] = byte(n), byte(n>>8)
	return core.Change{Kind: core.ChangeGrant, Key: k}
}

func mustPublish(t *testing.T, l *config.Log, n int) {
	t.Helper()
	_, err := l.PublishChange(context.Background(), grant(n), 0)
	require.NoError(t, err)
}

// Guards against a publication that is lost, doubled or reported wrongly
// when the store misbehaves at the commit.
func TestPublishUnderStoreFaults(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name  string
		fault fakes.Fault
		code  codes.Code
		keys  int
	}{
		{"no fault", fakes.FaultNone, codes.OK, 1},
		{"answer lost after the write", fakes.FaultLostResponse, codes.OK, 1},
		{"write lost, caller cannot tell", fakes.FaultLostRequest, codes.OK, 1},
		{"store down", fakes.FaultUnavailable, codes.StoreDown, 0},
		{"store throttles", fakes.FaultThrottled, codes.StoreLimit, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet("a")
			_, err := f.logs["a"].PublishSheet(ctx, testSheet(), 0)
			require.NoError(t, err)
			f.table.FailNextCommit(c.fault)
			_, err = f.logs["a"].PublishChange(ctx, grant(1), 0)
			require.Equal(t, c.code, codes.Of(err), "%v", err)
			require.NoError(t, f.logs["a"].Poll(ctx))
			require.Len(t, f.logs["a"].Current().Sheet.Keys, c.keys)
		})
	}
}

// Guards against two operators both being told that their sheet is in
// force after the same version.
func TestRacingSheetsHaveOneWinner(t *testing.T) {
	ctx := context.Background()
	f := newFleet("a", "b")
	first, err := f.logs["a"].PublishSheet(ctx, testSheet(), 0)
	require.NoError(t, err)
	second := testSheet()
	second.Name = "second"
	_, err = f.logs["a"].PublishSheet(ctx, second, first.Version)
	require.NoError(t, err)
	_, err = f.logs["b"].PublishSheet(ctx, testSheet(), first.Version)
	require.Equal(t, codes.VersionConflict, codes.Of(err))
	require.Contains(t, err.Error(), "version 2")
	require.Equal(t, "second", f.logs["b"].Current().Sheet.Name)
}

// Guards against a rejected sheet or change leaving anything behind.
func TestRejectedPublicationChangesNothing(t *testing.T) {
	ctx := context.Background()
	f := newFleet("a")
	_, err := f.logs["a"].PublishSheet(ctx, testSheet(), 0)
	require.NoError(t, err)
	bad := testSheet()
	bad.Workspaces[0].Rate = 0
	_, err = f.logs["a"].PublishSheet(ctx, bad, 0)
	require.Equal(t, codes.SheetInvalid, codes.Of(err))
	_, err = f.logs["a"].PublishChange(ctx, core.Change{Kind: core.ChangeResume, Target: "none"}, 0)
	require.Equal(t, codes.ChangeInvalid, codes.Of(err))
	three := testSheet()
	three.Regions[0].Domains = append(three.Regions[0].Domains, "x", "y")
	_, err = f.logs["a"].PublishSheet(ctx, three, 0)
	require.Equal(t, codes.SheetInvalid, codes.Of(err), "two domains were added at once")
	require.NoError(t, f.logs["a"].Poll(ctx))
	require.EqualValues(t, 1, f.logs["a"].Current().Version)
}

// Guards against hosts that stay behind when the store is down for them,
// and against a version that is applied twice or out of order.
func TestVersionsSpreadThroughPeers(t *testing.T) {
	ctx := context.Background()
	hosts := []core.HostID{"a", "b", "c"}
	f := newFleet(hosts...)
	f.net.SetCut("a", "c", true)
	_, err := f.logs["a"].PublishSheet(ctx, testSheet(), 0)
	require.NoError(t, err)
	for n := range 5 {
		mustPublish(t, f.logs["a"], n)
	}
	for range 3 {
		for _, h := range hosts {
			f.logs[h].PushPending(ctx)
		}
	}
	for _, h := range hosts {
		require.EqualValues(t, 6, f.logs[h].Current().Version, "host %s", h)
		require.IsIncreasing(t, f.applied[h])
	}
}

// Guards against a host that serves an old configuration after its restart
// and against one that cannot catch up over a gap.
func TestRestartedHostCatchesUp(t *testing.T) {
	ctx := context.Background()
	hosts := []core.HostID{"a", "b"}
	f := newFleet(hosts...)
	_, err := f.logs["a"].PublishSheet(ctx, testSheet(), 0)
	require.NoError(t, err)
	for n := range 400 {
		mustPublish(t, f.logs["a"], n)
	}
	b := f.start("b", hosts, 0)
	b.ObserveVersion(401)
	require.False(t, b.IsCurrent(), "a host without state must not serve")
	f.table.SetFault(fakes.FaultUnavailable)
	f.objects.SetFault(fakes.FaultUnavailable)
	require.NoError(t, b.Pull(ctx, "a"))
	require.True(t, b.IsCurrent())
	require.Len(t, b.Current().Sheet.Keys, 400)
	require.Equal(t, []uint64{401}, f.applied["b"], "a lagging host gets one whole sheet")
}

// Guards against an older version taking the place of a newer one.
func TestOlderVersionsAreIgnored(t *testing.T) {
	ctx := context.Background()
	f := newFleet("a", "b")
	_, err := f.logs["a"].PublishSheet(ctx, testSheet(), 0)
	require.NoError(t, err)
	mustPublish(t, f.logs["a"], 1)
	old := core.LogEntry{Version: 1, Kind: core.EntrySheet, SheetObject: "sheet-old"}
	_, err = f.net.Peer("x").Call(ctx, "a", core.ConfigPush{Entries: []core.LogEntry{old}})
	require.NoError(t, err)
	require.EqualValues(t, 2, f.logs["a"].Current().Version)
	require.Len(t, f.logs["a"].Current().Sheet.Keys, 1)
}

// Guards against a sheet body that was damaged on its way.
func TestDamagedBodyIsRefused(t *testing.T) {
	ctx := context.Background()
	f := newFleet("a")
	x := f.net.Peer("x")
	x.Handle(core.KindObjectPull, func(context.Context, core.HostID, core.Message) (core.Message, error) {
		return core.ObjectBody{Found: true, Body: []byte("other")}, nil
	})
	_, err := x.Call(ctx, "a", core.ConfigPush{Entries: []core.LogEntry{{Version: 9, Kind: core.EntrySheet, SheetObject: "sheet-1"}}})
	require.Equal(t, codes.SheetInvalid, codes.Of(err))
	require.Zero(t, f.logs["a"].Current().Version)
}

// Guards against a pruned log: hosts without state still find the newest
// version, and a writer that was paused across a pruning cannot write a
// version a second time.
func TestSnapshotAndPruning(t *testing.T) {
	ctx := context.Background()
	hosts := []core.HostID{"a"}
	f := newFleet()
	a := f.start("a", hosts, 10)
	_, err := a.PublishSheet(ctx, testSheet(), 0)
	require.NoError(t, err)
	for n := range 44 {
		mustPublish(t, a, n)
	}
	rows, err := f.table.List(ctx, core.SpaceConfig, "", 0)
	require.NoError(t, err)
	require.Len(t, rows, 15, "entries up to the previous snapshot, version 30, are gone")
	b := f.start("b", hosts, 10)
	require.NoError(t, b.Poll(ctx))
	require.EqualValues(t, 45, b.Current().Version)
	require.Len(t, b.Current().Sheet.Keys, 44)
}

// Guards against a writer that was paused while the log was pruned: the row
// of its version is absent again, and without the check of the snapshot row
// its publication would be reported as done and be seen by nobody.
func TestPausedPublisherAfterPruning(t *testing.T) {
	ctx := context.Background()
	hosts := []core.HostID{"a"}
	f := newFleet()
	a := f.start("a", hosts, 10)
	_, err := a.PublishSheet(ctx, testSheet(), 0)
	require.NoError(t, err)
	paused := false
	b := config.New(config.Config{
		Table: &f.table, Objects: &f.objects, Codec: wire.Codec{}, Peers: f.net.Peer("b"),
		AdmitChange: func(core.Sheet, core.Change) error {
			if !paused {
				paused = true
				for n := range 50 {
					mustPublish(t, a, n)
				}
			}
			return nil
		},
	})
	result, err := b.PublishChange(ctx, grant(100), 0)
	require.NoError(t, err)
	require.EqualValues(t, 52, result.Version)
	require.NoError(t, a.Poll(ctx))
	require.Len(t, a.Current().Sheet.Keys, 51)
}

func ExampleLog() {
	ctx := context.Background()
	var table fakes.Table
	var objects fakes.Objects
	var net fakes.Network
	log := config.New(config.Config{Table: &table, Objects: &objects, Codec: wire.Codec{}, Peers: net.Peer("a")})
	result, err := log.PublishSheet(ctx, testSheet(), 0)
	fmt.Println(result.Version, err)
	_, err = log.PublishSheet(ctx, testSheet(), 7)
	fmt.Println(codes.Of(err) == codes.VersionConflict)
	// Output:
	// 1 <nil>
	// true
}
