package cloud_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/io/cloud"
)

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// closable is a body that fails once it is closed, as those of the SDK do.
type closable struct {
	io.Reader
	closed bool
}

func (c *closable) Read(p []byte) (int, error) {
	if c.closed {
		return 0, io.ErrClosedPipe
	}
	return c.Reader.Read(p)
}

func (c *closable) Close() error {
	c.closed = true
	return nil
}

// Guards against the SDK closing the body of a request while net/http still
// reads it, which cut about one in a hundred answers of the stand-in short.
func TestDetach(t *testing.T) {
	body := &closable{Reader: bytes.NewReader([]byte("hello"))}
	r, err := http.NewRequest(http.MethodPost, "http://127.0.0.1/", body)
	require.NoError(t, err)
	r.ContentLength = 5
	transport := cloud.Detach(roundTrip(func(sent *http.Request) (*http.Response, error) {
		require.NoError(t, body.Close())
		require.Equal(t, int64(5), sent.ContentLength)
		for range 2 {
			got, err := io.ReadAll(sent.Body)
			require.NoError(t, err)
			require.Equal(t, "hello", string(got))
			sent.Body, err = sent.GetBody()
			require.NoError(t, err)
		}
		return &http.Response{StatusCode: http.StatusOK}, nil
	}))
	resp, err := transport.RoundTrip(r)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Same(t, body, r.Body, "the request of the caller was changed")

	broken := &closable{closed: true}
	r.Body = broken
	_, err = transport.RoundTrip(r)
	require.ErrorIs(t, err, io.ErrClosedPipe)
}
