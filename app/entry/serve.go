package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"azurering/core"
	"azurering/core/config"
	"azurering/core/flow"
	"azurering/core/member"
	"azurering/core/order"
	"azurering/core/sheet"
	"azurering/core/steer"
	"azurering/io/accept"
	"azurering/io/admin"
	"azurering/io/caller"
	"azurering/io/linger"
	"azurering/io/metric"
	"azurering/io/peers"
	"azurering/io/relay"
	"azurering/io/server"
	"azurering/io/setup"
)

const (
	planPeriod = time.Second
	// closeTimeout bounds the end of the last requests, which are refused. Those that
	// the host serves have ended before.
	closeTimeout = time.Second
	// deliverTimeout is the time for answers of megabytes to reach callers behind slow
	// links.
	deliverTimeout      = 4 * time.Second
	deliverPollInterval = 50 * time.Millisecond
	// maxAdminConns bounds the open connections of operators and of their tools.
	maxAdminConns = 64
	// idleTimeout is how long a connection of the peer and operator listeners may be idle
	// between requests.
	idleTimeout = 2 * time.Minute
)

var serveModule = fx.Module("serve",
	fx.Provide(
		newSlotLoans, newPools, newServers, newPlanner, newHeartbeater, newOrders, newReceiver, newRemote, newFlow,
		newControl, newGuard, newStopper, newDrainCounts, newListeners,
	),
	fx.Invoke(runHeartbeater, runPools, runPlanner, runOrders, runReceiver, runStopper, registerGauges, runListeners),
)

func newServers(lc fx.Lifecycle, t core.Timer) core.Servers {
	c := server.New(server.Config{Timer: t})
	lc.Append(fx.StopHook(c.Close))
	return c
}

func newPlanner(s self, set setup.Settings, t core.Timer, h *hub) *steer.Planner {
	st := steer.New(steer.Config{
		Self: core.Host(s), Sheet: &core.Sheet{}, Hosts: []core.Host{core.Host(s)}, Start: t.Now(), Lifetime: set.Lifetime,
	})
	h.subscribe(func(c config.State) { st.Apply(t.Now(), &c.Sheet) })
	return st
}

func runPlanner(d *tasks, st *steer.Planner, g *member.View, t core.Timer) {
	d.addPeriodic("plan", planPeriod, func(context.Context) error {
		st.SetHosts(t.Now(), g.Hosts())
		st.Replan(t.Now())
		return nil
	})
}

func newOrders(s setup.Settings, own self, table core.Table, objects core.ObjectStore, p core.Peers, t core.Timer, d *directory, st *state) *order.Orders {
	return order.New(order.Config{
		Table: table, Objects: objects, Peers: p, Timer: t, Host: own.Name, Incarnation: own.Incarnation,
		Alive: d.isRunning, Retention: s.Retention,
		// The acting seat holder of the first domain deletes expired records.
		ShouldSweep: func() bool {
			domains := st.domains()
			_, acting := st.Seat.Acting()
			return acting && len(domains) > 0 && domains[0] == own.Domain
		},
	})
}

func runOrders(d *tasks, o *order.Orders) { d.add(o.Run) }

func newReceiver(s setup.Settings, p core.Peers, t core.Timer, pl *pools, servers core.Servers, log logrus.FieldLogger) *relay.Receiver {
	return relay.NewReceiver(relay.ReceiverConfig{
		Timer: t, Peers: p, Reserve: pl.reserve, Servers: servers, SharedSecret: s.Peer.Secret, MaxBodyBytes: s.Limits.Body, Log: log,
	})
}

func runReceiver(d *tasks, receiver *relay.Receiver) {
	d.addPeriodic("tickets", time.Second, func(context.Context) error {
		receiver.ExpireReservations()
		return nil
	})
}

type remoteDeps struct {
	fx.In
	Settings setup.Settings
	Self     self
	Timer    core.Timer
	Peers    core.Peers
	Group    *member.View
	State    *state
	Steer    *steer.Planner
	Limits   *limits
}

// newRemote returns the client that relays requests to hosts of other domains.
// It tries the best domain first, one host of each.
func newRemote(lc fx.Lifecycle, d remoteDeps) (core.RemoteSender, error) {
	config, err := mutualTLS(d.Settings.Peer)
	if err != nil {
		return nil, err
	}
	c := server.New(server.Config{Timer: d.Timer, TLS: config})
	lc.Append(fx.StopHook(c.Close))
	return relay.NewClient(relay.ClientConfig{
		Region: func() core.RegionID {
			return sheet.RegionOf(d.State.Log.Current().Sheet, d.Self.Domain)
		},
		Peers:   d.Peers,
		Servers: c, SharedSecret: d.Settings.Peer.Secret,
		Candidates: func(service core.ServiceID, class core.Class) []core.Host {
			var out []core.Host
			for _, domain := range d.Steer.SpillTargets(service, class, nil) {
				out = append(out, firstHosts(d.Group.Live(domain), 1)...)
			}
			return out
		},
		OnRefused:  func(service core.ServiceID, h core.Host) { d.Steer.ReportRefusal(d.Timer.Now(), service, h.Domain) },
		ChargeLink: func(h core.Host, class core.Class) error { return takeLinkBudget(d, h, class) },
	}), nil
}

// classKilobits is what a request takes from the budget of a link, in kilobits
// by class: the usual size of an answer.
var classKilobits = map[core.Class]int64{
	core.ClassLookup: 64, core.ClassOrder: 64, core.ClassDownload: 16_000,
}

func takeLinkBudget(d remoteDeps, h core.Host, class core.Class) error {
	s := d.State.Log.Current().Sheet
	from, to := sheet.RegionOf(s, d.Self.Domain), sheet.RegionOf(s, h.Domain)
	if from == to || !hasLink(s, from, to) {
		return nil
	}
	now := d.Timer.Now()
	err := d.Limits.limiter.AdmitResource(now, core.LinkResource(from, to), classKilobits[class])
	d.Steer.SetLinkExhausted(now, to, err != nil)
	return err
}

func hasLink(s core.Sheet, a, b core.RegionID) bool {
	for _, l := range s.Links {
		if (l.From == a && l.To == b) || (l.From == b && l.To == a) {
			return true
		}
	}
	return false
}

type flowDeps struct {
	fx.In
	Self    self
	Timer   core.Timer
	State   *state
	Limits  *limits
	Steer   *steer.Planner
	Pools   *pools
	Orders  *order.Orders
	Servers core.Servers
	Remote  core.RemoteSender
}

func newFlow(d flowDeps) *flow.Handler {
	return flow.New(flow.Config{
		Timer: d.Timer, Keys: keyChecker{d.State.Keys}, RateLimiter: admitter{d.Limits.limiter},
		ShiftLimiter: shiftGate{self: d.Self, timer: d.Timer, state: d.State, planner: d.Steer, limiter: d.Limits.limiter},
		Picker:       d.Pools, Orders: orderAdapter{orders: d.Orders, timer: d.Timer}, Servers: d.Servers, Remote: d.Remote,
	})
}

// listeners holds the HTTP servers of the host.
type listeners struct {
	caller *http.Server
	peer   *http.Server
	admin  *http.Server
	closer *linger.Closer
	timer  core.Timer
}

type listenerDeps struct {
	fx.In
	Settings setup.Settings
	Timer    core.Timer
	Log      logrus.FieldLogger
	Metrics  *metric.Metrics
	State    *state
	Steer    *steer.Planner
	Stopper  *stopper
	Flow     *flow.Handler
	Peers    *peers.Peers
	Desk     *relay.Receiver
	Control  *Control
}

func newListeners(d listenerDeps) *listeners {
	callerHandler := caller.New(caller.Config{
		State: d.State.Log.Current, HasConfig: d.State.Log.IsCurrent, ShuttingDown: d.Stopper.refusing,
		Lookup: func(a netip.Addr, s core.ServiceID) ([]caller.EntryHost, time.Duration, error) {
			return lookUp(d.Steer, a, s)
		},
		IsKey: d.State.Keys.IsKey, Flow: d.Flow, Metrics: d.Metrics, Log: d.Log,
		MaxBodyBytes: d.Settings.Limits.Body, BodiesBytes: d.Settings.Limits.Bodies, StallTimeout: d.Settings.Limits.Slow,
	})
	peerHandler := http.NewServeMux()
	peerHandler.Handle(peers.Path, d.Peers.Handler())
	peerHandler.Handle(relay.Path, d.Stopper.countInFlight(d.Desk))
	adminHandler := admin.New(admin.Config{Control: d.Control, Secret: d.Settings.Admin.Secret, Metrics: d.Metrics.Handler(), Log: d.Log})
	limits := d.Settings.Limits
	return &listeners{
		caller: caller.NewServer(context.Background(), d.Stopper.countInFlight(callerHandler), limits.Header, limits.Slow),
		peer:   &http.Server{Handler: peerHandler, ReadHeaderTimeout: limits.Slow, IdleTimeout: idleTimeout, MaxHeaderBytes: limits.Header},
		admin:  &http.Server{Handler: adminHandler, ReadHeaderTimeout: limits.Slow, IdleTimeout: idleTimeout, MaxHeaderBytes: limits.Header},
		closer: linger.New(linger.Config{}),
		timer:  d.Timer,
	}
}

func lookUp(s *steer.Planner, a netip.Addr, service core.ServiceID) ([]caller.EntryHost, time.Duration, error) {
	answer, err := s.Lookup(service, a, nil)
	if err != nil {
		return nil, 0, err
	}
	out := make([]caller.EntryHost, 0, len(answer.Hosts))
	for _, h := range answer.Hosts {
		out = append(out, caller.EntryHost{Host: h.Name, Domain: h.Domain, Address: h.CallerAddress})
	}
	return out, answer.Lifetime, nil
}

// runListeners opens the listeners at the start of the host. At its stop, they
// close only after the stopper has run, which needs them: requests finish, and
// loans and the seat are handed over.
func runListeners(lc fx.Lifecycle, cfg Config, l *listeners, st *stopper) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return l.start(cfg) },
		OnStop: func(ctx context.Context) error {
			st.runStop(ctx)
			if st.killed.Load() {
				l.close(0)
				return nil
			}
			l.close(closeTimeout)
			l.awaitDelivery()
			return nil
		},
	})
}

// close closes the listeners. Requests that the host has accepted get their answers
// first, for up to the given time.
func (l *listeners) close(wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var all sync.WaitGroup
	for _, s := range []*http.Server{l.caller, l.admin, l.peer} {
		all.Go(func() {
			if s.Shutdown(ctx) != nil {
				_ = s.Close() // the rest is cut
			}
		})
	}
	all.Wait()
}

// awaitDelivery waits until callers have received the answers that were written, for up
// to deliverTimeout.
func (l *listeners) awaitDelivery() {
	until := l.timer.Now() + deliverTimeout
	for l.closer.NumConns() > 0 && l.timer.Now() < until {
		<-l.timer.After(deliverPollInterval)
	}
}

func (l *listeners) start(cfg Config) error {
	s := cfg.Settings
	for _, spec := range []struct {
		server *http.Server
		at     setup.Listener
		conns  int
		mutual bool
	}{
		{l.caller, s.Caller, s.Limits.Conns, false},
		{l.peer, s.Peer, s.Limits.Conns, true},
		{l.admin, s.Admin, maxAdminConns, s.Admin.CA != ""},
	} {
		lis, err := cfg.Listen("tcp", spec.at.Listen)
		if err != nil {
			return err
		}
		lis = l.closer.Listener(accept.Limit(lis, accept.Config{Max: spec.conns}))
		lis, err = wrapTLS(lis, spec.at, spec.mutual)
		if err != nil {
			return err
		}
		go serve(spec.server, lis, cfg.Log)
	}
	cfg.Log.WithFields(logrus.Fields{
		"event": "started", "domain": s.Domain, "caller": s.Caller.Listen, "peer": s.Peer.Listen, "admin": s.Admin.Listen,
	}).Info("entry host started")
	return nil
}

// wrapTLS wraps a listener in TLS if it has a certificate.
func wrapTLS(lis net.Listener, at setup.Listener, mutual bool) (net.Listener, error) {
	config, err := mutualTLS(at)
	if err != nil || config == nil {
		return lis, err
	}
	if !mutual {
		config.ClientAuth = tls.NoClientCert
	}
	return tls.NewListener(lis, config), nil
}

func serve(s *http.Server, lis net.Listener, log logrus.FieldLogger) {
	if err := s.Serve(lis); err != nil && err != http.ErrServerClosed {
		log.WithField("event", "listener").WithError(err).Error("listener failed")
	}
}
