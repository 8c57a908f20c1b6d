package beacon_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/mirror"
	"azurering/core/timer"
	"azurering/io/beacon"
)

// Encoded copies are cached. A cached copy must not be served after the table
// has changed, nor to a host that asks for the changes after another version.
func TestCopyFollowsTheTable(t *testing.T) {
	m := mirror.New(mirror.Config{
		Table: core.FeedServers, Timer: timer.NewManual(), FollowsStore: func() bool { return false },
		OnChange: func(mirror.Change) {}, OnStoreState: func(error) {},
	})
	server := httptest.NewServer(beacon.SnapshotHandler(map[core.FeedTable]*mirror.Mirror{core.FeedServers: m}))
	defer server.Close()
	host, text, err := net.SplitHostPort(server.Listener.Addr().String())
	require.NoError(t, err)
	port, err := strconv.Atoi(text)
	require.NoError(t, err)
	for version := uint64(1); version <= 3; version++ {
		row := core.Record{Key: fmt.Sprint("s-", version), Value: []byte("x"), Version: version}
		require.True(t, m.Merge(mirror.Snapshot{Rows: []core.Record{row}, After: version - 1, Version: version, Newest: version}))
		for range 2 {
			got, err := beacon.FetchSnapshot(t.Context(), host, port, core.FeedServers, 0)
			require.NoError(t, err)
			require.Len(t, got.Rows, int(version))
			require.Equal(t, version, got.Version)
			got, err = beacon.FetchSnapshot(t.Context(), host, port, core.FeedServers, version-1)
			require.NoError(t, err)
			require.Contains(t, got.Rows, row)
		}
	}
}
