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
	// demandRatio is the mean request rate of a workspace relative to its limit.
	demandRatio = 0.7
	callTimeout = 8 * time.Second
	// attemptTimeout bounds one attempt of a call. The client then retries with
	// the same idempotency key at another host.
	attemptTimeout   = 2 * time.Second
	maxLatencyMicros = 60_000_000
)

// outcomes counts the requests of one workspace and class by outcome.
type outcomes struct {
	sent     int
	answered int
	unknown  int // failed without proof that the request did not run
	refused  map[codes.Code]int
	latency  *hdrhistogram.Histogram // of answered requests, microseconds
}

type outcomeKey struct {
	workspace core.WorkspaceID
	class     core.Class
}

// loadGenerator sends the callers' requests of a run and checks the responses.
type loadGenerator struct {
	cluster *cluster
	seed    uint64
	// clients holds, for each workspace, one client per failure domain, so that
	// each workspace has callers in all of them.
	clients map[core.WorkspaceID][]*client.Client

	mu       sync.Mutex
	outcomes map[outcomeKey]*outcomes
	notRun   map[string]bool // orders refused as not run, by workspace and idempotency key
	// withdrawalDeadlines holds the time after which each withdrawn key must be
	// refused.
	withdrawalDeadlines map[core.WorkspaceID]time.Duration
	inFlight            sync.WaitGroup
}

func newLoadGenerator(cluster *cluster, seed uint64) (*loadGenerator, error) {
	l := &loadGenerator{
		cluster: cluster, seed: seed, clients: make(map[core.WorkspaceID][]*client.Client),
		outcomes: make(map[outcomeKey]*outcomes), notRun: make(map[string]bool), withdrawalDeadlines: make(map[core.WorkspaceID]time.Duration),
	}
	for _, ws := range cluster.workspaces {
		block := byte(0)
		for _, r := range cluster.plan.regions {
			for _, d := range r.Domains {
				block++
				caller, err := client.New(client.Config{EntryHosts: cluster.callerAddresses(d), Key: ws.key, HTTPClient: newCallerHTTPClient(block)})
				if err != nil {
					return nil, err
				}
				l.clients[ws.name] = append(l.clients[ws.name], caller)
			}
		}
	}
	return l, nil
}

// newCallerHTTPClient returns an HTTP client that connects from the address
// block of a failure domain, counted from 1.
func newCallerHTTPClient(block byte) *http.Client {
	dialer := &net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 1, block, 1)}}
	return &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32}}
}

// run sends requests until the context is done, then waits for those in flight.
func (l *loadGenerator) run(ctx context.Context) {
	for i, ws := range l.cluster.workspaces {
		l.inFlight.Add(1)
		go func() {
			defer l.inFlight.Done()
			l.runWorkspace(ctx, ws, rand.New(rand.NewPCG(l.seed, uint64(i))))
		}()
	}
	l.inFlight.Wait()
}

// runWorkspace sends the requests of one workspace as a Poisson process.
func (l *loadGenerator) runWorkspace(ctx context.Context, ws workspace, random *rand.Rand) {
	meanGap := float64(time.Second) / (float64(ws.rate) * demandRatio)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() * meanGap)):
		}
		c := l.clients[ws.name][random.IntN(len(l.clients[ws.name]))]
		class, r := l.newRequest(ws, n, random)
		l.inFlight.Add(1)
		go func() {
			defer l.inFlight.Done()
			l.send(c, ws, class, r)
		}()
	}
}

// newRequest returns the n-th request of a workspace: 70% lookups, 20% orders
// and 10% downloads.
func (l *loadGenerator) newRequest(ws workspace, n int, random *rand.Rand) (core.Class, client.Request) {
	id := fmt.Sprintf("%s-%d", ws.name, n)
	r := client.Request{Service: string(l.cluster.plan.apiService.name), Header: http.Header{headerCaller: {string(ws.name)}, headerRequest: {id}}}
	switch percentile := random.IntN(100); {
	case percentile < 70:
		r.Path = "/lookup/" + id
		return core.ClassLookup, r
	case percentile < 90:
		r.Path, r.Method, r.AtMostOnce, r.Body = "/orders", http.MethodPost, true, []byte("order "+id)
		r.IdempotencyKey = fmt.Sprintf("%d-%s", l.seed, id)
		return core.ClassOrder, r
	default:
		r.Service, r.Path = string(l.cluster.plan.fileService.name), "/files/"+id
		return core.ClassDownload, r
	}
}

// send sends a request, checks the response and records the outcome.
func (l *loadGenerator) send(c *client.Client, ws workspace, class core.Class, r client.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	start := l.cluster.checker.elapsed()
	resp, err := c.Do(ctx, r)
	end := l.cluster.checker.elapsed()
	id := r.Header.Get(headerRequest)
	if err == nil {
		l.checkAnswer(ws, class, r, resp, id)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.outcomesFor(ws.name, class)
	counts.sent++
	var clientErr *client.Error
	switch {
	case err == nil:
		counts.answered++
		_ = counts.latency.RecordValue((end - start).Microseconds())
		if deadline, ok := l.withdrawalDeadlines[ws.name]; ok && start > deadline {
			l.cluster.checker.addViolation("P5: a withdrawn key of %s worked %s too late", ws.name, start-deadline)
		}
	case errors.As(err, &clientErr):
		counts.refused[clientErr.Code]++
		if clientErr.RunState == "not-run" && r.AtMostOnce {
			l.notRun[string(ws.name)+"/"+r.IdempotencyKey] = true
		}
		if clientErr.RunState != "not-run" {
			counts.unknown++
		}
	}
}

// checkAnswer records a violation unless the response is complete and belongs
// to the request.
func (l *loadGenerator) checkAnswer(ws workspace, class core.Class, r client.Request, resp client.Response, id string) {
	expected := "answer to " + id + " " + string(r.Body)
	if class == core.ClassDownload {
		expected += strings.Repeat("x", l.cluster.plan.downloadBytes)
	}
	if resp.Status != http.StatusOK || string(resp.Body) != expected {
		l.cluster.checker.addViolation("P7: request %s of %s got status %d and %d bytes, not its own complete response", id, ws.name, resp.Status, len(resp.Body))
	}
}

// outcomesFor returns the counters of a workspace and class. The caller holds mu.
func (l *loadGenerator) outcomesFor(w core.WorkspaceID, class core.Class) *outcomes {
	k := outcomeKey{w, class}
	if l.outcomes[k] == nil {
		l.outcomes[k] = &outcomes{refused: make(map[codes.Code]int), latency: hdrhistogram.New(1, maxLatencyMicros, 3)}
	}
	return l.outcomes[k]
}

// setWithdrawalDeadline sets the time after which a workspace's key must be
// refused.
func (l *loadGenerator) setWithdrawalDeadline(w core.WorkspaceID, deadline time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawalDeadlines[w] = deadline
}
