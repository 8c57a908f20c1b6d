package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"azurering/core/codes"
)

// dropped lists the request headers that never leave the host: credentials,
// headers of one connection, and headers that the host sets itself.
var dropped = []string{
	"Authorization", "Proxy-Authorization", "Cookie", "X-Api-Key",
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect",
	"Azurering-Workspace", "Azurering-Deadline", "Azurering-Run", "Azurering-Code", "Azurering-Ticket",
}

// cleanHeader copies request headers without credentials.
func cleanHeader(in http.Header, isKey func(string) bool) http.Header {
	out := in.Clone()
	for _, name := range strings.Split(in.Get("Connection"), ",") {
		if name = strings.TrimSpace(name); name != "" {
			out.Del(name)
		}
	}
	for _, name := range dropped {
		out.Del(name)
	}
	for name, values := range out {
		for _, v := range values {
			if holdsKey(v, isKey) {
				out.Del(name)
				break
			}
		}
	}
	return out
}

// holdsKey reports whether a text is a key or has one as a word.
func holdsKey(text string, isKey func(string) bool) bool {
	if isKey(text) {
		return true
	}
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(" ,;=&\"'/?", r) }) {
		if isKey(word) {
			return true
		}
	}
	return false
}

// cleanPath returns the escaped path and query below the service. Query
// parameters that hold a key are removed; a path that holds one is refused.
func cleanPath(c *gin.Context, isKey func(string) bool) (string, error) {
	escaped := strings.TrimPrefix(c.Request.URL.EscapedPath(), "/s/"+c.Param("service"))
	plain, err := url.PathUnescape(escaped)
	if err != nil || !strings.HasPrefix(plain, "/") {
		return "", codes.New(codes.RequestBad, "caller: malformed path")
	}
	for _, part := range strings.Split(plain, "/") {
		if part == ".." || part == "." {
			return "", codes.New(codes.RequestBad, "caller: the path must not have . or .. as a part")
		}
		if holdsKey(part, isKey) {
			return "", codes.New(codes.RequestBad, "caller: the path holds a key; send it in the Authorization header only")
		}
	}
	if c.Request.URL.RawQuery == "" {
		return escaped, nil
	}
	query, err := url.ParseQuery(c.Request.URL.RawQuery)
	if err != nil {
		return "", codes.Wrap(err, codes.RequestBad, "caller: malformed query")
	}
	if removeKeys(query, isKey) {
		if len(query) == 0 {
			return escaped, nil
		}
		return escaped + "?" + query.Encode(), nil
	}
	return escaped + "?" + c.Request.URL.RawQuery, nil
}

func removeKeys(query url.Values, isKey func(string) bool) bool {
	removed := false
	for name, values := range query {
		hit := holdsKey(name, isKey)
		for _, v := range values {
			hit = hit || holdsKey(v, isKey)
		}
		if hit {
			query.Del(name)
			removed = true
		}
	}
	return removed
}

// body reads the request body under its bound. The read deadline moves with
// each piece, so a caller on a slow link is served and a stalled one is not.
func (h *Handler) body(c *gin.Context) ([]byte, error) {
	if c.Request.ContentLength > h.cfg.MaxBody {
		return nil, codes.New(codes.RequestTooLarge, "caller: body is over %d bytes", h.cfg.MaxBody)
	}
	control := http.NewResponseController(c.Writer)
	r := &pacedReader{r: io.LimitReader(c.Request.Body, h.cfg.MaxBody+1), slow: h.cfg.Slow, control: control}
	body, err := io.ReadAll(r)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil, codes.Wrap(err, codes.RequestSlow, "caller: body made no progress for %s", h.cfg.Slow)
	}
	if err != nil {
		return nil, codes.Wrap(err, codes.RequestBad, "caller: body could not be read")
	}
	// After a failed read the deadline stays, so that the server does not
	// wait for the rest of the body before it answers.
	_ = control.SetReadDeadline(time.Time{})
	if int64(len(body)) > h.cfg.MaxBody {
		return nil, codes.New(codes.RequestTooLarge, "caller: body is over %d bytes", h.cfg.MaxBody)
	}
	return body, nil
}

type pacedReader struct {
	r       io.Reader
	slow    time.Duration
	control *http.ResponseController
}

// Read implements io.Reader.
func (p *pacedReader) Read(buf []byte) (int, error) {
	// Test recorders have no deadlines; real connections do.
	_ = p.control.SetReadDeadline(time.Now().Add(p.slow))
	return p.r.Read(buf)
}

func baseContext(ctx context.Context) func(net.Listener) context.Context {
	return func(net.Listener) context.Context { return ctx }
}
