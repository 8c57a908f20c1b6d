// Package edge builds and runs an entry host on the users' platform: it
// connects the store, the other hosts, the backend servers and the callers.
// The program's command "edge" starts it.
package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/gossip"
	"azurering/core/picker"
	"azurering/core/quota"
	"azurering/core/retry"
	"azurering/core/timer"
	"azurering/io/conns"
	"azurering/io/metric"
)

// startTimeout bounds the start of a host, which only opens sockets. It is also
// the time to read a request's header on the host's own HTTP servers, and how
// much longer than the platform's grace period a stop may take.
const startTimeout = 5 * time.Second

// Config configures a host. All fields are required.
type Config struct {
	Place   core.HostSettings
	Log     logrus.FieldLogger
	Feed    core.Feed
	Decode  RowDecoders
	Dialect core.HeaderCodec
	// Paths are the HTTP paths that the platform calls.
	Paths Paths
}

// Paths holds the HTTP paths that the platform calls at a host.
type Paths struct {
	Ready  string
	Lookup string
	// LookupBody returns the body of a look-up's answer, which is encoded as
	// JSON. ttl is how long
	// callers may use the addresses.
	LookupBody func(addresses []string, ttl time.Duration) any
}

// App is one host.
type App struct {
	fx   *fx.App
	host *host
}

// New builds a host without starting it.
func New(cfg Config) (*App, error) {
	cfg.Log = cfg.Log.WithField("host", cfg.Place.Name)
	a := &App{}
	a.fx = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(cfg.Place.Bounds.ShutdownGrace+startTimeout),
		fx.Supply(cfg),
		fx.Provide(
			func() core.Timer { return timer.NewReal() },
			metric.New, newResources, newFeed, newMembers, newJoining, newLimiter, newBudget, newBackends, newClusterState, newChecker, newView, newRecorder, newHost,
		),
		fx.Populate(&a.host),
		fx.Invoke(func(l fx.Lifecycle, h *host) {
			l.Append(fx.Hook{OnStart: h.start, OnStop: h.stop})
		}),
	)
	return a, codes.Wrap(a.fx.Err(), codes.SettingsInvalid, "edge: host cannot be built")
}

// Start opens the listeners and starts the background tasks.
func (a *App) Start(ctx context.Context) error {
	return codes.Wrap(a.fx.Start(ctx), codes.Internal, "edge: host cannot be started")
}

// Stop shuts the host down gracefully within the platform's grace period.
func (a *App) Stop(ctx context.Context) error {
	return codes.Wrap(a.fx.Stop(ctx), codes.Internal, "edge: host was not stopped cleanly")
}

// Reload handles a change of the settings file. No setting can change while a
// host runs, so it only logs what it found; err is the error of reading the
// file.
func (a *App) Reload(p core.HostSettings, err error) {
	log := a.host.cfg.Log.WithField("event", "reload")
	switch {
	case err != nil:
		log.WithError(err).Error("edge: changed settings cannot be read; the previous ones stay in force")
	case p.Name != a.host.cfg.Place.Name || p.Address != a.host.cfg.Place.Address:
		log.Warn("edge: name or address changed in the settings; restart the process to use them")
	default:
		log.Info("edge: settings file read again; a running host uses none of its changes")
	}
}

func newFeed(cfg Config, m *metric.Metrics) core.Feed {
	return &countingFeed{feed: cfg.Feed, metrics: m, log: cfg.Log}
}

func newMembers(cfg Config, t core.Timer) *gossip.Members {
	return gossip.New(gossip.Config{Timer: t, Self: staticHeartbeat(cfg)})
}

// staticHeartbeat returns the fields of this host's heartbeat that do not change.
func staticHeartbeat(cfg Config) gossip.Heartbeat {
	return gossip.Heartbeat{Host: cfg.Place.Name, Domain: cfg.Place.Domain, Address: cfg.Place.Address}
}

func newLimiter(cfg Config, t core.Timer) *quota.Limiter {
	return quota.New(quota.Config{Timer: t, Host: cfg.Place.Name, Slack: cfg.Place.Bounds.RateSlack})
}

func newBudget(cfg Config, t core.Timer) *retry.Budget {
	b := cfg.Place.Bounds
	return retry.New(retry.Config{Timer: t, Ratio: b.RetryRatio, MinRetries: b.MinRetries, Window: b.RetryWindow})
}

func newBackends(cfg Config, t core.Timer, r *resources) *conns.Pool {
	return conns.New(conns.Config{Timer: t, Dialect: cfg.Dialect, Space: r.responses, Streams: r.streams, MaxConns: r.maxServers})
}

func newView(cfg Config, t core.Timer, w *clusterState, members *gossip.Members, r *recorder, c *checker) *picker.Picker {
	view := picker.New(picker.Config{
		Timer: t, Host: cfg.Place.Name, Domain: cfg.Place.Domain, Region: cfg.Place.Region, Regions: cfg.Place.Regions,
		DomainHosts: members.MaybeReadyHosts, Service: w.service, RequestCheck: c.check,
		OnLimit: r.logLimit, OnLeave: func(n picker.LeaveNotice) {
			r.logLeave(n)
			wake(w.leaves)
		},
	})
	c.view, w.view = view, view
	return view
}
