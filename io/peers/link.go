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
	headerTo   = "Azurering-Peer" // id of the host that it wants to reach
)

// link is what a host knows about the way to another host. Peers.mu guards
// it.
type link struct {
	conn  *conn    // newest open connection
	dial  *dialing // the attempt in progress
	pause *backoff.ExponentialBackOff
	// No dial to address before until.
	address string
	until   time.Duration
	err     error // of the last attempt
}

// dialing is one attempt to connect, shared by all calls that wait for it.
type dialing struct {
	done chan struct{}
	conn *conn
	err  error
}

// link returns the link to a host. The caller holds p.mu.
func (p *Peers) link(host core.HostID) *link {
	l := p.links[host]
	if l == nil {
		l = &link{pause: &backoff.ExponentialBackOff{
			InitialInterval: p.cfg.BackoffMin, MaxInterval: p.cfg.BackoffMax,
			Multiplier: 2, RandomizationFactor: 0.5,
		}}
		l.pause.Reset()
		p.links[host] = l
	}
	return l
}

// connect returns an open connection to a host and dials if there is none.
func (p *Peers) connect(ctx context.Context, to core.HostID) (*conn, error) {
	if c := p.current(to); c != nil {
		return c, nil
	}
	address, ok := p.cfg.ResolveAddress(to)
	if !ok {
		return nil, codes.New(codes.PeerUnknown, "peers: no host %s", to)
	}
	d, err := p.join(to, address)
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

func (p *Peers) current(to core.HostID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[to]; l != nil {
		return l.conn
	}
	return nil
}

// join returns the attempt in progress and starts one if there is none and
// the pause after the last failure is over.
func (p *Peers) join(to core.HostID, address string) (*dialing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, codes.New(codes.PeerDown, "peers: host %s is closed", p.cfg.Host)
	}
	l := p.link(to)
	if l.conn != nil {
		d := &dialing{done: make(chan struct{}), conn: l.conn}
		close(d.done)
		return d, nil
	}
	if l.dial != nil {
		return l.dial, nil
	}
	// The pause is for an address, not for a host, which may be replaced.
	if l.err != nil && l.address == address && p.cfg.Timer.Now() < l.until {
		return nil, l.err
	}
	l.address = address
	d := &dialing{done: make(chan struct{})}
	l.dial = d
	p.done.Go(func() { p.run(d, to, address) })
	return d, nil
}

// run makes one attempt. It does not end with the call that started it,
// because other calls wait for it too.
func (p *Peers) run(d *dialing, to core.HostID, address string) {
	d.conn, d.err = p.dial(to, address)
	p.mu.Lock()
	l := p.link(to)
	l.dial, l.err = nil, d.err
	if d.err == nil {
		l.pause.Reset()
	} else {
		l.until = p.cfg.Timer.Now() + l.pause.NextBackOff()
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
	ws, resp, err := websocket.Dial(withName(ctx, to), scheme+address+Path, &websocket.DialOptions{
		HTTPClient: p.client, HTTPHeader: header,
	})
	if err != nil {
		return nil, codes.Wrap(err, dialCode(resp), "peers: dialling host %s", to)
	}
	c, err := p.adopt(to, ws, true)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	p.done.Go(c.read)
	return c, nil
}

// dialCode tells a refusal of the other host from all other failures.
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

// checkAddress keeps the credential from leaving the machine unencrypted
// unless the settings allow it.
func (p *Peers) checkAddress(address string) error {
	if p.cfg.TLS != nil || p.cfg.AllowPlaintext || isLoopback(address) {
		return nil
	}
	return codes.New(codes.PeerRefused, "peers: address %s needs TLS", address)
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().Unmap().IsLoopback()
}

// adopt registers an open connection. If there are too many, the one that
// was unused for longest is closed.
func (p *Peers) adopt(host core.HostID, ws *websocket.Conn, dialled bool) (*conn, error) {
	victim, err := p.makeRoom()
	if err != nil {
		return nil, err
	}
	if victim != nil {
		victim.close(codes.New(codes.PeerDown, "peers: too many connections"))
	}
	c := newConn(p, host, ws, dialled)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.cancel()
		return nil, codes.New(codes.PeerDown, "peers: host %s is closed", p.cfg.Host)
	}
	p.conns[c] = struct{}{}
	// The newest connection is used: an older one may lead to an earlier run
	// of the other host.
	p.link(host).conn = c
	p.done.Go(c.write)
	p.done.Go(c.dispatch)
	return c, nil
}

// makeRoom returns the connection to close so that another one may open.
func (p *Peers) makeRoom() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) < p.cfg.MaxConns {
		return nil, nil
	}
	var oldest *conn
	var since time.Duration
	for c := range p.conns {
		used, busy := c.use()
		if !busy && (oldest == nil || used < since) {
			oldest, since = c, used
		}
	}
	if oldest == nil {
		return nil, codes.New(codes.PeerDown, "peers: all %d connections are in use", len(p.conns))
	}
	return oldest, nil
}

// release forgets a closed connection.
func (p *Peers) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	if l := p.links[c.host]; l != nil && l.conn == c {
		l.conn = nil
	}
}
