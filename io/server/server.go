package server

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
)

// The headers between entry hosts and backend servers.
const (
	// HeaderWorkspace names the workspace for which the request runs.
	HeaderWorkspace = "Azurering-Workspace"
	// HeaderRun with the value RunNone in an answer says that the backend
	// server did not run the request.
	HeaderRun = "Azurering-Run"
	NotRun    = "not-run"
	// HeaderDeadline is the time left for the request in milliseconds.
	HeaderDeadline = "Azurering-Deadline"
)

const (
	defaultDial  = 2 * time.Second
	idleTimeout  = 90 * time.Second
	maxIdleConns = 64
	probePath    = "/health"
	maxProbe     = 4 << 10
	refusedBody  = 4 << 10
)

// Config configures a client of backend servers.
type Config struct {
	Timer core.Timer
	// DialTimeout bounds the time to connect. Zero means 2 s.
	DialTimeout time.Duration
	// TLS, if set, is used for all connections.
	TLS *tls.Config
}

// Client implements core.Servers over HTTP/1.1. It is safe for concurrent
// use.
type Client struct {
	timer     core.Timer
	scheme    string
	transport *http.Transport
}

var _ core.Servers = (*Client)(nil)

// New returns a client.
func New(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDial
	}
	d := &dialer{net: net.Dialer{Timeout: cfg.DialTimeout}, tls: cfg.TLS}
	scheme := "http"
	if cfg.TLS != nil {
		scheme = "https"
	}
	return &Client{timer: cfg.Timer, scheme: scheme, transport: &http.Transport{
		DialContext:         d.dial,
		DialTLSContext:      d.dialTLS,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// exchange follows one request through the transport.
type exchange struct {
	mu    sync.Mutex
	conn  *countedConn
	start int64
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	x.conn, x.start = conn, conn.count()
}

// state says how far a failed exchange got.
func (x *exchange) state() core.SendState {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil || x.conn.seal(x.start) {
		return core.SendNotSent
	}
	return core.SendUnknown
}

// Send implements core.Servers.
func (c *Client) Send(ctx context.Context, s core.Server, r core.Request) (core.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	x := &exchange{}
	req, err := c.request(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn}), s, r)
	if err != nil {
		cancel()
		return core.Response{}, &core.SendError{State: core.SendNotSent, Cause: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		cancel()
		return core.Response{}, &core.SendError{State: x.state(), Cause: err}
	}
	return c.response(resp, req.Method, cancel)
}

func (c *Client) request(ctx context.Context, s core.Server, r core.Request) (*http.Request, error) {
	target, err := url.Parse(c.scheme + "://" + s.Address + r.Path)
	if err != nil {
		return nil, errors.Wrap(err, "server: request path")
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target.String(), http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "server: request")
	}
	req.Header = r.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	// net/http repeats requests that carry Idempotency-Key under its
	// canonical name after a lost connection. Another spelling means the same
	// to the server and keeps the transport from sending an order twice.
	if key := req.Header.Get("Idempotency-Key"); key != "" {
		req.Header.Del("Idempotency-Key")
		req.Header["idempotency-key"] = []string{key}
	}
	if len(r.Body) > 0 {
		// A body without GetBody is never sent again by the transport.
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	req.Header.Set(HeaderWorkspace, string(r.Workspace))
	if r.Deadline > 0 {
		left := max(r.Deadline-c.timer.Now(), 0)
		req.Header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	}
	return req, nil
}

// response checks an answer. An answer whose end cannot be told from a cut
// connection is refused.
func (c *Client) response(resp *http.Response, method string, cancel context.CancelFunc) (core.Response, error) {
	if resp.Header.Get(HeaderRun) == NotRun {
		_, _ = io.CopyN(io.Discard, resp.Body, refusedBody)
		_ = resp.Body.Close()
		cancel()
		return core.Response{}, &core.SendError{State: core.SendRefused, Cause: errors.Errorf("server: answered %d and not run", resp.StatusCode)}
	}
	chunked := len(resp.TransferEncoding) > 0
	bodiless := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if resp.ContentLength < 0 && !chunked && !bodiless {
		_ = resp.Body.Close()
		cancel()
		return core.Response{}, &core.SendError{State: core.SendUnknown, Cause: errors.New("server: answer has neither a length nor chunks")}
	}
	stripHopHeaders(resp.Header)
	return core.Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Body: &body{ReadCloser: resp.Body, cancel: cancel},
	}, nil
}

// body ends its exchange when closed. If the answer was not read to its
// end the transport closes the connection, so that the rest of it cannot
// reach another request.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// stripHopHeaders removes the headers that belong to one connection.
func stripHopHeaders(h http.Header) {
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
		h.Del(name)
	}
}

type probe struct {
	Ready   bool     `json:"ready"`
	Leaving bool     `json:"leaving"`
	Load    *float64 `json:"load"`
}

// Probe implements core.Servers. It reads GET /health, a JSON object with
// ready, leaving and load.
func (c *Client) Probe(ctx context.Context, s core.Server) (core.Health, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+s.Address+probePath, http.NoBody)
	if err != nil {
		return core.Health{}, errors.Wrap(err, "server: probe")
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return core.Health{}, errors.Wrap(err, "server: probe")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return core.Health{Load: -1}, nil
	}
	var p probe
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxProbe)).Decode(&p); err != nil {
		return core.Health{}, errors.Wrap(err, "server: probe")
	}
	health := core.Health{Ready: p.Ready, Leaving: p.Leaving, Load: -1}
	if p.Load != nil && *p.Load >= 0 {
		health.Load = min(*p.Load, 1)
	}
	return health, nil
}
