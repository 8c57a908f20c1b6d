package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases[13] = playFlood }

const (
	uploads     = 12                      // orders with long bodies
	uploadBytes = 2 << 20                 // of a body; the configuration allows 64 MiB
	uploadWork  = 3400 * time.Millisecond // the longest of the site is 3480 ms
	floodConns  = 3000
)

// playFlood sends orders with long bodies, and while servers work on them, very many
// clients begin requests in chunks and stop just short of their end.
func playFlood(w *world, trouble bool) (bool, error) {
	if err := w.startServers(2, 8, 30*time.Millisecond); err != nil {
		return false, err
	}
	for _, s := range w.servers {
		s.work = func(r *http.Request) time.Duration {
			if r.Method == http.MethodPost {
				return uploadWork
			}
			return 30 * time.Millisecond
		}
	}
	config := usualConfig(newTenant("large", 0, 0, "key-large"))
	config[1].Spec["timeoutS"], config[1].Spec["latencyTargetS"] = 8.0, 6.0
	if _, err := w.publish(3, config); err != nil {
		return false, err
	}
	m, err := w.newMachine("kushiro", true, usualLimits)
	if err != nil {
		return false, err
	}
	if err := startAll(m); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	results := make([]upload, uploads)
	for n := range results {
		group.Go(func() { results[n] = w.upload(m) })
	}
	time.Sleep(1500 * time.Millisecond)
	f := &flood{w: w, to: m, stop: make(chan struct{})}
	if trouble {
		w.note("flood", "%d clients begin", floodConns)
		f.start(floodConns)
	}
	group.Wait()
	close(f.stop)
	f.group.Wait()
	w.note("flood", "connected=%d failed=%d answered=%v", f.connected.Load(), f.failed.Load(), f.answered.Load())
	ran := make(map[string]arrival)
	for _, a := range w.allRuns() {
		ran[a.id] = a
	}
	lost := 0
	for _, u := range results {
		a, ok := ran[u.id]
		w.note("judge", "id=%s passed on=%t finished=%t answered=%d error=%v", u.id, ok, ok && !a.ended.IsZero() && !a.cancelled, u.status, u.err)
		if ok && u.status == 0 {
			lost++
		}
	}
	w.note("judge", "%d orders were passed on to sound servers, and their kept connections were closed without an answer; at most 3 may", lost)
	return lost > 3, nil
}

// upload is an order with a long body.
type upload struct {
	id     string
	status int // 0 without a whole answer
	err    error
}

// upload sends a short request and then an order with a long body on one connection.
func (w *world) upload(to *machine) (u upload) {
	c, err := net.Dial("tcp", to.front())
	if err != nil {
		return upload{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(c)
	head := func(method, path, id string, size int) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer key-large\r\nContent-Length: %d\r\n\r\n", method, path, siteHost, id, size)
	}
	read := func() (int, error) {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0, err
		}
		defer func() { _ = resp.Body.Close() }()
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			return 0, err
		}
		return resp.StatusCode, nil
	}
	first := nextID()
	if _, err = io.WriteString(c, head("GET", "/lookup/queue", first, 0)); err != nil {
		return upload{id: first, err: err}
	}
	status, err := read()
	w.note("send", "id=%s host=%s GET on a new connection: status=%d error=%v", first, to.name, status, err)
	u = upload{id: nextID()}
	sent := time.Now()
	if _, u.err = io.WriteString(c, head("POST", "/order/new", u.id, uploadBytes)); u.err == nil {
		_, u.err = c.Write(bytes.Repeat([]byte("x"), uploadBytes))
	}
	w.note("sent", "id=%s host=%s POST of %d bytes on the same connection, written after %d ms, error=%v", u.id, to.name, uploadBytes, time.Since(sent).Milliseconds(), u.err)
	if u.err == nil {
		u.status, u.err = read()
	}
	w.noteAt(sent, "send", "id=%s host=%s status=%d after %d ms, error=%v", u.id, to.name, u.status, time.Since(sent).Milliseconds(), u.err)
	return u
}

// flood is the clients that do not behave.
type flood struct {
	w     *world
	to    *machine
	stop  chan struct{}
	group sync.WaitGroup

	connected, failed, answered atomic.Int64
}

func (f *flood) start(conns int) {
	for range conns {
		f.group.Go(f.client)
	}
}

// client sends a request in small chunks, stops short of its end and stays.
func (f *flood) client() {
	c, err := net.DialTimeout("tcp", f.to.front(), 5*time.Second)
	if err != nil {
		f.failed.Add(1)
		return
	}
	defer func() { _ = c.Close() }()
	f.connected.Add(1)
	id := nextID()
	_, _ = fmt.Fprintf(c, "POST /order/new HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer key-large\r\nTransfer-Encoding: chunked\r\n\r\n", siteHost, id)
	for range 20 {
		_, _ = io.WriteString(c, "40\r\n"+string(bytes.Repeat([]byte("y"), 64))+"\r\n")
	}
	answer := make(chan struct{})
	go func() {
		defer close(answer)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_ = resp.Body.Close()
			f.answered.Add(1)
		}
	}()
	<-f.stop
	_ = c.Close()
	<-answer
}
