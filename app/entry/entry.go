// Package entry is the fx application of an entry host: it builds the parts,
// joins them and runs one goroutine per duty.
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

// Config configures an App. Only Settings is required; the other fields
// replace parts in tests and in the demo.
type Config struct {
	Settings setup.Settings
	Log      logrus.FieldLogger
	// Wrap, if set, wraps the peer transport, for example to cut links.
	Wrap func(core.Peers) core.Peers
	// Listen opens the listeners. Nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

// App is one entry host.
type App struct {
	fx   *fx.App
	node *Node
	stop time.Duration
}

// Node gives access to the parts of a running entry host, for the demo and
// for tests.
type Node struct {
	Control *Control
	Metrics *metric.Metrics
	State   *state
	Stopper *stopper
}

// New builds an entry host. Nothing is started yet. Errors carry
// SettingsInvalid or Internal.
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
	a := &App{node: &Node{}, stop: cfg.Settings.Stop}
	a.fx = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(cfg.Settings.Stop+startTimeout),
		fx.Supply(cfg, cfg.Settings),
		fx.Provide(
			func() logrus.FieldLogger { return cfg.Log },
			func() core.Timer { return timer.NewReal() },
			metric.New,
			newDuties,
		),
		platformModule, fleetModule, stateModule, limitModule, serveModule,
		fx.Populate(&a.node.Control, &a.node.Metrics, &a.node.State, &a.node.Stopper),
	)
	return a, codes.Wrap(a.fx.Err(), codes.SettingsInvalid, "entry: host cannot be built")
}

// Node returns the parts of the host.
func (a *App) Node() *Node { return a.node }

// Start opens the listeners and starts the duties.
func (a *App) Start(ctx context.Context) error {
	return codes.Wrap(a.fx.Start(ctx), codes.Internal, "entry: host cannot be started")
}

// Stop shuts the host down gracefully: it leaves the look-ups, finishes the
// requests it has, gives back its loans and its seat, and ends. What is left
// when the context or the stop setting ends is cut.
func (a *App) Stop(ctx context.Context) error {
	return codes.Wrap(a.fx.Stop(ctx), codes.Internal, "entry: host was not stopped in time")
}

// Kill ends the host at once, as a crash would: nothing is handed over.
func (a *App) Kill() {
	a.node.Stopper.skip.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_ = a.fx.Stop(ctx)
}

// Done returns a channel that gets a value when the process is told to end.
func (a *App) Done() <-chan fx.ShutdownSignal { return a.fx.Wait() }

// Unready says why the host cannot serve keyed routes yet; empty if it can.
func (n *Node) Unready() string {
	if !n.State.Log.IsCurrent() {
		return "no configuration"
	}
	c := n.Control
	now := c.beater.timer.Now()
	if !n.State.Evidence.Fresh(now) {
		return "not fresh"
	}
	if load := c.pools.load(now, c.self.Domain, 1); load.Total > 0 && load.Free == 0 {
		return "no slots"
	}
	return ""
}
