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
	"os"
	"strings"
	"sync"
	"time"

	"azurering/platform/stand"
)

const (
	connectTimeout = time.Second
	// closeCheck is how long a client looks whether a kept connection was closed.
	closeCheck = time.Millisecond
	apiKey     = "b9wu3fexd9dnn2ctnfzs"
)

// client sends one request at a time on a connection that it keeps.
type client struct {
	w            *world
	zone, region string
	conn         net.Conn
	reader       *bufio.Reader
	addresses    []string
	lookedUp     time.Time
}

// request describes a request of a client.
type request struct {
	method, path string
	order        bool
	bodyBytes    int
	chunked      bool
	answerBytes  int
	limit        time.Duration // how long the client waits
}

// run sends requests until a time, one after another, with a pause between two.
func (c *client) run(until time.Time, pause time.Duration, next func() request) {
	for time.Now().Before(until) {
		c.send(next())
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(pause)))
	}
	c.hangUp()
}

// runClients starts a number of clients and waits for them.
func (w *world) runClients(n int, length, pause time.Duration, next func() request) {
	until := time.Now().Add(length)
	var group sync.WaitGroup
	for i := range n {
		p := places[i%len(places)]
		c := &client{w: w, zone: p.zone, region: p.region}
		group.Go(func() { c.run(until, pause, next) })
	}
	group.Wait()
}

func (c *client) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to a host that the directory names.
func (c *client) connect() error {
	if time.Since(c.lookedUp) > 2*time.Second {
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		defer cancel()
		h := c.w.hosts[rand.IntN(len(c.w.hosts))]
		found, err := stand.Lookup(ctx, fmt.Sprintf("%s:%d", h.ip, lookupPort), c.zone, c.region)
		if err != nil || len(found) == 0 {
			return fmt.Errorf("rig: look-up failed: %w", err)
		}
		c.addresses, c.lookedUp = found, time.Now()
	}
	conn, err := net.DialTimeout("tcp", c.addresses[rand.IntN(len(c.addresses))], connectTimeout)
	if err != nil {
		c.lookedUp = time.Time{}
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// isOpen reports whether the kept connection is still open.
func (c *client) isOpen() bool {
	if c.conn == nil {
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(closeCheck))
	if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.hangUp() // closed, or bytes that nobody asked for
		return false
	}
	return true
}

func (c *client) send(q request) {
	if !c.isOpen() {
		if err := c.connect(); err != nil {
			c.w.rec.note("connect", "%s", err)
			time.Sleep(100 * time.Millisecond)
			return
		}
	}
	s := &sent{id: fmt.Sprintf("%016x", rand.Uint64()), order: q.order}
	s.body = pattern("body of "+s.id, q.bodyBytes)
	c.w.rec.addSent(s)
	err := c.exchange(q, s)
	if err != nil {
		s.answer = err.Error()
		s.gaveUp = errors.Is(err, os.ErrDeadlineExceeded)
		c.hangUp()
	}
	c.w.rec.addAnswer(s)
}

// exchange sends a request and reads its answer. The answer may come before the
// whole request is sent.
func (c *client) exchange(q request, s *sent) error {
	_ = c.conn.SetDeadline(time.Now().Add(q.limit))
	conn := c.conn
	go func() { _, _ = conn.Write(q.bytes(s)) }() // an error shows when the answer is read
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	s.status, s.stamp, s.answerID, s.answered = resp.StatusCode, resp.Header.Get("Server-Stamp"), resp.Header.Get("Request-Id"), c.w.rec.now()
	server, _, _ := strings.Cut(s.stamp, ".")
	switch {
	case s.status != http.StatusOK:
		s.answer = string(body)
	case s.stamp != server+"."+s.id:
		s.answer = fmt.Sprintf("success without the stamp of a server that ran the request; %d bytes of body", len(body))
	default:
		s.answer = difference(body, answerBody(server, s.id, q.answerBytes), true)
	}
	if resp.Close || s.status != http.StatusOK {
		c.hangUp()
	}
	return nil
}

// bytes returns the request as it is sent.
func (q request) bytes(s *sent) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAffinity-Key: %d\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		q.method, q.path, s.id[:4], hostName, s.id, rand.IntN(400), q.limit.Milliseconds(), apiKey)
	switch {
	case q.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := s.body; len(rest) > 0; {
			n := min(len(rest), 64<<10)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		b.WriteString("0\r\n\r\n")
	case q.method == http.MethodPost:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(s.body))
		b.Write(s.body)
	default:
		b.WriteString("\r\n")
	}
	return b.Bytes()
}
