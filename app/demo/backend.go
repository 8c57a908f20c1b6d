package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"azurering/core"
)

// The headers by which callers and backend servers of the demo check each
// other.
const (
	headerCaller  = "X-Demo-Caller"  // workspace that the caller belongs to
	headerRequest = "X-Demo-Request" // unique id of the request
)

// stallOne makes one answer in this many a stall.
const stallOne = 25

// backend is one backend server. It sheds what exceeds its slots.
type backend struct {
	core.Server
	audit  *audit
	answer time.Duration
	size   int // bytes of a download
	stall  bool
	server *http.Server
	busy   atomic.Int64
}

// startBackend starts a server on loopback.
func startBackend(s core.Server, a *audit, p plan) (*backend, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.Address = lis.Addr().String()
	b := &backend{Server: s, audit: a, answer: p.answer, size: p.download, stall: p.stall}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = b.server.Serve(lis) }()
	return b, nil
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		fmt.Fprintf(w, `{"ready":true,"load":%.2f}`, float64(b.busy.Load())/float64(b.Slots))
		return
	}
	busy := b.busy.Add(1)
	defer b.busy.Add(-1)
	body, _ := io.ReadAll(r.Body)
	b.audit.arrived(b.Server, r, busy)
	if busy > int64(b.Slots) {
		w.Header().Set("Azurering-Run", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		b.audit.executed(r.Header.Get("Azurering-Workspace") + "/" + key)
	}
	b.work(r.Context())
	text := "answer to " + r.Header.Get(headerRequest) + " " + string(body)
	if strings.HasPrefix(r.URL.Path, "/files") {
		text += strings.Repeat("x", b.size)
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}

// work takes the time of one answer: with stalls, one in stallOne takes
// longer than the patience of callers, who then try again elsewhere.
// It ends at once when the request is cancelled.
func (b *backend) work(ctx context.Context) {
	length := b.answer/2 + rand.N(b.answer)
	if b.stall && rand.IntN(stallOne) == 0 {
		length = patience * 3 / 2
	}
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// audit records what backend servers see, to check what must always hold.
type audit struct {
	start time.Time

	mu       sync.Mutex
	keys     []string
	faults   []string
	orders   map[string]int
	arrivals map[string][]time.Duration // per workspace, one per request id
	seen     map[string]bool
	drained  map[core.ServerID]time.Duration // from when on no new work may come
	over     int
}

func newAudit(list []tenant) *audit {
	a := &audit{
		start: time.Now(), orders: make(map[string]int), arrivals: make(map[string][]time.Duration),
		seen: make(map[string]bool), drained: make(map[core.ServerID]time.Duration),
	}
	for _, t := range list {
		a.keys = append(a.keys, t.key)
	}
	return a
}

func (a *audit) now() time.Duration { return time.Since(a.start) }

func (a *audit) fault(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = append(a.faults, fmt.Sprintf(format, args...))
}

func (a *audit) arrived(s core.Server, r *http.Request, busy int64) {
	workspace, caller := r.Header.Get("Azurering-Workspace"), r.Header.Get(headerCaller)
	id := r.Header.Get(headerRequest)
	all := r.URL.String() + fmt.Sprint(r.Header)
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, k := range a.keys {
		if strings.Contains(all, k) {
			a.faults = append(a.faults, fmt.Sprintf("P4: server %s saw a key", s.Name))
		}
	}
	if !strings.HasPrefix(r.URL.Path, "/open") && workspace != caller {
		a.faults = append(a.faults, fmt.Sprintf("P3: a request of %s ran for %s", caller, workspace))
	}
	if busy > int64(s.Slots) {
		a.over++
	}
	if from, ok := a.drained[s.Name]; ok && now > from {
		a.faults = append(a.faults, fmt.Sprintf("P10: drained server %s got new work %s too late", s.Name, now-from))
	}
	if !a.seen[id] {
		a.seen[id] = true
		a.arrivals[workspace] = append(a.arrivals[workspace], now)
	}
}

func (a *audit) executed(order string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.orders[order]++
}

// drain says that a server may get no new work from the given time on.
func (a *audit) drain(id core.ServerID, from time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drained[id] = from
}

// rateSlack is how much later than its admission a request may arrive: the
// longest wait for a slot with its retries.
const rateSlack = 2 * time.Second

// check returns the violations of the whole run.
func (a *audit) check(list []tenant, notRun map[string]bool) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := append([]string(nil), a.faults...)
	for order, n := range a.orders {
		if n > 1 {
			out = append(out, fmt.Sprintf("P9: order %s ran %d times", order, n))
		}
		if notRun[order] {
			out = append(out, fmt.Sprintf("P8: order %s ran although it was refused as not run", order))
		}
	}
	if a.over > 0 {
		out = append(out, fmt.Sprintf("P2: %d requests came to a server without a free slot", a.over))
	}
	for _, t := range list {
		if worst := overRate(a.arrivals[string(t.name)], t); worst > 0 {
			out = append(out, fmt.Sprintf("P6: workspace %s was %d requests over its rate and burst", t.name, worst))
		}
	}
	return out
}

// overRate returns by how many requests any window exceeds burst plus rate
// times its length, including the slack.
func overRate(at []time.Duration, t tenant) int {
	level, last, worst := 0.0, time.Duration(0), 0.0
	limit := float64(t.burst) + float64(t.rate)*rateSlack.Seconds()
	for _, now := range at {
		level = max(0, level-float64(t.rate)*(now-last).Seconds()) + 1
		last = now
		worst = max(worst, level-limit)
	}
	return int(worst)
}
