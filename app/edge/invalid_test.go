package edge

import (
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/mirror"
	"azurering/core/picker"
	"azurering/core/quota"
	"azurering/core/timer"
	"azurering/io/metric"
)

// Guards against an entry that is written again and again, and fills the log.
func TestInvalidEntriesAreLoggedSeldom(t *testing.T) {
	clock := timer.NewManual()
	metrics, err := metric.New()
	require.NoError(t, err)
	log, hook := test.NewNullLogger()
	invalid := newInvalidEntries(clock, metrics, core.FeedServers)
	for range 100 {
		clock.Advance(time.Second)
		invalid.report(log, "a", errors.New("always the same"), "text")
	}
	require.Len(t, hook.Entries, 1)
	hook.Reset()
	for n := range 100 {
		clock.Advance(time.Second)
		invalid.report(log, "b", errors.Errorf("another one, %d", n), "text")
	}
	require.Len(t, hook.Entries, 10)
	for n := range 2 * maxInvalidKept {
		invalid.report(log, string(rune(n+1000)), errors.New("x"), "text")
	}
	require.LessOrEqual(t, len(invalid.logged), maxInvalidKept)
}

// Guards against an entry on which a decoder panics, which would end the process each time
// that it reads the list.
func TestPanicCostsOnlyItsEntry(t *testing.T) {
	clock := timer.NewManual()
	log := logrus.New()
	log.SetOutput(io.Discard)
	metrics, err := metric.New()
	require.NoError(t, err)
	cfg := Config{Log: log, Decode: RowDecoders{
		Instance: func(id string, _ []byte) (core.Instance, error) {
			if id == "bad" {
				panic("test")
			}
			return core.Instance{Server: core.Server{Name: core.ServerID(id), Service: "s", Domain: "d", Address: "127.0.0.1:1", Slots: 1}, State: core.InstanceReady}, nil
		},
		IsRules: func(key string) bool { return key == "config" },
		Rules:   func([]byte) (core.RoutingConfig, error) { panic("test") },
	}}
	members := gossip.New(gossip.Config{Timer: clock, Self: gossip.Heartbeat{Host: "own", Domain: "d"}})
	w := newClusterState(cfg, clock, nil, quota.New(quota.Config{Timer: clock}), members, newJoining(clock, members), metrics)
	w.view = picker.New(picker.Config{
		Timer: clock, Host: "own", Domain: "d", DomainHosts: func(core.DomainID) []core.HostID { return nil },
		Service: func(core.ServiceID) *core.ServiceConfig { return nil }, RequestCheck: func(core.Instance) {},
	})
	w.operatorChanged(mirror.Change{Rows: []core.Record{{Key: "config"}}})
	w.serversChanged(mirror.Change{Rows: []core.Record{{Key: "a"}, {Key: "bad"}, {Key: "b"}}})
	require.Equal(t, map[core.ServerID]bool{"a": true, "b": true}, w.view.Servers())
}
