// Package cloud holds what the clients of the platform's AWS APIs share.
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

// idle is how long an unused connection to the platform stays open.
const idle = time.Minute

// NewClient returns the HTTP client for an SDK client. A nil transport
// means one of its own, which ignores the proxy settings of the
// environment; conns bounds its idle connections.
func NewClient(transport http.RoundTripper, conns int) *http.Client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: conns, IdleConnTimeout: idle}
	}
	return &http.Client{
		Transport: Detach(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

type detach struct{ next http.RoundTripper }

// Detach returns a transport that sends a copy of the request body.
//
// The SDK closes the body as soon as the head of the response has arrived,
// and its body then fails to read. net/http may still be looking for the end
// of the body at that time; it takes the failure for an error of the request
// and closes the connection, although the service has done the request. The
// copy also lets net/http send head and body in one packet, and dial again
// if an idle connection turns out closed before a byte was written.
func Detach(next http.RoundTripper) http.RoundTripper { return detach{next} }

// RoundTrip implements http.RoundTripper.
func (d detach) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return d.next.RoundTrip(r)
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		return nil, errors.Wrap(err, "cloud: request body")
	}
	sent := r.WithContext(r.Context())
	sent.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	sent.Body, _ = sent.GetBody()
	return d.next.RoundTrip(sent)
}

// Watch returns a context for one request, and a function that reports
// whether the request has got a connection. Without one, no byte of it was
// sent.
func Watch(ctx context.Context) (context.Context, func() bool) {
	var connected atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), connected.Load
}

// Status returns the HTTP status in an error of an SDK client, or 0.
func Status(err error) int {
	var response *awshttp.ResponseError
	if errors.As(err, &response) {
		return response.HTTPStatusCode()
	}
	return 0
}
