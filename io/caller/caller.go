// Package caller serves the HTTP interface of callers: look-ups and
// requests to services.
package caller

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/config"
	"azurering/core/flow"
	"azurering/io/metric"
)

// The headers between callers and entry hosts.
const (
	HeaderCode           = "Azurering-Code"
	HeaderRun            = "Azurering-Run"
	HeaderDeadline       = "Azurering-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"

	RunNone    = "not-run"
	RunRunning = "running"
	RunUnknown = "unknown"
	RunDone    = "done"
)

const maxOrderKey = 200

// EntryHost is one entry host in the answer to a look-up.
type EntryHost struct {
	Host    core.HostID
	Domain  core.DomainID
	Address string
}

// LookupFunc ranks entry hosts for a caller's address and says how long the
// caller may use the answer.
type LookupFunc func(address netip.Addr, service core.ServiceID) ([]EntryHost, time.Duration, error)

// Config configures the interface. All fields are required.
type Config struct {
	State        func() config.State
	HasConfig    func() bool
	ShuttingDown func() bool
	Lookup       LookupFunc
	// IsKey reports whether a text is a key of some workspace. Such texts
	// are removed from everything that leaves the host.
	IsKey        func(text string) bool
	Flow         *flow.Handler
	Metrics      *metric.Metrics
	Log          logrus.FieldLogger
	MaxBodyBytes int64         // bytes of a request body
	StallTimeout time.Duration // longest time without progress on a body
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	cfg    Config
	engine *gin.Engine
}

// New returns a handler.
func New(cfg Config) *Handler {
	gin.SetMode(gin.ReleaseMode)
	h := &Handler{cfg: cfg, engine: gin.New()}
	h.engine.UseRawPath = true
	h.engine.UnescapePathValues = false
	h.engine.GET("/v1/hosts", h.hosts)
	h.engine.Any("/s/:service/*path", h.request)
	h.engine.NoRoute(func(c *gin.Context) {
		h.refuse(c, "", codes.New(codes.RouteUnknown, "caller: no such path; use /v1/hosts or /s/<service>/<path>"))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.engine.ServeHTTP(w, r) }

type placeJSON struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
}

type hostsJSON struct {
	Version  uint64      `json:"version"`
	Lifetime float64     `json:"lifetime"` // seconds
	Hosts    []placeJSON `json:"hosts"`
}

func (h *Handler) hosts(c *gin.Context) {
	if !h.cfg.HasConfig() {
		h.refuse(c, "", noConfig())
		return
	}
	address, err := lookupAddress(c)
	if err != nil {
		h.refuse(c, "", err)
		return
	}
	places, lifetime, err := h.cfg.Lookup(address, core.ServiceID(c.Query("service")))
	if err != nil {
		h.refuse(c, "", err)
		return
	}
	out := hostsJSON{Version: h.cfg.State().Version, Lifetime: lifetime.Seconds()}
	for _, p := range places {
		out.Hosts = append(out.Hosts, placeJSON{Name: string(p.Host), Domain: string(p.Domain), Address: p.Address})
	}
	h.cfg.Metrics.CountLookup()
	c.Header("Cache-Control", "max-age="+strconv.Itoa(int(lifetime.Seconds())))
	c.Header(HeaderCode, strconv.Itoa(int(codes.OK)))
	c.JSON(http.StatusOK, out)
}

func lookupAddress(c *gin.Context) (netip.Addr, error) {
	if text := c.Query("address"); text != "" {
		address, err := netip.ParseAddr(text)
		return address, codes.Wrap(err, codes.RequestBad, "caller: address is not an IP address")
	}
	remote, err := netip.ParseAddrPort(c.Request.RemoteAddr)
	return remote.Addr().Unmap(), codes.Wrap(err, codes.RequestBad, "caller: the connection has no IP address")
}

func noConfig() error {
	return codes.New(codes.NoConfig, "caller: the host has no configuration yet")
}

func (h *Handler) request(c *gin.Context) {
	start := time.Now()
	if h.cfg.ShuttingDown() {
		h.refuse(c, "", codes.New(codes.HostLeaving, "caller: the host is leaving; use another one"))
		return
	}
	if !h.cfg.HasConfig() {
		h.refuse(c, "", noConfig())
		return
	}
	call, err := h.call(c)
	if err != nil {
		h.refuse(c, "", err)
		return
	}
	answer, err := h.cfg.Flow.Serve(c.Request.Context(), h.cfg.State().Sheet, call)
	if err != nil {
		h.refuse(c, answer.Workspace, err)
		return
	}
	sent, err := h.stream(c, answer)
	if err != nil {
		h.cfg.Log.WithFields(logrus.Fields{
			"event": "answer-cut", "workspace": answer.Workspace, "service": call.Service, "bytes": sent, "error": err,
		}).Warn("answer was cut")
		// The status line is out; only a cut connection tells the caller that
		// the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	h.cfg.Metrics.RecordRequest(answer.Workspace, answer.Class, time.Since(start), sent)
}

// wholeKey is the length in bytes from which the caller's own key is found
// inside longer words. A shorter one would be found in words by chance.
const wholeKey = 8

// call reads one request and removes keys from what goes on.
func (h *Handler) call(c *gin.Context) (flow.Request, error) {
	limit, err := deadline(c.GetHeader(HeaderDeadline))
	if err != nil {
		return flow.Request{}, err
	}
	order := c.GetHeader(HeaderIdempotencyKey)
	if len(order) > maxOrderKey {
		return flow.Request{}, codes.New(codes.RequestBad, "caller: Idempotency-Key is longer than %d bytes", maxOrderKey)
	}
	body, err := h.body(c)
	if err != nil {
		return flow.Request{}, err
	}
	bearer := bearerOf(c.Request)
	isKey := func(text string) bool {
		return text != "" && (text == bearer || len(bearer) >= wholeKey && strings.Contains(text, bearer) || h.cfg.IsKey(text))
	}
	path, err := cleanPath(c, isKey)
	if err != nil {
		return flow.Request{}, err
	}
	remote, _ := netip.ParseAddrPort(c.Request.RemoteAddr)
	return flow.Request{
		Method: c.Request.Method, Service: core.ServiceID(c.Param("service")), Path: path,
		Header: cleanHeader(c.Request.Header, isKey), Body: body, Key: bearer, IdempotencyKey: order,
		Address: remote.Addr().Unmap().String(), Timeout: limit,
	}, nil
}

func deadline(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, codes.New(codes.RequestBad, "caller: %s must be a whole number of milliseconds above 0", HeaderDeadline)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func bearerOf(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// refuse answers with a coded error. Azurering-Run says whether the request
// is known not to have run.
func (h *Handler) refuse(c *gin.Context, w core.WorkspaceID, err error) {
	code := codes.Of(err)
	h.cfg.Metrics.CountRefusal(w, code)
	if wait := retryAfter(err); wait > 0 {
		c.Header("Retry-After", strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10))
	}
	c.Header(HeaderCode, strconv.Itoa(int(code)))
	c.Header(HeaderRun, runText(err))
	c.AbortWithStatusJSON(status(code), gin.H{"code": int(code), "message": err.Error(), "run": runText(err)})
}

func runText(err error) string {
	if flow.NotExecuted(err) {
		return RunNone
	}
	if codes.Is(err, codes.OrderRunning) {
		return RunRunning
	}
	return RunUnknown
}

// waiter is an error that knows when a retry may succeed.
type waiter interface{ RetryAfter() time.Duration }

func retryAfter(err error) time.Duration {
	for err != nil {
		if w, ok := err.(waiter); ok {
			return w.RetryAfter()
		}
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return 0
		}
		err = u.Unwrap()
	}
	return 0
}

// NewServer returns an HTTP server for the handler with bounds on headers and
// on slow callers.
func NewServer(ctx context.Context, h http.Handler, maxHeader int, slow time.Duration) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: slow, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: maxHeader,
		BaseContext: baseContext(ctx),
	}
}
