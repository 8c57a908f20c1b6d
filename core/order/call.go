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
	callWaiting          callState = "waiting"   // the claim is not committed yet
	callAbandoned        callState = "abandoned" // refused as not run while a commit of the claim is in flight
	callClaimed          callState = "claimed"   // the claim is committed; the order may be sent
	callRecording        callState = "recording" // the answer is known and being recorded
	callReleasing        callState = "releasing" // the order never ran; the claim is being released
	callRecordingUnknown callState = "marking"   // the order may have run; the row of its issued key is not written yet
)

// call is one order at this host, from its claim until its row needs no more
// work. Its fields are guarded by Orders.mu once begin has returned it.
type call struct {
	row       string
	workspace core.WorkspaceID
	hash      [32]byte
	token     string
	claimedAt time.Time
	state     callState
	// inFlight reports whether a commit with the claim is in flight.
	inFlight bool
	// uncertain is set once a commit of the claim had an unknown outcome, at
	// uncertainAt. It stays set: that commit may take effect later, even
	// after the claim was committed by another attempt and released.
	uncertain   bool
	uncertainAt time.Duration
	issued      bool  // the key is issued: the claim is in memory only
	period      int64 // of an issued key
	answerBytes int   // size of the encoded answer, counted in Orders.unrecordedBytes
	result      Result
	claimResult chan claimResult // receives the outcome of the claim once
	done        chan struct{}    // closed when the call leaves Orders.calls
}

// claimResult says whether the claim is committed. If it is not, row is the
// row that holds the key.
type claimResult struct {
	claimed bool
	row     core.Row
}

// begin adds a call and queues its claim, or returns the earlier call of the
// same row if that is being released or recorded.
func (o *Orders) begin(r Request) (c, earlier *call, err error) {
	row := rowKey(r.Workspace, r.Key)
	o.mu.Lock()
	defer o.mu.Unlock()
	if c := o.calls[row]; c != nil {
		return o.handleDuplicate(r, c)
	}
	c, err = o.admit(r, row)
	if err != nil {
		return nil, nil, err
	}
	o.enqueue(o.claimOp(c))
	return c, nil, nil
}

// admit adds a call, or refuses it while too many orders or answer bytes are
// pending. A workspace may have as many orders pending as there is room left,
// so that one with many leaves room for the others.
func (o *Orders) admit(r Request, row string) (*call, error) {
	room := o.cfg.MaxPending - len(o.calls) - len(o.orphans)
	if o.pendingByWorkspace[r.Workspace] >= room || o.unrecordedBytes >= o.cfg.MaxUnrecordedBytes {
		full := codes.New(codes.QueueFull, "order: %d orders of the workspace and %d bytes of answers are pending; room is left for %d orders",
			o.pendingByWorkspace[r.Workspace], o.unrecordedBytes, room)
		return nil, codes.Wrap(full, codes.OrderNotRun, "order: too many orders or answers are pending")
	}
	c := &call{
		row: row, workspace: r.Workspace, hash: r.Hash, token: uuid.NewString(), claimedAt: o.cfg.Now(), state: callWaiting,
		claimResult: make(chan claimResult, 1), done: make(chan struct{}),
	}
	o.calls[row] = c
	o.pendingByWorkspace[r.Workspace]++
	return c, nil
}

// handleDuplicate decides a request whose row belongs to a pending call: it
// returns that call if it can be waited for or answered from, and an error
// otherwise.
func (o *Orders) handleDuplicate(r Request, c *call) (*call, *call, error) {
	if c.state == callReleasing || c.state == callAbandoned {
		return nil, c, nil
	}
	if c.hash != r.Hash {
		return nil, nil, mismatchError()
	}
	if c.state == callRecording {
		return nil, c, nil
	}
	if c.state == callRecordingUnknown {
		return nil, nil, codes.New(codes.OrderUnknown, "order: the outcome of the order is unknown")
	}
	return nil, nil, codes.New(codes.OrderRunning, "order: an earlier request with the key is still running")
}

func mismatchError() error {
	return codes.New(codes.OrderMismatch, "order: idempotency key was used with another request")
}

// awaitEarlier answers from a call that is being recorded, or waits until the
// row of a call that never ran is free. It reports true if the caller should
// then try again.
func (o *Orders) awaitEarlier(ctx context.Context, r Request, earlier *call) (Result, bool, error) {
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
	case <-earlier.done:
		return Result{}, true, nil
	case <-o.cfg.Timer.After(r.Deadline - o.cfg.Timer.Now()):
		return Result{}, false, deadlineError()
	case <-ctx.Done():
		return Result{}, false, codes.Wrap(ctx.Err(), codes.OrderNotRun, "order: caller disconnected before the order was sent")
	}
}

// awaitClaim waits for the outcome of the claim. If the deadline or the
// caller ends the wait, its error is OrderNotRun; the claim is then abandoned
// and the order never sent.
func (o *Orders) awaitClaim(ctx context.Context, r Request, c *call) (claimResult, error) {
	var err error
	select {
	case v := <-c.claimResult:
		return v, nil
	case <-o.cfg.Timer.After(r.Deadline - o.cfg.Timer.Now()):
		err = deadlineError()
	case <-ctx.Done():
		err = codes.Wrap(ctx.Err(), codes.OrderNotRun, "order: caller disconnected before the order was sent")
	}
	o.abandon(c)
	select {
	case v := <-c.claimResult:
		if !v.claimed {
			// The result arrived together with the deadline. An answer from
			// the earlier claim is more useful to the caller than "not run".
			return v, nil
		}
	default:
	}
	return claimResult{}, err
}

// abandon gives up a call before its order was sent. A call that lost its
// claim to another row has ended already.
func (o *Orders) abandon(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case c.state == callClaimed:
		o.releaseLocked(c)
	case c.state == callWaiting && c.inFlight:
		c.state = callAbandoned
	case c.state == callWaiting:
		o.removeQueued(c)
		o.dropClaim(c)
	}
}

// dropClaim ends a call whose claim is not known to be committed.
func (o *Orders) dropClaim(c *call) {
	if c.uncertain {
		o.settle(c)
		return
	}
	o.finish(c)
}

// settle ends a call whose order never ran, and watches its row until no
// commit of its claim can take effect any more. A retry may claim the row
// meanwhile.
func (o *Orders) settle(c *call) {
	c.state = callReleasing
	o.finish(c)
	o.orphans[c.token] = c
	o.settleQueue = append(o.settleQueue, c)
}

func (o *Orders) release(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.releaseLocked(c)
}

func (o *Orders) releaseLocked(c *call) {
	if c.issued {
		o.dropIssuedClaim(c)
		return
	}
	c.state = callReleasing
	o.enqueue(o.releaseOp(c))
}

// keepClaim ends a call whose order may have run. The claim stays in the
// table, so that the order does not run again.
func (o *Orders) keepClaim(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c.issued {
		o.recordUnknown(c)
		return
	}
	o.finish(c)
}

func (o *Orders) record(c *call, r Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c.state, c.result = callRecording, r
	p, size := o.answerOp(c)
	c.answerBytes = size
	o.unrecordedBytes += size
	if p.object == "" {
		o.enqueue(p)
		return
	}
	o.largeAnswers = append(o.largeAnswers, p)
	notify(o.wakePutter)
}

func (o *Orders) finish(c *call) {
	if o.calls[c.row] == c {
		delete(o.calls, c.row)
		o.unrecordedBytes -= c.answerBytes
		if o.pendingByWorkspace[c.workspace]--; o.pendingByWorkspace[c.workspace] == 0 {
			delete(o.pendingByWorkspace, c.workspace)
		}
		close(c.done)
	}
}

// notSent reports whether a failed send certainly did not run the order.
func notSent(err error) bool {
	var failed *core.SendError
	if !errors.As(err, &failed) {
		return false
	}
	return failed.State == core.SendNotSent || failed.State == core.SendRefused
}
