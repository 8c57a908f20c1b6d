package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const siteHost = "loft.example"

var lastRequest atomic.Uint64

// nextID returns a request id.
func nextID() string { return fmt.Sprintf("q%07d", lastRequest.Add(1)) }

// client keeps connections to one host, as clients do.
type client struct {
	w    *world
	to   *machine
	http *http.Client
}

func (w *world) newClient(to *machine) *client {
	return &client{w: w, to: to, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// exchange is a request and its answer.
type exchange struct {
	id     string
	host   string
	sent   time.Time
	status int // 0 without a whole answer
	stamp  string
	err    error
	took   time.Duration
}

// send sends one request and waits for its answer.
func (c *client) send(method, path, key string, limit time.Duration, body string) exchange {
	x := exchange{id: nextID(), host: c.to.name, sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+c.to.front()+path, strings.NewReader(body))
	if err != nil {
		x.err = err
		return x
	}
	req.Host = siteHost
	req.Header.Set("Request-Id", x.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := c.http.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	x.took, x.err = time.Since(x.sent), err
	if err == nil {
		x.status, x.stamp = resp.StatusCode, resp.Header.Get("Server-Stamp")
	}
	c.w.noteAt(x.sent, "send", "id=%s host=%s %s %s key=%s: status=%d stamp=%q after %d ms, error=%v", x.id, x.host, method, path, key, x.status, x.stamp, x.took.Milliseconds(), err)
	return x
}
