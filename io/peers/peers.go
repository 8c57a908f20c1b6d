// Package peers implements core.Peers over WebSocket connections. The entry
// program uses it for all messages between entry hosts.
//
// Two hosts share one connection for calls in both directions; if they dial
// each other at the same time they may have two. The host that dialled uses
// odd call ids and the other host uses even ones, so a frame is an answer if
// its id is one of the receiver's own.
//
// Each connection has one goroutine each for reading, dispatching and
// writing, connected by bounded rings. Connections share no queue, so a slow
// peer delays only the calls to itself.
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

// Path is the HTTP path of the peer listener at which Handler must be
// mounted.
const Path = "/peer"

// Config configures Peers. Host and Address are required, and at least one
// of TLS and Credential.
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
	// VerifyNames requires that the certificate of a host has the host's id
	// as a DNS name. Without it, any host with a certificate of the CA can
	// claim any id, and the certificate of a dialled host must have the IP
	// address that is dialled, or the ServerName in TLS.
	VerifyNames bool
	// SharedSecret is a secret that all hosts share. It is checked in addition
	// to TLS if both are set.
	SharedSecret string
	// AllowPlaintext allows unencrypted connections beyond loopback.
	AllowPlaintext bool

	CallTimeout time.Duration // of a call, a handler and the writing of a frame; zero means 10 s
	DialTimeout time.Duration // zero means 3 s
	// IdleTimeout is how long a connection stays open without calls in either
	// direction. Zero means 60 s.
	IdleTimeout time.Duration
	BackoffMin  time.Duration // mean backoff after the first failed dial; zero means 100 ms
	BackoffMax  time.Duration // maximum of the mean backoff between dials; zero means 2 s

	MaxConns     int // maximum number of open connections; zero means 1024
	MaxFrameSize int // maximum size of a frame in bytes; zero means wire.MaxFrameSize
	QueueSize    int // maximum number of queued frames per connection and direction; zero means 64
	MaxHandlers  int // maximum number of concurrent handlers per connection; zero means 8

	// Timer is the clock for idle connections and for the backoff between
	// dials; nil means real time. Timeout and DialTimeout always use real
	// time.
	Timer core.Timer
	Log   logrus.FieldLogger // nil disables logging
}

// Stats holds counters since New, except Conns and Links, which are current
// numbers.
type Stats struct {
	Conns             int    // open connections
	Links             int    // other hosts with a connection or dial state
	Dials             uint64 // dial attempts
	LateAnswers       uint64 // answers that arrived after their call had ended
	QueueRefusals     uint64 // requests refused because the inbound queue was full
	RefusedHandshakes uint64 // incoming connections refused at the handshake
}

// Peers implements core.Peers. It is safe for concurrent use.
type Peers struct {
	cfg    Config
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	handlersMu sync.RWMutex
	handlers   map[core.MessageKind]core.MessageHandler

	mu     sync.Mutex
	closed bool
	links  map[core.HostID]*link
	conns  map[*conn]struct{}

	dials, lateAnswers, queueRefusals, refusedConns atomic.Uint64
}

var _ core.Peers = (*Peers)(nil)

// New returns the Peers of a host. It starts a goroutine that closes idle and
// unresponsive connections; Close ends it. Errors carry SettingsInvalid.
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
	p.wg.Go(func() { p.sweepLoop(ticks) })
	return p, nil
}

func (c Config) check() error {
	if c.Host == "" || c.ResolveAddress == nil {
		return codes.New(codes.SettingsInvalid, "peers: Host and Address are required")
	}
	if c.TLS == nil && c.SharedSecret == "" {
		return codes.New(codes.SettingsInvalid, "peers: TLS or Credential is required")
	}
	if c.TLS == nil && c.VerifyNames {
		return codes.New(codes.SettingsInvalid, "peers: VerifyNames requires TLS")
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
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		c.Log = discard
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

// Call implements core.Peers. It waits at most Config.CallTimeout. After a failed
// dial, calls to the host fail at once until the backoff has passed. Besides
// the codes of core.Peers, errors carry PeerFrame for a message that cannot
// be encoded.
func (p *Peers) Call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	if to == p.cfg.Host {
		return p.callLocal(ctx, m)
	}
	c, err := p.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, m)
}

// callLocal handles a message that a host sends to itself.
func (p *Peers) callLocal(ctx context.Context, m core.Message) (core.Message, error) {
	h, err := p.handler(m.Kind())
	if err != nil {
		return nil, err
	}
	return h(ctx, p.cfg.Host, m)
}

// Stats returns the current counters.
func (p *Peers) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Conns: len(p.conns), Links: len(p.links), Dials: p.dials.Load(), LateAnswers: p.lateAnswers.Load(),
		QueueRefusals: p.queueRefusals.Load(), RefusedHandshakes: p.refusedConns.Load(),
	}
}

// Close closes all connections and waits for their goroutines and for the
// running handlers. Pending and later calls fail with PeerDown. It always
// returns nil.
func (p *Peers) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	for _, c := range p.openConns() {
		c.close(codes.New(codes.PeerDown, "peers: host %s is closing", p.cfg.Host))
	}
	p.wg.Wait()
	p.client.CloseIdleConnections()
	return nil
}

func (p *Peers) openConns() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	return conns
}

// sweepLoop closes idle and unresponsive connections once a second.
func (p *Peers) sweepLoop(ticks core.Ticker) {
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

// sweep closes idle and unresponsive connections and removes links without
// a connection whose backoff ended more than Config.IdleTimeout ago.
func (p *Peers) sweep(now time.Duration) {
	for _, c := range p.openConns() {
		if err := c.checkLiveness(now); err != nil {
			c.close(err)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for host, l := range p.links {
		if l.conn == nil && l.attempt == nil && now > l.retryAt+p.cfg.IdleTimeout {
			delete(p.links, host)
		}
	}
}
