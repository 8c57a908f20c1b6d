// Package client is for programs that call services through azurering. It
// asks entry hosts which hosts to use, caches the answer for its lifetime,
// fails over between hosts, and keeps one idempotency key over the retries
// of an order.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"azurering/core/codes"
)

const (
	defaultTries = 6
	firstPause   = 50 * time.Millisecond
	maxPause     = 2 * time.Second
	// shortLife is how long a look-up is kept whose answer has no lifetime.
	shortLife = time.Second
)

// Config configures a Client. Entries is required.
type Config struct {
	// Entries are addresses (IP address and port) of entry hosts to start
	// from. Any live one will do.
	Entries []string
	// Key is the workspace's key; empty for open routes only.
	Key string
	// HTTP sends the requests. Nil means a client without a timeout of its
	// own; the context of each call bounds it.
	HTTP *http.Client
	// TLS holds the authorities and the certificate for encrypted listeners.
	// It is not used if HTTP is set.
	TLS *tls.Config
	// Scheme is "http" or "https". Empty means "https" with TLS settings and
	// "http" without.
	Scheme string
	// Tries bounds the attempts of one call. Zero means 6.
	Tries int
}

// Client calls services. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu      sync.Mutex
	lookups map[string]lookup
}

type lookup struct {
	hosts []string
	until time.Time
}

// Request is one request to a service.
type Request struct {
	Service string
	Method  string // empty means GET
	Path    string // with the query, below the service
	Header  http.Header
	Body    []byte
	// Order says that the request must run at most once. Key is its
	// idempotency key; empty means a new one, a UUIDv7.
	Order bool
	Key   string
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Host   string // entry host that answered
	Key    string // idempotency key of an order
	Tries  int
}

// Error is a refusal, or the failure of all attempts. Run says what is
// known of the request.
type Error struct {
	Code codes.Code
	// Run is "not-run" (certainly did not and will not run), "running" or
	// "unknown".
	Run   string
	Key   string // idempotency key of an order, to ask again later
	Tries int
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return "client: request failed, run=" + e.Run + ", code=" + strconv.Itoa(int(e.Code)) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns a client. Its error carries UsageBad.
func New(cfg Config) (*Client, error) {
	if len(cfg.Entries) == 0 {
		return nil, codes.New(codes.UsageBad, "client: at least one entry host is needed")
	}
	if cfg.HTTP == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.TLSClientConfig = cfg.TLS
		cfg.HTTP = &http.Client{Transport: transport}
	}
	if cfg.Scheme == "" {
		cfg.Scheme = "http"
		if cfg.TLS != nil {
			cfg.Scheme = "https"
		}
	}
	if cfg.Tries == 0 {
		cfg.Tries = defaultTries
	}
	return &Client{cfg: cfg, lookups: make(map[string]lookup)}, nil
}

type hostsJSON struct {
	Lifetime float64 `json:"lifetime"`
	Hosts    []struct {
		Address string `json:"address"`
	} `json:"hosts"`
}

// Hosts returns the ranked entry hosts for a service, from the cache if the
// last look-up is still valid. If no entry host answers, an expired look-up
// is used, and the configured entries after that.
func (c *Client) Hosts(ctx context.Context, service string) []string {
	c.mu.Lock()
	last, ok := c.lookups[service]
	c.mu.Unlock()
	if ok && time.Now().Before(last.until) {
		return last.hosts
	}
	for _, entry := range append(append([]string(nil), last.hosts...), c.cfg.Entries...) {
		found, err := c.lookup(ctx, entry, service)
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.lookups[service] = found
		c.mu.Unlock()
		return found.hosts
	}
	if len(last.hosts) > 0 {
		return last.hosts
	}
	return c.cfg.Entries
}

func (c *Client) lookup(ctx context.Context, entry, service string) (lookup, error) {
	target := c.cfg.Scheme + "://" + entry + "/v1/hosts?service=" + url.QueryEscape(service)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return lookup{}, errors.Wrap(err, "client: look-up")
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return lookup{}, errors.Wrap(err, "client: look-up")
	}
	defer func() { _ = resp.Body.Close() }()
	var answer hostsJSON
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || resp.StatusCode != http.StatusOK || len(answer.Hosts) == 0 {
		return lookup{}, errors.Errorf("client: look-up answered %s", resp.Status)
	}
	life := time.Duration(answer.Lifetime * float64(time.Second))
	found := lookup{until: time.Now().Add(max(life, shortLife))}
	for _, h := range answer.Hosts {
		found.hosts = append(found.hosts, h.Address)
	}
	return found, nil
}

// forget drops the cached look-up of a service.
func (c *Client) forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.lookups[service]
	l.until = time.Time{}
	c.lookups[service] = l
}

// Do sends a request and returns its whole answer. It tries again, on other
// hosts where there are some, while that is safe: always after "not run",
// and after an open outcome if the request is idempotent or an order, whose
// idempotency key keeps it from running twice. Its error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	if r.Order && r.Key == "" {
		r.Key = uuid.Must(uuid.NewV7()).String()
	}
	last := &Error{Run: "not-run", Key: r.Key, Cause: errors.New("no attempt was made")}
	for try := 1; try <= c.cfg.Tries; try++ {
		hosts := c.Hosts(ctx, r.Service)
		resp, failed := c.once(ctx, hosts[(try-1)%len(hosts)], r)
		if failed == nil {
			resp.Tries, resp.Key = try, r.Key
			return resp, nil
		}
		failed.Tries = try
		// Once an attempt may have run, a later "not run" speaks only for
		// itself.
		if last.Run != "not-run" && failed.Run == "not-run" {
			failed.Run = last.Run
		}
		last = failed
		if final(failed.Code) || !c.wait(ctx, try, failed) {
			break
		}
	}
	return Response{}, last
}

// final reports whether another attempt cannot end differently.
func final(code codes.Code) bool {
	switch code {
	case codes.RequestBad, codes.RequestTooLarge, codes.RouteUnknown, codes.ServiceAbsent,
		codes.KeyMissing, codes.KeyUnknown, codes.KeyWithdrawn,
		codes.OrderKeyMissing, codes.OrderMismatch, codes.OrderExpired, codes.OrderUnknown:
		return true
	default:
		return false
	}
}

// wait pauses with jitter before the next attempt. It reports false when
// the context ends first.
func (c *Client) wait(ctx context.Context, try int, failed *Error) bool {
	pause := min(firstPause<<try, maxPause)
	if after, ok := failed.Cause.(*retryLater); ok {
		pause = max(pause, after.after)
	}
	pause = pause/2 + rand.N(pause/2+1)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// retryLater is a refusal that names a time to wait.
type retryLater struct {
	text  string
	after time.Duration
}

// Error implements error.
func (r *retryLater) Error() string { return r.text }

func (c *Client) once(ctx context.Context, host string, r Request) (Response, *Error) {
	req, err := c.request(ctx, host, r)
	if err != nil {
		return Response{}, &Error{Code: codes.UsageBad, Run: "not-run", Key: r.Key, Cause: err}
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		c.forget(r.Service)
		return Response{}, &Error{Code: codes.PeerDown, Run: "unknown", Key: r.Key, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, &Error{Code: codes.ServerCut, Run: "unknown", Key: r.Key, Cause: err}
	}
	if run := resp.Header.Get("Azurering-Run"); run != "done" {
		return Response{}, c.refusal(r, resp, body, run)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Host: host}, nil
}

func (c *Client) refusal(r Request, resp *http.Response, body []byte, run string) *Error {
	code, _ := strconv.Atoi(resp.Header.Get("Azurering-Code"))
	if run == "" {
		run = "unknown"
	}
	if codes.Code(code) == codes.HostLeaving {
		c.forget(r.Service)
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	cause := &retryLater{text: string(body), after: time.Duration(seconds) * time.Second}
	return &Error{Code: codes.Code(code), Run: run, Key: r.Key, Cause: cause}
}

func (c *Client) request(ctx context.Context, host string, r Request) (*http.Request, error) {
	method := r.Method
	if method == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.Scheme+"://"+host+"/s/"+r.Service+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "client: request")
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	if c.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	if r.Order {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set("Azurering-Deadline", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	return req, nil
}
