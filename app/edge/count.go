package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/metric"
)

// countingFeed counts the calls to the store by operation and result code, and logs
// which call showed first that the store has come back from an older copy.
type countingFeed struct {
	feed    core.Feed
	metrics *metric.Metrics
	log     logrus.FieldLogger
	era     atomic.Uint64 // the last one that was logged
}

// List implements core.Feed.
func (c *countingFeed) List(ctx context.Context, t core.FeedTable) (core.Records, error) {
	got, err := c.feed.List(ctx, t)
	c.metrics.CountStoreOperation("list", codes.Of(err))
	c.logEra(logrus.Fields{"call": "list", "table": t, "version": got.Version, "code": int(codes.Of(err))})
	return got, err
}

// Follow implements core.Feed.
func (c *countingFeed) Follow(ctx context.Context, t core.FeedTable, after core.Version, wait time.Duration) (core.Records, error) {
	got, err := c.feed.Follow(ctx, t, after, wait)
	c.metrics.CountStoreOperation("follow", codes.Of(err))
	c.logEra(logrus.Fields{"call": "follow", "table": t, "after": after, "version": got.Version, "code": int(codes.Of(err))})
	return got, err
}

// Put implements core.Feed.
func (c *countingFeed) Put(ctx context.Context, t core.FeedTable, key string, value []byte) error {
	err := c.feed.Put(ctx, t, key, value)
	c.metrics.CountStoreOperation("put", codes.Of(err))
	c.logEra(logrus.Fields{"call": "put", "table": t, "code": int(codes.Of(err))})
	return err
}

// Era implements core.Feed.
func (c *countingFeed) Era() uint64 { return c.feed.Era() }

// logEra logs and counts an era of the store after the first call that named it. The
// first era that a process learns of is no return.
func (c *countingFeed) logEra(call logrus.Fields) {
	era, before := c.feed.Era(), c.era.Load()
	if era <= before || !c.era.CompareAndSwap(before, era) {
		return
	}
	log := c.log.WithFields(call).WithFields(logrus.Fields{"event": "era", "era": era, "before": before})
	if before == 0 {
		log.Info("edge: store named its era")
		return
	}
	c.metrics.CountEra()
	log.Warn("edge: store has come back from an older copy; what it has lost is written again, and its tables are read anew")
}

// registerGauges registers the values that are read when metrics are
// collected.
func (h *host) registerGauges() error {
	for _, g := range []struct {
		name, help string
		read       func() float64
	}{
		{"azurering_body_bytes", "Memory that the buffered bodies of requests and answers take.", func() float64 { return float64(h.resources.bodies.Taken() + h.resources.responses.Taken()) }},
		{"azurering_request_bytes", "Memory that requests take apart from their bodies.", func() float64 { return float64(h.resources.requests.Taken()) }},
		{"azurering_caller_connections", "Open connections of callers.", func() float64 { return float64(h.front.NumConns()) }},
		{"azurering_server_connections", "Open connections to backend servers.", func() float64 { return float64(h.pool.NumConns()) }},
		{"azurering_servers", "Backend servers that are listed.", func() float64 { return float64(len(h.view.Servers())) }},
		{"azurering_servers_lapsed", "Backend servers in use whose entries have lapsed.", func() float64 { return float64(h.view.NumLapsed()) }},
		{"azurering_limited_servers", "Backend servers that name a limit of requests per second.", func() float64 { return float64(h.view.NumLimited()) }},
		{"azurering_coordinated_servers", "Backend servers with a limit to which this host grants the requests.", func() float64 { return float64(h.pacer.NumCoordinated()) }},
		{"azurering_hosts", "Other hosts that are alive.", h.aliveHosts},
		{"azurering_copy_age_seconds", "Time since this host's copy of the list of servers was last known to be complete.", func() float64 { return h.state.mirrors[core.FeedServers].Age().Seconds() }},
		{"azurering_config_age_seconds", "Time since this host's copy of the operators' table was last known to be complete.", func() float64 { return h.state.mirrors[core.FeedOperator].Age().Seconds() }},
		{"azurering_config_version", "Version of the configuration in force; 0 for none.", h.configVersion},
	} {
		if err := h.metrics.RegisterGauge(g.name, g.help, g.read); err != nil {
			return err
		}
	}
	return nil
}

// aliveHosts returns the number of other hosts that are alive.
func (h *host) aliveHosts() float64 { return float64(len(h.aliveAddresses())) }

// configVersion returns the version of the configuration in force, or 0.
func (h *host) configVersion() float64 {
	if t := h.state.table.Load(); t != nil {
		return float64(t.Version)
	}
	return 0
}
