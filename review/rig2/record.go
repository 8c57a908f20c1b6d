package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// entry is what is known of one request.
type entry struct {
	id       string
	path     string
	host     string
	conn     string
	sent     time.Time
	runs     []string // servers that ran it
	ranAt    time.Time
	ranEnd   time.Time
	broken   bool // its server broke off
	status   int  // of the answer; 0 if none began
	whole    bool // the answer arrived whole
	answered time.Time
	endAt    time.Time
	end      string // how the connection ended, if it did so before the whole answer
	note     string
}

// record holds all requests of a run.
type record struct {
	mu      sync.Mutex
	entries map[string]*entry
	lines   []string
	begin   time.Time
}

func newRecord() *record { return &record{entries: make(map[string]*entry), begin: time.Now()} }

func (r *record) get(id string) *entry {
	e := r.entries[id]
	if e == nil {
		e = &entry{id: id}
		r.entries[id] = e
	}
	return e
}

// update changes the entry of a request.
func (r *record) update(id string, f func(*entry)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.get(id))
}

func (r *record) run(id string, s *server) {
	r.update(id, func(e *entry) { e.runs, e.ranAt = append(e.runs, s.id), time.Now() })
}

func (r *record) ended(id string)    { r.update(id, func(e *entry) { e.ranEnd = time.Now() }) }
func (r *record) brokeOff(id string) { r.update(id, func(e *entry) { e.broken = true }) }

// logf adds a line with the time to the record.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, args...)
	r.lines = append(r.lines, line)
	fmt.Println(line)
}

func (r *record) seconds(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(r.begin).Seconds())
}

// all returns all entries in the order of sending.
func (r *record) all() []*entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*entry, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].sent.Before(list[j].sent) })
	return list
}

// write writes the record to a file.
func (r *record) write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(f)
	for _, line := range r.lines {
		fmt.Fprintln(out, line)
	}
	for _, e := range r.all() {
		fmt.Fprintf(out, "request=%s path=%s host=%s conn=%s sent=%s ran=%s by=%v ended=%s brokeoff=%t status=%d whole=%t answered=%s end=%q endat=%s %s\n",
			e.id, e.path, e.host, e.conn, r.seconds(e.sent), r.seconds(e.ranAt), e.runs, r.seconds(e.ranEnd), e.broken, e.status, e.whole, r.seconds(e.answered), e.end, r.seconds(e.endAt), e.note)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	return f.Close()
}
