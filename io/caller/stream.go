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

// pieceSize bounds the memory of one streaming answer.
const pieceSize = 32 << 10

// stream copies an answer to the caller and returns the bytes sent. It ends
// with an error if the answer is cut, the caller makes no progress, or the
// key of the request stops being valid.
func (h *Handler) stream(c *gin.Context, answer flow.Response) (int64, error) {
	defer func() { _ = answer.Body.Close() }()
	header := c.Writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(HeaderCode, strconv.Itoa(int(codes.OK)))
	header.Set(HeaderRun, RunDone)
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	done := make(chan struct{})
	defer close(done)
	go cutOnRevoke(answer, done)
	c.Writer.WriteHeader(answer.Status)
	c.Writer.WriteHeaderNow()
	if c.Request.Method == http.MethodHead {
		return 0, nil
	}
	if answer.Length < 0 || answer.Length > pieceSize {
		c.Writer.Flush()
	}
	return h.copy(c, answer)
}

// cutOnRevoke ends the read from the backend server when the key stops
// being valid, also while that server is silent.
func cutOnRevoke(answer flow.Response, done <-chan struct{}) {
	select {
	case <-answer.Grant.Revoked:
		_ = answer.Body.Close()
	case <-done:
	}
}

func (h *Handler) copy(c *gin.Context, answer flow.Response) (int64, error) {
	control := http.NewResponseController(c.Writer)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	buf := make([]byte, pieceSize)
	var sent int64
	for {
		n, readErr := answer.Body.Read(buf)
		if err := answer.Grant.Err(); err != nil {
			return sent, err
		}
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(h.cfg.StallTimeout))
			written, err := c.Writer.Write(buf[:n])
			sent += int64(written)
			if err != nil {
				return sent, errors.Wrap(err, "caller: write")
			}
		}
		if readErr == io.EOF {
			return sent, h.whole(answer, sent)
		}
		if readErr != nil {
			return sent, errors.Wrap(readErr, "caller: read from backend server")
		}
		c.Writer.Flush()
	}
}

func (h *Handler) whole(answer flow.Response, sent int64) error {
	if answer.Length >= 0 && sent != answer.Length {
		return codes.New(codes.ServerCut, "caller: answer has %d of %d bytes", sent, answer.Length)
	}
	return nil
}
