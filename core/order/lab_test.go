package order_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/order"
	"azurering/core/timer"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// simCluster is a cluster of hosts that share one fake table, with a backend
// that counts executions. It runs in a synctest bubble.
type simCluster struct {
	t     *testing.T
	table fakes.Table
	objs  fakes.Objects
	net   fakes.Network
	timer *timer.Manual
	start time.Time

	mu             sync.Mutex
	hosts          map[core.HostID]*host
	delayedCommits [][]core.Write // commits that have not reached the table yet
	runsByKey      map[string]int // executions per key
	runsByAttempt  map[int]int    // executions per attempt
	attempts       []*attempt
}

// host is one run of an entry host. It is the core.Table of its Orders.
type host struct {
	cluster   *simCluster
	name      core.HostID
	orders    *order.Orders
	cancel    context.CancelFunc
	ctx       context.Context
	done      chan struct{}
	dead      bool
	storeCut  bool                   // cannot reach the table
	resumed   chan struct{}          // not nil while paused; closed to resume
	delayNext bool                   // the next commit takes effect later
	nextFault fakes.Fault            // fault of the next commit
	onWrite   func(core.Write, bool) // called for each write, before and after it
}

func newSimCluster(t *testing.T) *simCluster {
	return &simCluster{
		t: t, timer: timer.NewManual(), start: time.Now(), hosts: make(map[core.HostID]*host),
		runsByKey: make(map[string]int), runsByAttempt: make(map[int]int),
	}
}

func (sim *simCluster) wall() time.Time { return sim.start.Add(sim.timer.Now()) }

func (sim *simCluster) startHost(name core.HostID, incarnation uint64, change func(*order.Config)) *host {
	h := &host{cluster: sim, name: name, done: make(chan struct{})}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	sim.net.SetDown(name, false)
	cfg := order.Config{
		Table: h, Objects: &sim.objs, Peers: sim.net.Peer(name), Timer: sim.timer, Now: sim.wall, Host: name, Incarnation: incarnation,
		Alive: sim.alive, Linger: -1, Jitter: -1, ShouldSweep: func() bool { return false },
	}
	if change != nil {
		change(&cfg)
	}
	h.orders = order.New(cfg)
	sim.mu.Lock()
	sim.hosts[name] = h
	sim.mu.Unlock()
	go func() {
		defer close(h.done)
		h.orders.Run(h.ctx)
	}()
	synctest.Wait()
	return h
}

func (sim *simCluster) alive(name core.HostID, _ uint64) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	h := sim.hosts[name]
	return h != nil && !h.dead
}

// kill crashes a host: nothing that it does takes effect any more.
func (h *host) kill() {
	h.cluster.mu.Lock()
	h.dead = true
	if h.resumed != nil {
		close(h.resumed)
		h.resumed = nil
	}
	h.cluster.mu.Unlock()
	h.cluster.net.SetDown(h.name, true)
	h.cancel()
}

// setPaused stops a host at its next call outside the process, or resumes it.
func (h *host) setPaused(paused bool) {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	if paused && h.resumed == nil && !h.dead {
		h.resumed = make(chan struct{})
	}
	if !paused && h.resumed != nil {
		close(h.resumed)
		h.resumed = nil
	}
}

var errDead = errors.New("host is dead")

// awaitResume blocks while the host is paused and fails if it is dead.
func (h *host) awaitResume() error {
	for {
		h.cluster.mu.Lock()
		resumed, dead := h.resumed, h.dead
		h.cluster.mu.Unlock()
		if dead {
			return errDead
		}
		if resumed == nil {
			return nil
		}
		<-resumed
	}
}

// checkStore fails if the host cannot reach the store.
func (h *host) checkStore() error {
	if err := h.awaitResume(); err != nil {
		return err
	}
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	if h.storeCut {
		return codes.New(codes.StoreDown, "test: host cannot reach the store")
	}
	return nil
}

func (h *host) Get(ctx context.Context, s core.Space, key string) (core.Row, error) {
	if err := h.checkStore(); err != nil {
		return core.Row{}, err
	}
	row, err := h.cluster.table.Get(ctx, s, key)
	if dead := h.awaitResume(); dead != nil {
		return core.Row{}, dead
	}
	return row, err
}

func (h *host) List(ctx context.Context, s core.Space, after string, limit int) ([]core.Row, error) {
	if err := h.checkStore(); err != nil {
		return nil, err
	}
	return h.cluster.table.List(ctx, s, after, limit)
}

func (h *host) Commit(ctx context.Context, writes []core.Write) error {
	if err := h.checkStore(); err != nil {
		return err
	}
	h.observe(writes, false)
	if err := h.awaitResume(); err != nil {
		return err
	}
	err := h.commit(ctx, writes)
	h.observe(writes, true)
	if dead := h.awaitResume(); dead != nil {
		return dead
	}
	return err
}

func (h *host) observe(writes []core.Write, after bool) {
	if h.onWrite == nil {
		return
	}
	for _, w := range writes {
		h.onWrite(w, after)
	}
}

func (h *host) commit(ctx context.Context, writes []core.Write) error {
	sim := h.cluster
	sim.mu.Lock()
	delayed, fault := h.delayNext, h.nextFault
	h.delayNext, h.nextFault = false, fakes.FaultNone
	if delayed {
		sim.delayedCommits = append(sim.delayedCommits, writes)
	}
	sim.mu.Unlock()
	if delayed {
		return codes.New(codes.StoreUnknown, "test: commit is delayed")
	}
	if fault == fakes.FaultLostRequest {
		return codes.New(codes.StoreUnknown, "test: commit was lost")
	}
	err := sim.table.Commit(ctx, writes)
	if h.name == "b" && codes.Is(err, codes.StoreConflict) {
		// The store of this host does not name the rows that caused a
		// conflict.
		err = codes.New(codes.StoreConflict, "test: conflict")
	}
	if fault == fakes.FaultLostResponse {
		// A lost answer hides a conflict as well.
		return codes.New(codes.StoreUnknown, "test: answer was lost")
	}
	return err
}

// deliverDelayed applies the delayed commits to the table.
func (sim *simCluster) deliverDelayed() {
	sim.mu.Lock()
	delayed := sim.delayedCommits
	sim.delayedCommits = nil
	sim.mu.Unlock()
	for _, writes := range delayed {
		_ = sim.table.Commit(context.Background(), writes)
	}
}

// advance moves the time in steps, so that periodic tasks run.
func (sim *simCluster) advance(d time.Duration) {
	for d > 0 {
		step := min(d, 500*time.Millisecond)
		sim.timer.Advance(step)
		synctest.Wait()
		d -= step
	}
}

// clearFaults ends all faults and waits until no host has work left.
func (sim *simCluster) clearFaults() {
	sim.table.SetFault(fakes.FaultNone)
	sim.objs.SetFault(fakes.FaultNone)
	for _, h := range sim.hosts {
		h.setPaused(false)
		sim.mu.Lock()
		h.storeCut, h.delayNext, h.nextFault = false, false, fakes.FaultNone
		sim.mu.Unlock()
	}
	synctest.Wait()
	sim.deliverDelayed()
	sim.advance(2 * time.Minute)
}

func (sim *simCluster) stop() {
	for _, h := range sim.hosts {
		h.kill()
	}
	synctest.Wait()
	sim.timer.Advance(time.Hour)
	synctest.Wait()
}

// behaviour is what the backend does with an order.
type behaviour string

const (
	backendRuns       behaviour = "runs"
	backendSlow       behaviour = "slow"      // runs, answers after 3 s
	backendUnreached  behaviour = "none"      // nothing is sent
	backendRefuses    behaviour = "refuses"   // answers that it did not run the order
	backendAnswerLost behaviour = "loses"     // runs, the answer is lost
	backendUnknown    behaviour = "missed"    // does not run, but the error leaves that open
	backendPlainError behaviour = "twice-err" // runs, the error has no state
)

// attempt is one request for an order.
type attempt struct {
	id        int
	key       string
	body      string
	done      bool
	runsAtEnd int // executions of the key when the attempt ended
	result    order.Result
	err       error
}

func (a *attempt) code() codes.Code { return codes.Of(a.err) }

// submit starts an attempt at an order on a host.
func (sim *simCluster) submit(h *host, key, body string, wait time.Duration, b behaviour) *attempt {
	a := &attempt{id: len(sim.attempts) + 1, key: key, body: body}
	sim.attempts = append(sim.attempts, a)
	r := order.Request{Workspace: "loft", Key: key, Hash: order.Hash("POST", "/orders", []byte(body)), Deadline: sim.timer.Now() + wait}
	go func() {
		result, err := h.orders.Do(h.ctx, r, func(context.Context) (order.Result, error) { return sim.serve(h, a, b) })
		sim.mu.Lock()
		defer sim.mu.Unlock()
		a.done, a.result, a.err, a.runsAtEnd = true, result, err, sim.runsByKey[key]
	}()
	synctest.Wait()
	return a
}

func (sim *simCluster) serve(h *host, a *attempt, b behaviour) (order.Result, error) {
	if err := h.awaitResume(); err != nil {
		return order.Result{}, &core.SendError{State: core.SendNotSent, Cause: err}
	}
	switch b {
	case backendUnreached:
		return order.Result{}, &core.SendError{State: core.SendNotSent, Cause: errors.New("refused")}
	case backendRefuses:
		return order.Result{}, &core.SendError{State: core.SendRefused, Cause: errors.New("draining")}
	case backendUnknown:
		return order.Result{}, &core.SendError{State: core.SendUnknown, Cause: errors.New("reset")}
	}
	sim.mu.Lock()
	sim.runsByKey[a.key]++
	sim.runsByAttempt[a.id]++
	sim.mu.Unlock()
	switch b {
	case backendSlow:
		<-sim.timer.After(3 * time.Second)
	case backendAnswerLost:
		return order.Result{}, &core.SendError{State: core.SendUnknown, Cause: errors.New("reset")}
	case backendPlainError:
		return order.Result{}, errors.New("plain error")
	}
	if err := h.awaitResume(); err != nil {
		return order.Result{}, &core.SendError{State: core.SendUnknown, Cause: err}
	}
	return order.Result{Status: 201, Body: []byte(answerTo(a.key, a.body))}, nil
}

func answerTo(key, body string) string { return fmt.Sprintf("answer to %s with %s", key, body) }
