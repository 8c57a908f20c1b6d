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

// testCluster is a few hosts with a fake table, object store and network.
type testCluster struct {
	table   fakes.Table
	objects fakes.Objects
	network fakes.Network
	logs    map[core.HostID]*config.Log
	applied map[core.HostID][]uint64
}

func newTestCluster(hosts ...core.HostID) *testCluster {
	c := &testCluster{logs: make(map[core.HostID]*config.Log), applied: make(map[core.HostID][]uint64)}
	for _, h := range hosts {
		c.start(h, hosts, 0)
	}
	return c
}

func (c *testCluster) start(h core.HostID, hosts []core.HostID, snapshotEvery uint64) *config.Log {
	c.applied[h] = nil
	c.logs[h] = config.New(config.Config{
		Table: &c.table, Objects: &c.objects, Codec: wire.Codec{}, Peers: c.network.Peer(h),
		PushTargets: func() []core.HostID { return hosts }, SnapshotEvery: snapshotEvery,
		OnApply: func(s config.State) { c.applied[h] = append(c.applied[h], s.Version) },
	})
	return c.logs[h]
}

func testSheet() core.Sheet {
	return core.Sheet{
		Name:       "test",
		Regions:    []core.Region{{Name: "doto", Domains: []core.DomainID{"kushiro", "nemuro"}}},
		Workspaces: []core.Workspace{{Name: "loft-a", Rate: 10_000, Burst: 20_000}},
	}
}

func grantChange(n int) core.Change {
	k := core.Key{Name: core.KeyID(fmt.Sprintf("key-%d", n)), Workspace: "loft-a"}
	k.Hash[0], k.Hash[1] = byte(n), byte(n>>8)
	return core.Change{Kind: core.ChangeGrant, Key: k}
}

func mustPublish(t *testing.T, l *config.Log, n int) {
	t.Helper()
	_, err := l.PublishChange(context.Background(), grantChange(n), 0)
	require.NoError(t, err)
}

// Guards against a publication that is lost, takes effect twice or is reported
// wrongly when the store fails during the commit.
func TestPublishTakesEffectOnceUnderStoreFaults(t *testing.T) {
	ctx := context.Background()
	for _, tt := range []struct {
		name  string
		fault fakes.Fault
		code  codes.Code
		keys  int
	}{
		{"no fault", fakes.FaultNone, codes.OK, 1},
		{"response lost after the write", fakes.FaultLostResponse, codes.OK, 1},
		{"write lost with unknown outcome", fakes.FaultLostRequest, codes.OK, 1},
		{"store down", fakes.FaultUnavailable, codes.StoreDown, 0},
		{"store throttles", fakes.FaultThrottled, codes.StoreLimit, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newTestCluster("a")
			_, err := c.logs["a"].PublishSheet(ctx, testSheet(), 0)
			require.NoError(t, err)
			c.table.FailNextCommit(tt.fault)
			_, err = c.logs["a"].PublishChange(ctx, grantChange(1), 0)
			require.Equal(t, tt.code, codes.Of(err), "%v", err)
			require.NoError(t, c.logs["a"].Poll(ctx))
			require.Len(t, c.logs["a"].Current().Sheet.Keys, tt.keys)
		})
	}
}

// Guards against two operators who both get a success for a sheet based on the
// same version.
func TestConcurrentSheetsHaveOneWinner(t *testing.T) {
	ctx := context.Background()
	c := newTestCluster("a", "b")
	first, err := c.logs["a"].PublishSheet(ctx, testSheet(), 0)
	require.NoError(t, err)
	second := testSheet()
	second.Name = "second"
	_, err = c.logs["a"].PublishSheet(ctx, second, first.Version)
	require.NoError(t, err)
	_, err = c.logs["b"].PublishSheet(ctx, testSheet(), first.Version)
	require.Equal(t, codes.VersionConflict, codes.Of(err))
	require.Contains(t, err.Error(), "version 2")
	require.Equal(t, "second", c.logs["b"].Current().Sheet.Name)
}

// Guards against a rejected sheet or change that publishes a version.
func TestRejectedPublicationChangesNothing(t *testing.T) {
	ctx := context.Background()
	c := newTestCluster("a")
	_, err := c.logs["a"].PublishSheet(ctx, testSheet(), 0)
	require.NoError(t, err)
	bad := testSheet()
	bad.Workspaces[0].Rate = 0
	_, err = c.logs["a"].PublishSheet(ctx, bad, 0)
	require.Equal(t, codes.SheetInvalid, codes.Of(err))
	_, err = c.logs["a"].PublishChange(ctx, core.Change{Kind: core.ChangeResume, Target: "none"}, 0)
	require.Equal(t, codes.ChangeInvalid, codes.Of(err))
	twoAdded := testSheet()
	twoAdded.Regions[0].Domains = append(twoAdded.Regions[0].Domains, "x", "y")
	_, err = c.logs["a"].PublishSheet(ctx, twoAdded, 0)
	require.Equal(t, codes.SheetInvalid, codes.Of(err), "two domains are added at once")
	require.NoError(t, c.logs["a"].Poll(ctx))
	require.EqualValues(t, 1, c.logs["a"].Current().Version)
}

// Guards against hosts that miss versions although a peer has them: nobody polls
// the store, and host c is cut off from the publisher. Also guards against
// versions that are applied twice or out of order.
func TestVersionsSpreadThroughPeers(t *testing.T) {
	ctx := context.Background()
	hosts := []core.HostID{"a", "b", "c"}
	c := newTestCluster(hosts...)
	c.network.SetCut("a", "c", true)
	_, err := c.logs["a"].PublishSheet(ctx, testSheet(), 0)
	require.NoError(t, err)
	for n := range 5 {
		mustPublish(t, c.logs["a"], n)
	}
	for range 3 {
		for _, h := range hosts {
			c.logs[h].PushPending(ctx)
		}
	}
	for _, h := range hosts {
		require.EqualValues(t, 6, c.logs[h].Current().Version, "host %s", h)
		require.IsIncreasing(t, c.applied[h])
	}
}

// Guards against a restarted host that serves an old configuration, and against
// one that cannot catch up from a peer, without the store, after more versions
// than peers keep.
func TestRestartedHostCatchesUp(t *testing.T) {
	ctx := context.Background()
	hosts := []core.HostID{"a", "b"}
	c := newTestCluster(hosts...)
	_, err := c.logs["a"].PublishSheet(ctx, testSheet(), 0)
	require.NoError(t, err)
	for n := range 400 {
		mustPublish(t, c.logs["a"], n)
	}
	b := c.start("b", hosts, 0)
	b.ObserveVersion(401)
	require.False(t, b.IsCurrent(), "a host without state must not be ready")
	c.table.SetFault(fakes.FaultUnavailable)
	c.objects.SetFault(fakes.FaultUnavailable)
	require.NoError(t, b.Pull(ctx, "a"))
	require.True(t, b.IsCurrent())
	require.Len(t, b.Current().Sheet.Keys, 400)
	require.Equal(t, []uint64{401}, c.applied["b"], "a lagging host gets one whole sheet")
}

// Guards against an older version that replaces a newer one.
func TestOlderVersionsAreIgnored(t *testing.T) {
	ctx := context.Background()
	c := newTestCluster("a", "b")
	_, err := c.logs["a"].PublishSheet(ctx, testSheet(), 0)
	require.NoError(t, err)
	mustPublish(t, c.logs["a"], 1)
	old := core.LogEntry{Version: 1, Kind: core.EntrySheet, SheetObject: "sheet-old"}
	_, err = c.network.Peer("x").Call(ctx, "a", core.ConfigPush{Entries: []core.LogEntry{old}})
	require.NoError(t, err)
	require.EqualValues(t, 2, c.logs["a"].Current().Version)
	require.Len(t, c.logs["a"].Current().Sheet.Keys, 1)
}

// Guards against a corrupt sheet body that is applied.
func TestDamagedBodyIsRejected(t *testing.T) {
	ctx := context.Background()
	c := newTestCluster("a")
	x := c.network.Peer("x")
	x.Handle(core.KindObjectPull, func(context.Context, core.HostID, core.Message) (core.Message, error) {
		return core.ObjectBody{Found: true, Body: []byte("other")}, nil
	})
	_, err := x.Call(ctx, "a", core.ConfigPush{Entries: []core.LogEntry{{Version: 9, Kind: core.EntrySheet, SheetObject: "sheet-1"}}})
	require.Equal(t, codes.SheetInvalid, codes.Of(err))
	require.Zero(t, c.logs["a"].Current().Version)
}

// Guards against entries that are never pruned, and against a host without state
// that cannot find the newest version in a pruned log.
func TestSnapshotSurvivesPruning(t *testing.T) {
	ctx := context.Background()
	hosts := []core.HostID{"a"}
	c := newTestCluster()
	a := c.start("a", hosts, 10)
	_, err := a.PublishSheet(ctx, testSheet(), 0)
	require.NoError(t, err)
	for n := range 44 {
		mustPublish(t, a, n)
	}
	rows, err := c.table.List(ctx, core.SpaceConfig, "", 0)
	require.NoError(t, err)
	require.Len(t, rows, 15, "entries up to the previous snapshot, version 30, are pruned")
	b := c.start("b", hosts, 10)
	require.NoError(t, b.Poll(ctx))
	require.EqualValues(t, 45, b.Current().Version)
	require.Len(t, b.Current().Sheet.Keys, 44)
}

// Guards against a writer that was paused while the log was pruned. The row of
// its next version is absent again, so without the check of the snapshot row its
// publication would succeed without any host ever reading it.
func TestPausedPublisherRetriesAfterPruning(t *testing.T) {
	ctx := context.Background()
	hosts := []core.HostID{"a"}
	c := newTestCluster()
	a := c.start("a", hosts, 10)
	_, err := a.PublishSheet(ctx, testSheet(), 0)
	require.NoError(t, err)
	paused := false
	b := config.New(config.Config{
		Table: &c.table, Objects: &c.objects, Codec: wire.Codec{}, Peers: c.network.Peer("b"),
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
	result, err := b.PublishChange(ctx, grantChange(100), 0)
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
