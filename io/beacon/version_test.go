package beacon_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/mirror"
	"azurering/core/timer"
	"azurering/io/beacon"
)

// earlierHeartbeat is the form of a heartbeat in builds that know no eras.
type earlierHeartbeat struct {
	_        struct{} `cbor:",toarray"`
	Host     string
	Domain   string
	Address  string
	Boot     uint64
	Count    uint64
	Ready    bool
	Lost     bool
	Age      int64
	Operator uint64
	Servers  uint64
	Demand   map[string]float32
	InFlight map[string]uint16
	Spare    map[string]uint16
}

// earlierDigest is the form of a digest in these builds.
type earlierDigest struct {
	_        struct{} `cbor:",toarray"`
	Domain   string
	Passed   bool
	Beats    []earlierHeartbeat
	Demand   map[string]float32
	InFlight map[string]uint16
}

// Guards against hosts that cannot read one another's messages during an upgrade, and
// against an era that gets lost on the way.
func TestErasPassBetweenBuilds(t *testing.T) {
	versions := map[core.FeedTable]core.Version{core.FeedOperator: {Era: 2, Number: 130}, core.FeedServers: {Number: 7}}
	raw, err := beacon.EncodeDigest(gossip.Digest{Domain: "d", Heartbeats: []gossip.Heartbeat{{Host: "h", Domain: "d", Versions: versions}}})
	require.NoError(t, err)
	got, err := beacon.DecodeDigest(raw)
	require.NoError(t, err)
	require.Equal(t, versions, got.Heartbeats[0].Versions)

	var earlier earlierDigest
	require.NoError(t, cbor.Unmarshal(raw, &earlier))
	require.EqualValues(t, 130, earlier.Beats[0].Operator)
	require.EqualValues(t, 7, earlier.Beats[0].Servers)
	raw, err = cbor.Marshal(earlier)
	require.NoError(t, err)
	got, err = beacon.DecodeDigest(raw)
	require.NoError(t, err)
	require.Equal(t, core.Version{Number: 130}, got.Heartbeats[0].Versions[core.FeedOperator])
}

// Guards against versions in messages that stand for no version of the store.
func TestMalformedVersionsAreRejected(t *testing.T) {
	for _, version := range []any{"x", -1, 1.5, cbor.Tag{Number: 7, Content: 1}, cbor.Tag{Number: 1 << 32, Content: 1}, cbor.Tag{Number: 1<<32 + 1, Content: "x"}} {
		raw, err := cbor.Marshal([]any{"h", "d", "", 1, 1, true, false, 0, version, 0, map[string]float32{}, map[string]uint16{}, map[string]uint16{}})
		require.NoError(t, err)
		_, err = beacon.DecodeHeartbeat(raw)
		require.Error(t, err, "%v", version)
	}
}

// Guards against a copy whose rows or versions lose their era, and against changes of
// another era that are taken for those after the requested version.
func TestCopyKeepsItsEra(t *testing.T) {
	m := newMirror(timer.NewManual())
	address, port := serve(t, beacon.SnapshotHandler(map[core.FeedTable]*mirror.Mirror{core.FeedServers: m}))
	first := core.Record{Key: "a", Value: []byte("x"), Version: core.Version{Era: 2, Number: 3}}
	second := core.Record{Key: "b", Value: []byte("x"), Version: core.Version{Era: 2, Number: 8}}
	require.True(t, m.Merge(mirror.Snapshot{Rows: []core.Record{first}, Version: core.Version{Era: 2, Number: 5}, Newest: first.Version}))
	require.True(t, m.Merge(mirror.Snapshot{Rows: []core.Record{second}, After: core.Version{Era: 2, Number: 5}, Version: core.Version{Era: 2, Number: 9}, Newest: second.Version}))
	for after, rows := range map[core.Version][]core.Record{
		{}: {first, second}, {Era: 2, Number: 5}: {second}, {Era: 1, Number: 5}: {first, second}, {Number: 5}: {first, second},
	} {
		got, err := beacon.FetchSnapshot(t.Context(), beacon.Fetch{Address: address, Port: port, Table: core.FeedServers, After: after})
		require.NoError(t, err)
		require.ElementsMatch(t, rows, got.Rows, "after %s", after)
		require.Equal(t, core.Version{Era: 2, Number: 9}, got.Version)
		require.Equal(t, second.Version, got.Newest)
	}
}
