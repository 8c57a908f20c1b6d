package conns

import (
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"azurering/core"
)

var (
	errBodyRead   = errors.New("conns: a part of the request's body was read before; the rest is not the whole body")
	errBodyLength = errors.New("conns: request's body has another length than announced")
)

// stopBodyOnDone makes the reading of a call's body fail once the context ends. The
// caller must call release afterwards; the body is not stopped after it returns.
func stopBodyOnDone(ctx context.Context, call *core.Call) (release func()) {
	if call.BodyRest == nil {
		return func() {}
	}
	stopped := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(stopped)
		call.BodyRest.Stop()
	})
	return func() {
		if !cancel() {
			<-stopped
		}
	}
}

// writeBody sends a request's header and its body, and counts the bytes of the body in
// x.bodySent. A body of another length than announced is an error, as the server would
// take what follows on the connection for a part of it.
func (c *conn) writeBody(x *exchange, header *bytes.Buffer, call *core.Call, chunked bool) error {
	if chunked && len(call.Body) > 0 {
		header.WriteString(strconv.FormatInt(int64(len(call.Body)), 16) + "\r\n")
	}
	header.Write(call.Body)
	if chunked && len(call.Body) > 0 {
		header.WriteString("\r\n")
	}
	if _, err := c.Write(header.Bytes()); err != nil {
		return err
	}
	x.bodySent = int64(len(call.Body))
	if call.BodyRest != nil {
		write := func(p []byte) error { _, err := c.Write(p); return err }
		if chunked {
			write = c.writeChunk
		}
		if err := x.copyBody(call.BodyRest, write); err != nil {
			return err
		}
	}
	if !chunked && x.bodySent != call.ContentLength {
		return errBodyLength
	}
	if !chunked {
		return nil
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err
}

func (x *exchange) copyBody(r io.Reader, write func([]byte) error) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if err := write(buffer[:n]); err != nil {
				return err
			}
			x.bodySent += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (c *conn) writeChunk(p []byte) error {
	chunk := append([]byte(strconv.FormatInt(int64(len(p)), 16)+"\r\n"), p...)
	_, err := c.Write(append(chunk, "\r\n"...))
	return err
}
