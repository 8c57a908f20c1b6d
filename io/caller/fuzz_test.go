package caller_test

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/core"
)

// otherKeyWord matches otherKey as a separate word. The key of another caller
// is known only by its hash, so it cannot be found inside a longer word.
var otherKeyWord = regexp.MustCompile(`(^|[^A-Za-z0-9_-])` + otherKey + `($|[^A-Za-z0-9_-])`)

// decodings returns a text and the forms that a backend server may get by
// unescaping it up to twice, as a path or as a query.
func decodings(text string) []string {
	out := []string{text}
	for range 2 {
		for _, t := range out {
			if plain, err := url.PathUnescape(t); err == nil {
				out = append(out, plain)
			}
			if plain, err := url.QueryUnescape(t); err == nil {
				out = append(out, plain)
			}
		}
	}
	return out
}

// containsKey reports whether any decoding of text contains a key.
func containsKey(text string) bool {
	for _, t := range decodings(text) {
		if strings.Contains(t, secret) || otherKeyWord.MatchString(t) {
			return true
		}
	}
	return false
}

// FuzzNoKeyPasses guards against a known key that reaches a backend server in
// the path, the query or a header of a request.
func FuzzNoKeyPasses(f *testing.F) {
	for _, key := range []string{secret, otherKey} {
		escaped := strings.ReplaceAll(key, "-", "%2D")
		for _, in := range [][4]string{
			{"/queue", "", "X-Token", key},
			{"/queue", "", "X-Token", "Token:" + key},
			{"/queue", "", "X-Token", "[" + key + "]"},
			{"/queue", "", "X-Token", "a\t" + key + "|b"},
			{"/queue", "", "X-Url", "/x?k=" + escaped},
			{"/queue", "", "Cookie", "k=" + key},
			{"/queue", "", "Connection", "X-Token"},
			{"/queue", "key=" + key, "Accept", "*/*"},
			{"/queue", key, "Accept", "*/*"},
			{"/queue", key + "=1&b=2", "Accept", "*/*"},
			{"/queue", "a=" + escaped, "Accept", "*/*"},
			{"/queue", "a=" + strings.ReplaceAll(escaped, "%", "%25"), "Accept", "*/*"},
			{"/queue", "a=(" + key + ")", "Accept", "*/*"},
			{"/queue", "a;" + key, "Accept", "*/*"},
			{"/" + key, "", "Accept", "*/*"},
			{"/a/" + escaped + "/b", "", "Accept", "*/*"},
			{"/a/" + strings.ReplaceAll(escaped, "%", "%25"), "", "Accept", "*/*"},
			{"/a:" + key, "", "Accept", "*/*"},
			{"/a;k=" + key, "", "Accept", "*/*"},
			{"/a%2F" + key + "%3F", "", "Accept", "*/*"},
		} {
			f.Add(in[0], in[1], in[2], in[3])
		}
	}
	f.Add("/queue", "a=1&b=%20", "Accept-Language", "ja, en;q=0.5")
	deps := &fakeDeps{ready: true, response: func() core.Response { return textResponse("hello", 5) }}
	h := startServer(f, deps).Config.Handler
	f.Fuzz(func(t *testing.T, path, query, name, value string) {
		raw := "GET /s/desk" + path + "?" + query + " HTTP/1.1\r\nHost: desk\r\nAuthorization: Bearer " + secret + "\r\n" + name + ": " + value + "\r\n\r\n"
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			t.Skip("not a request")
		}
		r.RemoteAddr = "127.0.0.1:5000"
		deps.received = core.Request{}
		h.ServeHTTP(httptest.NewRecorder(), r)
		require.False(t, containsKey(deps.received.Path), "path %q", deps.received.Path)
		for name, values := range deps.received.Header {
			require.False(t, containsKey(name), "header name %q", name)
			for _, v := range values {
				require.False(t, containsKey(v), "header %s: %q", name, v)
			}
		}
	})
}
