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

// delimited finds otherKey as a word of its own. A key that another caller
// owns is known by its hash only, so it cannot be found inside a longer word.
var delimited = regexp.MustCompile(`(^|[^A-Za-z0-9_-])` + otherKey + `($|[^A-Za-z0-9_-])`)

// readings returns a text and what a backend server may make of it by
// unescaping it up to twice, as a path or as a query.
func readings(text string) []string {
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

func leaks(text string) bool {
	for _, t := range readings(text) {
		if strings.Contains(t, secret) || delimited.MatchString(t) {
			return true
		}
	}
	return false
}

// FuzzNoKeyPasses guards against a known key that reaches a backend server
// in the path, the query or a header of a request.
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
	l := &lab{ready: true, answer: func() core.Response { return text("hello", 5) }}
	h := start(f, l).Config.Handler
	f.Fuzz(func(t *testing.T, path, query, name, value string) {
		raw := "GET /s/desk" + path + "?" + query + " HTTP/1.1\r\nHost: desk\r\nAuthorization: Bearer " + secret + "\r\n" + name + ": " + value + "\r\n\r\n"
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			t.Skip("not a request")
		}
		r.RemoteAddr = "127.0.0.1:5000"
		l.seen = core.Request{}
		h.ServeHTTP(httptest.NewRecorder(), r)
		require.False(t, leaks(l.seen.Path), "path %q", l.seen.Path)
		for name, values := range l.seen.Header {
			require.False(t, leaks(name), "header name %q", name)
			for _, v := range values {
				require.False(t, leaks(v), "header %s: %q", name, v)
			}
		}
	})
}
