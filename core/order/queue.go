package order

import (
	"github.com/google/uuid"

	"azurering/core"
)

// op is one conditional write that waits for a commit. Its methods run with
// Orders.mu held.
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
	opMark    opKind = "mark" // records an unknown outcome of an issued key
	opRelease opKind = "release"
	opSweep   opKind = "sweep"
)

func (o *Orders) claimOp(c *call) *op {
	value := record{
		state: recordClaim, host: o.cfg.Host, incarnation: o.cfg.Incarnation, hash: c.hash, claimed: c.claimed,
	}.encode()
	return &op{kind: opClaim, call: c, write: core.Write{
		Kind: core.WritePut, Space: core.SpaceOrder, Key: c.row, Token: c.token, Value: value,
	}}
}

// answerOp returns the op that records an answer, and the answer's size.
func (o *Orders) answerOp(c *call) (*op, int) {
	rec := record{
		state: recordDone, host: o.cfg.Host, incarnation: o.cfg.Incarnation, hash: c.hash, claimed: c.claimed,
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

// push queues an op. The queue is bounded because each call has at most one
// op, calls are bounded by Config.Size and a sweep adds at most a page.
func (o *Orders) push(p *op) {
	o.queue = append(o.queue, p)
	o.signal()
}

func (o *Orders) signal() { wake(o.wake) }

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// unqueue removes the queued op of a call.
func (o *Orders) unqueue(c *call) {
	for i, p := range o.queue {
		if p.call == c {
			o.queue = append(o.queue[:i], o.queue[i+1:]...)
			return
		}
	}
}

// take removes up to one batch of ops. A row occurs once in a commit; a
// second op of a row stays queued.
func (o *Orders) take() []*op {
	o.mu.Lock()
	defer o.mu.Unlock()
	var batch, rest []*op
	rows := make(map[string]bool)
	for _, p := range o.queue {
		if len(batch) == o.limit || rows[p.write.Key] {
			rest = append(rest, p)
			continue
		}
		rows[p.write.Key] = true
		if p.kind == opClaim {
			p.call.inflight = true
		}
		batch = append(batch, p)
	}
	o.queue = rest
	return batch
}

// applied notes that the write of an op took effect.
func (o *Orders) applied(p *op) {
	switch p.kind {
	case opClaim:
		o.claimApplied(p.call)
	case opAnswer:
		o.stats.Recorded++
		o.finish(p.call)
	case opMark:
		o.finish(p.call)
	case opRelease:
		o.stats.Released++
		o.released(p.call)
	case opSweep:
		o.stats.Expired++
	}
}

func (o *Orders) claimApplied(c *call) {
	c.inflight = false
	if c.state == callAbandoned {
		o.releaseLocked(c)
		return
	}
	o.stats.Claimed++
	c.state = callClaimed
	c.verdict <- verdict{claimed: true}
}

// refused notes that the condition of an op does not hold for the row that
// was read, and cannot hold later.
func (o *Orders) refused(p *op, row core.Row) {
	switch p.kind {
	case opClaim:
		p.call.inflight = false
		if p.call.state == callWaiting {
			p.call.verdict <- verdict{row: row}
		}
		p.call.state = callReleasing
		o.dropClaim(p.call)
	case opAnswer, opMark:
		o.stats.LostAnswers++
		o.finish(p.call)
	case opRelease:
		o.released(p.call)
	}
}

// released ends a call whose claim row is gone, unless a doubtful commit
// may still bring it back.
func (o *Orders) released(c *call) {
	if c.doubt {
		o.settle(c)
		return
	}
	o.finish(c)
}

// retry queues an op again whose write did not take effect as far as known.
func (o *Orders) retry(p *op) {
	if p.kind != opClaim {
		o.push(p)
		return
	}
	c := p.call
	c.inflight = false
	if c.state == callAbandoned {
		o.dropClaim(c)
		return
	}
	o.push(p)
}

// doubt notes that a commit with the op had an unknown outcome.
func (o *Orders) doubt(p *op) {
	if p.kind == opClaim {
		p.call.doubt, p.call.doubtAt = true, o.cfg.Timer.Now()
	}
}
