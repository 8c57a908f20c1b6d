package order

import (
	"context"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// answerRow answers a repeat from the row of an earlier claim. It asks to
// be called again if the row is gone.
func (o *Orders) answerRow(ctx context.Context, r Request, row core.Row) (Result, bool, error) {
	result, decided, err := o.answerOnce(ctx, r, row)
	if decided {
		return result, false, err
	}
	if o.runs(ctx, r, row) {
		return Result{}, false, codes.New(codes.OrderRunning, "order: the order is running")
	}
	// The claim may have been recorded or released since the row was read.
	row, err = o.read(ctx, row.Key)
	if err != nil {
		return Result{}, false, codes.Wrap(err, codes.OrderUnknown, "order: the order was claimed, its outcome cannot be read")
	}
	if row.Version == 0 {
		return Result{}, true, nil
	}
	result, decided, err = o.answerOnce(ctx, r, row)
	if decided {
		return result, false, err
	}
	return Result{}, false, codes.New(codes.OrderUnknown, "order: outcome of the order is unknown")
}

// answerOnce answers from a row unless it is a claim without an answer.
func (o *Orders) answerOnce(ctx context.Context, r Request, row core.Row) (Result, bool, error) {
	rec, err := decodeRecord(row.Value)
	if err != nil {
		return Result{}, true, codes.Wrap(err, codes.OrderUnknown, "order: record of the order cannot be read")
	}
	if rec.hash != r.Hash {
		return Result{}, true, mismatch()
	}
	if rec.state == recordClaim {
		return Result{}, false, nil
	}
	result, err := o.load(ctx, row.Key, rec)
	if err == nil {
		o.mu.Lock()
		o.stats.Repeated++
		o.mu.Unlock()
	}
	return result, true, err
}

// runs reports whether the claiming host answers that it still works on
// the claim. Only its own word counts: a restarted host does not know the
// token.
func (o *Orders) runs(ctx context.Context, r Request, row core.Row) bool {
	rec, err := decodeRecord(row.Value)
	if err != nil {
		return false
	}
	if rec.host == o.cfg.Host {
		return o.works(row.Key, row.Token)
	}
	running, err := o.peek(ctx, r, rec.host, rec.incarnation, row.Token)
	return err == nil && running
}

// peek asks a host whether it works on a claim.
func (o *Orders) peek(ctx context.Context, r Request, host core.HostID, incarnation uint64, token string) (bool, error) {
	if o.cfg.Peers == nil || !o.cfg.Alive(host, incarnation) {
		return false, codes.New(codes.PeerDown, "order: host %s is not alive", host)
	}
	ctx, cancel := context.WithTimeout(ctx, min(o.cfg.CommitTimeout, max(r.Deadline-o.cfg.Timer.Now(), time.Millisecond)))
	defer cancel()
	answer, err := o.cfg.Peers.Call(ctx, host, core.OrderStatusRequest{Workspace: r.Workspace, Key: r.Key, Token: token})
	if err != nil {
		return false, err
	}
	peeked, ok := answer.(core.OrderStatusResponse)
	if !ok {
		return false, codes.New(codes.PeerKind, "order: unexpected answer %s", answer.Kind())
	}
	return peeked.Running, nil
}

// works reports whether a call with the token is at this host: it runs, or
// its claim is being released.
func (o *Orders) works(row, token string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ghosts[token] != nil {
		return true
	}
	c := o.calls[row]
	return c != nil && c.token == token
}

func (o *Orders) handlePeek(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
	peek, ok := m.(core.OrderStatusRequest)
	if !ok {
		return nil, codes.New(codes.PeerKind, "order: unexpected message %s", m.Kind())
	}
	row := rowKey(peek.Workspace, peek.Key)
	if peek.Token != "" {
		return core.OrderStatusResponse{Running: o.works(row, peek.Token)}, nil
	}
	claimed, err := o.claimedHere(row, peek.Key)
	return core.OrderStatusResponse{Running: claimed}, err
}
