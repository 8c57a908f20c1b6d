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
	requestLimit  = 4 * time.Second
	lookupTimeout = time.Second
	lookupTries   = 3
)

// attempt is one request that a caller sent, and what became of it.
type attempt struct {
	id        string
	route     string
	workspace string
	key       int
	host      int // index
	boot      int // of the process that got it; 0 if it changed meanwhile
	sent      time.Time
	done      time.Time
	status    int // 0 if the connection ended without an answer
	server    string
	wrong     string // what is wrong with the answer
}

// journal holds what callers saw. It is safe for concurrent use.
type journal struct {
	mu       sync.Mutex
	attempts []attempt
}

func (j *journal) add(a attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts = append(j.attempts, a)
}

func (j *journal) list() []attempt {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]attempt(nil), j.attempts...)
}

var numbers atomic.Int64

// caller sends requests over one connection at a time, for as long as the
// connection lasts.
type caller struct {
	world  *world
	rand   *rand.Rand
	domain string

	host   int
	conn   net.Conn
	reader *bufio.Reader
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context, j *journal) {
	defer c.hangUp()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect(ctx) {
			wait(ctx, 50*time.Millisecond)
			continue
		}
		j.add(c.send(c.draw()))
		wait(ctx, time.Duration(2+c.rand.IntN(30))*time.Millisecond)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect asks hosts for an address and connects to it.
func (c *caller) connect(ctx context.Context) bool {
	for range lookupTries {
		h := c.world.hosts[c.rand.IntN(len(c.world.hosts))]
		short, cancel := context.WithTimeout(ctx, lookupTimeout)
		addresses, err := stand.Lookup(short, h.Address(lookupPort), c.domain, regions[c.domain])
		cancel()
		if err != nil || len(addresses) == 0 {
			continue
		}
		address := addresses[c.rand.IntN(len(addresses))]
		for i, h := range c.world.hosts {
			if h.Address(callerPort) != address {
				continue
			}
			conn, err := net.DialTimeout("tcp", h.callers.address(), lookupTimeout)
			if err != nil {
				continue
			}
			c.host, c.conn, c.reader = i, conn, bufio.NewReader(conn)
			return true
		}
	}
	return false
}

// draw returns a new request. A few have keys that were withdrawn.
func (c *caller) draw() attempt {
	a := attempt{id: fmt.Sprintf("r%d", numbers.Add(1)), workspace: "large", key: c.world.newestKey()}
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

// send sends a request and reads its answer.
func (c *caller) send(a attempt) attempt {
	h := c.world.hosts[c.host]
	r := stand.Request{
		ID: a.id, Method: http.MethodGet, Path: fmt.Sprintf("/%s/x?n=%s", a.route, a.id), AffinityKey: fmt.Sprint(c.rand.IntN(20)),
		Key: keyOf(a.workspace, a.key), Timeout: requestLimit,
	}
	if a.route == "order" {
		r.Method, r.Body = http.MethodPost, "order "+a.id
	}
	a.host, a.boot, a.sent = c.host, h.currentBoot(), time.Now()
	answer, keep, err := c.exchange(r)
	a.done = time.Now()
	if err != nil || !keep {
		c.hangUp()
	}
	if err != nil {
		return a
	}
	if h.currentBoot() != a.boot {
		a.boot = 0
	}
	a.status, a.server = answer.Status, answer.Server
	if a.status == http.StatusOK && answer.Body != stand.Body(answer.Server, a.id) {
		a.wrong = fmt.Sprintf("body %q signed by %q", answer.Body, answer.Server)
	}
	return a
}

// exchange reports whether the connection may be used again.
func (c *caller) exchange(r stand.Request) (answer stand.Response, keep bool, err error) {
	req, err := r.HTTP(hostName, hostName)
	if err != nil {
		return answer, false, err
	}
	_ = c.conn.SetDeadline(time.Now().Add(requestLimit + time.Second)) // a closed connection fails below
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
