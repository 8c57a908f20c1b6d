package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/lookup"
	"azurering/core/pacer"
	"azurering/core/picker"
	"azurering/core/proxy"
	"azurering/core/quota"
	"azurering/core/retry"
	"azurering/core/timer"
	"azurering/io/accept"
	"azurering/io/beacon"
	"azurering/io/conns"
	"azurering/io/front"
	"azurering/io/linger"
	"azurering/io/metric"
)

// New requests are still accepted for acceptAfterStop after the shutdown begins, because
// callers know this host from earlier look-ups. Answers are delivered until
// stopMargin before the platform kills the process.
const (
	acceptAfterStop = 2800 * time.Millisecond
	stopMargin      = 300 * time.Millisecond
	// answerMargin is how long before that the last answers must be known: the time
	// to write them.
	answerMargin     = 100 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
	// lookupTTL is how long callers use the answer of a look-up.
	lookupTTL     = 2 * time.Second
	sweepInterval = time.Second
	// maxLenders is how many hosts are asked for a token of a workspace's
	// rate. The number of tokens that the first one reported is up to a
	// second old.
	maxLenders = 2
	// portIdleTimeout and portHeaderBytes bound what a client of the host's own HTTP
	// servers can hold. Their requests have no bodies and short heads.
	portIdleTimeout = 15 * time.Second
	portHeaderBytes = 4 << 10
)

// host holds the parts of a running host.
type host struct {
	cfg       Config
	timer     core.Timer
	feed      core.Feed
	metrics   *metric.Metrics
	members   *gossip.Members
	joining   *joining
	limiter   *quota.Limiter
	budget    *retry.Budget
	pacer     *pacer.Pacer
	pool      *conns.Pool
	state     *clusterState
	view      *picker.Picker
	resources *resources
	proxy     *proxy.Proxy
	recorder  *recorder
	bootTime  uint64 // Unix milliseconds; tells restarts apart
	leaving   atomic.Bool
	// answersUntil is when the last answers are sent, once the host stops; in
	// nanoseconds of timer.
	answersUntil atomic.Int64

	// catchUpWake wakes runCatchUp of a table.
	catchUpWake map[core.FeedTable]chan struct{}
	announced   *announcements
	oldCopies   map[core.FeedTable]bool // copies that were old at the last heartbeat; used by runHeartbeats

	front       *front.Server
	closer      *linger.Closer
	beacon      *beacon.Transport
	httpServers []*http.Server
	cancel      context.CancelFunc
}

func newHost(
	cfg Config, t core.Timer, feed core.Feed, m *metric.Metrics, members *gossip.Members, j *joining, l *quota.Limiter, b *retry.Budget, pool *conns.Pool,
	w *clusterState, view *picker.Picker, r *recorder, c *checker, bounds *resources,
) *host {
	h := &host{
		cfg: cfg, timer: t, feed: feed, metrics: m, members: members, joining: j, limiter: l, budget: b, pool: pool, state: w, view: view,
		recorder: r, resources: bounds, closer: linger.New(linger.Config{}), bootTime: uint64(time.Now().UnixMilli()), announced: &announcements{upTo: make(map[core.FeedTable]time.Duration)},
		oldCopies: make(map[core.FeedTable]bool),
		catchUpWake: map[core.FeedTable]chan struct{}{
			core.FeedOperator: make(chan struct{}, 1), core.FeedServers: make(chan struct{}, 1),
		},
	}
	bounds.host = h
	h.pacer = h.newPacer()
	h.proxy = proxy.New(proxy.Config{
		Timer: t, Backends: pool, Picker: view, Limiter: l, Budget: b, CurrentTable: w.table.Load, LacksConfig: h.lacksConfig, BorrowTokens: h.borrow,
		Permit: h.pacer.Permit, AnswersUntil: func() time.Duration { return time.Duration(h.answersUntil.Load()) },
	})
	c.permit = h.pacer.Permit
	return h
}

func (h *host) isReady() bool { return h.state.isReady() && !h.leaving.Load() }

// start opens the sockets and starts the background tasks.
func (h *host) start(_ context.Context) error {
	var err error
	h.beacon, err = beacon.Listen(beacon.Config{
		Address: h.cfg.Place.Address, Port: h.cfg.Place.PeerPort, OnDigest: h.receiveDigest, OnNews: h.receiveNews, OnTokenRequest: h.limiter.Lend,
		OnLoanRequest: h.limiter.Grant, OnRecall: h.endLoans, OnPermitRequest: h.pacer.Grant, OnLimitNotice: h.pacer.Notice, Log: h.cfg.Log,
	})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", h.cfg.Place.CallerListen)
	if err != nil {
		return errors.Wrap(err, "edge: listener for callers cannot be opened")
	}
	if err := accept.SetQueue(listener, h.resources.maxQueue); err != nil {
		h.cfg.Log.WithError(err).Warn("edge: the kernel's bound for new connections stays in force")
	}
	if err := h.listen(); err != nil {
		return err
	}
	h.front = front.New(front.Config{
		Timer: h.timer, Dialect: h.cfg.Dialect, Handle: h.serve, MayBeLong: h.state.hasLargeAnswer, Limits: h.state.limits, Space: h.resources.bodies, Requests: h.resources.requests, Unread: h.resources.unread,
		MaxConns: h.resources.maxCallers, OnReject: h.recorder.logRejection,
		Closer: h.closer, OnEnd: h.recorder.logEnd, Log: h.cfg.Log,
	})
	if err := h.registerGauges(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go h.beacon.Run()
	go h.state.run(ctx)
	go h.runRegister(ctx)
	go h.runHeartbeats(ctx)
	go h.runNews(ctx)
	go h.runCatchUp(ctx, core.FeedOperator)
	go h.runCatchUp(ctx, core.FeedServers)
	go h.runSweep(ctx)
	go h.runLoans(ctx)
	go h.runRecall(ctx)
	go h.front.Serve(listener)
	h.cfg.Log.WithField("event", "start").Info("edge: host started")
	return nil
}

// listen serves readiness checks, look-ups, copies of tables and metrics.
func (h *host) listen() error {
	gin.SetMode(gin.ReleaseMode)
	place := h.cfg.Place
	handlers := []struct {
		name    string
		address string
		handler http.Handler
	}{
		{"ready", place.ReadyListen, h.readyHandler()},
		{"lookup", place.LookupListen, h.lookupHandler()},
		{"peer", net.JoinHostPort(place.Address, strconv.Itoa(place.PeerPort)), beacon.SnapshotHandler(h.state.mirrors)},
		{"metrics", place.MetricsListen, h.metrics.Handler()},
	}
	for _, s := range handlers {
		if s.address == "" {
			continue
		}
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return errors.Wrap(err, "edge: listener cannot be opened")
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: startTimeout, IdleTimeout: portIdleTimeout, MaxHeaderBytes: portHeaderBytes}
		l = accept.Limit(l, accept.Config{Max: h.resources.maxPort, Unread: h.resources.unread, OnEvict: func() { h.metrics.CountPortEviction(s.name) }})
		h.httpServers = append(h.httpServers, server)
		go func() {
			if err := server.Serve(h.closer.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
				h.cfg.Log.WithError(err).Error("edge: HTTP server stopped serving")
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
		ttl := min(lookupTTL, h.cfg.Place.Bounds.MaxLookupTTL)
		c.JSON(http.StatusOK, h.cfg.Paths.LookupBody(addresses, ttl))
	})
	return g
}

// borrow asks another host for tokens of a workspace, and a second one if the
// first grants none. It reports whether the request that needs a token
// got one.
func (h *host) borrow(ctx context.Context, w core.WorkspaceID) bool {
	missing := h.limiter.BorrowSize(w)
	if missing == 0 {
		return false
	}
	for range maxLenders {
		lender := h.members.Lender(w)
		if lender == "" {
			return false
		}
		granted, err := h.beacon.RequestTokens(ctx, lender, w, missing)
		if granted < missing {
			h.members.ClearSpare(w, lender)
		}
		h.cfg.Log.WithFields(logrus.Fields{"event": "tokens", "workspace": w, "from": lender, "want": missing, "given": granted}).
			WithError(err).Debug("edge: asked another host for rate tokens")
		if h.limiter.AddBorrowed(w, granted) {
			return true
		}
	}
	return false
}

func (h *host) serve(ctx context.Context, c *core.Call) *core.Reply {
	reply, record := h.proxy.Serve(ctx, c)
	h.recorder.logRequest(c, record, ctx.Err() != nil)
	return reply
}

func (h *host) runSweep(ctx context.Context) {
	timer.Every(ctx, h.timer, "sweep", sweepInterval, nil, func(context.Context) {
		h.pool.Trim(h.view.ConnShares(len(h.members.Totals().Hosts) + 1))
	})
}

// stop shuts the host down: it leaves the look-ups, accepts requests for a
// little longer, and ends once all are answered or the grace period is nearly
// over.
func (h *host) stop(_ context.Context) error {
	log := h.cfg.Log.WithField("event", "stop")
	from := h.timer.Now()
	log.WithField("connections", h.front.NumConns()).Info("edge: shutdown begins")
	h.leaving.Store(true)
	until := from + h.cfg.Place.Bounds.ShutdownGrace - stopMargin
	h.answersUntil.Store(int64(max(until-answerMargin, 1))) // 0 means that the host does not stop
	h.front.CloseAfterResponse()
	h.sendHeartbeats()
	<-h.timer.After(min(acceptAfterStop, h.cfg.Place.Bounds.ShutdownGrace/2))
	h.front.Close()
	for h.front.NumConns() > 0 && h.timer.Now() < until {
		<-h.timer.After(stopPollInterval)
	}
	log.WithField("cut", h.front.NumConns()).Info("edge: shutdown ends")
	h.cancel()
	h.closeHTTP(until + answerMargin)
	return h.beacon.Close()
}

// closeHTTP ends the host's own HTTP servers. Answers that are being written have
// answerMargin, and their delivery has until the given time of the host's timer.
func (h *host) closeHTTP(until time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), answerMargin)
	defer cancel()
	var all sync.WaitGroup
	for _, s := range h.httpServers {
		all.Go(func() {
			if s.Shutdown(ctx) != nil {
				_ = s.Close()
			}
		})
	}
	all.Wait()
	for h.closer.NumConns() > 0 && h.timer.Now() < until {
		<-h.timer.After(stopPollInterval)
	}
}
