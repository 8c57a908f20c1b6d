package front

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/proxy"
	"azurering/core/space"
)

const (
	// maxBufferedBody bounds, in bytes, the request body that is buffered before
	// the request is forwarded, so that the request can be retried.
	maxBufferedBody = 1 << 20
	// requestBytes is the memory of a request in bytes, apart from its head and its body:
	// the goroutine that serves it, its connection to a server, the head of its response
	// and the beginnings of bodies that a space.Pool does not count.
	requestBytes = 32 << 10
	// headLineBytes is the memory of a header field in bytes, apart from its text: an entry
	// in a map, a string and a slice.
	headLineBytes = 120
	// evictRetryAfter is when a caller is told to come back if the host had no memory for
	// its request, in seconds. Other hosts may serve it at once.
	evictRetryAfter = "0.5"
)

var (
	errHeaderTooLarge = errors.New("front: request header is over the size limit")
	errNoMemory       = errors.New("front: requests of other callers take the memory")
)

// headerReader bounds the bytes that are read for a request header, and takes the memory
// for what is parsed of it.
type headerReader struct {
	io.Reader
	remaining int          // bytes; negative means unbounded
	claim     *space.Claim // set while remaining is not negative
}

func (h *headerReader) Read(p []byte) (int, error) {
	if h.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if h.remaining > 0 && len(p) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.Reader.Read(p)
	if h.remaining > 0 {
		h.remaining -= n
		if !h.claim.Take(headBytes(n, bytes.Count(p[:n], newline))) {
			return 0, errNoMemory
		}
	}
	return n, err
}

var newline = []byte{'\n'}

// headBytes returns the memory that a head takes once it is parsed.
func headBytes(size, lines int) int64 { return int64(size + lines*headLineBytes) }

// headSize returns the size of a parsed head in bytes, and the number of its lines.
func headSize(r *http.Request) (size, lines int) {
	size = len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
		lines += len(values)
	}
	return size, lines
}

// readRequest reads a request whose first byte has arrived.
func (c *conn) readRequest(limits core.Limits) (*exchange, error) {
	claim := c.server.cfg.Requests.Claim()
	if c.isRegular {
		claim = c.server.cfg.Requests.PriorityClaim()
	}
	x, err := c.readClaimed(claim, limits)
	if err != nil {
		claim.Release()
		return nil, c.classifyReadError(err)
	}
	if x.call.BodyRest != nil {
		c.setPhase(phaseStreaming)
		return x, nil
	}
	c.narrow()
	c.setPhase(phaseIdle)
	return x, nil
}

// readClaimed reads a request whose memory, apart from that of its body, it takes with a
// claim.
func (c *conn) readClaimed(claim *space.Claim, limits core.Limits) (*exchange, error) {
	if !claim.Take(requestBytes) {
		return nil, errNoMemory
	}
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if !claim.Take(headBytes(len(buffered), bytes.Count(buffered, newline))) {
		return nil, errNoMemory
	}
	c.header.remaining, c.header.claim = limits.MaxHeaderBytes+readBufferSize-len(buffered), claim
	req, err := http.ReadRequest(c.reader)
	c.header.remaining = -1
	if err != nil {
		return nil, err
	}
	if !claim.Resize(requestBytes + headBytes(headSize(req))) {
		return nil, errNoMemory
	}
	call := &core.Call{
		Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header, ContentLength: req.ContentLength,
		Arrived: c.server.cfg.Timer.Now(),
	}
	call.Path, _, _ = strings.Cut(call.Target, "?")
	if !strings.HasPrefix(call.Path, "/") {
		call.Path = req.URL.EscapedPath()
		call.Target = req.URL.RequestURI()
	}
	c.server.cfg.Dialect.ParseRequest(call)
	if err := c.readBody(call, req, limits); err != nil {
		return nil, err
	}
	// A streamed body is not always read to its end, where the next request begins.
	closeAfter := req.Close || c.server.shuttingDown.Load() || call.BodyRest != nil
	return &exchange{call: call, reply: make(chan *core.Reply, 1), closeAfter: closeAfter, claim: claim}, nil
}

// readBody buffers the request body up to maxBufferedBody bytes. A longer body
// continues in call.BodyRest.
func (c *conn) readBody(call *core.Call, req *http.Request, limits core.Limits) error {
	if req.ContentLength == 0 {
		return nil
	}
	if limits.MaxBodyBytes > 0 && req.ContentLength > limits.MaxBodyBytes {
		return errors.WithMessagef(errBodyTooLarge, "%d bytes announced, %d allowed", req.ContentLength, limits.MaxBodyBytes)
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		c.exchanges <- &exchange{interim: true} // after the responses to earlier requests
	}
	body := newBodyReader(c, req.Body, call, limits)
	b, err := c.server.cfg.Space.Read(body, maxBufferedBody, req.ContentLength)
	if err != nil {
		return err
	}
	n := int64(len(b.Bytes))
	isPart := !b.Whole && req.ContentLength != n
	if isPart && n < maxBufferedBody {
		b.Release()
		return errNoMemory
	}
	call.Body, call.Release = b.Bytes, b.Release
	if isPart {
		call.BodyRest = &core.BodyStream{Source: body, Stop: c.stopBody}
		return nil
	}
	call.ContentLength = n
	return nil
}

// classifyReadError wraps a read error with its code. The code is OK if the
// caller disconnected, as it then gets no response.
func (c *conn) classifyReadError(err error) error {
	var timeout net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge), errors.Is(err, errBodyTooLarge):
		return codes.Wrap(err, codes.RequestTooLarge, "front: request was rejected")
	case errors.Is(err, errNoMemory), c.isEvicted():
		return codes.Wrap(err, codes.NoCapacity, "front: request was rejected before it was read; use another host")
	case errors.As(err, &timeout) && timeout.Timeout():
		return codes.Wrap(err, codes.RequestSlow, "front: request did not arrive within the time limit")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		return codes.Wrap(err, codes.OK, "front: caller disconnected")
	}
	return codes.Wrap(err, codes.RequestBad, "front: request cannot be parsed")
}

// rejectStatus maps the codes of failed reads to the HTTP status of the response.
var rejectStatus = map[codes.Code]int{
	codes.RequestTooLarge: http.StatusRequestEntityTooLarge,
	codes.RequestSlow:     http.StatusRequestTimeout,
	codes.RequestBad:      http.StatusBadRequest,
	codes.NoCapacity:      http.StatusServiceUnavailable,
}

// reject responds to a request that could not be read and ends the connection. It
// sends nothing if the caller disconnected.
func (c *conn) reject(err error) {
	if c.hasWriteEnded() {
		return // nothing more is written, and the read was ended because of that
	}
	code := codes.Of(err)
	status := rejectStatus[code]
	if errors.Is(err, errHeaderTooLarge) {
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	if status == 0 {
		c.setEnd(EndCaller)
		c.cancel()
		return
	}
	c.setEnd(EndRejected)
	if report := c.server.cfg.OnReject; report != nil {
		report(Rejection{Address: c.RemoteAddr().String(), Code: code, Err: err})
	}
	x := &exchange{reply: make(chan *core.Reply, 1), closeAfter: true}
	reply := proxy.ErrorReply(status, code, err)
	if code == codes.NoCapacity {
		reply.Header.Set("Retry-After", evictRetryAfter)
	}
	x.reply <- reply
	c.exchanges <- x
}
