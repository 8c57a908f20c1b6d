// Package caller serves the public HTTP interface of an entry host: lookups
// of entry hosts and requests to services. The entry host passes the requests
// to package flow; package client is the other side of the interface.
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
	"azurering/io/accept"
	"azurering/io/metric"
)

// Headers of requests and responses between callers and entry hosts, and the
// values of HeaderRun.
const (
	HeaderCode           = "Azurering-Code"
	HeaderRun            = "Azurering-Run"
	HeaderDeadline       = "Azurering-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"

	RunNone    = "not-run" // the request did not run and will not run
	RunRunning = "running" // the order is still running
	RunUnknown = "unknown" // the request may have run
	RunDone    = "done"    // the request ran and this is its response
)

const maxIdempotencyKey = 200 // bytes

// EntryHost is one entry host in the result of a lookup.
type EntryHost struct {
	Host    core.HostID
	Domain  core.DomainID
	Address string // IP address and port for callers
}

// LookupFunc returns the entry hosts for a caller's address and a service, best
// first, and how long the caller may cache them. The service may be empty.
type LookupFunc func(address netip.Addr, service core.ServiceID) ([]EntryHost, time.Duration, error)

// Config configures a Handler. All fields are required.
type Config struct {
	State        func() config.State
	HasConfig    func() bool // whether the host has a configuration
	ShuttingDown func() bool // whether the host is shutting down and refuses new requests
	Lookup       LookupFunc
	// IsKey reports whether text is the key of any workspace. Known keys
	// are removed from the requests that go to backend servers.
	IsKey        func(text string) bool
	Flow         *flow.Handler
	Metrics      *metric.Metrics
	Log          logrus.FieldLogger
	MaxBodyBytes int64         // largest request body in bytes
	BodiesBytes  int64         // memory of the bodies of all requests in bytes; 0 means no bound
	StallTimeout time.Duration // longest wait for the next bytes of a body, in either direction
}

// Handler serves lookups and requests of callers. It is safe for concurrent
// use.
type Handler struct {
	cfg    Config
	engine *gin.Engine
	bodies *bodies
}

// New returns a handler. It switches gin to release mode.
func New(cfg Config) *Handler {
	gin.SetMode(gin.ReleaseMode)
	h := &Handler{cfg: cfg, engine: gin.New(), bodies: newBodies(cfg.BodiesBytes)}
	h.engine.UseRawPath = true
	h.engine.UnescapePathValues = false
	h.engine.GET("/v1/hosts", h.serveLookup)
	h.engine.Any("/s/:service/*path", h.serveRequest)
	h.engine.NoRoute(func(c *gin.Context) {
		h.writeError(c, "", codes.New(codes.RouteUnknown, "caller: no such path; use /v1/hosts or /s/<service>/<path>"))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.engine.ServeHTTP(w, r) }

type lookupHostJSON struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
}

type lookupJSON struct {
	Version  uint64           `json:"version"`
	Lifetime float64          `json:"lifetime"` // seconds
	Hosts    []lookupHostJSON `json:"hosts"`
}

func (h *Handler) serveLookup(c *gin.Context) {
	if !h.cfg.HasConfig() {
		h.writeError(c, "", noConfigError())
		return
	}
	address, err := lookupAddress(c)
	if err != nil {
		h.writeError(c, "", err)
		return
	}
	hosts, lifetime, err := h.cfg.Lookup(address, core.ServiceID(c.Query("service")))
	if err != nil {
		h.writeError(c, "", err)
		return
	}
	out := lookupJSON{Version: h.cfg.State().Version, Lifetime: lifetime.Seconds()}
	for _, host := range hosts {
		out.Hosts = append(out.Hosts, lookupHostJSON{Name: string(host.Host), Domain: string(host.Domain), Address: host.Address})
	}
	h.cfg.Metrics.CountLookup()
	c.Header("Cache-Control", "max-age="+strconv.Itoa(int(lifetime.Seconds())))
	c.Header(HeaderCode, strconv.Itoa(int(codes.OK)))
	c.JSON(http.StatusOK, out)
}

func lookupAddress(c *gin.Context) (netip.Addr, error) {
	if text := c.Query("address"); text != "" {
		address, err := netip.ParseAddr(text)
		return address, codes.Wrap(err, codes.RequestBad, "caller: query parameter address is not an IP address")
	}
	remote, err := netip.ParseAddrPort(c.Request.RemoteAddr)
	return remote.Addr().Unmap(), codes.Wrap(err, codes.RequestBad, "caller: remote address of the connection is not an IP address and port")
}

func noConfigError() error {
	return codes.New(codes.NoConfig, "caller: the entry host has no configuration yet")
}

func (h *Handler) serveRequest(c *gin.Context) {
	start := time.Now()
	if h.cfg.ShuttingDown() {
		c.Header("Connection", "close") // or the caller's next request may meet the end of the process
		h.writeError(c, "", codes.New(codes.HostLeaving, "caller: the entry host is shutting down; use another one"))
		return
	}
	if !h.cfg.HasConfig() {
		h.writeError(c, "", noConfigError())
		return
	}
	body, err := h.readBody(c)
	if err != nil {
		h.writeError(c, "", err)
		return
	}
	defer body.Release()
	accept.SetInUse(c.Request.Context(), true)
	defer accept.SetInUse(c.Request.Context(), false)
	call, err := h.readCall(c, body.Bytes)
	if err != nil {
		h.writeError(c, "", err)
		return
	}
	resp, err := h.cfg.Flow.Serve(c.Request.Context(), h.cfg.State().Sheet, call)
	if err != nil {
		h.writeError(c, resp.Workspace, err)
		return
	}
	if err := resp.Grant.Err(); err != nil {
		_ = resp.Body.Close()
		h.writeError(c, resp.Workspace, &core.SendError{State: core.SendUnknown, Cause: err})
		return
	}
	sent, err := h.writeResponse(c, resp)
	if err != nil {
		h.cfg.Log.WithFields(logrus.Fields{
			"event": "answer-cut", "workspace": resp.Workspace, "service": call.Service, "bytes": sent, "error": err,
		}).Warn("response is incomplete; closing the connection to the caller")
		// The status line has been sent. Only an aborted connection tells the
		// caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	h.cfg.Metrics.RecordRequest(resp.Workspace, resp.Class, time.Since(start), sent)
}

// minSubstringKey is the shortest key, in bytes, for which any text that
// contains the caller's own key counts as a key. A shorter key would match
// parts of unrelated words.
const minSubstringKey = 8

// readCall reads the request and removes keys from its path, query and
// headers.
func (h *Handler) readCall(c *gin.Context, body []byte) (flow.Request, error) {
	timeout, err := parseDeadline(c.GetHeader(HeaderDeadline))
	if err != nil {
		return flow.Request{}, err
	}
	idempotencyKey := c.GetHeader(HeaderIdempotencyKey)
	if len(idempotencyKey) > maxIdempotencyKey {
		return flow.Request{}, codes.New(codes.RequestBad, "caller: Idempotency-Key is longer than %d bytes", maxIdempotencyKey)
	}
	bearer := bearerToken(c.Request)
	isKey := func(text string) bool {
		return text != "" && (text == bearer || len(bearer) >= minSubstringKey && strings.Contains(text, bearer) || h.cfg.IsKey(text))
	}
	path, err := sanitizePath(c, isKey)
	if err != nil {
		return flow.Request{}, err
	}
	remote, _ := netip.ParseAddrPort(c.Request.RemoteAddr)
	return flow.Request{
		Method: c.Request.Method, Service: core.ServiceID(c.Param("service")), Path: path,
		Header: sanitizeHeader(c.Request.Header, isKey), Body: body, Key: bearer, IdempotencyKey: idempotencyKey,
		Address: remote.Addr().Unmap().String(), Timeout: timeout,
	}, nil
}

func parseDeadline(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, codes.New(codes.RequestBad, "caller: %s must be a whole number of milliseconds above 0", HeaderDeadline)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func bearerToken(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// writeError writes the error response for err. Its Azurering-Run header says
// whether the request may have run.
func (h *Handler) writeError(c *gin.Context, workspace core.WorkspaceID, err error) {
	code := codes.Of(err)
	h.cfg.Metrics.CountRefusal(workspace, code)
	if wait := retryAfter(err); wait > 0 {
		c.Header("Retry-After", strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10))
	}
	c.Header(HeaderCode, strconv.Itoa(int(code)))
	c.Header(HeaderRun, runStatus(err))
	c.AbortWithStatusJSON(httpStatus(code), gin.H{"code": int(code), "message": err.Error(), "run": runStatus(err)})
}

func runStatus(err error) string {
	if flow.NotExecuted(err) {
		return RunNone
	}
	if codes.Is(err, codes.OrderRunning) {
		return RunRunning
	}
	return RunUnknown
}

// retryHinter is implemented by errors that say how long to wait before a
// retry.
type retryHinter interface{ RetryAfter() time.Duration }

func retryAfter(err error) time.Duration {
	for err != nil {
		if w, ok := err.(retryHinter); ok {
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

// NewServer returns an HTTP server for the handler. It accepts at most maxHeader
// bytes of headers, which must arrive within slow, and closes connections
// that are idle for 2 minutes. Requests inherit ctx.
func NewServer(ctx context.Context, h http.Handler, maxHeader int, slow time.Duration) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: slow, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: maxHeader,
		BaseContext: baseContext(ctx), ConnContext: accept.WithConn,
	}
}
