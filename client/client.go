// Package client calls services through azurering. It is for programs that
// run outside the system. It looks up the entry hosts to use and caches the
// result for its lifetime, fails over between hosts, and sends the same
// idempotency key with all attempts of an order.
package client

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"azurering/core/codes"
)

const (
	defaultMaxAttempts = 6
	defaultMaxBody     = 64 << 20 // bytes
	// defaultHeaderTimeout is a little longer than the default timeout of a
	// route, so that the entry host reports a timeout before the client gives
	// up.
	defaultHeaderTimeout = 35 * time.Second
	dialTimeout          = 3 * time.Second
	initialBackoff       = 100 * time.Millisecond
	maxBackoff           = 2 * time.Second
)

// Config configures a Client. Entries is required.
type Config struct {
	// EntryHosts are the addresses (IP address and port) of the entry hosts that
	// are asked for the first lookup. One that responds is enough.
	EntryHosts []string
	// Key is the workspace's key. It may be empty for open routes.
	Key string
	// HTTPClient sends the requests. Nil means a client with a connect timeout of
	// 3 s. It must not retry requests by itself. Its CheckRedirect is not
	// used: redirects are responses of the service and are not followed.
	HTTPClient *http.Client
	// TLSConfig holds the certificate authorities and the client certificate. It is
	// not used if HTTP is set.
	TLSConfig *tls.Config
	// Scheme is "http" or "https". Empty means "https" with TLS settings and
	// "http" without.
	Scheme string
	// MaxAttempts is the maximum number of attempts of one call. Zero means 6.
	// Attempts that find the order running do not count if the context has a
	// deadline.
	MaxAttempts int
	// MaxResponseBytes is the maximum size of a response body in bytes. Zero means
	// 64 MiB.
	MaxResponseBytes int64
	// HeaderTimeout is the timeout for the headers of a response. Zero means 35 s. It
	// is not used if HTTP is set.
	HeaderTimeout time.Duration
}

// Client sends requests to services. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu      sync.Mutex
	lookups map[string]*lookup // by service
}

// Request is one request to a service.
type Request struct {
	Service string
	Method  string // empty means GET
	Path    string // escaped path and query below the service; starts with "/"
	Header  http.Header
	Body    []byte
	// AtMostOnce says that the request must run at most once. Key is its
	// idempotency key. If it is empty, a UUIDv7 is generated.
	AtMostOnce     bool
	IdempotencyKey string
}

// Response is a complete response of the service, whatever its status.
type Response struct {
	Status         int // HTTP status
	Header         http.Header
	Body           []byte
	Host           string // address of the entry host that responded
	IdempotencyKey string // idempotency key of an order
	Attempts       int    // number of attempts
}

// The values of Error.RunState.
const (
	RunNone    = "not-run" // no attempt ran or will run
	RunRunning = "running" // the order was running at the last attempt
	RunUnknown = "unknown" // an attempt may have run
	RunDone    = "done"    // the request ran, but its response is larger than MaxBody
)

// Error is the error of a call: an error response of an entry host, or the
// failure of the last attempt. Run covers all attempts of the call, but not
// earlier calls that sent an order with the same idempotency key.
type Error struct {
	Code           codes.Code
	RunState       string // whether the request ran; one of the Run constants
	IdempotencyKey string // idempotency key of an order, for a later call that asks for its result
	Attempts       int    // number of attempts
	// RetryAfter is how long the entry host asked to wait before a retry. Zero
	// means that it did not ask.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	return "client: request failed, run=" + e.RunState + ", code=" + strconv.Itoa(int(e.Code)) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns a client. It connects to no host. If cfg is invalid, it returns
// an error with the code UsageBad.
func New(cfg Config) (*Client, error) {
	if len(cfg.EntryHosts) == 0 {
		return nil, codes.New(codes.UsageBad, "client: EntryHosts is empty; at least one entry host is needed")
	}
	for _, entry := range cfg.EntryHosts {
		if _, err := netip.ParseAddrPort(entry); err != nil {
			return nil, codes.Wrap(err, codes.UsageBad, "client: entry host %q is not an IP address and port", entry)
		}
	}
	if cfg.MaxAttempts < 0 || cfg.MaxResponseBytes < 0 || cfg.HeaderTimeout < 0 {
		return nil, codes.New(codes.UsageBad, "client: MaxAttempts, MaxResponseBytes and HeaderTimeout must not be negative")
	}
	if cfg.Scheme == "" {
		cfg.Scheme = "http"
		if cfg.TLSConfig != nil {
			cfg.Scheme = "https"
		}
	}
	if cfg.Scheme != "http" && cfg.Scheme != "https" {
		return nil, codes.New(codes.UsageBad, "client: Scheme is %q, must be http or https", cfg.Scheme)
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = defaultMaxBody
	}
	cfg.HTTPClient = newHTTPClient(cfg)
	return &Client{cfg: cfg, lookups: make(map[string]*lookup)}, nil
}

// newHTTPClient returns the HTTP client for a configuration. It does not
// follow redirects, because that would send a request, possibly an order,
// twice.
func newHTTPClient(cfg Config) *http.Client {
	out := &http.Client{}
	if cfg.HTTPClient != nil {
		*out = *cfg.HTTPClient
	} else {
		if cfg.HeaderTimeout == 0 {
			cfg.HeaderTimeout = defaultHeaderTimeout
		}
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
		transport.TLSClientConfig, transport.ResponseHeaderTimeout = cfg.TLSConfig, cfg.HeaderTimeout
		out.Transport = transport
	}
	out.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return out
}

// Do sends a request and returns the complete response. It retries after
// errors that another attempt may avoid, on other entry hosts where possible
// and with growing delays, also when an earlier attempt may have run. The
// request must therefore be idempotent, or an order, whose idempotency key
// keeps it from running twice. The deadline of ctx is sent with the request.
// The error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	if r.AtMostOnce && r.IdempotencyKey == "" {
		r.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	_, hasDeadline := ctx.Deadline()
	delays := &backoff.ExponentialBackOff{
		InitialInterval: initialBackoff, MaxInterval: maxBackoff, Multiplier: 2, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	delays.Reset()
	var lastErr *Error
	attempts := make(map[string]int)
	for attempt, counted := 1, 0; ; attempt++ {
		host := pickHost(c.EntryHosts(ctx, r.Service), attempts)
		attempts[host]++
		resp, err := c.attempt(ctx, host, r)
		if err == nil {
			resp.Attempts, resp.IdempotencyKey = attempt, r.IdempotencyKey
			return resp, nil
		}
		err.Attempts, err.RunState = attempt, mergeRun(lastErr, err.RunState)
		lastErr = err
		if err.Code != codes.OrderRunning || !hasDeadline {
			counted++
		}
		if counted >= c.cfg.MaxAttempts || isPermanent(err.Code) || !sleepBeforeRetry(ctx, delays.NextBackOff(), err.RetryAfter) {
			return Response{}, lastErr
		}
	}
}

// mergeRun combines the run state of the earlier attempts with that of another
// failed one. Once an attempt may have run, a later "not-run" says nothing
// about the earlier attempts.
func mergeRun(earlier *Error, run string) string {
	if earlier != nil && earlier.RunState != RunNone && run == RunNone {
		return RunUnknown
	}
	return run
}

// pickHost returns the first of the hosts with the fewest attempts.
func pickHost(hosts []string, attempts map[string]int) string {
	best := hosts[0]
	for _, h := range hosts {
		if attempts[h] < attempts[best] {
			best = h
		}
	}
	return best
}

// isPermanent reports whether another attempt would fail in the same way.
func isPermanent(code codes.Code) bool {
	switch code {
	case codes.UsageBad, codes.RequestBad, codes.RequestTooLarge, codes.RouteUnknown, codes.ServiceAbsent,
		codes.KeyMissing, codes.KeyUnknown, codes.KeyWithdrawn,
		codes.OrderKeyMissing, codes.OrderMismatch, codes.OrderExpired, codes.OrderUnknown:
		return true
	default:
		return false
	}
}

// maxRetryAfter is the longest Retry-After delay that a call without a
// deadline waits for. After a longer one the call fails.
const maxRetryAfter = time.Minute

// sleepBeforeRetry sleeps before the next attempt, at least as long as the
// entry host asked for. It returns false if ctx ends first, at once if its
// deadline is earlier than the end of the sleep.
func sleepBeforeRetry(ctx context.Context, delay, retryAfter time.Duration) bool {
	delay += retryAfter
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= delay || !ok && retryAfter > maxRetryAfter {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(delay):
		return true
	}
}

// dialFailed reports whether an error proves that no connection was made.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
