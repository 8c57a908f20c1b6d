// Package peers implements core.Peers over WebSocket connections between
// entry hosts.
//
// A pair of hosts shares one connection for calls in both directions; two
// hosts that dial each other at the same moment may have two. The host that
// dialled numbers its calls with odd ids and the other one with even ids,
// so a frame is an answer if its id is one of the receiver's own.
//
// Each connection has a reading, a dispatching and a writing goroutine,
// joined by bounded rings. Nothing is shared between connections, so a slow
// peer holds up only the calls to itself.
package peers

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/timer"
	"azurering/io/wire"
)

// Path is the path of the peer listener at which Handler is mounted.
const Path = "/peer"

// Config configures Peers. Host and Address are required, and either TLS or
// Credential.
type Config struct {
	// Host is the id of this host.
	Host core.HostID
	// ResolveAddress returns the peer address (IP address and port) of a host, and
	// false for an unknown host. It is called from several goroutines.
	ResolveAddress func(core.HostID) (string, bool)

	// TLS holds this host's certificate and the CAs that certificates of
	// other hosts must come from, both as clients (ClientCAs) and as servers
	// (RootCAs). Without it, connections are not encrypted.
	TLS *tls.Config
	// VerifyNames demands that the certificate of a host holds the host's id
	// as a DNS name. Without it, any host with a certificate of the CA can
	// claim any id, and certificates of servers must hold the IP address
	// that is dialled, or the ServerName in TLS.
	VerifyNames bool
	// SharedSecret is a secret that all hosts share. It is checked in addition
	// to TLS if both are set.
	SharedSecret string
	// AllowPlaintext allows unencrypted connections beyond loopback.
	AllowPlaintext bool

	CallTimeout time.Duration // of a call and of a handler; zero means 10 s
	DialTimeout time.Duration // zero means 3 s
	// IdleTimeout is how long a connection without calls stays open. Zero means
	// 60 s.
	IdleTimeout time.Duration
	BackoffMin  time.Duration // first pause after a failed dial; zero means 100 ms
	BackoffMax  time.Duration // longest pause between dials; zero means 2 s

	MaxConns     int // open connections; zero means 1024
	MaxFrameSize int // bytes of a frame; zero means wire.MaxFrame
	QueueSize    int // frames that wait per connection and direction; zero means 64
	MaxHandlers  int // handlers that run at once per connection; zero means 8

	// Timer paces idle connections and pauses between dials; nil means real
	// time. Timeout and DialTimeout are always in real time.
	Timer core.Timer
	Log   logrus.FieldLogger // nil means no log
}

// Stats are counts since the start, except Conns and Links.
type Stats struct {
	Conns             int    // connections open now
	Links             int    // hosts that were called lately
	Dials             uint64 // attempts to dial
	LateAnswers       uint64 // answers dropped because their call had ended
	QueueRefusals     uint64 // requests refused because the queue was full
	RefusedHandshakes uint64 // connection attempts refused
}

// Peers implements core.Peers. It is safe for concurrent use.
type Peers struct {
	cfg    Config
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	handlersMu sync.RWMutex
	handlers   map[core.MessageKind]core.MessageHandler

	mu     sync.Mutex
	closed bool
	links  map[core.HostID]*link
	conns  map[*conn]struct{}

	dials, late, dropped, refused atomic.Uint64
}

var _ core.Peers = (*Peers)(nil)

// New returns the peers of a host. It starts one goroutine that closes idle
// and silent connections; Close ends it. Errors carry SettingsInvalid.
func New(cfg Config) (*Peers, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	p := &Peers{
		cfg: cfg, client: newClient(cfg), ctx: ctx, cancel: cancel,
		handlers: make(map[core.MessageKind]core.MessageHandler),
		links:    make(map[core.HostID]*link),
		conns:    make(map[*conn]struct{}),
	}
	ticks := cfg.Timer.NewTicker("peers", time.Second)
	p.done.Go(func() { p.keep(ticks) })
	return p, nil
}

func (c Config) check() error {
	if c.Host == "" || c.ResolveAddress == nil {
		return codes.New(codes.SettingsInvalid, "peers: host and address function are required")
	}
	if c.TLS == nil && c.SharedSecret == "" {
		return codes.New(codes.SettingsInvalid, "peers: TLS or a credential is required")
	}
	if c.TLS == nil && c.VerifyNames {
		return codes.New(codes.SettingsInvalid, "peers: names cannot be verified without TLS")
	}
	if c.TLS == nil {
		return nil
	}
	return checkTLS(c.TLS)
}

func (c *Config) setDefaults() {
	setDuration(&c.CallTimeout, 10*time.Second)
	setDuration(&c.DialTimeout, 3*time.Second)
	setDuration(&c.IdleTimeout, time.Minute)
	setDuration(&c.BackoffMin, 100*time.Millisecond)
	setDuration(&c.BackoffMax, 2*time.Second)
	setInt(&c.MaxConns, 1024)
	setInt(&c.MaxFrameSize, wire.MaxFrameSize)
	setInt(&c.QueueSize, 64)
	setInt(&c.MaxHandlers, 8)
	if c.Timer == nil {
		c.Timer = timer.NewReal()
	}
	if c.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		c.Log = silent
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

// Handle implements core.Peers.
func (p *Peers) Handle(kind core.MessageKind, h core.MessageHandler) {
	p.handlersMu.Lock()
	defer p.handlersMu.Unlock()
	p.handlers[kind] = h
}

func (p *Peers) handler(kind core.MessageKind) (core.MessageHandler, error) {
	p.handlersMu.RLock()
	defer p.handlersMu.RUnlock()
	if h := p.handlers[kind]; h != nil {
		return h, nil
	}
	return nil, codes.New(codes.PeerKind, "peers: host %s does not handle %s", p.cfg.Host, kind)
}

// Call implements core.Peers. It waits at most Config.Timeout. While a host
// cannot be dialled, calls to it fail at once until the next attempt is
// due. Besides the codes of core.Peers it returns PeerFrame for a message
// that cannot be encoded.
func (p *Peers) Call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	if to == p.cfg.Host {
		return p.local(ctx, m)
	}
	c, err := p.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, m)
}

// local handles a message that a host sends to itself.
func (p *Peers) local(ctx context.Context, m core.Message) (core.Message, error) {
	h, err := p.handler(m.Kind())
	if err != nil {
		return nil, err
	}
	return h(ctx, p.cfg.Host, m)
}

// Stats returns the counts of the peers.
func (p *Peers) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Conns: len(p.conns), Links: len(p.links), Dials: p.dials.Load(), LateAnswers: p.late.Load(),
		QueueRefusals: p.dropped.Load(), RefusedHandshakes: p.refused.Load(),
	}
}

// Close closes all connections and waits for their goroutines and for the
// running handlers. Calls that wait get PeerDown.
func (p *Peers) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	for _, c := range p.open() {
		c.close(codes.New(codes.PeerDown, "peers: host %s is closing", p.cfg.Host))
	}
	p.done.Wait()
	p.client.CloseIdleConnections()
	return nil
}

// open returns the open connections.
func (p *Peers) open() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	return conns
}

// keep closes connections that are idle or whose other end has gone silent.
func (p *Peers) keep(ticks core.Ticker) {
	defer ticks.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticks.C():
			p.sweep(p.cfg.Timer.Now())
		}
	}
}

func (p *Peers) sweep(now time.Duration) {
	for _, c := range p.open() {
		if err := c.stale(now); err != nil {
			c.close(err)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for host, l := range p.links {
		if l.conn == nil && l.dial == nil && now > l.until+p.cfg.IdleTimeout {
			delete(p.links, host)
		}
	}
}
