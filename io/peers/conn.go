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

// maxText bounds the text of a refusal in bytes.
const maxText = 1024

// conn is one connection. Its goroutines end when ctx ends.
type conn struct {
	peers  *Peers
	host   core.HostID
	ws     *websocket.Conn
	odd    uint64 // 1 if this host dialled, so that its own ids are odd
	ctx    context.Context
	cancel context.CancelFunc
	once   sync.Once
	in     *rings.Ring // of request, from read to dispatch
	out    *rings.Ring // of outgoing, from callers and handlers to write

	mu      sync.Mutex
	err     error // why the connection was closed
	calls   map[uint64]chan answer
	next    uint64
	running int           // handlers
	used    time.Duration // last frame in either direction
	waiting bool          // calls were sent since the last frame came in
	since   time.Duration // of the first of these calls
}

type request struct {
	id      uint64
	message core.Message
	handler core.MessageHandler
}

type answer struct {
	message core.Message
	err     error
}

// outgoing is a frame to write. It is skipped if its context has ended.
type outgoing struct {
	ctx   context.Context
	frame []byte
}

func newConn(p *Peers, host core.HostID, ws *websocket.Conn, dialled bool) *conn {
	ctx, cancel := context.WithCancel(p.ctx)
	c := &conn{
		peers: p, host: host, ws: ws, ctx: ctx, cancel: cancel,
		in:    rings.New(rings.Config{Name: "peers-in", Size: p.cfg.QueueSize}),
		out:   rings.New(rings.Config{Name: "peers-out", Size: p.cfg.QueueSize}),
		calls: make(map[uint64]chan answer),
		next:  2,
		used:  p.cfg.Timer.Now(),
	}
	if dialled {
		c.odd, c.next = 1, 1
	}
	ws.SetReadLimit(int64(p.cfg.MaxFrameSize))
	return c
}

// read takes frames from the connection until it ends.
func (c *conn) read() {
	for {
		kind, frame, err := c.ws.Read(c.ctx)
		if err != nil {
			c.close(codes.Wrap(err, codes.PeerDown, "peers: connection to host %s ended", c.host))
			return
		}
		if kind != websocket.MessageBinary {
			c.protocolError(codes.New(codes.PeerFrame, "peers: text frame from host %s", c.host))
			return
		}
		if err := c.receive(frame); err != nil {
			c.protocolError(err)
			return
		}
	}
}

// receive routes one frame. An error means that the connection cannot be
// used any more.
func (c *conn) receive(frame []byte) error {
	c.touch(false)
	id, m, err := wire.DecodeFrame(frame)
	if id == 0 && err == nil {
		err = codes.New(codes.PeerFrame, "peers: call id 0 from host %s", c.host)
	}
	if id == 0 {
		return err
	}
	if id%2 == c.odd {
		c.finish(id, c.toAnswer(m, err))
		return nil
	}
	if err != nil {
		c.refuse(id, err)
		return nil
	}
	h, err := c.peers.handler(m.Kind())
	if err == nil {
		err = c.in.Offer(request{id: id, message: m, handler: h})
		if err != nil {
			c.peers.dropped.Add(1)
		}
	}
	if err != nil {
		c.refuse(id, err)
	}
	return nil
}

// toAnswer turns a refusal into a coded error.
func (c *conn) toAnswer(m core.Message, err error) answer {
	refused, ok := m.(core.ErrorResponse)
	if !ok {
		return answer{message: m, err: err}
	}
	code := codes.Code(refused.Code)
	if code <= codes.OK {
		code = codes.PeerRefused
	}
	return answer{err: codes.New(code, "peers: host %s refused: %s", c.host, refused.Text)}
}

// refuse answers a request with a refusal. It waits for room, which slows
// down a peer that sends more than is handled. Two hosts whose reading
// goroutines both wait here are freed by the bound on writing a frame.
func (c *conn) refuse(id uint64, cause error) {
	frame, err := wire.EncodeFrame(id, refusal(cause))
	if err != nil {
		c.peers.cfg.Log.WithError(err).WithField("peer", c.host).Error("peers: refusal cannot be sent")
		return
	}
	_ = c.out.Put(c.ctx, outgoing{ctx: c.ctx, frame: frame})
}

func refusal(cause error) core.ErrorResponse {
	text := cause.Error()
	if len(text) > maxText {
		text = text[:maxText]
	}
	return core.ErrorResponse{Code: int(codes.Of(cause)), Text: printable(text)}
}

// dispatch starts the handlers of requests, a bounded number at once.
func (c *conn) dispatch() {
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
		case item := <-c.in.C():
			r := item.(request)
			c.count(1)
			c.peers.done.Go(func() {
				c.handle(r)
				c.count(-1)
				<-slots
			})
		}
	}
}

func (c *conn) handle(r request) {
	ctx, cancel := context.WithTimeout(c.ctx, c.peers.cfg.CallTimeout)
	defer cancel()
	m, err := r.handler(ctx, c.host, r.message)
	if err == nil && m == nil {
		err = codes.New(codes.Internal, "peers: no answer to %s", r.message.Kind())
	}
	if err != nil {
		m = refusal(err)
	}
	frame, err := c.encode(r.id, m)
	if err != nil {
		c.peers.cfg.Log.WithError(err).WithField("peer", c.host).Error("peers: answer cannot be sent")
		if frame, err = wire.EncodeFrame(r.id, refusal(err)); err != nil {
			return
		}
	}
	_ = c.out.Put(c.ctx, outgoing{ctx: c.ctx, frame: frame})
}

func (c *conn) encode(id uint64, m core.Message) ([]byte, error) {
	frame, err := wire.EncodeFrame(id, m)
	if err == nil && len(frame) > c.peers.cfg.MaxFrameSize {
		err = codes.New(codes.PeerFrame, "peers: frame of %d bytes is over the bound of %d", len(frame), c.peers.cfg.MaxFrameSize)
	}
	return frame, err
}

// write puts frames on the connection until it ends. A peer that does not
// take a frame within the call timeout loses the connection.
func (c *conn) write() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case item := <-c.out.C():
			o := item.(outgoing)
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

// close ends the connection; only the first call has an effect.
func (c *conn) close(cause error) {
	c.end(cause, func() { _ = c.ws.CloseNow() })
}

// protocolError ends the connection and tells the other host why.
func (c *conn) protocolError(cause error) {
	c.peers.cfg.Log.WithError(cause).WithField("peer", c.host).Warn("peers: protocol error")
	c.end(cause, func() { _ = c.ws.Close(websocket.StatusProtocolError, closeReason(cause)) })
}

func (c *conn) end(cause error, shut func()) {
	c.once.Do(func() {
		c.peers.release(c)
		c.cancel()
		c.mu.Lock()
		c.err = cause
		calls := c.calls
		c.calls = nil
		c.mu.Unlock()
		for _, done := range calls {
			done <- answer{err: codes.Wrap(cause, codes.PeerDown, "peers: call to host %s", c.host)}
		}
		shut()
		c.peers.cfg.Log.WithError(cause).WithField("peer", c.host).Debug("peers: connection closed")
	})
}
