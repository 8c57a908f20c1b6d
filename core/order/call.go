package order

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
)

type callState string

const (
	callWaiting   callState = "waiting"   // the claim is not committed yet
	callAbandoned callState = "abandoned" // refused as not run while the claim is in flight
	callClaimed   callState = "claimed"   // the claim is committed; the order may be sent
	callRecording callState = "recording" // the answer is known and being recorded
	callReleasing callState = "releasing" // never run; the claim is being released
	callMarking   callState = "marking"   // may have run; an issued key without a row yet
)

// call is one order at this host, from its claim until its row needs no
// more work. Its fields are guarded by Orders.mu after enter returned it.
type call struct {
	row       string
	workspace core.WorkspaceID
	hash      [32]byte
	token     string
	claimed   time.Time
	state     callState
	// inflight says that a commit with the claim is under way.
	inflight bool
	// doubt is set once a commit of the claim had an unknown outcome, at
	// doubtAt. It stays set: that commit may take effect later, even after
	// the claim was committed by another attempt and released.
	doubt   bool
	doubtAt time.Duration
	issued  bool  // the key is issued: the claim is in memory only
	period  int64 // of an issued key
	size    int   // bytes of the answer that are counted in Orders.holding
	result  Result
	verdict chan verdict  // gets one verdict on the claim
	gone    chan struct{} // closed when the call leaves Orders.calls
}

// verdict says whether the claim is committed, or which row was there.
type verdict struct {
	claimed bool
	row     core.Row
}

// enter adds a call and queues its claim, or returns the earlier call of
// the same row if that is being released or recorded.
func (o *Orders) enter(r Request) (c, earlier *call, err error) {
	row := rowKey(r.Workspace, r.Key)
	o.mu.Lock()
	defer o.mu.Unlock()
	if c := o.calls[row]; c != nil {
		return o.meet(r, c)
	}
	c, err = o.admit(r, row)
	if err != nil {
		return nil, nil, err
	}
	o.push(o.claimOp(c))
	return c, nil, nil
}

// admit adds a call, or refuses it while too much is pending. A workspace
// may have as many orders pending as there is room left, so that one with
// many leaves room for the others.
func (o *Orders) admit(r Request, row string) (*call, error) {
	left := o.cfg.MaxPending - len(o.calls) - len(o.ghosts)
	if o.pending[r.Workspace] >= left || o.holding >= o.cfg.MaxUnrecordedBytes {
		full := codes.New(codes.QueueFull, "order: %d orders of the workspace are pending, %d bytes of answers, room is left for %d orders",
			o.pending[r.Workspace], o.holding, left)
		return nil, codes.Wrap(full, codes.OrderNotRun, "order: too many orders wait")
	}
	c := &call{
		row: row, workspace: r.Workspace, hash: r.Hash, token: uuid.NewString(), claimed: o.cfg.Now(), state: callWaiting,
		verdict: make(chan verdict, 1), gone: make(chan struct{}),
	}
	o.calls[row] = c
	o.pending[r.Workspace]++
	return c, nil
}

func (o *Orders) meet(r Request, c *call) (*call, *call, error) {
	if c.state == callReleasing || c.state == callAbandoned {
		return nil, c, nil
	}
	if c.hash != r.Hash {
		return nil, nil, mismatch()
	}
	if c.state == callRecording {
		return nil, c, nil
	}
	if c.state == callMarking {
		return nil, nil, codes.New(codes.OrderUnknown, "order: outcome of the order is unknown")
	}
	return nil, nil, codes.New(codes.OrderRunning, "order: the order is running")
}

func mismatch() error {
	return codes.New(codes.OrderMismatch, "order: idempotency key was used with another request")
}

// awaitRelease answers from a call that is being recorded, or waits until
// the row of a call that never ran is free.
func (o *Orders) awaitRelease(ctx context.Context, r Request, earlier *call) (Result, bool, error) {
	o.mu.Lock()
	if earlier.state == callRecording {
		result := earlier.result
		o.stats.Repeated++
		o.mu.Unlock()
		result.Replayed = true
		return result, false, nil
	}
	o.mu.Unlock()
	select {
	case <-earlier.gone:
		return Result{}, true, nil
	case <-o.cfg.Timer.After(r.Deadline - o.cfg.Timer.Now()):
		return Result{}, false, notRunDeadline()
	case <-ctx.Done():
		return Result{}, false, codes.Wrap(ctx.Err(), codes.OrderNotRun, "order: caller left before the order was sent")
	}
}

// awaitClaim waits for the verdict on the claim. Its error is OrderNotRun;
// the claim is then abandoned and never sent.
func (o *Orders) awaitClaim(ctx context.Context, r Request, c *call) (verdict, error) {
	var err error
	select {
	case v := <-c.verdict:
		return v, nil
	case <-o.cfg.Timer.After(r.Deadline - o.cfg.Timer.Now()):
		err = notRunDeadline()
	case <-ctx.Done():
		err = codes.Wrap(ctx.Err(), codes.OrderNotRun, "order: caller left before the order was sent")
	}
	o.abandon(c)
	select {
	case v := <-c.verdict:
		if !v.claimed {
			// The verdict came with the deadline: an earlier claim of the
			// same key says more than "not run".
			return v, nil
		}
	default:
	}
	return verdict{}, err
}

// abandon gives up a call before it was sent. A call whose verdict names
// another row has ended already.
func (o *Orders) abandon(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case c.state == callClaimed:
		o.releaseLocked(c)
	case c.state == callWaiting && c.inflight:
		c.state = callAbandoned
	case c.state == callWaiting:
		o.unqueue(c)
		o.dropClaim(c)
	}
}

// dropClaim ends a call whose claim is not known to be committed.
func (o *Orders) dropClaim(c *call) {
	if c.doubt {
		o.settle(c)
		return
	}
	o.finish(c)
}

// settle watches the row of a call that never ran until no commit of its
// claim can take effect any more. A retry may claim the row meanwhile.
func (o *Orders) settle(c *call) {
	c.state = callReleasing
	o.finish(c)
	o.ghosts[c.token] = c
	o.settling = append(o.settling, c)
}

func (o *Orders) release(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.releaseLocked(c)
}

func (o *Orders) releaseLocked(c *call) {
	if c.issued {
		o.forget(c)
		return
	}
	c.state = callReleasing
	o.push(o.releaseOp(c))
}

// leave ends a call whose order may have run. The claim stays.
func (o *Orders) leave(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c.issued {
		o.mark(c)
		return
	}
	o.finish(c)
}

func (o *Orders) record(c *call, r Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c.state, c.result = callRecording, r
	p, size := o.answerOp(c)
	c.size = size
	o.holding += size
	if p.object == "" {
		o.push(p)
		return
	}
	o.large = append(o.large, p)
	wake(o.wakePuts)
}

func (o *Orders) finish(c *call) {
	if o.calls[c.row] == c {
		delete(o.calls, c.row)
		o.holding -= c.size
		if o.pending[c.workspace]--; o.pending[c.workspace] == 0 {
			delete(o.pending, c.workspace)
		}
		close(c.gone)
	}
}

// notSent reports whether a failed send surely did not run the order.
func notSent(err error) bool {
	var failed *core.SendError
	if !errors.As(err, &failed) {
		return false
	}
	return failed.State == core.SendNotSent || failed.State == core.SendRefused
}
