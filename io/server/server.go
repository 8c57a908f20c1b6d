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
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
)

// Headers between entry hosts and backend servers.
const (
	// HeaderWorkspace is the header with the workspace of a request.
	HeaderWorkspace = "Azurering-Workspace"
	// HeaderRun is the response header that has the value RunNone if the
	// backend server did not run the request.
	HeaderRun = "Azurering-Run"
	// NotRun is the value of HeaderRun for a request that was not run.
	NotRun = "not-run"
	// HeaderDeadline is the header with the time left for the request in
	// milliseconds.
	HeaderDeadline = "Azurering-Deadline"
	// HeaderExchange is the header with the number of the exchange. A backend server
	// that repeats it in the response lets the host tell a late copy of an earlier
	// response on the same connection.
	HeaderExchange = "Azurering-Exchange"
)

const (
	defaultDialTimeout    = 2 * time.Second
	idleConnTimeout       = 90 * time.Second
	maxIdleConnsPerServer = 64
	probePath             = "/health"
	maxProbeBytes         = 4 << 10
	maxRefusedBytes       = 4 << 10
)

// Config configures a Client. Timer is required.
type Config struct {
	Timer core.Timer
	// DialTimeout is the timeout for opening a connection. Zero means 2 s.
	DialTimeout time.Duration
	// TLS, if set, is used for all connections; otherwise they are not
	// encrypted.
	TLS *tls.Config
}

// Client implements core.Servers over HTTP/1.1. It is safe for concurrent
// use.
type Client struct {
	timer     core.Timer
	scheme    string
	transport *http.Transport
	exchanges atomic.Uint64 // counts them
}

var _ core.Servers = (*Client)(nil)

// New returns a Client. Close closes its idle connections.
func New(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	d := &dialer{net: net.Dialer{Timeout: cfg.DialTimeout}, tls: cfg.TLS}
	scheme := "http"
	if cfg.TLS != nil {
		scheme = "https"
	}
	return &Client{timer: cfg.Timer, scheme: scheme, transport: &http.Transport{
		DialContext:         d.dial,
		DialTLSContext:      d.dialTLS,
		MaxIdleConnsPerHost: maxIdleConnsPerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// sendTrace records the exchange of a request.
type sendTrace struct {
	mu       sync.Mutex
	exchange *exchange
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	t.exchange = conn.begin()
}

// sendState returns how far a failed request got. If no byte was written, it
// also blocks later writes, so that SendNotSent stays true.
func (t *sendTrace) sendState() core.SendState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.exchange == nil || t.exchange.blockIfUnwritten() {
		return core.SendNotSent
	}
	return core.SendUnknown
}

// ended returns a channel that is closed once the server works on the request no longer. It is
// nil if no connection was used.
func (t *sendTrace) ended() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.exchange == nil {
		return nil
	}
	return t.exchange.ended
}

// finish notes that the whole response was read.
func (t *sendTrace) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.exchange != nil {
		t.exchange.finish()
	}
}

// closeConn closes the connection of the request.
func (t *sendTrace) closeConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.exchange != nil {
		_ = t.exchange.conn.Close()
	}
}

// Send implements core.Servers. The caller must close the body of the
// response; until then ctx applies to reading it.
func (c *Client) Send(ctx context.Context, s core.Server, r core.Request) (core.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	trace := &sendTrace{}
	req, err := c.request(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.gotConn}), s, r)
	if err != nil {
		cancel()
		return core.Response{}, &core.SendError{State: core.SendNotSent, Cause: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		cancel()
		return core.Response{}, &core.SendError{State: trace.sendState(), Cause: err, Ended: trace.ended()}
	}
	if err := checkExchange(req, resp); err != nil {
		trace.closeConn()
		_ = resp.Body.Close()
		cancel()
		return core.Response{}, &core.SendError{State: core.SendUnknown, Cause: err, Ended: trace.ended()}
	}
	return c.response(resp, req.Method, trace, cancel)
}

// numberExchange sets the header that tells the response of a request from others.
func (c *Client) numberExchange(req *http.Request) {
	req.Header.Set(HeaderExchange, strconv.FormatUint(c.exchanges.Add(1), 10))
}

// checkExchange returns an error if a response has a status that ends no exchange, or
// belongs to another request. Servers may leave the number out.
func checkExchange(req *http.Request, resp *http.Response) error {
	if !core.IsFinalStatus(resp.StatusCode) {
		return errors.Errorf("server: %.40q is not the status of a response", resp.Status)
	}
	got, sent := resp.Header.Get(HeaderExchange), req.Header.Get(HeaderExchange)
	resp.Header.Del(HeaderExchange)
	if got != "" && got != sent {
		return errors.Errorf("server: response belongs to exchange %.20q instead of %s", got, sent)
	}
	return nil
}

func (c *Client) request(ctx context.Context, s core.Server, r core.Request) (*http.Request, error) {
	target, err := url.Parse(c.scheme + "://" + s.Address + r.Path)
	if err != nil {
		return nil, errors.Wrap(err, "server: cannot parse the request URL")
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target.String(), http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "server: cannot create the request")
	}
	req.Header = r.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	// net/http resends requests with the canonical header Idempotency-Key after
	// it lost a connection. The lower-case name means the same to the server
	// and keeps the transport from sending an order twice.
	if key := req.Header.Get("Idempotency-Key"); key != "" {
		req.Header.Del("Idempotency-Key")
		req.Header["idempotency-key"] = []string{key}
	}
	if len(r.Body) > 0 {
		// Without GetBody the transport cannot send the body again.
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	c.numberExchange(req)
	req.Header.Set(HeaderWorkspace, string(r.Workspace))
	if r.Deadline > 0 {
		remaining := max(r.Deadline-c.timer.Now(), 0)
		req.Header.Set(HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	return req, nil
}

// response converts a response. It refuses one that has neither a length nor
// chunked encoding, whose end looks the same as a lost connection.
func (c *Client) response(resp *http.Response, method string, trace *sendTrace, cancel context.CancelFunc) (core.Response, error) {
	if resp.Header.Get(HeaderRun) == NotRun {
		_, _ = io.CopyN(io.Discard, resp.Body, maxRefusedBytes)
		_ = resp.Body.Close()
		cancel()
		return core.Response{}, &core.SendError{State: core.SendRefused, Cause: errors.Errorf("server: backend server answered %d and did not run the request", resp.StatusCode)}
	}
	chunked := len(resp.TransferEncoding) > 0
	bodiless := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if resp.ContentLength < 0 && !chunked && !bodiless {
		_ = resp.Body.Close()
		cancel()
		return core.Response{}, &core.SendError{State: core.SendUnknown, Cause: errors.New("server: response has neither Content-Length nor chunked encoding"), Ended: trace.ended()}
	}
	if resp.Body == http.NoBody {
		trace.finish()
	}
	removeHopByHopHeaders(resp.Header)
	return core.Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Body: &responseBody{ReadCloser: resp.Body, trace: trace, cancel: cancel}, Ended: trace.ended(),
	}, nil
}

// responseBody cancels the context of its request when it is closed. If the
// response was not read to its end, the transport closes the connection, so
// that the rest cannot be taken for another response.
type responseBody struct {
	io.ReadCloser
	trace  *sendTrace
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.trace.finish()
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// removeHopByHopHeaders removes the headers that apply to one connection
// only.
func removeHopByHopHeaders(h http.Header) {
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
		h.Del(name)
	}
}

// healthReport is the JSON object that a backend server returns for a probe.
type healthReport struct {
	Ready   bool     `json:"ready"`
	Leaving bool     `json:"leaving"`
	Load    *float64 `json:"load"`
}

// Probe implements core.Servers. It sends GET /health and expects a JSON object
// with ready, leaving and load. A status other than 200 means that the server
// is not ready. A missing or negative load gives -1 (unknown); a load over 1
// counts as 1.
func (c *Client) Probe(ctx context.Context, s core.Server) (core.Health, error) {
	trace := &sendTrace{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.gotConn})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+s.Address+probePath, http.NoBody)
	if err != nil {
		return core.Health{}, errors.Wrap(err, "server: health probe failed")
	}
	c.numberExchange(req)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return core.Health{}, errors.Wrap(err, "server: health probe failed")
	}
	defer func() { _ = resp.Body.Close() }()
	if err := checkExchange(req, resp); err != nil {
		trace.closeConn()
		return core.Health{}, errors.Wrap(err, "server: health probe failed")
	}
	if resp.StatusCode != http.StatusOK {
		return core.Health{Load: -1}, nil
	}
	var p healthReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxProbeBytes)).Decode(&p); err != nil {
		return core.Health{}, errors.Wrap(err, "server: health probe failed")
	}
	health := core.Health{Ready: p.Ready, Leaving: p.Leaving, Load: -1}
	if p.Load != nil && *p.Load >= 0 {
		health.Load = min(*p.Load, 1)
	}
	return health, nil
}
