package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"azurering/core/codes"
)

// maxErrorBody is the number of bytes read from the body of an error response.
const maxErrorBody = 16 << 10

// attempt makes one attempt. The Run of its error covers this attempt only.
func (c *Client) attempt(ctx context.Context, host string, r Request) (Response, *Error) {
	var conns atomic.Int32 // connections that the transport used
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { conns.Add(1) }})
	req, err := c.newRequest(traced, host, r)
	if err != nil {
		return Response{}, &Error{Code: codes.UsageBad, RunState: RunNone, IdempotencyKey: r.IdempotencyKey, Cause: err}
	}
	if ctx.Err() != nil {
		return Response{}, &Error{Code: codes.RequestDeadline, RunState: RunNone, IdempotencyKey: r.IdempotencyKey, Cause: ctx.Err()}
	}
	resp, err := c.cfg.HTTPClient.Do(req)
	if err != nil {
		// After a lost connection the transport may have dialed again. So a
		// failed dial proves that nothing was sent only if there was no
		// connection before.
		run := RunUnknown
		if dialFailed(err) && conns.Load() == 0 {
			run = RunNone
		}
		return Response{}, c.transportError(ctx, r, codes.PeerDown, run, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if run := resp.Header.Get("Azurering-Run"); run != RunDone {
		// net/http sends a request with an idempotency key again after it lost a
		// connection. The response then says nothing about the first copy.
		if run == RunNone && conns.Load() > 1 {
			run = RunUnknown
		}
		return Response{}, c.responseError(r, resp, run)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxResponseBytes+1))
	if err != nil {
		return Response{}, c.transportError(ctx, r, codes.ServerCut, RunUnknown, err)
	}
	if int64(len(body)) > c.cfg.MaxResponseBytes {
		err := errors.Errorf("response is larger than %d bytes", c.cfg.MaxResponseBytes)
		return Response{}, &Error{Code: codes.RequestTooLarge, RunState: RunDone, IdempotencyKey: r.IdempotencyKey, Cause: err}
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Host: host}, nil
}

// transportError returns the error of an attempt without a complete response.
// Unless ctx has ended, the next attempt looks up the entry hosts again.
func (c *Client) transportError(ctx context.Context, r Request, code codes.Code, run string, err error) *Error {
	if ctx.Err() != nil {
		code = codes.RequestDeadline
	} else {
		c.invalidate(r.Service)
	}
	return &Error{Code: code, RunState: run, IdempotencyKey: r.IdempotencyKey, Cause: err}
}

// responseError returns the error of an attempt whose response is not from the
// service. If the response does not say whether the request ran, for example
// because it is from a proxy, the run state is unknown.
func (c *Client) responseError(r Request, resp *http.Response, run string) *Error {
	if run != RunNone && run != RunRunning {
		run = RunUnknown
	}
	out := &Error{Code: codes.PeerRefused, RunState: run, IdempotencyKey: r.IdempotencyKey}
	if n, err := strconv.Atoi(resp.Header.Get("Azurering-Code")); err == nil && n > 0 {
		out.Code = codes.Code(n)
	}
	if out.Code == codes.HostLeaving {
		c.invalidate(r.Service)
	}
	if seconds, err := strconv.ParseInt(resp.Header.Get("Retry-After"), 10, 32); err == nil && seconds > 0 {
		out.RetryAfter = time.Duration(seconds) * time.Second
	}
	// A read error is ignored: the body only explains the status and headers.
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	var body struct {
		Message string `json:"message"`
	}
	if json.Unmarshal(raw, &body) != nil || body.Message == "" {
		body.Message = "entry host responded with status " + resp.Status
	}
	out.Cause = errors.New(body.Message)
	return out
}

func (c *Client) newRequest(ctx context.Context, host string, r Request) (*http.Request, error) {
	if r.Service == "" || !strings.HasPrefix(r.Path, "/") {
		return nil, errors.New("client: Service must not be empty and Path must start with /")
	}
	method := r.Method
	if method == "" {
		method = http.MethodGet
	}
	target := c.cfg.Scheme + "://" + host + "/s/" + url.PathEscape(r.Service) + r.Path
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "client: request cannot be created")
	}
	for name, values := range r.Header {
		req.Header[http.CanonicalHeaderKey(name)] = slices.Clone(values)
	}
	if c.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	if r.AtMostOnce {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set("Azurering-Deadline", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	return req, nil
}
