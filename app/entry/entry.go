// Package entry builds an entry host from its parts with fx and runs its
// listeners and background tasks. The command line and the demo use it.
package entry

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/timer"
	"azurering/io/logs"
	"azurering/io/metric"
	"azurering/io/setup"
)

// startTimeout bounds the start of an entry host.
const startTimeout = 15 * time.Second

// Config configures an App. Only Settings is required.
type Config struct {
	Settings setup.Settings
	Log      logrus.FieldLogger
	// WrapPeers, if set, wraps the peer transport, for example to simulate broken
	// links.
	WrapPeers func(core.Peers) core.Peers
	// Listen opens the listeners. Nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

// App is one entry host. It is started and stopped once.
type App struct {
	fx          *fx.App
	parts       *Parts
	stopTimeout time.Duration
}

// Parts gives access to the parts of an entry host, for the demo and for tests.
type Parts struct {
	Control *Control
	Metrics *metric.Metrics
	State   *state
	Stopper *stopper
}

// New builds an entry host without starting it. Errors carry SettingsInvalid.
func New(cfg Config) (*App, error) {
	if cfg.Log == nil {
		log, err := logs.New(logs.Config{Level: cfg.Settings.Level})
		if err != nil {
			return nil, err
		}
		cfg.Log = log
	}
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	cfg.Log = cfg.Log.WithField("host", cfg.Settings.Host)
	a := &App{parts: &Parts{}, stopTimeout: cfg.Settings.Stop}
	a.fx = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(cfg.Settings.Stop+startTimeout),
		fx.Supply(cfg, cfg.Settings),
		fx.Provide(
			func() logrus.FieldLogger { return cfg.Log },
			func() core.Timer { return timer.NewReal() },
			metric.New,
			newTasks,
		),
		platformModule, fleetModule, stateModule, limitModule, serveModule,
		fx.Populate(&a.parts.Control, &a.parts.Metrics, &a.parts.State, &a.parts.Stopper),
	)
	return a, codes.Wrap(a.fx.Err(), codes.SettingsInvalid, "entry: host cannot be built")
}

// Parts returns the parts of the host.
func (a *App) Parts() *Parts { return a.parts }

// Start opens the listeners and starts the background tasks.
func (a *App) Start(ctx context.Context) error {
	return codes.Wrap(a.fx.Start(ctx), codes.Internal, "entry: host cannot be started")
}

// Stop shuts the host down gracefully: the host is removed from look-up
// answers, finishes its requests in flight, and returns its loans and its seat.
// Requests that are left when the context ends or the stop setting has passed
// are cut.
func (a *App) Stop(ctx context.Context) error {
	return codes.Wrap(a.fx.Stop(ctx), codes.Internal, "entry: host was not stopped in time")
}

// Kill ends the host at once, as a crash would, without returning its loans or
// its seat.
func (a *App) Kill() {
	a.parts.Stopper.killed.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_ = a.fx.Stop(ctx)
}

// ShutdownRequested returns a channel that receives a value when the process should end: on
// a signal, or after a planned stop of this host.
func (a *App) ShutdownRequested() <-chan fx.ShutdownSignal { return a.fx.Wait() }

// NotReadyReason returns why the host cannot serve keyed routes yet, or an empty
// string if it can.
func (n *Parts) NotReadyReason() string {
	if !n.State.Log.IsCurrent() {
		return "no configuration"
	}
	c := n.Control
	now := c.heartbeater.timer.Now()
	if !n.State.Evidence.Fresh(now) {
		return "not fresh"
	}
	if load := c.pools.load(now, c.self.Domain, 1); load.Total > 0 && load.Free == 0 {
		return "no slots"
	}
	return ""
}
