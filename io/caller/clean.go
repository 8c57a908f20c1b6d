package caller

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/gin-gonic/gin"

	"azurering/core/codes"
)

// strippedHeaders lists the request headers that are never forwarded:
// credentials, hop-by-hop headers, and headers that the host sets itself.
var strippedHeaders = []string{
	"Authorization", "Proxy-Authorization", "Cookie", "X-Api-Key",
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect",
	"Azurering-Workspace", "Azurering-Deadline", "Azurering-Run", "Azurering-Code", "Azurering-Ticket",
}

// sanitizeHeader returns a copy of the request headers without the headers
// that are never forwarded, the headers that Connection names, and headers
// whose name or value contains a key.
func sanitizeHeader(in http.Header, isKey func(string) bool) http.Header {
	out := in.Clone()
	for _, name := range strings.Split(strings.Join(in.Values("Connection"), ","), ",") {
		if name = strings.TrimSpace(name); name != "" {
			out.Del(name)
		}
	}
	for _, name := range strippedHeaders {
		out.Del(name)
	}
	for name, values := range out {
		if containsKey(name, isKey) || slices.ContainsFunc(values, func(v string) bool { return containsKey(v, isKey) }) {
			out.Del(name)
		}
	}
	return out
}

// maxUnescapes is how often a text is unescaped in the search for keys,
// because a backend server may unescape a text that was escaped more than
// once.
const maxUnescapes = 3

var percentEscape = regexp.MustCompile("%[0-9A-Fa-f]{2}")

// containsKey reports whether a text, or an unescaped form of it, is a key or
// contains one as a word. Keys of other callers are known only by their
// hashes, so such a key inside a longer word is not found.
func containsKey(text string, isKey func(string) bool) bool {
	for range maxUnescapes {
		if containsKeyWord(text, isKey, wordSeparators) {
			return true
		}
		// Malformed escapes are skipped rather than rejected, because a
		// backend server may do the same.
		unescaped := percentEscape.ReplaceAllStringFunc(text, func(e string) string {
			b, _ := strconv.ParseUint(e[1:], 16, 8)
			return string([]byte{byte(b)})
		})
		if unescaped == text {
			return false
		}
		text = unescaped
	}
	return containsKeyWord(text, isKey, wordSeparators)
}

// wordSeparators split a text into words, each more finely than the one
// before, because a key may itself contain characters of a later separator.
var wordSeparators = []func(rune) bool{
	func(r rune) bool { return unicode.IsSpace(r) || strings.ContainsRune(",;\"'", r) },
	func(r rune) bool { return strings.ContainsRune("&=/?:|()[]<>{}", r) },
	func(r rune) bool {
		return r != '-' && r != '_' && (r > unicode.MaxASCII || !unicode.IsLetter(r) && !unicode.IsDigit(r))
	},
}

// containsKeyWord reports whether text is a key or contains one as a word
// after splitting by the given separators in turn.
func containsKeyWord(text string, isKey func(string) bool, separators []func(rune) bool) bool {
	if isKey(text) {
		return true
	}
	for i, isSeparator := range separators {
		words := strings.FieldsFunc(text, isSeparator)
		if len(words) == 1 && words[0] == text {
			continue
		}
		return slices.ContainsFunc(words, func(w string) bool { return containsKeyWord(w, isKey, separators[i+1:]) })
	}
	return false
}

// sanitizePath returns the escaped path and query below the service. Query
// parameters that contain a key are removed. A path that contains one is an
// error, and so is a query that still does after the removal.
func sanitizePath(c *gin.Context, isKey func(string) bool) (string, error) {
	escaped := strings.TrimPrefix(c.Request.URL.EscapedPath(), "/s/"+c.Param("service"))
	unescaped, err := url.PathUnescape(escaped)
	if err != nil || !strings.HasPrefix(unescaped, "/") {
		return "", codes.New(codes.RequestBad, "caller: path is not valid percent-encoding or does not start with /")
	}
	for _, segment := range strings.Split(unescaped, "/") {
		if segment == ".." || segment == "." {
			return "", codes.New(codes.RequestBad, "caller: path must not have . or .. as a segment")
		}
	}
	if containsKey(unescaped, isKey) {
		return "", codes.New(codes.RequestBad, "caller: path contains a key; send keys in the Authorization header only")
	}
	if c.Request.URL.RawQuery == "" {
		return escaped, nil
	}
	query, err := url.ParseQuery(c.Request.URL.RawQuery)
	if err != nil {
		return "", codes.Wrap(err, codes.RequestBad, "caller: query is malformed")
	}
	raw := c.Request.URL.RawQuery
	if removeKeys(query, isKey) {
		raw = query.Encode()
	}
	// A key may span several of the parsed parameters.
	if containsKey(raw, isKey) {
		return "", codes.New(codes.RequestBad, "caller: query contains a key; send keys in the Authorization header only")
	}
	if raw == "" {
		return escaped, nil
	}
	return escaped + "?" + raw, nil
}

// removeKeys deletes the parameters that contain a key and reports whether
// there were any.
func removeKeys(query url.Values, isKey func(string) bool) bool {
	removed := false
	for name, values := range query {
		found := containsKey(name, isKey)
		for _, v := range values {
			found = found || containsKey(v, isKey)
		}
		if found {
			query.Del(name)
			removed = true
		}
	}
	return removed
}

func baseContext(ctx context.Context) func(net.Listener) context.Context {
	return func(net.Listener) context.Context { return ctx }
}
