package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"azurering/core"
)

// Request headers by which backend servers and callers check that a request
// and its response belong together.
const (
	headerCaller  = "X-Demo-Caller"  // workspace of the caller
	headerRequest = "X-Demo-Request" // unique ID of the request
)

// stallOneIn sets the share of stalled responses: on average one in stallOneIn.
const stallOneIn = 25

// backend is an HTTP backend server. It rejects requests beyond its slots
// with status 503, marked as not run.
type backend struct {
	core.Server
	checker       *checker
	serviceTime   time.Duration // mean time per request
	downloadBytes int
	stalls        bool
	server        *http.Server
	inFlight      atomic.Int64
}

// startBackend starts a backend server on a free loopback port and sets the
// address of s to it.
func startBackend(s core.Server, checker *checker, p plan) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.Address = listener.Addr().String()
	b := &backend{Server: s, checker: checker, serviceTime: p.serviceTime, downloadBytes: p.downloadBytes, stalls: p.stallServers}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Azurering-Exchange", r.Header.Get("Azurering-Exchange"))
	if r.URL.Path == "/health" {
		fmt.Fprintf(w, `{"ready":true,"load":%.2f}`, float64(b.inFlight.Load())/float64(b.Slots))
		return
	}
	inFlight := b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	body, _ := io.ReadAll(r.Body)
	b.checker.recordArrival(b.Server, r, inFlight)
	if inFlight > int64(b.Slots) {
		w.Header().Set("Azurering-Run", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		b.checker.recordExecution(r.Header.Get("Azurering-Workspace") + "/" + key)
	}
	b.process(r.Context())
	text := "answer to " + r.Header.Get(headerRequest) + " " + string(body)
	if strings.HasPrefix(r.URL.Path, "/files") {
		text += strings.Repeat("x", b.downloadBytes)
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}

// process waits for the service time of one request: 50% to 150% of the mean.
// If the backend stalls, one request in stallOneIn takes longer than the
// callers' attempt timeout, so that they retry at another host. It returns at
// once when ctx is done.
func (b *backend) process(ctx context.Context) {
	duration := b.serviceTime/2 + rand.N(b.serviceTime)
	if b.stalls && rand.IntN(stallOneIn) == 0 {
		duration = attemptTimeout * 3 / 2
	}
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// checker records requests that reach backend servers and checks the
// invariants of the system. It is safe for concurrent use.
type checker struct {
	start time.Time

	mu             sync.Mutex
	apiKeys        []string
	violations     []string
	executions     map[string]int             // per workspace and idempotency key
	arrivals       map[string][]time.Duration // per workspace, first arrival of each request ID
	seenRequests   map[string]bool
	drainDeadlines map[core.ServerID]time.Duration // no new requests may arrive later
	overCapacity   int                             // requests that arrived without a free slot
}

func newChecker(workspaces []workspace) *checker {
	c := &checker{
		start: time.Now(), executions: make(map[string]int), arrivals: make(map[string][]time.Duration),
		seenRequests: make(map[string]bool), drainDeadlines: make(map[core.ServerID]time.Duration),
	}
	for _, ws := range workspaces {
		c.apiKeys = append(c.apiKeys, ws.key)
	}
	return c
}

// elapsed returns the time since the start of the run, on which all recorded
// times are based.
func (c *checker) elapsed() time.Duration { return time.Since(c.start) }

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) recordArrival(s core.Server, r *http.Request, inFlight int64) {
	workspace, caller := r.Header.Get("Azurering-Workspace"), r.Header.Get(headerCaller)
	id := r.Header.Get(headerRequest)
	visible := r.URL.String() + fmt.Sprint(r.Header)
	now := c.elapsed()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.apiKeys {
		if strings.Contains(visible, k) {
			c.violations = append(c.violations, fmt.Sprintf("P4: server %s saw a key", s.Name))
		}
	}
	if !strings.HasPrefix(r.URL.Path, "/open") && workspace != caller {
		c.violations = append(c.violations, fmt.Sprintf("P3: a request of %s ran for %s", caller, workspace))
	}
	if inFlight > int64(s.Slots) {
		c.overCapacity++
	}
	if deadline, ok := c.drainDeadlines[s.Name]; ok && now > deadline {
		c.violations = append(c.violations, fmt.Sprintf("P10: drained server %s got new work %s too late", s.Name, now-deadline))
	}
	if !c.seenRequests[id] {
		c.seenRequests[id] = true
		c.arrivals[workspace] = append(c.arrivals[workspace], now)
	}
}

func (c *checker) recordExecution(order string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[order]++
}

// setDrainDeadline sets the time after which a server must get no new requests.
func (c *checker) setDrainDeadline(id core.ServerID, deadline time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainDeadlines[id] = deadline
}

// rateSlack bounds the delay between the admission of a request and its
// arrival at a backend server: the longest wait for a slot including retries.
const rateSlack = 2 * time.Second

// check returns the invariant violations of the whole run. notRun holds the
// orders that were refused as not run, by workspace and idempotency key.
func (c *checker) check(workspaces []workspace, notRun map[string]bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := append([]string(nil), c.violations...)
	for order, n := range c.executions {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("P9: order %s ran %d times", order, n))
		}
		if notRun[order] {
			violations = append(violations, fmt.Sprintf("P8: order %s ran although it was refused as not run", order))
		}
	}
	if c.overCapacity > 0 {
		violations = append(violations, fmt.Sprintf("P2: %d requests came to a server without a free slot", c.overCapacity))
	}
	for _, ws := range workspaces {
		if excess := maxRateExcess(c.arrivals[string(ws.name)], ws); excess > 0 {
			violations = append(violations, fmt.Sprintf("P6: workspace %s was %d requests over its rate and burst", ws.name, excess))
		}
	}
	return violations
}

// maxRateExcess returns the largest number of requests by which any time
// window exceeds the burst plus the rate times the window's length plus
// rateSlack.
func maxRateExcess(arrivals []time.Duration, ws workspace) int {
	level, last, worst := 0.0, time.Duration(0), 0.0
	limit := float64(ws.burst) + float64(ws.rate)*rateSlack.Seconds()
	for _, now := range arrivals {
		level = max(0, level-float64(ws.rate)*(now-last).Seconds()) + 1
		last = now
		worst = max(worst, level-limit)
	}
	return int(worst)
}
