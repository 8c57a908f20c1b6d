package peers

import (
	"context"
	"fmt"
	"strings"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// call sends a request and waits for its answer. It has no timeout of its
// own: it ends with ctx or with the connection.
func (c *conn) call(ctx context.Context, m core.Message) (core.Message, error) {
	id, done, err := c.registerCall()
	if err != nil {
		return nil, err
	}
	defer c.unregisterCall(id)
	frame, err := c.encode(id, m)
	if err != nil {
		return nil, err
	}
	// Ends the wait for room in a full ring when the connection ends.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(c.ctx, cancel)
	defer stop()
	c.recordActivity(true)
	if err := c.outbound.Put(ctx, outboundFrame{ctx: ctx, frame: frame}); err != nil {
		return nil, codes.Wrap(err, codes.PeerDown, "peers: call of %s to host %s", m.Kind(), c.host)
	}
	select {
	case res := <-done:
		return res.message, res.err
	case <-ctx.Done():
	}
	// select picks at random if both are ready; an answer that has arrived is
	// returned.
	select {
	case res := <-done:
		return res.message, res.err
	default:
		return nil, codes.Wrap(ctx.Err(), codes.PeerDown, "peers: call of %s to host %s", m.Kind(), c.host)
	}
}

// registerCall assigns a call id and returns the channel that gets the
// result. It fails if the connection is closed.
func (c *conn) registerCall() (uint64, chan callResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		return 0, nil, codes.Wrap(c.closeErr, codes.PeerDown, "peers: connection to host %s is closed", c.host)
	}
	id := c.nextID
	c.nextID += 2
	done := make(chan callResult, 1)
	c.pending[id] = done
	return id, done, nil
}

// unregisterCall removes a call, so that a late answer is dropped.
func (c *conn) unregisterCall(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// completeCall passes a result to the call that waits for it, and counts
// the answer as late if there is none.
func (c *conn) completeCall(id uint64, res callResult) {
	c.mu.Lock()
	done := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if done == nil {
		c.peers.lateAnswers.Add(1)
		return
	}
	done <- res
}

// recordActivity records that a call was sent or, if sent is false, that a
// frame came in.
func (c *conn) recordActivity(sent bool) {
	now := c.peers.cfg.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = now
	if !sent {
		c.awaitingFrame = false
	} else if !c.awaitingFrame {
		c.awaitingFrame, c.awaitingSince = true, now
	}
}

// addHandlers changes the number of running handlers.
func (c *conn) addHandlers(delta int) {
	now := c.peers.cfg.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeHandlers += delta
	c.lastUsed = now
}

// usage returns when the connection was last used and whether calls or
// handlers are running on it.
func (c *conn) usage() (lastUsed time.Duration, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed, len(c.pending) > 0 || c.activeHandlers > 0
}

// checkLiveness returns an error if the connection should be closed: it is
// idle, or no frame has come in for twice the call timeout after a call. The
// second rule finds connections to a host that failed without closing them.
func (c *conn) checkLiveness(now time.Duration) error {
	lastUsed, busy := c.usage()
	if !busy && now-lastUsed >= c.peers.cfg.IdleTimeout {
		return codes.New(codes.PeerDown, "peers: closing idle connection to host %s", c.host)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingFrame && now-c.awaitingSince >= 2*c.peers.cfg.CallTimeout {
		return codes.New(codes.PeerDown, "peers: host %s does not respond", c.host)
	}
	return nil
}

// validUTF8 replaces invalid UTF-8, which the receiver's CBOR decoder would
// refuse.
func validUTF8(text string) string { return strings.ToValidUTF8(text, "?") }

// closeReason returns the reason for a close frame, which holds at most 123
// bytes; the error's text could be longer.
func closeReason(cause error) string {
	return fmt.Sprintf("refused (code %d)", codes.Of(cause))
}
