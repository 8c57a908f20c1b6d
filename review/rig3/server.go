package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	serverHeartbeat = 1500 * time.Millisecond
	retryInterval   = 300 * time.Millisecond // of a heartbeat that the store did not take
)

// arrival is a request that a server began to work on.
type arrival struct {
	id, server, tenant string
	at                 time.Time
	ended              time.Time // zero while it runs
	cancelled          bool      // its connection was closed before the answer
}

// server is a stand-in of a backend server.
type server struct {
	w        *world
	id       string
	service  string
	zone     string
	capacity int
	work     func(r *http.Request) time.Duration
	body     func(r *http.Request) []byte

	listener net.Listener
	born     int64
	sequence int
	slots    chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64
	stop     chan struct{}
}

// startServer starts a server and registers it in the store.
func (w *world) startServer(id, service, zone string, capacity int, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", w.address(serverHost, 0))
	if err != nil {
		return nil, err
	}
	s := &server{
		w: w, id: id, service: service, zone: zone, capacity: capacity, listener: l, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, capacity), stop: make(chan struct{}),
		work: func(*http.Request) time.Duration { return work },
	}
	s.body = func(r *http.Request) []byte {
		return []byte("answer of " + id + " to " + r.Header.Get("Request-Id"))
	}
	go func() { _ = http.Serve(l, s) }()
	s.heartbeat(true)
	go s.run()
	w.servers = append(w.servers, s)
	w.note("server", "id=%s service=%s zone=%s address=%s", id, service, zone, l.Addr())
	return s, nil
}

// run writes heartbeats. One that the store did not take is written again soon.
func (s *server) run() {
	wait := rand.N(serverHeartbeat) // the heartbeats of the servers are spread
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(wait):
		}
		wait = serverHeartbeat
		if !s.heartbeat(false) {
			wait = retryInterval
		}
	}
}

func (s *server) heartbeat(changes bool) bool {
	s.sequence++
	entry, _ := json.Marshal(map[string]any{ // strings and numbers always encode
		"address": s.listener.Addr().String(), "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "capacity": s.capacity},
		"status": map[string]any{"state": "ready", "sequence": s.sequence, "coldLeftS": 0},
	})
	return s.w.store.putHeartbeat(s.id, entry, changes)
}

func (s *server) close() {
	close(s.stop)
	_ = s.listener.Close()
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	h.Set("Keep-Alive", "timeout=10")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		h.Set("Instance-Id", s.id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.waiting.Add(1) > int64(4*s.capacity) {
		s.waiting.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	s.running.Add(1)
	defer func() {
		s.running.Add(-1)
		<-s.slots
	}()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), s.capacity))
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request did not arrive whole, and is not run
	}
	a := s.w.ran(arrival{id: r.Header.Get("Request-Id"), server: s.id, tenant: r.Header.Get("Tenant-Id"), at: time.Now()})
	select {
	case <-time.After(s.work(r)):
		s.w.ended(a, false)
	case <-r.Context().Done():
		s.w.ended(a, true)
		panic(http.ErrAbortHandler)
	}
	body := s.body(r)
	h.Set("Server-Stamp", s.id+"."+r.Header.Get("Request-Id"))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the host may have left
}

// runs holds what the servers ran.
type runs struct {
	mu   sync.Mutex
	list []arrival
}

// ran records that a request runs, and returns its number.
func (w *world) ran(a arrival) int {
	w.note("run", "id=%s server=%s tenant=%s", a.id, a.server, a.tenant)
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	w.runs.list = append(w.runs.list, a)
	return len(w.runs.list) - 1
}

func (w *world) ended(n int, cancelled bool) {
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	w.runs.list[n].ended, w.runs.list[n].cancelled = time.Now(), cancelled
	if cancelled {
		w.note("cancel", "id=%s server=%s", w.runs.list[n].id, w.runs.list[n].server)
	}
}

// allRuns returns a copy of what the servers ran so far.
func (w *world) allRuns() []arrival {
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	return append([]arrival(nil), w.runs.list...)
}
