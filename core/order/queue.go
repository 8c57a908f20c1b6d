package order

import (
	"github.com/google/uuid"

	"azurering/core"
)

// op is one conditional write that waits for a commit. Methods of Orders that
// take an op run with Orders.mu held, except those that call the store.
type op struct {
	write core.Write
	call  *call // nil for a sweep
	// object is put into the object store before the write is queued.
	object string
	body   []byte
	kind   opKind
}

type opKind string

const (
	opClaim   opKind = "claim"
	opAnswer  opKind = "answer"
	opUnknown opKind = "mark" // records an unknown outcome of an issued key
	opRelease opKind = "release"
	opSweep   opKind = "sweep"
)

func (o *Orders) claimOp(c *call) *op {
	value := record{
		state: recordClaim, host: o.cfg.Host, incarnation: o.cfg.Incarnation, hash: c.hash, claimedAt: c.claimedAt,
	}.encode()
	return &op{kind: opClaim, call: c, write: core.Write{
		Kind: core.WritePut, Space: core.SpaceOrder, Key: c.row, Token: c.token, Value: value,
	}}
}

// answerOp returns the op that records an answer, and the size of the encoded
// answer in bytes.
func (o *Orders) answerOp(c *call) (*op, int) {
	rec := record{
		state: recordDone, host: o.cfg.Host, incarnation: o.cfg.Incarnation, hash: c.hash, claimedAt: c.claimedAt,
		answer: encodeAnswer(c.row, c.result),
	}
	p, size := &op{kind: opAnswer, call: c}, len(rec.answer)
	if len(rec.answer) > o.cfg.MaxInlineBytes && o.cfg.Objects != nil {
		p.body, p.object = rec.answer, objectName(rec.answer)
		rec.answer, rec.object = nil, p.object
	}
	p.write = core.Write{
		Kind: core.WritePut, Space: core.SpaceOrder, Key: c.row, ExpectVersion: 1, ExpectToken: c.token,
		Token: uuid.NewString(), Value: rec.encode(),
	}
	if c.issued {
		p.write.ExpectVersion, p.write.ExpectToken = 0, ""
	}
	return p, size
}

func (o *Orders) releaseOp(c *call) *op {
	return &op{kind: opRelease, call: c, write: core.Write{
		Kind: core.WriteDelete, Space: core.SpaceOrder, Key: c.row, ExpectVersion: 1, ExpectToken: c.token, Token: uuid.NewString(),
	}}
}

func sweepOp(row core.Row) *op {
	return &op{kind: opSweep, write: core.Write{
		Kind: core.WriteDelete, Space: core.SpaceOrder, Key: row.Key, ExpectVersion: row.Version, ExpectToken: row.Token, Token: uuid.NewString(),
	}}
}

// enqueue adds an op to the queue. The queue is bounded because each call has
// at most one op, calls are bounded by Config.MaxPending, and a sweep adds at most
// a page.
func (o *Orders) enqueue(p *op) {
	o.queue = append(o.queue, p)
	o.wakeCommitter()
}

func (o *Orders) wakeCommitter() { notify(o.wake) }

// notify wakes the receiver of a channel with a buffer of one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// removeQueued removes the queued op of a call.
func (o *Orders) removeQueued(c *call) {
	for i, p := range o.queue {
		if p.call == c {
			o.queue = append(o.queue[:i], o.queue[i+1:]...)
			return
		}
	}
}

// takeBatch removes up to batchLimit ops from the queue. A row occurs at most
// once in a commit; another op of the same row stays queued.
func (o *Orders) takeBatch() []*op {
	o.mu.Lock()
	defer o.mu.Unlock()
	var batch, rest []*op
	rows := make(map[string]bool)
	for _, p := range o.queue {
		if len(batch) == o.batchLimit || rows[p.write.Key] {
			rest = append(rest, p)
			continue
		}
		rows[p.write.Key] = true
		if p.kind == opClaim {
			p.call.inFlight = true
		}
		batch = append(batch, p)
	}
	o.queue = rest
	return batch
}

// onApplied handles an op whose write took effect.
func (o *Orders) onApplied(p *op) {
	switch p.kind {
	case opClaim:
		o.onClaimApplied(p.call)
	case opAnswer:
		o.stats.Recorded++
		o.finish(p.call)
	case opUnknown:
		o.finish(p.call)
	case opRelease:
		o.stats.Released++
		o.onReleased(p.call)
	case opSweep:
		o.stats.Expired++
	}
}

func (o *Orders) onClaimApplied(c *call) {
	c.inFlight = false
	if c.state == callAbandoned {
		o.releaseLocked(c)
		return
	}
	o.stats.Claimed++
	c.state = callClaimed
	c.claimResult <- claimResult{claimed: true}
}

// onRejected handles an op whose condition does not hold for the row that was
// read, and cannot hold later.
func (o *Orders) onRejected(p *op, row core.Row) {
	switch p.kind {
	case opClaim:
		p.call.inFlight = false
		if p.call.state == callWaiting {
			p.call.claimResult <- claimResult{row: row}
		}
		p.call.state = callReleasing
		o.dropClaim(p.call)
	case opAnswer, opUnknown:
		o.stats.LostAnswers++
		o.finish(p.call)
	case opRelease:
		o.onReleased(p.call)
	}
}

// onReleased ends a call whose claim row is gone, unless an uncertain commit
// may still restore it.
func (o *Orders) onReleased(c *call) {
	if c.uncertain {
		o.settle(c)
		return
	}
	o.finish(c)
}

// retry queues an op again whose write is not known to have taken effect.
func (o *Orders) retry(p *op) {
	if p.kind != opClaim {
		o.enqueue(p)
		return
	}
	c := p.call
	c.inFlight = false
	if c.state == callAbandoned {
		o.dropClaim(c)
		return
	}
	o.enqueue(p)
}

// setUncertain notes that a commit with the op had an unknown outcome.
func (o *Orders) setUncertain(p *op) {
	if p.kind == opClaim {
		p.call.uncertain, p.call.uncertainAt = true, o.cfg.Timer.Now()
	}
}
