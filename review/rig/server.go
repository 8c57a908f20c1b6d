package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	healthPath = "/health"
	// earlyBytes is how much of a long body a server has read when it answers early.
	earlyBytes = 64 << 10
	// readOnDelay is the time after which it reads on.
	readOnDelay = 150 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	idleTimeout = 10 * time.Second
	// stallBytes is the length after which a stalled answer ends.
	stallBytes = 1200 << 10
	// checkID stands for the ID of health checks, which have none.
	checkID = "health"
)

// Ways in which a server garbles an answer.
const (
	garbleBreak = iota // breaks it off
	garbleSpoil        // sends bytes that are no answer
	garbleAgain        // sends it a second time, where the next answer is expected
)

// serverConfig describes a backend server.
type serverConfig struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	answerBytes       int
	early             bool // answers before it has read a long body, keeps the connection and reads on later
}

// faults says how a server is disturbed. The zero value is a sound server.
type faults struct {
	shed   float64 // share of the requests that it rejects, although it has room
	garble float64 // share of the answers, those to health checks included, that it spoils, breaks off or sends again
	stall  float64 // share of the answers that it truncates, leaving the connection open
	// checks is the share of the answers that it garbles as follows: it sends answers to
	// health checks a second time, late, and breaks off others.
	checks float64
}

// dose counts the answers of a server while it is disturbed, and those that it
// garbled.
type dose struct{ answers, garbled int }

// server is a backend server that speaks the protocol of the pages.
type server struct {
	serverConfig
	w        *world
	listener net.Listener
	full     chan struct{} // one element per request that runs or waits
	slotsIn  chan struct{} // one element per request that runs
	born     int64
	stop     chan struct{}

	mu     sync.Mutex
	faults faults
	dose   dose
	conns  map[net.Conn]bool
}

func startServer(w *world, c serverConfig, ip string) (*server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{
		serverConfig: c, w: w, listener: l, full: make(chan struct{}, c.slots+c.queue), slotsIn: make(chan struct{}, c.slots),
		born: time.Now().UnixMilli(), stop: make(chan struct{}), conns: make(map[net.Conn]bool),
	}
	s.register(1)
	go s.beat()
	go s.accept()
	return s, nil
}

func (s *server) register(sequence int) {
	entry, _ := json.Marshal(map[string]any{ // strings and numbers always encode
		"address": s.listener.Addr().String(), "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "capacity": s.slots},
		"status": map[string]any{"state": "ready", "sequence": sequence, "coldLeftS": 0},
	})
	s.w.store.Put("servers", s.id, entry)
}

func (s *server) beat() {
	for sequence := 2; ; sequence++ {
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeat):
			s.register(sequence)
		}
	}
}

func (s *server) setFaults(f faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.dose = f, dose{}
}

func (s *server) current() faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *server) close() {
	close(s.stop)
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go func() {
			sc := &serverConn{Conn: c, server: s, reader: bufio.NewReader(c)}
			sc.serve()
			_ = c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// enter takes a place in the queue and then a slot. It returns false if the server is
// full.
func (s *server) enter() bool {
	select {
	case s.full <- struct{}{}:
	default:
		return false
	}
	s.slotsIn <- struct{}{}
	return true
}

func (s *server) leave() {
	<-s.slotsIn
	<-s.full
}

// serverConn is a connection to a server. It serves one request at a time.
type serverConn struct {
	net.Conn
	server *server
	reader *bufio.Reader
	late   []byte // second copy of the last answer, sent where the next one is expected
}

// answer is an answer of a server.
type answer struct {
	status int
	header [][2]string
	body   []byte
}

func (a answer) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for _, h := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n", int(idleTimeout.Seconds()), len(a.body))
	b.Write(a.body)
	return b.Bytes()
}

func (c *serverConn) serve() {
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		req, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if c.late != nil {
			_, _ = c.Write(c.late)
			c.late = nil
		}
		if !c.handle(req) {
			return
		}
	}
}

// garblesCheck reports whether a server that garbles the answers to health checks and a
// part of the others garbles an answer. It stays within the dose at any time.
func (s *server) garblesCheck(isCheck bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.checks == 0 {
		return false
	}
	s.dose.answers++
	if float64(s.dose.garbled+1) > s.faults.checks*float64(s.dose.answers) || !isCheck && rand.Float64() > s.faults.checks/2 {
		return false
	}
	s.dose.garbled++
	return true
}

// handle serves one request and reports whether the connection can be used again.
func (c *serverConn) handle(req *http.Request) bool {
	s, id := c.server, req.Header.Get("Request-Id")
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil && c.send(id, answer{status: http.StatusMisdirectedRequest, header: [][2]string{{"Request-Id", id}, {"Instance-Id", s.id}}})
	}
	if req.URL.Path == healthPath {
		return c.handleHealth()
	}
	if id == "" {
		return c.send(id, answer{status: http.StatusBadRequest, header: [][2]string{{"Not-Executed", "1"}}})
	}
	if s.early && (req.ContentLength > earlyBytes || req.ContentLength < 0) {
		return c.handleEarly(req, id)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false // the request is incomplete, and is not run
	}
	return c.serveRequest(id, difference(body, s.w.rec.bodyOf(id), true))
}

func (c *serverConn) handleHealth() bool {
	s := c.server
	if !s.enter() {
		return c.send(checkID, answer{status: http.StatusServiceUnavailable, header: [][2]string{{"Not-Executed", "1"}}})
	}
	defer s.leave()
	return c.send(checkID, answer{status: http.StatusOK, header: [][2]string{{"Instance-Id", s.id}, {"Server-Load", s.load()}}})
}

func (s *server) load() string {
	running := len(s.slotsIn)
	return fmt.Sprintf("%d,%d,%d", running, max(len(s.full)-running, 0), s.slots)
}

// serveRequest runs a request, or rejects it. body tells how its body differs from
// the one sent.
func (c *serverConn) serveRequest(id, body string) bool {
	s := c.server
	if rand.Float64() < s.current().shed || !s.enter() {
		s.w.rec.addShed(id, s.id)
		return c.send(id, answer{status: http.StatusServiceUnavailable, header: [][2]string{{"Request-Id", id}, {"Not-Executed", "1"}}})
	}
	s.w.rec.addRun(execution{id: id, server: s.id, body: body})
	time.Sleep(s.work)
	load := s.load()
	s.leave()
	return c.send(id, answer{
		status: http.StatusOK, header: [][2]string{{"Request-Id", id}, {"Server-Stamp", s.id + "." + id}, {"Server-Load", load}},
		body: answerBody(s.id, id, s.answerBytes),
	})
}

// handleEarly answers before it has read a long body, and reads on later.
func (c *serverConn) handleEarly(req *http.Request, id string) bool {
	want := c.server.w.rec.bodyOf(id)
	read := make([]byte, earlyBytes)
	if _, err := io.ReadFull(req.Body, read); err != nil {
		return false
	}
	if !c.serveRequest(id, difference(read, want, false)) {
		return false
	}
	time.Sleep(readOnDelay)
	buffer := make([]byte, 32<<10)
	for offset := len(read); ; {
		n, err := req.Body.Read(buffer)
		due := want[min(offset, len(want)):min(offset+n, len(want))]
		if d := difference(buffer[:n], due, true); n > 0 && d != "" {
			c.server.w.rec.addForeign(fmt.Sprintf("server=%s body of id=%s from byte %d: %s; it got %.90q", c.server.id, id, offset, d, buffer[:n]))
			return false
		}
		offset += n
		if err != nil {
			return err == io.EOF
		}
	}
}

// send sends an answer, which the faults of the server may spoil.
func (c *serverConn) send(id string, a answer) bool {
	raw := a.bytes()
	s, f := c.server, c.server.current()
	if rand.Float64() < f.stall && len(raw) > stallBytes {
		s.w.rec.addFault(id, s.id, "answer truncated")
		_, _ = c.Write(raw[:stallBytes])
		_, _ = io.Copy(io.Discard, c.reader) // until the host closes the connection
		return false
	}
	kind := -1
	if rand.Float64() < f.garble {
		kind = rand.IntN(3)
	} else if s.garblesCheck(id == checkID) {
		kind = garbleBreak
		if id == checkID {
			kind = garbleAgain
		}
	}
	switch kind {
	case garbleBreak:
		s.w.rec.addFault(id, s.id, "answer broken off")
		_, _ = c.Write(raw[:len(raw)/2])
		return false
	case garbleSpoil:
		s.w.rec.addFault(id, s.id, "answer spoilt")
		_, _ = c.Write(append([]byte("\x00\x01garbled "), raw[:len(raw)/2]...))
		return false
	case garbleAgain:
		s.w.rec.addFault(id, s.id, fmt.Sprintf("answer with status %d sent a second time, late", a.status))
		c.late = raw
	}
	_, err := c.Write(raw)
	return err == nil
}

// difference describes how a body differs from the one sent. Unless whole is set,
// got need only be its beginning.
func difference(got, want []byte, whole bool) string {
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			return fmt.Sprintf("differs from byte %d on (%d bytes, sent were %d)", i, len(got), len(want))
		}
	}
	if len(got) > len(want) || whole && len(got) < len(want) {
		return fmt.Sprintf("has %d bytes, sent were %d", len(got), len(want))
	}
	return ""
}

// answerBody returns the body of a server's answer to a request.
func answerBody(server, id string, n int) []byte {
	return pattern(server+"/"+id, n)
}

// pattern returns n bytes that tell what they belong to.
func pattern(name string, n int) []byte {
	line := []byte(name + "\n")
	return bytes.Repeat(line, n/len(line)+1)[:n]
}
