package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// kind is what the servers of a service have in common.
type kind struct {
	service   string
	work      time.Duration
	bodyBytes int
	breakNth  int64 // every second server breaks off each nth answer that it gives during the garble; 0 for none
}

// server is a backend server. It follows the protocol: it echoes Request-Id, signs its
// answers, answers 421 to requests for another server and 503 with Not-Executed if it
// is full.
type server struct {
	kind
	id, domain string
	garbles    bool         // breaks off answers during the garble
	garbled    atomic.Int64 // answers given during the garble
	world      *world
	slots      chan struct{}

	mu       sync.Mutex
	sequence int
	address  string
	born     int64
}

// startServer starts a server, which writes its entry every beatPeriod.
func (w *world) startServer(s *server) error {
	l, err := net.Listen("tcp", w.network+".201:0")
	if err != nil {
		return err
	}
	s.world, s.address, s.born = w, l.Addr().String(), time.Now().UnixMilli()
	s.slots = make(chan struct{}, 64)
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	s.register()
	go func() {
		for {
			select {
			case <-w.done:
				return
			case <-time.After(beatPeriod):
				s.register()
			}
		}
	}()
	return nil
}

func (s *server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	entry, _ := json.Marshal(map[string]any{ // strings and numbers always encode
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.domain, "capacity": cap(s.slots)},
		"status": map[string]any{"state": "ready", "sequence": s.sequence, "coldLeftS": 0},
	})
	s.world.store.Put("servers", s.id, entry)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	w.Header().Set("Instance-Id", s.id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.world.record.run(id, s)
	time.Sleep(s.work)
	body := bodyOf(id, s.bodyBytes)
	w.Header().Set("Server-Stamp", s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if s.garbles && s.breakNth > 0 && s.world.garbling.Load() && s.garbled.Add(1)%s.breakNth == 0 {
		s.world.record.brokeOff(id)
		_, _ = w.Write(body[:len(body)*9/10])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body) // the caller may have disconnected
	s.world.record.ended(id)
}

// bodyOf returns the body of the answer to a request.
func bodyOf(id string, size int) []byte {
	b := make([]byte, 0, size+len(id)+1)
	for len(b) < size {
		b = append(b, id...)
		b = append(b, '\n')
	}
	return b[:size]
}

// servers starts a number of equal servers of a service, spread over the domains.
func (w *world) servers(n int, k kind) error {
	for i := range n {
		s := &server{kind: k, id: fmt.Sprintf("i-%s-%d", k.service, i), domain: domains[i%len(domains)], garbles: i%2 == 0}
		if err := w.startServer(s); err != nil {
			return err
		}
	}
	return nil
}
