package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"azurering/platform/stand"
)

const (
	requestTimeout = 4 * time.Second
	lookupTimeout  = time.Second
	lookupAttempts = 3
)

// attempt is a request of a caller and its outcome.
type attempt struct {
	id        string
	route     string
	workspace string
	key       int // number of the API key
	host      int // index in cluster.hosts
	boot      int // of the host's process; 0 if it restarted during the request
	sentAt    time.Time
	endedAt   time.Time
	status    int // 0 if the connection ended without a response
	server    string
	mismatch  string // how the response differs from the expected one; empty if it does not
}

// attemptLog records the attempts of all callers. It is safe for concurrent use.
type attemptLog struct {
	mu       sync.Mutex
	attempts []attempt
}

func (l *attemptLog) add(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

func (l *attemptLog) snapshot() []attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]attempt(nil), l.attempts...)
}

var lastRequestID atomic.Int64

// caller sends requests one at a time over a connection, which it keeps until it
// fails or is closed.
type caller struct {
	cluster *cluster
	rand    *rand.Rand
	domain  string

	host   int
	conn   net.Conn
	reader *bufio.Reader
}

// run sends requests until the context is done.
func (c *caller) run(ctx context.Context, log *attemptLog) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect(ctx) {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		log.add(c.send(c.newAttempt()))
		sleep(ctx, time.Duration(2+c.rand.IntN(30))*time.Millisecond)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect looks up the address of an entry host and connects to it. It reports
// whether it is connected.
func (c *caller) connect(ctx context.Context) bool {
	for range lookupAttempts {
		h := c.cluster.hosts[c.rand.IntN(len(c.cluster.hosts))]
		lookupCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
		addresses, err := stand.Lookup(lookupCtx, h.Address(lookupPort), c.domain, regions[c.domain])
		cancel()
		if err != nil || len(addresses) == 0 {
			continue
		}
		address := addresses[c.rand.IntN(len(addresses))]
		for i, h := range c.cluster.hosts {
			if h.Address(callerPort) != address {
				continue
			}
			conn, err := net.DialTimeout("tcp", h.callerLink.address(), lookupTimeout)
			if err != nil {
				continue
			}
			c.host, c.conn, c.reader = i, conn, bufio.NewReader(conn)
			return true
		}
	}
	return false
}

// newAttempt returns a random request. Some use an older key, which may be
// withdrawn.
func (c *caller) newAttempt() attempt {
	a := attempt{id: fmt.Sprintf("r%d", lastRequestID.Add(1)), workspace: "large", key: c.cluster.newestKey()}
	switch n := c.rand.IntN(10); {
	case n < 5:
		a.route = "lookup"
	case n < 8:
		a.route = "order"
	case n < 9:
		a.route = "fetch"
	default:
		a.route = "home"
	}
	if c.rand.IntN(3) == 0 {
		a.workspace = "small"
	}
	if c.rand.IntN(12) == 0 {
		a.key -= 1 + c.rand.IntN(3)
	}
	return a
}

// send sends a request and returns the attempt with its outcome.
func (c *caller) send(a attempt) attempt {
	h := c.cluster.hosts[c.host]
	r := stand.Request{
		ID: a.id, Method: http.MethodGet, Path: fmt.Sprintf("/%s/x?n=%s", a.route, a.id), AffinityKey: fmt.Sprint(c.rand.IntN(20)),
		Key: apiKey(a.workspace, a.key), Timeout: requestTimeout,
	}
	if a.route == "order" {
		r.Method, r.Body = http.MethodPost, "order "+a.id
	}
	a.host, a.boot, a.sentAt = c.host, h.currentBoot(), time.Now()
	answer, reusable, err := c.roundTrip(r)
	a.endedAt = time.Now()
	if err != nil || !reusable {
		c.disconnect()
	}
	if err != nil {
		return a
	}
	if h.currentBoot() != a.boot {
		a.boot = 0
	}
	a.status, a.server = answer.Status, answer.Server
	if a.status == http.StatusOK && answer.Body != stand.Body(answer.Server, a.id) {
		a.mismatch = fmt.Sprintf("body %q signed by %q", answer.Body, answer.Server)
	}
	return a
}

// roundTrip sends a request and reads the response. It reports whether the
// connection can be reused.
func (c *caller) roundTrip(r stand.Request) (answer stand.Response, reusable bool, err error) {
	req, err := r.HTTP(hostName, hostName)
	if err != nil {
		return answer, false, err
	}
	_ = c.conn.SetDeadline(time.Now().Add(requestTimeout + time.Second)) // on a closed connection, the write below fails
	if err := req.Write(c.conn); err != nil {
		return answer, false, err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return answer, false, err
	}
	answer, err = stand.ReadResponse(resp)
	return answer, !resp.Close, err
}
