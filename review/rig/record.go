package main

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

// sent is a request as a client sent it, and what came back.
type sent struct {
	id       string
	order    bool // must not run more than once
	body     []byte
	at       time.Duration
	answered time.Duration // 0 if no complete answer came
	status   int           // 0 if no complete answer came
	stamp    string
	answerID string
	answer   string // body of a successful answer, or its error
	gaveUp   bool   // the client closed the connection at its time limit
}

// execution is a request that a server began to work on.
type execution struct {
	id     string
	server string
	at     time.Duration
	body   string // how the body differs from the one sent; empty if it does not
}

// record holds all that clients and servers saw, and writes it to a file. It is
// safe for concurrent use.
type record struct {
	start time.Time

	mu       sync.Mutex
	out      *bufio.Writer
	requests map[string]*sent
	runs     []execution
	sheds    map[string]int // rejections with Not-Executed, by request
	faults   int            // answers that servers spoilt, repeated or broke off
	foreign  []string       // bytes at servers where the rest of a body was due
}

// newRecord returns the record of a case.
func newRecord(name string, file io.Writer) *record {
	r := &record{start: time.Now(), out: bufio.NewWriter(file), requests: make(map[string]*sent), sheds: make(map[string]int)}
	r.note("case", "%s", name)
	return r
}

func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

func (r *record) now() time.Duration { return time.Since(r.start) }

// write writes a line. r.mu must be held.
func (r *record) write(event, format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f %-8s %s\n", r.now().Seconds(), event, fmt.Sprintf(format, args...))
}

func (r *record) note(event, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(event, format, args...)
}

func (r *record) addSent(s *sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.at = r.now()
	r.requests[s.id] = s
	r.write("sent", "id=%s order=%t body=%d", s.id, s.order, len(s.body))
}

// addAnswer records the end of a request at its client.
func (r *record) addAnswer(s *sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("answer", "id=%s status=%d stamp=%q answered=%s took=%.3f gaveup=%t text=%.80q", s.id, s.status, s.stamp, s.answerID, (r.now() - s.at).Seconds(), s.gaveUp, s.answer)
}

// bodyOf returns the body that was sent with an ID.
func (r *record) bodyOf(id string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.requests[id]; s != nil {
		return s.body
	}
	return nil
}

func (r *record) addRun(e execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.at = r.now()
	r.runs = append(r.runs, e)
	r.write("run", "id=%s server=%s %s", e.id, e.server, e.body)
}

func (r *record) addShed(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sheds[id]++
	r.write("shed", "id=%s server=%s", id, server)
}

func (r *record) addFault(id, server, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults++
	r.write("fault", "id=%s server=%s %s", id, server, what)
}

func (r *record) addForeign(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.foreign = append(r.foreign, text)
	r.write("foreign", "%s", text)
}

func (r *record) counts() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	answers := make(map[int]int)
	for _, s := range r.requests {
		answers[s.status]++
	}
	return fmt.Sprintf("sent=%d runs=%d sheds=%d spoilt=%d answers by status (0: none)=%v", len(r.requests), len(r.runs), len(r.sheds), r.faults, answers)
}
