package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"azurering/client"
	"azurering/core"
	"azurering/core/codes"
)

const (
	// demandShare is the part of its rate that a workspace sends.
	demandShare = 0.7
	callTimeout = 8 * time.Second
	// patience is how long a caller waits for one attempt before it tries
	// again, with the same idempotency key, at another host.
	patience  = 2 * time.Second
	maxMicros = 60_000_000
)

// tally counts the outcomes of one workspace and class.
type tally struct {
	sent    int
	done    int
	unknown int
	refused map[codes.Code]int
	latency *hdrhistogram.Histogram
}

type tallyKey struct {
	workspace core.WorkspaceID
	class     core.Class
}

// load is the stream of callers of a run.
type load struct {
	world *world
	seed  uint64
	// clients holds one client per workspace and failure domain, as a van in
	// that domain has.
	clients map[core.WorkspaceID][]*client.Client

	mu      sync.Mutex
	tallies map[tallyKey]*tally
	notRun  map[string]bool // orders refused as not run
	// withdrawn holds from when on a workspace's key must be refused.
	withdrawn map[core.WorkspaceID]time.Duration
	all       sync.WaitGroup
}

func newLoad(w *world, seed uint64) (*load, error) {
	l := &load{
		world: w, seed: seed, clients: make(map[core.WorkspaceID][]*client.Client),
		tallies: make(map[tallyKey]*tally), notRun: make(map[string]bool), withdrawn: make(map[core.WorkspaceID]time.Duration),
	}
	for _, t := range w.tenants {
		n := byte(0)
		for _, r := range w.plan.regions {
			for _, d := range r.Domains {
				n++
				c, err := client.New(client.Config{EntryHosts: w.entries(d), Key: t.key, HTTPClient: callerHTTP(n)})
				if err != nil {
					return nil, err
				}
				l.clients[t.name] = append(l.clients[t.name], c)
			}
		}
	}
	return l, nil
}

// callerHTTP returns an HTTP client whose connections come from the client
// block of the n-th failure domain.
func callerHTTP(n byte) *http.Client {
	dialer := &net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 1, n, 1)}}
	return &http.Client{Timeout: patience, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32}}
}

// run sends requests until the context ends, then waits for those in flight.
func (l *load) run(ctx context.Context) {
	for i, t := range l.world.tenants {
		l.all.Add(1)
		go func() {
			defer l.all.Done()
			l.tenant(ctx, t, rand.New(rand.NewPCG(l.seed, uint64(i))))
		}()
	}
	l.all.Wait()
}

// tenant sends the requests of one workspace at random times.
func (l *load) tenant(ctx context.Context, t tenant, random *rand.Rand) {
	mean := float64(time.Second) / (float64(t.rate) * demandShare)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() * mean)):
		}
		c := l.clients[t.name][random.IntN(len(l.clients[t.name]))]
		class, r := l.request(t, n, random)
		l.all.Add(1)
		go func() {
			defer l.all.Done()
			l.send(c, t, class, r)
		}()
	}
}

func (l *load) request(t tenant, n int, random *rand.Rand) (core.Class, client.Request) {
	id := fmt.Sprintf("%s-%d", t.name, n)
	r := client.Request{Service: string(l.world.plan.desk.name), Header: http.Header{headerCaller: {string(t.name)}, headerRequest: {id}}}
	switch p := random.IntN(100); {
	case p < 70:
		r.Path = "/lookup/" + id
		return core.ClassLookup, r
	case p < 90:
		r.Path, r.Method, r.AtMostOnce, r.Body = "/orders", http.MethodPost, true, []byte("order "+id)
		r.IdempotencyKey = fmt.Sprintf("%d-%s", l.seed, id)
		return core.ClassOrder, r
	default:
		r.Service, r.Path = string(l.world.plan.vault.name), "/files/"+id
		return core.ClassDownload, r
	}
}

func (l *load) send(c *client.Client, t tenant, class core.Class, r client.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	start := l.world.audit.now()
	resp, err := c.Do(ctx, r)
	end := l.world.audit.now()
	id := r.Header.Get(headerRequest)
	if err == nil {
		l.checkAnswer(t, class, r, resp, id)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.tally(t.name, class)
	entry.sent++
	var failed *client.Error
	switch {
	case err == nil:
		entry.done++
		_ = entry.latency.RecordValue((end - start).Microseconds())
		if from, ok := l.withdrawn[t.name]; ok && start > from {
			l.world.audit.fault("P5: a withdrawn key of %s worked %s too late", t.name, start-from)
		}
	case errors.As(err, &failed):
		entry.refused[failed.Code]++
		if failed.RunState == "not-run" && r.AtMostOnce {
			l.notRun[string(t.name)+"/"+r.IdempotencyKey] = true
		}
		if failed.RunState != "not-run" {
			entry.unknown++
		}
	}
}

// checkAnswer checks that an answer is whole and belongs to its request.
func (l *load) checkAnswer(t tenant, class core.Class, r client.Request, resp client.Response, id string) {
	want := "answer to " + id + " " + string(r.Body)
	if class == core.ClassDownload {
		want += strings.Repeat("x", l.world.plan.download)
	}
	if resp.Status != http.StatusOK || string(resp.Body) != want {
		l.world.audit.fault("P7: request %s of %s got status %d and %d bytes, not its own whole answer", id, t.name, resp.Status, len(resp.Body))
	}
}

func (l *load) tally(w core.WorkspaceID, class core.Class) *tally {
	k := tallyKey{w, class}
	if l.tallies[k] == nil {
		l.tallies[k] = &tally{refused: make(map[codes.Code]int), latency: hdrhistogram.New(1, maxMicros, 3)}
	}
	return l.tallies[k]
}

// withdraw says that a workspace's key must be refused from a time on.
func (l *load) withdraw(w core.WorkspaceID, from time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawn[w] = from
}
