package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/lookup"
	"azurering/core/picker"
	"azurering/core/proxy"
	"azurering/core/quota"
	"azurering/core/retry"
	"azurering/core/timer"
	"azurering/io/beacon"
	"azurering/io/conns"
	"azurering/io/front"
	"azurering/io/metric"
)

// The shutdown: new requests are taken for drainTime, as callers know this
// host from earlier look-ups; answers are delivered until stopMargin before
// the platform kills the process.
const (
	drainTime  = 2800 * time.Millisecond
	stopMargin = 300 * time.Millisecond
	stopStep   = 50 * time.Millisecond
	// lookupLife is how long callers use the answer of a look-up.
	lookupLife = 2 * time.Second
	sweepEvery = time.Second
	// lenders is how many hosts are asked for a token of a workspace's rate.
	// What the first has told of its tokens is up to a second old.
	lenders = 2
)

// host runs the duties of one process.
type host struct {
	cfg     Config
	timer   core.Timer
	feed    core.Feed
	metrics *metric.Metrics
	members *gossip.Members
	limiter *quota.Limiter
	budget  *retry.Budget
	pool    *conns.Pool
	world   *world
	view    *picker.Picker
	proxy   *proxy.Proxy
	record  *recorder
	boot    uint64
	leaving atomic.Bool

	// behind wakes the fetch of a table.
	behind map[core.FeedTable]chan struct{}

	front   *front.Server
	beacon  *beacon.Transport
	servers []*http.Server
	cancel  context.CancelFunc
}

func newHost(
	cfg Config, t core.Timer, feed core.Feed, m *metric.Metrics, members *gossip.Members, l *quota.Limiter, b *retry.Budget, pool *conns.Pool,
	w *world, view *picker.Picker, r *recorder,
) *host {
	h := &host{
		cfg: cfg, timer: t, feed: feed, metrics: m, members: members, limiter: l, budget: b, pool: pool, world: w, view: view,
		record: r, boot: uint64(time.Now().UnixMilli()),
		behind: map[core.FeedTable]chan struct{}{
			core.FeedOperator: make(chan struct{}, 1), core.FeedServers: make(chan struct{}, 1),
		},
	}
	h.proxy = proxy.New(proxy.Config{
		Timer: t, Backends: pool, Picker: view, Limiter: l, Budget: b, CurrentTable: w.table.Load, BorrowTokens: h.borrow,
	})
	return h
}

func (h *host) isReady() bool { return h.world.ready() && !h.leaving.Load() }

// start opens the sockets and starts the duties.
func (h *host) start(_ context.Context) error {
	var err error
	h.beacon, err = beacon.Listen(beacon.Config{
		Address: h.cfg.Place.Address, Port: h.cfg.Place.PeerPort, OnDigest: h.hear, OnTokenRequest: h.limiter.Lend, Log: h.cfg.Log,
	})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", h.cfg.Place.CallerListen)
	if err != nil {
		return errors.Wrap(err, "edge: listener for callers")
	}
	if err := h.listen(); err != nil {
		return err
	}
	h.front = front.New(front.Config{
		Timer: h.timer, Dialect: h.cfg.Dialect, Handle: h.serve, Limits: h.world.limits, Log: h.cfg.Log,
	})
	if err := h.gauges(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go h.beacon.Run()
	go h.world.run(ctx)
	go h.announce(ctx)
	go h.runBeats(ctx)
	go h.runCatchUp(ctx, core.FeedOperator)
	go h.runCatchUp(ctx, core.FeedServers)
	go h.runSweep(ctx)
	go h.front.Serve(listener)
	h.cfg.Log.WithField("event", "start").Info("edge: host started")
	return nil
}

// listen serves readiness, look-ups, copies and metrics.
func (h *host) listen() error {
	gin.SetMode(gin.ReleaseMode)
	place := h.cfg.Place
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{place.ReadyListen, h.readyHandler()},
		{place.LookupListen, h.lookupHandler()},
		{net.JoinHostPort(place.Address, strconv.Itoa(place.PeerPort)), beacon.SnapshotHandler(h.world.mirrors)},
		{place.MetricsListen, h.metrics.Handler()},
	}
	for _, s := range handlers {
		if s.address == "" {
			continue
		}
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return errors.Wrap(err, "edge: listener")
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: startTimeout}
		h.servers = append(h.servers, server)
		go func() {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				h.cfg.Log.WithError(err).Error("edge: listener ended")
			}
		}()
	}
	return nil
}

func (h *host) readyHandler() http.Handler {
	g := gin.New()
	g.GET(h.cfg.Paths.Ready, func(c *gin.Context) {
		if h.isReady() {
			c.Status(http.StatusOK)
			return
		}
		c.Status(http.StatusServiceUnavailable)
	})
	return g
}

func (h *host) lookupHandler() http.Handler {
	g := gin.New()
	_, port, _ := net.SplitHostPort(h.cfg.Place.CallerListen)
	g.GET(h.cfg.Paths.Lookup, func(c *gin.Context) {
		var hosts []lookup.Host
		if h.isReady() {
			hosts = append(hosts, lookup.Host{Domain: h.cfg.Place.Domain, Address: h.cfg.Place.CallerListen})
		}
		for _, p := range h.members.Peers() {
			if p.Alive && p.Ready {
				hosts = append(hosts, lookup.Host{Domain: p.Domain, Address: net.JoinHostPort(p.Address, port)})
			}
		}
		addresses := lookup.Choose(hosts, core.DomainID(c.Query("zone")), core.RegionID(c.Query("region")), h.cfg.Place.Regions)
		h.metrics.CountLookup()
		life := min(lookupLife, h.cfg.Place.Bounds.MaxLookupTTL)
		c.JSON(http.StatusOK, h.cfg.Paths.LookupBody(addresses, life))
	})
	return g
}

// borrow asks another host for tokens of a workspace, and a second one if the
// first has none left. It reports whether the request that needs one got it.
func (h *host) borrow(ctx context.Context, w core.WorkspaceID) bool {
	want := h.limiter.BorrowSize(w)
	if want == 0 {
		return false
	}
	for range lenders {
		from := h.members.Lender(w)
		if from == "" {
			return false
		}
		given, err := h.beacon.RequestTokens(ctx, from, w, want)
		if given < want {
			h.members.ClearSpare(w, from)
		}
		h.cfg.Log.WithFields(logrus.Fields{"event": "tokens", "workspace": w, "from": from, "want": want, "given": given}).
			WithError(err).Debug("edge: tokens asked for")
		if h.limiter.AddBorrowed(w, given) {
			return true
		}
	}
	return false
}

func (h *host) serve(ctx context.Context, c *core.Call) *core.Reply {
	reply, record := h.proxy.Serve(ctx, c)
	h.record.request(c, record, ctx.Err() != nil)
	return reply
}

func (h *host) runSweep(ctx context.Context) {
	timer.Every(ctx, h.timer, "sweep", sweepEvery, nil, func(context.Context) { h.pool.CloseExpired(h.view.Servers()) })
}

// stop ends the host without cutting a request: it leaves the look-ups,
// takes requests for a little longer, and ends once all are answered.
func (h *host) stop(_ context.Context) error {
	log := h.cfg.Log.WithField("event", "stop")
	from := h.timer.Now()
	log.WithField("connections", h.front.NumConns()).Info("edge: shutdown begins")
	h.leaving.Store(true)
	h.front.CloseAfterResponse()
	h.sendBeats()
	<-h.timer.After(min(drainTime, h.cfg.Place.Bounds.ShutdownGrace/2))
	h.front.Close()
	for until := from + h.cfg.Place.Bounds.ShutdownGrace - stopMargin; h.front.NumConns() > 0 && h.timer.Now() < until; {
		<-h.timer.After(stopStep)
	}
	log.WithField("cut", h.front.NumConns()).Info("edge: shutdown ends")
	h.cancel()
	for _, s := range h.servers {
		_ = s.Close()
	}
	return h.beacon.Close()
}
