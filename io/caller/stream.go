package caller

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"azurering/core/codes"
	"azurering/core/flow"
)

// copyBufferSize is the size in bytes of the buffer through which one response
// is copied.
const copyBufferSize = 32 << 10

// writeResponse copies the response of a backend server to the caller and
// returns the bytes of the body sent. It fails if the response is incomplete,
// the caller stops reading, or the key of the request becomes invalid.
func (h *Handler) writeResponse(c *gin.Context, resp flow.Response) (int64, error) {
	defer func() { _ = resp.Body.Close() }()
	header := c.Writer.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	header.Set(HeaderCode, strconv.Itoa(int(codes.OK)))
	header.Set(HeaderRun, RunDone)
	if resp.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	done := make(chan struct{})
	defer close(done)
	go closeOnRevoke(resp, done)
	c.Writer.WriteHeader(resp.Status)
	c.Writer.WriteHeaderNow()
	if c.Request.Method == http.MethodHead {
		return 0, nil
	}
	if resp.Length < 0 || resp.Length > copyBufferSize {
		c.Writer.Flush()
	}
	return h.copyBody(c, resp)
}

// closeOnRevoke closes the response body when the key of the request is
// revoked, which also ends a read that waits for the backend server.
func closeOnRevoke(resp flow.Response, done <-chan struct{}) {
	select {
	case <-resp.Grant.Revoked:
		_ = resp.Body.Close()
	case <-done:
	}
}

func (h *Handler) copyBody(c *gin.Context, resp flow.Response) (int64, error) {
	control := http.NewResponseController(c.Writer)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	buf := make([]byte, copyBufferSize)
	var sent int64
	for {
		n, readErr := resp.Body.Read(buf)
		if err := resp.Grant.Err(); err != nil {
			return sent, err
		}
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(h.cfg.StallTimeout))
			written, err := c.Writer.Write(buf[:n])
			sent += int64(written)
			if err != nil {
				return sent, errors.Wrap(err, "caller: response cannot be written to the caller")
			}
		}
		if readErr == io.EOF {
			return sent, h.checkLength(resp, sent)
		}
		if readErr != nil {
			return sent, errors.Wrap(readErr, "caller: response cannot be read from the backend server")
		}
		c.Writer.Flush()
	}
}

// checkLength returns an error if the body is shorter or longer than
// announced.
func (h *Handler) checkLength(resp flow.Response, sent int64) error {
	if resp.Length >= 0 && sent != resp.Length {
		return codes.New(codes.ServerCut, "caller: response of the backend server has %d of %d bytes", sent, resp.Length)
	}
	return nil
}
