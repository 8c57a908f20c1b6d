package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

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
	for _, name := range strings.Split(strings.Join(in.Values("Connection"), ","), ",") {
		if name = strings.TrimSpace(name); name != "" {
			out.Del(name)
		}
	}
	for _, name := range dropped {
		out.Del(name)
	}
	for name, values := range out {
		if holdsKey(name, isKey) || slices.ContainsFunc(values, func(v string) bool { return holdsKey(v, isKey) }) {
			out.Del(name)
		}
	}
	return out
}

// unescapes is how often a text is unescaped in the search for keys: a
// backend server may unescape what the caller escaped twice.
const unescapes = 3

var escape = regexp.MustCompile("%[0-9A-Fa-f]{2}")

// holdsKey reports whether a text, or what unescaping makes of it, is a key
// or has one as a word. Keys of others are known by their hashes only, so
// one that is part of a longer word is not found.
func holdsKey(text string, isKey func(string) bool) bool {
	for range unescapes {
		if hasKey(text, isKey, separators) {
			return true
		}
		// Unescapes what it can: a backend server may be lenient, too.
		plain := escape.ReplaceAllStringFunc(text, func(e string) string {
			b, _ := strconv.ParseUint(e[1:], 16, 8)
			return string([]byte{byte(b)})
		})
		if plain == text {
			return false
		}
		text = plain
	}
	return hasKey(text, isKey, separators)
}

// separators divide texts into words, each more finely than the one before,
// because a key may have some of the characters that divide others.
var separators = []func(rune) bool{
	func(r rune) bool { return unicode.IsSpace(r) || strings.ContainsRune(",;\"'", r) },
	func(r rune) bool { return strings.ContainsRune("&=/?:|()[]<>{}", r) },
	func(r rune) bool {
		return r != '-' && r != '_' && (r > unicode.MaxASCII || !unicode.IsLetter(r) && !unicode.IsDigit(r))
	},
}

func hasKey(text string, isKey func(string) bool, by []func(rune) bool) bool {
	if isKey(text) {
		return true
	}
	for i, separates := range by {
		words := strings.FieldsFunc(text, separates)
		if len(words) == 1 && words[0] == text {
			continue
		}
		return slices.ContainsFunc(words, func(w string) bool { return hasKey(w, isKey, by[i+1:]) })
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
	}
	if holdsKey(plain, isKey) {
		return "", codes.New(codes.RequestBad, "caller: the path holds a key; send it in the Authorization header only")
	}
	if c.Request.URL.RawQuery == "" {
		return escaped, nil
	}
	query, err := url.ParseQuery(c.Request.URL.RawQuery)
	if err != nil {
		return "", codes.Wrap(err, codes.RequestBad, "caller: malformed query")
	}
	raw := c.Request.URL.RawQuery
	if removeKeys(query, isKey) {
		raw = query.Encode()
	}
	// A key may also lie across the parts into which a query is parsed.
	if holdsKey(raw, isKey) {
		return "", codes.New(codes.RequestBad, "caller: the query holds a key; send it in the Authorization header only")
	}
	if raw == "" {
		return escaped, nil
	}
	return escaped + "?" + raw, nil
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
	if c.Request.ContentLength > h.cfg.MaxBodyBytes {
		return nil, codes.New(codes.RequestTooLarge, "caller: body is over %d bytes", h.cfg.MaxBodyBytes)
	}
	control := http.NewResponseController(c.Writer)
	r := &pacedReader{r: io.LimitReader(c.Request.Body, h.cfg.MaxBodyBytes+1), slow: h.cfg.StallTimeout, control: control}
	body, err := io.ReadAll(r)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil, codes.Wrap(err, codes.RequestSlow, "caller: body made no progress for %s", h.cfg.StallTimeout)
	}
	if err != nil {
		return nil, codes.Wrap(err, codes.RequestBad, "caller: body could not be read")
	}
	// After a failed read the deadline stays, so that the server does not
	// wait for the rest of the body before it answers.
	_ = control.SetReadDeadline(time.Time{})
	if int64(len(body)) > h.cfg.MaxBodyBytes {
		return nil, codes.New(codes.RequestTooLarge, "caller: body is over %d bytes", h.cfg.MaxBodyBytes)
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
