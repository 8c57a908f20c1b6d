package peers

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"

	"azurering/core"
	"azurering/core/codes"
)

// Headers of the WebSocket handshake.
const (
	headerFrom = "Azurering-Host" // id of the host that dials
	headerTo   = "Azurering-Peer" // id of the host that is dialled
)

// link holds the connection and the dial state for another host. Peers.mu
// guards it.
type link struct {
	conn    *conn        // newest open connection, or nil
	attempt *dialAttempt // the dial in progress, or nil
	backoff *backoff.ExponentialBackOff
	// After a failed dial, address is not dialled before retryAt.
	address string
	retryAt time.Duration
	lastErr error // of the last dial
}

// dialAttempt is one dial, shared by all calls that wait for it. conn and
// err are set before done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *conn
	err  error
}

// link returns the link to a host and creates it if needed. The caller holds
// p.mu.
func (p *Peers) link(host core.HostID) *link {
	l := p.links[host]
	if l == nil {
		l = &link{backoff: &backoff.ExponentialBackOff{
			InitialInterval: p.cfg.BackoffMin, MaxInterval: p.cfg.BackoffMax,
			Multiplier: 2, RandomizationFactor: 0.5,
		}}
		l.backoff.Reset()
		p.links[host] = l
	}
	return l
}

// connect returns the open connection to a host, or dials the host.
func (p *Peers) connect(ctx context.Context, to core.HostID) (*conn, error) {
	if c := p.openConn(to); c != nil {
		return c, nil
	}
	address, ok := p.cfg.ResolveAddress(to)
	if !ok {
		return nil, codes.New(codes.PeerUnknown, "peers: host %s has no known address", to)
	}
	d, err := p.ensureDial(to, address)
	if err != nil {
		return nil, err
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, codes.Wrap(ctx.Err(), codes.PeerDown, "peers: dialling host %s", to)
	}
}

// openConn returns the open connection to a host, or nil.
func (p *Peers) openConn(to core.HostID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[to]; l != nil {
		return l.conn
	}
	return nil
}

// ensureDial returns the dial in progress or starts one. It returns the last
// error if the backoff after a failed dial has not passed.
func (p *Peers) ensureDial(to core.HostID, address string) (*dialAttempt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, codes.New(codes.PeerDown, "peers: host %s has closed its peer connections", p.cfg.Host)
	}
	l := p.link(to)
	if l.conn != nil {
		d := &dialAttempt{done: make(chan struct{}), conn: l.conn}
		close(d.done)
		return d, nil
	}
	if l.attempt != nil {
		return l.attempt, nil
	}
	// The backoff applies to an address, since a host may come back at a new
	// one.
	if l.lastErr != nil && l.address == address && p.cfg.Timer.Now() < l.retryAt {
		return nil, l.lastErr
	}
	l.address = address
	d := &dialAttempt{done: make(chan struct{})}
	l.attempt = d
	p.wg.Go(func() { p.runDial(d, to, address) })
	return d, nil
}

// runDial makes one dial attempt. It does not end with the call that started
// it, because other calls wait for it too.
func (p *Peers) runDial(d *dialAttempt, to core.HostID, address string) {
	d.conn, d.err = p.dial(to, address)
	p.mu.Lock()
	l := p.link(to)
	l.attempt, l.lastErr = nil, d.err
	if d.err == nil {
		l.backoff.Reset()
	} else {
		l.retryAt = p.cfg.Timer.Now() + l.backoff.NextBackOff()
	}
	p.mu.Unlock()
	close(d.done)
	if d.err != nil {
		p.cfg.Log.WithError(d.err).WithField("peer", to).Warn("peers: dial failed")
	}
}

func (p *Peers) dial(to core.HostID, address string) (*conn, error) {
	p.dials.Add(1)
	if err := p.checkAddress(address); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(p.ctx, p.cfg.DialTimeout)
	defer cancel()
	header := http.Header{}
	header.Set(headerFrom, string(p.cfg.Host))
	header.Set(headerTo, string(to))
	if p.cfg.SharedSecret != "" {
		header.Set("Authorization", "Bearer "+p.cfg.SharedSecret)
	}
	scheme := "ws://"
	if p.cfg.TLS != nil {
		scheme = "wss://"
	}
	ws, resp, err := websocket.Dial(withHostID(ctx, to), scheme+address+Path, &websocket.DialOptions{
		HTTPClient: p.client, HTTPHeader: header,
	})
	if err != nil {
		return nil, codes.Wrap(err, dialCode(resp), "peers: dialling host %s", to)
	}
	c, err := p.addConn(to, ws, true)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	p.wg.Go(c.readLoop)
	return c, nil
}

// dialCode returns PeerRefused if the other host refused the handshake, and
// PeerDown for all other failures.
func dialCode(resp *http.Response) codes.Code {
	if resp == nil {
		return codes.PeerDown
	}
	switch resp.StatusCode {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusBadRequest:
		return codes.PeerRefused
	default:
		return codes.PeerDown
	}
}

// checkAddress refuses an unencrypted connection beyond loopback unless the
// settings allow it, because it would expose the credential.
func (p *Peers) checkAddress(address string) error {
	if p.cfg.TLS != nil || p.cfg.AllowPlaintext || isLoopback(address) {
		return nil
	}
	return codes.New(codes.PeerRefused, "peers: connecting to %s requires TLS", address)
}

func isLoopback(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Addr().Unmap().IsLoopback()
}

// addConn registers an open connection and starts its goroutines for writing
// and dispatching. At the connection limit it closes the least recently used
// connection that is not in use.
func (p *Peers) addConn(host core.HostID, ws *websocket.Conn, dialled bool) (*conn, error) {
	evicted, err := p.evictionCandidate()
	if err != nil {
		return nil, err
	}
	if evicted != nil {
		evicted.close(codes.New(codes.PeerDown, "peers: connection closed to stay within the connection limit"))
	}
	c := newConn(p, host, ws, dialled)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.cancel()
		return nil, codes.New(codes.PeerDown, "peers: host %s has closed its peer connections", p.cfg.Host)
	}
	p.conns[c] = struct{}{}
	// Calls use the newest connection: an older one may belong to an earlier
	// process of the other host.
	p.link(host).conn = c
	p.wg.Go(c.writeLoop)
	p.wg.Go(c.dispatchLoop)
	return c, nil
}

// evictionCandidate returns the connection to close before another one is
// added, or nil below the connection limit. It fails if all connections are
// in use.
func (p *Peers) evictionCandidate() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) < p.cfg.MaxConns {
		return nil, nil
	}
	var oldest *conn
	var oldestUse time.Duration
	for c := range p.conns {
		lastUsed, busy := c.usage()
		if !busy && (oldest == nil || lastUsed < oldestUse) {
			oldest, oldestUse = c, lastUsed
		}
	}
	if oldest == nil {
		return nil, codes.New(codes.PeerDown, "peers: connection limit reached and all %d connections are in use", len(p.conns))
	}
	return oldest, nil
}

// removeConn removes a closed connection, so that calls no longer use it.
func (p *Peers) removeConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	if l := p.links[c.host]; l != nil && l.conn == c {
		l.conn = nil
	}
}
