package fakes

import (
	"context"
	"sync"

	"azurering/core"
	"azurering/core/codes"
)

// Network joins in-memory peers. Links between hosts can be cut and hosts
// stopped. The zero value is ready to use. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	peers map[core.HostID]*Peer
	cut   map[[2]core.HostID]bool
	down  map[core.HostID]bool
}

// Peer is the core.Peers of one host on a Network.
type Peer struct {
	net      *Network
	host     core.HostID
	mu       sync.Mutex
	handlers map[core.MessageKind]core.MessageHandler
	calls    int
}

// Peer returns the peer of a host. A second call for the same host returns
// an empty one, as a restarted host would be.
func (n *Network) Peer(host core.HostID) *Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.peers == nil {
		n.peers = make(map[core.HostID]*Peer)
	}
	p := &Peer{net: n, host: host, handlers: make(map[core.MessageKind]core.MessageHandler)}
	n.peers[host] = p
	return p
}

// SetCut cuts or heals the link between two hosts, both ways.
func (n *Network) SetCut(a, b core.HostID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[[2]core.HostID]bool)
	}
	n.cut[[2]core.HostID{a, b}] = cut
	n.cut[[2]core.HostID{b, a}] = cut
}

// SetDown stops a host or starts it again.
func (n *Network) SetDown(host core.HostID, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down == nil {
		n.down = make(map[core.HostID]bool)
	}
	n.down[host] = down
}

func (n *Network) reach(from, to core.HostID) (*Peer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[to]
	if p == nil {
		return nil, codes.New(codes.PeerUnknown, "fakes: no host %s", to)
	}
	if n.down[from] || n.down[to] || n.cut[[2]core.HostID{from, to}] {
		return nil, codes.New(codes.PeerDown, "fakes: host %s cannot be reached from %s", to, from)
	}
	return p, nil
}

// Handle implements core.Peers.
func (p *Peer) Handle(kind core.MessageKind, h core.MessageHandler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[kind] = h
}

// CallCount returns how many messages the host has sent.
func (p *Peer) CallCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Call implements core.Peers. The handler runs in the caller's goroutine.
func (p *Peer) Call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	target, err := p.net.reach(p.host, to)
	if err != nil {
		return nil, err
	}
	target.mu.Lock()
	h := target.handlers[m.Kind()]
	target.mu.Unlock()
	if h == nil {
		return nil, codes.New(codes.PeerKind, "fakes: host %s does not handle %s", to, m.Kind())
	}
	answer, err := h(ctx, p.host, m)
	if ctx.Err() != nil {
		return nil, codes.Wrap(ctx.Err(), codes.PeerDown, "fakes: call of %s to host %s", m.Kind(), to)
	}
	if err != nil {
		return nil, err
	}
	// The link may have been cut while the handler ran; then the answer is
	// lost although the message was handled.
	if _, err := p.net.reach(to, p.host); err != nil {
		return nil, err
	}
	return answer, nil
}
