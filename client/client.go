// Package client is for programs that call services through azurering. It
// asks entry hosts which hosts to use, caches the answer for its lifetime,
// fails over between hosts, and keeps one idempotency key over the retries
// of an order.
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
	defaultTries = 6
	defaultBody  = 64 << 20
	// defaultWait is a little over the default timeout of a route, so that
	// the host's own refusal comes first.
	defaultWait = 35 * time.Second
	dialTimeout = 3 * time.Second
	firstPause  = 100 * time.Millisecond
	maxPause    = 2 * time.Second
)

// Config configures a Client. Entries is required.
type Config struct {
	// EntryHosts are addresses (IP address and port) of entry hosts to start
	// from. Any live one will do.
	EntryHosts []string
	// Key is the workspace's key; empty for open routes only.
	Key string
	// HTTPClient sends the requests. Nil means a client that gives up a connection
	// attempt after 3 s. It must not repeat requests by itself; redirects are
	// not followed, because they are answers of the service.
	HTTPClient *http.Client
	// TLSConfig holds the authorities and the certificate for encrypted listeners.
	// It is not used if HTTP is set.
	TLSConfig *tls.Config
	// Scheme is "http" or "https". Empty means "https" with TLS settings and
	// "http" without.
	Scheme string
	// MaxAttempts bounds the attempts of one call. Zero means 6. Attempts that end
	// in "running" do not count if the context has a deadline.
	MaxAttempts int
	// MaxResponseBytes bounds the body of an answer in bytes. Zero means 64 MiB.
	MaxResponseBytes int64
	// HeaderTimeout bounds the wait for the headers of an answer. Zero means 35 s. It
	// is not used if HTTP is set.
	HeaderTimeout time.Duration
}

// Client calls services. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu      sync.Mutex
	lookups map[string]*lookup // by service
}

// Request is one request to a service.
type Request struct {
	Service string
	Method  string // empty means GET
	Path    string // with the query, below the service; starts with "/"
	Header  http.Header
	Body    []byte
	// AtMostOnce says that the request must run at most once. Key is its
	// idempotency key; empty means a new one, a UUIDv7.
	AtMostOnce     bool
	IdempotencyKey string
}

// Response is a whole answer of the service, whatever its status.
type Response struct {
	Status         int
	Header         http.Header
	Body           []byte
	Host           string // address of the entry host that answered
	IdempotencyKey string // idempotency key of an order
	Attempts       int
}

// The values of Error.Run.
const (
	RunNone    = "not-run" // no attempt did or will run
	RunRunning = "running" // the order was running at the last answer
	RunUnknown = "unknown" // an attempt may have run
	RunDone    = "done"    // it ran, but the answer is over MaxBody
)

// Error is a refusal, or the failure of all attempts. Run says what is
// known of the request over all attempts of the call. It does not cover
// earlier calls that sent an order with the same idempotency key.
type Error struct {
	Code           codes.Code
	RunState       string
	IdempotencyKey string // idempotency key of an order, to ask again later
	Attempts       int
	// RetryAfter is how long the host asked to wait, zero if it did not.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	return "client: request failed, run=" + e.RunState + ", code=" + strconv.Itoa(int(e.Code)) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns a client. Its error carries UsageBad.
func New(cfg Config) (*Client, error) {
	if len(cfg.EntryHosts) == 0 {
		return nil, codes.New(codes.UsageBad, "client: at least one entry host is needed")
	}
	for _, entry := range cfg.EntryHosts {
		if _, err := netip.ParseAddrPort(entry); err != nil {
			return nil, codes.Wrap(err, codes.UsageBad, "client: entry host %q is not an IP address and port", entry)
		}
	}
	if cfg.MaxAttempts < 0 || cfg.MaxResponseBytes < 0 || cfg.HeaderTimeout < 0 {
		return nil, codes.New(codes.UsageBad, "client: Tries, MaxBody and Wait must not be below 0")
	}
	if cfg.Scheme == "" {
		cfg.Scheme = "http"
		if cfg.TLSConfig != nil {
			cfg.Scheme = "https"
		}
	}
	if cfg.Scheme != "http" && cfg.Scheme != "https" {
		return nil, codes.New(codes.UsageBad, "client: scheme is %q, must be http or https", cfg.Scheme)
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultTries
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = defaultBody
	}
	cfg.HTTPClient = sender(cfg)
	return &Client{cfg: cfg, lookups: make(map[string]*lookup)}, nil
}

// sender returns the HTTP client of a configuration. It never follows a
// redirect: that would send a request, perhaps an order, a second time.
func sender(cfg Config) *http.Client {
	out := &http.Client{}
	if cfg.HTTPClient != nil {
		*out = *cfg.HTTPClient
	} else {
		if cfg.HeaderTimeout == 0 {
			cfg.HeaderTimeout = defaultWait
		}
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
		transport.TLSClientConfig, transport.ResponseHeaderTimeout = cfg.TLSConfig, cfg.HeaderTimeout
		out.Transport = transport
	}
	out.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return out
}

// Do sends a request and returns its whole answer. It tries again, on other
// hosts where there are some, while that is safe: always after "not run",
// and after an open outcome if the request is idempotent or an order, whose
// idempotency key keeps it from running twice. The deadline of the context
// goes along with the request. Its error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	if r.AtMostOnce && r.IdempotencyKey == "" {
		r.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	_, bounded := ctx.Deadline()
	pauses := &backoff.ExponentialBackOff{
		InitialInterval: firstPause, MaxInterval: maxPause, Multiplier: 2, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	pauses.Reset()
	var last *Error
	tried := make(map[string]int)
	for try, counted := 1, 0; ; try++ {
		host := pick(c.EntryHosts(ctx, r.Service), tried)
		tried[host]++
		resp, failed := c.once(ctx, host, r)
		if failed == nil {
			resp.Attempts, resp.IdempotencyKey = try, r.IdempotencyKey
			return resp, nil
		}
		failed.Attempts, failed.RunState = try, merge(last, failed.RunState)
		last = failed
		if failed.Code != codes.OrderRunning || !bounded {
			counted++
		}
		if counted >= c.cfg.MaxAttempts || final(failed.Code) || !wait(ctx, pauses.NextBackOff(), failed.RetryAfter) {
			return Response{}, last
		}
	}
}

// merge returns what is known after another failed attempt. Once an attempt
// may have run, a later "not run" speaks only for itself.
func merge(last *Error, run string) string {
	if last != nil && last.RunState != RunNone && run == RunNone {
		return RunUnknown
	}
	return run
}

// pick returns the best-ranked of the hosts that were tried least.
func pick(hosts []string, tried map[string]int) string {
	best := hosts[0]
	for _, h := range hosts {
		if tried[h] < tried[best] {
			best = h
		}
	}
	return best
}

// final reports whether another attempt cannot end differently.
func final(code codes.Code) bool {
	switch code {
	case codes.UsageBad, codes.RequestBad, codes.RequestTooLarge, codes.RouteUnknown, codes.ServiceAbsent,
		codes.KeyMissing, codes.KeyUnknown, codes.KeyWithdrawn,
		codes.OrderKeyMissing, codes.OrderMismatch, codes.OrderExpired, codes.OrderUnknown:
		return true
	default:
		return false
	}
}

// longestWait bounds a wait that a host asks for in a call without a
// deadline.
const longestWait = time.Minute

// wait pauses before the next attempt, never for less than the host asked
// for. It reports false if the context ends before, at once if its deadline
// is known to come first.
func wait(ctx context.Context, pause, asked time.Duration) bool {
	pause += asked
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= pause || !ok && asked > longestWait {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// dialFailed reports whether an error proves that no connection was made.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
