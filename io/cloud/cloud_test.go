package cloud_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/io/cloud"
)

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// closableBody fails to read once it is closed, as the SDK's request bodies do.
type closableBody struct {
	io.Reader
	closed bool
}

func (c *closableBody) Read(p []byte) (int, error) {
	if c.closed {
		return 0, io.ErrClosedPipe
	}
	return c.Reader.Read(p)
}

func (c *closableBody) Close() error {
	c.closed = true
	return nil
}

// Guards against the SDK closing a request body while net/http still reads it,
// which truncated about 1 in 100 responses of the emulator.
func TestDetach(t *testing.T) {
	body := &closableBody{Reader: bytes.NewReader([]byte("hello"))}
	r, err := http.NewRequest(http.MethodPost, "http://127.0.0.1/", body)
	require.NoError(t, err)
	r.ContentLength = 5
	transport := cloud.BufferBody(roundTripFunc(func(sent *http.Request) (*http.Response, error) {
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
	require.Same(t, body, r.Body, "caller's request must not be changed")

	broken := &closableBody{closed: true}
	r.Body = broken
	_, err = transport.RoundTrip(r)
	require.ErrorIs(t, err, io.ErrClosedPipe)
}
