package peers

import (
	"context"
	"fmt"
	"strings"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// call sends a request and waits for its answer.
func (c *conn) call(ctx context.Context, m core.Message) (core.Message, error) {
	id, done, err := c.begin()
	if err != nil {
		return nil, err
	}
	defer c.forget(id)
	frame, err := c.encode(id, m)
	if err != nil {
		return nil, err
	}
	// A full ring must not hold the call once the connection has ended.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(c.ctx, cancel)
	defer stop()
	c.touch(true)
	if err := c.out.Put(ctx, outgoing{ctx: ctx, frame: frame}); err != nil {
		return nil, codes.Wrap(err, codes.PeerDown, "peers: call of %s to host %s", m.Kind(), c.host)
	}
	select {
	case a := <-done:
		return a.message, a.err
	case <-ctx.Done():
	}
	// Both may be ready; an answer that has arrived counts.
	select {
	case a := <-done:
		return a.message, a.err
	default:
		return nil, codes.Wrap(ctx.Err(), codes.PeerDown, "peers: call of %s to host %s", m.Kind(), c.host)
	}
}

// begin registers a call.
func (c *conn) begin() (uint64, chan answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		return 0, nil, codes.Wrap(c.err, codes.PeerDown, "peers: connection to host %s is closed", c.host)
	}
	id := c.next
	c.next += 2
	done := make(chan answer, 1)
	c.calls[id] = done
	return id, done, nil
}

// forget drops a call, so that a late answer finds nobody.
func (c *conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
}

// finish hands an answer to its call.
func (c *conn) finish(id uint64, a answer) {
	c.mu.Lock()
	done := c.calls[id]
	delete(c.calls, id)
	c.mu.Unlock()
	if done == nil {
		c.peers.late.Add(1)
		return
	}
	done <- a
}

// touch records the use of the connection by a call or by an incoming frame.
func (c *conn) touch(call bool) {
	now := c.peers.cfg.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = now
	if !call {
		c.waiting = false
	} else if !c.waiting {
		c.waiting, c.since = true, now
	}
}

func (c *conn) count(n int) {
	now := c.peers.cfg.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += n
	c.used = now
}

// use returns when the connection was last used and whether it is in use.
func (c *conn) use() (last time.Duration, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, len(c.calls) > 0 || c.running > 0
}

// stale returns an error if the connection should be closed: it is idle, or
// the other host has sent nothing since a call that must have ended long
// ago. The second rule finds connections to a host that vanished without
// closing them.
func (c *conn) stale(now time.Duration) error {
	used, busy := c.use()
	if !busy && now-used >= c.peers.cfg.IdleTimeout {
		return codes.New(codes.PeerDown, "peers: connection to host %s was idle", c.host)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && now-c.since >= 2*c.peers.cfg.CallTimeout {
		return codes.New(codes.PeerDown, "peers: host %s is silent", c.host)
	}
	return nil
}

// printable replaces what a text string must not hold.
func printable(text string) string { return strings.ToValidUTF8(text, "?") }

// closeReason is the reason in a close frame, which holds at most 123 bytes.
func closeReason(cause error) string {
	return fmt.Sprintf("refused (code %d)", codes.Of(cause))
}
