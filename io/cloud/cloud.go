// Package cloud contains HTTP helpers for the AWS SDK clients of the packages
// dynamo and bucket.
package cloud

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/pkg/errors"
)

// idleTimeout is how long an idle connection to the platform is kept open.
const idleTimeout = time.Minute

// NewHTTPClient returns an HTTP client for an SDK client. It doesn't follow
// redirects. If transport is nil, the client uses a new one that ignores proxy
// settings in the environment and keeps up to maxIdleConns idle connections per
// host.
func NewHTTPClient(transport http.RoundTripper, maxIdleConns int) *http.Client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout}
	}
	return &http.Client{
		Transport: BufferBody(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// bufferedTransport is the transport that Detach returns.
type bufferedTransport struct{ next http.RoundTripper }

// BufferBody returns a transport that reads the request body into memory and sends
// the copy.
//
// The SDK closes its request body as soon as the response headers arrive, and
// reads of a closed body fail. If net/http is still reading up to the end of the
// body at that time, it treats the error as a failed request and closes the
// connection, although the service has processed the request. The copy also lets
// net/http send headers and body in one packet, and use a new connection if an
// idle one turns out to be closed before any byte was written.
func BufferBody(next http.RoundTripper) http.RoundTripper { return bufferedTransport{next} }

// RoundTrip implements http.RoundTripper.
func (t bufferedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return t.next.RoundTrip(r)
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		return nil, errors.Wrap(err, "cloud: request body cannot be read")
	}
	clone := r.WithContext(r.Context())
	clone.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	clone.Body, _ = clone.GetBody()
	return t.next.RoundTrip(clone)
}

// TraceConn returns a context for one request and a function that reports whether
// the request has obtained a connection. If it hasn't, no byte was sent. The
// function is safe for concurrent use.
func TraceConn(ctx context.Context) (context.Context, func() bool) {
	var connected atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), connected.Load
}

// StatusCode returns the HTTP status of the response that caused an SDK error, or 0
// if there was none.
func StatusCode(err error) int {
	var response *awshttp.ResponseError
	if errors.As(err, &response) {
		return response.HTTPStatusCode()
	}
	return 0
}
