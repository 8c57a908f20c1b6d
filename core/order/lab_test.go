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

// lab is a fleet of hosts over one fake table, with a backend that counts
// executions per key. It lives in a synctest bubble.
type lab struct {
	t     *testing.T
	table fakes.Table
	objs  fakes.Objects
	net   fakes.Network
	timer *timer.Manual
	start time.Time

	mu    sync.Mutex
	hosts map[core.HostID]*host
	late  [][]core.Write // commits that still travel to the table
	runs  map[string]int // executions per key
	sends map[int]int    // executions per attempt
	asks  []*ask
}

// host is one run of an entry host.
type host struct {
	lab     *lab
	name    core.HostID
	orders  *order.Orders
	cancel  context.CancelFunc
	ctx     context.Context
	done    chan struct{}
	dead    bool
	cut     bool // cannot reach the table
	gate    chan struct{}
	late    bool // the next commit takes effect later
	lossy   fakes.Fault
	onWrite func(core.Write, bool) // sees each write, before and after it
}

func newLab(t *testing.T) *lab {
	return &lab{
		t: t, timer: timer.NewManual(), start: time.Now(), hosts: make(map[core.HostID]*host),
		runs: make(map[string]int), sends: make(map[int]int),
	}
}

func (l *lab) wall() time.Time { return l.start.Add(l.timer.Now()) }

func (l *lab) boot(name core.HostID, incarnation uint64, change func(*order.Config)) *host {
	h := &host{lab: l, name: name, done: make(chan struct{})}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	l.net.SetDown(name, false)
	cfg := order.Config{
		Table: h, Objects: &l.objs, Peers: l.net.Peer(name), Timer: l.timer, Now: l.wall, Host: name, Incarnation: incarnation,
		Alive: l.alive, Linger: -1, Jitter: -1, ShouldSweep: func() bool { return false },
	}
	if change != nil {
		change(&cfg)
	}
	h.orders = order.New(cfg)
	l.mu.Lock()
	l.hosts[name] = h
	l.mu.Unlock()
	go func() {
		defer close(h.done)
		h.orders.Run(h.ctx)
	}()
	synctest.Wait()
	return h
}

func (l *lab) alive(name core.HostID, _ uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[name]
	return h != nil && !h.dead
}

// kill ends a host at once: nothing that it does takes effect any more.
func (h *host) kill() {
	h.lab.mu.Lock()
	h.dead = true
	if h.gate != nil {
		close(h.gate)
		h.gate = nil
	}
	h.lab.mu.Unlock()
	h.lab.net.SetDown(h.name, true)
	h.cancel()
}

// pause stops a host at its next call outside the process.
func (h *host) pause(on bool) {
	h.lab.mu.Lock()
	defer h.lab.mu.Unlock()
	if on && h.gate == nil && !h.dead {
		h.gate = make(chan struct{})
	}
	if !on && h.gate != nil {
		close(h.gate)
		h.gate = nil
	}
}

var errDead = errors.New("host is dead")

// pass blocks a paused host and fails a dead one.
func (h *host) pass() error {
	for {
		h.lab.mu.Lock()
		gate, dead := h.gate, h.dead
		h.lab.mu.Unlock()
		if dead {
			return errDead
		}
		if gate == nil {
			return nil
		}
		<-gate
	}
}

func (h *host) reach() error {
	if err := h.pass(); err != nil {
		return err
	}
	h.lab.mu.Lock()
	defer h.lab.mu.Unlock()
	if h.cut {
		return codes.New(codes.StoreDown, "lab: host is cut off")
	}
	return nil
}

func (h *host) Get(ctx context.Context, s core.Space, key string) (core.Row, error) {
	if err := h.reach(); err != nil {
		return core.Row{}, err
	}
	row, err := h.lab.table.Get(ctx, s, key)
	if dead := h.pass(); dead != nil {
		return core.Row{}, dead
	}
	return row, err
}

func (h *host) List(ctx context.Context, s core.Space, after string, limit int) ([]core.Row, error) {
	if err := h.reach(); err != nil {
		return nil, err
	}
	return h.lab.table.List(ctx, s, after, limit)
}

func (h *host) Commit(ctx context.Context, writes []core.Write) error {
	if err := h.reach(); err != nil {
		return err
	}
	h.see(writes, false)
	if err := h.pass(); err != nil {
		return err
	}
	err := h.commit(ctx, writes)
	h.see(writes, true)
	if dead := h.pass(); dead != nil {
		return dead
	}
	return err
}

func (h *host) see(writes []core.Write, after bool) {
	if h.onWrite == nil {
		return
	}
	for _, w := range writes {
		h.onWrite(w, after)
	}
}

func (h *host) commit(ctx context.Context, writes []core.Write) error {
	l := h.lab
	l.mu.Lock()
	late, lossy := h.late, h.lossy
	h.late, h.lossy = false, fakes.FaultNone
	if late {
		l.late = append(l.late, writes)
	}
	l.mu.Unlock()
	if late {
		return codes.New(codes.StoreUnknown, "lab: commit is late")
	}
	if lossy == fakes.FaultLostRequest {
		return codes.New(codes.StoreUnknown, "lab: commit was lost")
	}
	err := l.table.Commit(ctx, writes)
	if h.name == "b" && codes.Is(err, codes.StoreConflict) {
		// This host's store does not tell which rows refused.
		err = codes.New(codes.StoreConflict, "lab: conflict")
	}
	if lossy == fakes.FaultLostResponse {
		// A lost answer hides a conflict as well.
		return codes.New(codes.StoreUnknown, "lab: answer was lost")
	}
	return err
}

// land lets the late commits reach the table.
func (l *lab) land() {
	l.mu.Lock()
	late := l.late
	l.late = nil
	l.mu.Unlock()
	for _, writes := range late {
		_ = l.table.Commit(context.Background(), writes)
	}
}

// advance moves time in steps so that periodic duties run.
func (l *lab) advance(d time.Duration) {
	for d > 0 {
		step := min(d, 500*time.Millisecond)
		l.timer.Advance(step)
		synctest.Wait()
		d -= step
	}
}

// heal mends everything and waits until no host has work left.
func (l *lab) heal() {
	l.table.SetFault(fakes.FaultNone)
	l.objs.SetFault(fakes.FaultNone)
	for _, h := range l.hosts {
		h.pause(false)
		l.mu.Lock()
		h.cut, h.late, h.lossy = false, false, fakes.FaultNone
		l.mu.Unlock()
	}
	synctest.Wait()
	l.land()
	l.advance(2 * time.Minute)
}

func (l *lab) stop() {
	for _, h := range l.hosts {
		h.kill()
	}
	synctest.Wait()
	l.timer.Advance(time.Hour)
	synctest.Wait()
}

// behaviour says what the backend does with an order.
type behaviour string

const (
	backendRuns    behaviour = "runs"
	backendSlow    behaviour = "slow"      // runs, answers after 3 s
	backendNone    behaviour = "none"      // no byte is sent
	backendRefuses behaviour = "refuses"   // answers that it did not run the order
	backendLoses   behaviour = "loses"     // runs, the answer is lost
	backendMissed  behaviour = "missed"    // does not run, nobody can tell
	backendTwice   behaviour = "twice-err" // runs, the error has no state
)

// ask is one attempt at an order.
type ask struct {
	id     int
	key    string
	body   string
	done   bool
	ranYet int // executions of the key when the attempt ended
	result order.Result
	err    error
}

func (a *ask) code() codes.Code { return codes.Of(a.err) }

// ask starts an attempt at an order on a host.
func (l *lab) ask(h *host, key, body string, wait time.Duration, b behaviour) *ask {
	a := &ask{id: len(l.asks) + 1, key: key, body: body}
	l.asks = append(l.asks, a)
	r := order.Request{Workspace: "loft", Key: key, Hash: order.Hash("POST", "/orders", []byte(body)), Deadline: l.timer.Now() + wait}
	go func() {
		result, err := h.orders.Do(h.ctx, r, func(context.Context) (order.Result, error) { return l.serve(h, a, b) })
		l.mu.Lock()
		defer l.mu.Unlock()
		a.done, a.result, a.err, a.ranYet = true, result, err, l.runs[key]
	}()
	synctest.Wait()
	return a
}

func (l *lab) serve(h *host, a *ask, b behaviour) (order.Result, error) {
	if err := h.pass(); err != nil {
		return order.Result{}, &core.SendError{State: core.SendNotSent, Cause: err}
	}
	switch b {
	case backendNone:
		return order.Result{}, &core.SendError{State: core.SendNotSent, Cause: errors.New("refused")}
	case backendRefuses:
		return order.Result{}, &core.SendError{State: core.SendRefused, Cause: errors.New("draining")}
	case backendMissed:
		return order.Result{}, &core.SendError{State: core.SendUnknown, Cause: errors.New("reset")}
	}
	l.mu.Lock()
	l.runs[a.key]++
	l.sends[a.id]++
	l.mu.Unlock()
	switch b {
	case backendSlow:
		<-l.timer.After(3 * time.Second)
	case backendLoses:
		return order.Result{}, &core.SendError{State: core.SendUnknown, Cause: errors.New("reset")}
	case backendTwice:
		return order.Result{}, errors.New("plain error")
	}
	if err := h.pass(); err != nil {
		return order.Result{}, &core.SendError{State: core.SendUnknown, Cause: err}
	}
	return order.Result{Status: 201, Body: []byte(answerTo(a.key, a.body))}, nil
}

func answerTo(key, body string) string { return fmt.Sprintf("answer to %s with %s", key, body) }
