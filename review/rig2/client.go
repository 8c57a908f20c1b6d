package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"azurering/platform/stand"
)

const (
	clientDelay  = 3 * time.Millisecond // one way, between clients and hosts
	deadlineMs   = 4000
	chunkBytes   = 8 << 10
	requestGap   = time.Millisecond
	maxPipelined = 8
)

var lastRequest atomic.Int64

func newID() string { return fmt.Sprintf("%016x", lastRequest.Add(1)+0x51000000) }

// directory is what clients know of the hosts, as the hosts' look-ups say.
type directory struct {
	mu        sync.Mutex
	addresses map[string][]string // by domain
}

// run asks the hosts once a second until the world ends.
func (d *directory) run(w *world) {
	for {
		for _, domain := range domains {
			for _, i := range rand.Perm(len(w.hosts)) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				list, err := stand.Lookup(ctx, w.hosts[i].Address(lookupPort), domain, regions[domain])
				cancel()
				if err == nil && len(list) > 0 {
					d.mu.Lock()
					d.addresses[domain] = list
					d.mu.Unlock()
					break
				}
			}
		}
		select {
		case <-w.done:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns an address for a client of a domain.
func (d *directory) pick(domain string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.addresses[domain]
	if len(list) == 0 {
		return ""
	}
	return list[rand.IntN(len(list))]
}

// lists reports whether an address is still named for a domain.
func (d *directory) lists(domain, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.addresses[domain] {
		if a == address {
			return true
		}
	}
	return false
}

// chunk is a piece of bytes, or the end of a direction, and when it arrives.
type chunk struct {
	at    time.Time
	bytes []byte
	err   error
}

// delayed is a TCP connection at the end of a link with a delay and a bandwidth.
type delayed struct {
	net.Conn
	in, out chan chunk
	rest    []byte
	err     error
}

// dialDelayed connects to a host over a link of a number of bytes per second.
func dialDelayed(address string, bytesPerSecond float64) (*delayed, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	_ = c.(*net.TCPConn).SetReadBuffer(2 * chunkBytes)
	d := &delayed{Conn: c, in: make(chan chunk, 1<<12), out: make(chan chunk, 1<<10)}
	go func() {
		for {
			b := make([]byte, chunkBytes)
			n, err := c.Read(b)
			d.in <- chunk{at: time.Now().Add(clientDelay), bytes: b[:n], err: err}
			if err != nil {
				return
			}
			time.Sleep(time.Duration(float64(n) / bytesPerSecond * float64(time.Second)))
		}
	}()
	go func() {
		for x := range d.out {
			time.Sleep(time.Until(x.at))
			if _, err := c.Write(x.bytes); err != nil {
				return
			}
		}
	}()
	return d, nil
}

// Read implements io.Reader.
func (d *delayed) Read(p []byte) (int, error) {
	if len(d.rest) == 0 && d.err == nil {
		x := <-d.in
		time.Sleep(time.Until(x.at))
		d.rest, d.err = x.bytes, x.err
	}
	if len(d.rest) > 0 {
		n := copy(p, d.rest)
		d.rest = d.rest[n:]
		return n, nil
	}
	return 0, d.err
}

// send sends bytes without waiting.
func (d *delayed) send(b []byte) {
	select {
	case d.out <- chunk{at: time.Now().Add(clientDelay), bytes: b}:
	default:
	}
}

// client is a connection on which idempotent requests are pipelined.
type client struct {
	world   *world
	name    string
	address string
	conn    *delayed
	sizes   map[string]int // body sizes by path

	mu          sync.Mutex
	outstanding []string // ids of the requests without an answer, in order
	closing     bool     // an answer said that the connection closes, or it has ended
}

// request sends one request, unless the connection closes.
func (c *client) request(path string) bool {
	id := newID()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || len(c.outstanding) >= maxPipelined {
		return false
	}
	c.outstanding = append(c.outstanding, id)
	c.world.record.update(id, func(e *entry) { e.path, e.host, e.conn, e.sent = path, c.address, c.name, time.Now() })
	c.conn.send([]byte(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, hostName, id, deadlineMs)))
	return true
}

// idle reports whether the connection may be given up: nothing is outstanding.
func (c *client) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.outstanding) == 0
}

func (c *client) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// readAnswers reads answers until the connection ends.
func (c *client) readAnswers() {
	reader := bufio.NewReader(c.conn)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			c.finish(err)
			return
		}
		c.mu.Lock()
		c.closing = c.closing || resp.Close
		id := ""
		if len(c.outstanding) > 0 {
			id = c.outstanding[0]
		}
		c.mu.Unlock()
		c.world.record.update(id, func(e *entry) { e.status = resp.StatusCode })
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			c.finish(err)
			return
		}
		c.world.record.update(id, func(e *entry) {
			e.whole, e.answered = true, time.Now()
			if resp.StatusCode == http.StatusOK && !bytes.Equal(body, bodyOf(id, c.sizes[e.path])) {
				e.note = "WRONG-BODY"
			}
		})
		c.mu.Lock()
		c.outstanding = c.outstanding[1:]
		c.mu.Unlock()
		if resp.Close {
			c.finish(errors.New("closed as announced"))
			return
		}
	}
}

// finish records how the connection ended for the requests without a whole answer.
func (c *client) finish(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for _, id := range c.outstanding {
		c.world.record.update(id, func(e *entry) { e.end, e.endAt = err.Error(), time.Now() })
	}
	_ = c.conn.Close()
	close(c.conn.out)
	c.conn.out = make(chan chunk, 1) // for sends that come too late
}
