package peers

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/rings"
	"azurering/io/wire"
)

// maxRefusalText is the maximum length of a refusal's text in bytes.
const maxRefusalText = 1024

// conn is one connection to another host. Its goroutines end when ctx ends.
type conn struct {
	peers     *Peers
	host      core.HostID
	ws        *websocket.Conn
	idParity  uint64 // id modulo 2 of this host's calls: 1 if this host dialled
	ctx       context.Context
	cancel    context.CancelFunc
	closeOnce sync.Once
	inbound   *rings.Ring // of request, from readLoop to dispatchLoop
	outbound  *rings.Ring // of outboundFrame, from callers and handlers to writeLoop

	mu             sync.Mutex
	closeErr       error // why the connection was closed
	pending        map[uint64]chan callResult
	nextID         uint64
	activeHandlers int
	lastUsed       time.Duration // when a call, a frame or a handler last used the connection
	awaitingFrame  bool          // a call was sent since the last frame came in
	awaitingSince  time.Duration // when the first such call was sent
}

type request struct {
	id      uint64
	message core.Message
	handler core.MessageHandler
}

type callResult struct {
	message core.Message
	err     error
}

// outboundFrame is a frame to write. It is skipped if its context has ended.
type outboundFrame struct {
	ctx   context.Context
	frame []byte
}

func newConn(p *Peers, host core.HostID, ws *websocket.Conn, dialled bool) *conn {
	ctx, cancel := context.WithCancel(p.ctx)
	c := &conn{
		peers: p, host: host, ws: ws, ctx: ctx, cancel: cancel,
		inbound:  rings.New(rings.Config{Name: "peers-in", Size: p.cfg.QueueSize}),
		outbound: rings.New(rings.Config{Name: "peers-out", Size: p.cfg.QueueSize}),
		pending:  make(map[uint64]chan callResult),
		nextID:   2,
		lastUsed: p.cfg.Timer.Now(),
	}
	if dialled {
		c.idParity, c.nextID = 1, 1
	}
	ws.SetReadLimit(int64(p.cfg.MaxFrameSize))
	return c
}

// readLoop reads and handles frames until the connection ends.
func (c *conn) readLoop() {
	for {
		kind, frame, err := c.ws.Read(c.ctx)
		if err != nil {
			c.close(codes.Wrap(err, codes.PeerDown, "peers: connection to host %s ended", c.host))
			return
		}
		if kind != websocket.MessageBinary {
			c.protocolError(codes.New(codes.PeerFrame, "peers: host %s sent a text frame instead of a binary frame", c.host))
			return
		}
		if err := c.handleFrame(frame); err != nil {
			c.protocolError(err)
			return
		}
	}
}

// handleFrame passes an answer to its call and queues a request. An error
// means that the connection must be closed.
func (c *conn) handleFrame(frame []byte) error {
	c.recordActivity(false)
	id, m, err := wire.DecodeFrame(frame)
	if id == 0 && err == nil {
		err = codes.New(codes.PeerFrame, "peers: host %s sent the invalid call id 0", c.host)
	}
	if id == 0 {
		return err
	}
	if id%2 == c.idParity {
		c.completeCall(id, c.toResult(m, err))
		return nil
	}
	if err != nil {
		c.refuse(id, err)
		return nil
	}
	h, err := c.peers.handler(m.Kind())
	if err == nil {
		err = c.inbound.Offer(request{id: id, message: m, handler: h})
		if err != nil {
			c.peers.queueRefusals.Add(1)
		}
	}
	if err != nil {
		c.refuse(id, err)
	}
	return nil
}

// toResult returns the result of a call and turns a refusal into an error
// with its code.
func (c *conn) toResult(m core.Message, err error) callResult {
	refused, ok := m.(core.ErrorResponse)
	if !ok {
		return callResult{message: m, err: err}
	}
	code := codes.Code(refused.Code)
	if code <= codes.OK {
		code = codes.PeerRefused
	}
	return callResult{err: codes.New(code, "peers: host %s refused: %s", c.host, refused.Text)}
}

// refuse answers a request with a refusal. It blocks while the outbound ring
// is full, which slows down a peer that sends more than is handled. Two
// hosts that block each other this way are released by the timeout for
// writing a frame, which closes the connection.
func (c *conn) refuse(id uint64, cause error) {
	frame, err := wire.EncodeFrame(id, refusal(cause))
	if err != nil {
		c.peers.cfg.Log.WithError(err).WithField("peer", c.host).Error("peers: cannot encode a refusal; its request stays unanswered")
		return
	}
	_ = c.outbound.Put(c.ctx, outboundFrame{ctx: c.ctx, frame: frame})
}

func refusal(cause error) core.ErrorResponse {
	text := cause.Error()
	if len(text) > maxRefusalText {
		text = text[:maxRefusalText]
	}
	return core.ErrorResponse{Code: int(codes.Of(cause)), Text: validUTF8(text)}
}

// dispatchLoop runs the handlers of requests, at most Config.MaxHandlers at once.
func (c *conn) dispatchLoop() {
	slots := make(chan struct{}, c.peers.cfg.MaxHandlers)
	for {
		select {
		case <-c.ctx.Done():
			return
		case slots <- struct{}{}:
		}
		select {
		case <-c.ctx.Done():
			return
		case item := <-c.inbound.C():
			r := item.(request)
			c.addHandlers(1)
			c.peers.wg.Go(func() {
				c.handleRequest(r)
				c.addHandlers(-1)
				<-slots
			})
		}
	}
}

func (c *conn) handleRequest(r request) {
	ctx, cancel := context.WithTimeout(c.ctx, c.peers.cfg.CallTimeout)
	defer cancel()
	m, err := r.handler(ctx, c.host, r.message)
	if err == nil && m == nil {
		err = codes.New(codes.Internal, "peers: handler of %s returned no answer", r.message.Kind())
	}
	if err != nil {
		m = refusal(err)
	}
	frame, err := c.encode(r.id, m)
	if err != nil {
		c.peers.cfg.Log.WithError(err).WithField("peer", c.host).Error("peers: cannot encode an answer; sending a refusal instead")
		if frame, err = wire.EncodeFrame(r.id, refusal(err)); err != nil {
			return
		}
	}
	_ = c.outbound.Put(c.ctx, outboundFrame{ctx: c.ctx, frame: frame})
}

func (c *conn) encode(id uint64, m core.Message) ([]byte, error) {
	frame, err := wire.EncodeFrame(id, m)
	if err == nil && len(frame) > c.peers.cfg.MaxFrameSize {
		err = codes.New(codes.PeerFrame, "peers: frame of %d bytes exceeds the limit of %d bytes", len(frame), c.peers.cfg.MaxFrameSize)
	}
	return frame, err
}

// writeLoop writes frames until the connection ends. It closes the
// connection if writing a frame takes longer than the call timeout.
func (c *conn) writeLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case item := <-c.outbound.C():
			o := item.(outboundFrame)
			if o.ctx.Err() != nil {
				continue
			}
			if err := c.writeFrame(o.frame); err != nil {
				c.close(codes.Wrap(err, codes.PeerDown, "peers: writing to host %s", c.host))
				return
			}
		}
	}
}

func (c *conn) writeFrame(frame []byte) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.peers.cfg.CallTimeout)
	defer cancel()
	return c.ws.Write(ctx, websocket.MessageBinary, frame)
}

// close closes the connection without a close frame. Only the first close,
// by this or by protocolError, has an effect.
func (c *conn) close(cause error) {
	c.terminate(cause, func() { _ = c.ws.CloseNow() })
}

// protocolError closes the connection with a close frame that holds the
// code of the error.
func (c *conn) protocolError(cause error) {
	c.peers.cfg.Log.WithError(cause).WithField("peer", c.host).Warn("peers: protocol error")
	c.terminate(cause, func() { _ = c.ws.Close(websocket.StatusProtocolError, closeReason(cause)) })
}

// terminate removes the connection, fails its pending calls and closes the
// socket.
func (c *conn) terminate(cause error, closeSocket func()) {
	c.closeOnce.Do(func() {
		c.peers.removeConn(c)
		c.cancel()
		c.mu.Lock()
		c.closeErr = cause
		pending := c.pending
		c.pending = nil
		c.mu.Unlock()
		for _, done := range pending {
			done <- callResult{err: codes.Wrap(cause, codes.PeerDown, "peers: call to host %s", c.host)}
		}
		closeSocket()
		c.peers.cfg.Log.WithError(cause).WithField("peer", c.host).Debug("peers: connection closed")
	})
}
