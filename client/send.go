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

// maxRefusal bounds the body of a refusal in bytes.
const maxRefusal = 16 << 10

// once makes one attempt. The Run of its error speaks for this attempt only.
func (c *Client) once(ctx context.Context, host string, r Request) (Response, *Error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := c.request(traced, host, r)
	if err != nil {
		return Response{}, &Error{Code: codes.UsageBad, RunState: RunNone, IdempotencyKey: r.IdempotencyKey, Cause: err}
	}
	if ctx.Err() != nil {
		return Response{}, &Error{Code: codes.RequestDeadline, RunState: RunNone, IdempotencyKey: r.IdempotencyKey, Cause: ctx.Err()}
	}
	resp, err := c.cfg.HTTPClient.Do(req)
	if err != nil {
		// The transport may have lost a connection and failed to make the
		// next one; then bytes of the request may have gone out.
		run := RunUnknown
		if dialFailed(err) && !connected.Load() {
			run = RunNone
		}
		return Response{}, c.lost(ctx, r, codes.PeerDown, run, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if run := resp.Header.Get("Azurering-Run"); run != RunDone {
		return Response{}, c.refusal(r, resp, run)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxResponseBytes+1))
	if err != nil {
		return Response{}, c.lost(ctx, r, codes.ServerCut, RunUnknown, err)
	}
	if int64(len(body)) > c.cfg.MaxResponseBytes {
		err := errors.Errorf("answer is over %d bytes", c.cfg.MaxResponseBytes)
		return Response{}, &Error{Code: codes.RequestTooLarge, RunState: RunDone, IdempotencyKey: r.IdempotencyKey, Cause: err}
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Host: host}, nil
}

// lost is the failure of an attempt without a whole answer.
func (c *Client) lost(ctx context.Context, r Request, code codes.Code, run string, err error) *Error {
	if ctx.Err() != nil {
		code = codes.RequestDeadline
	} else {
		c.forget(r.Service)
	}
	return &Error{Code: code, RunState: run, IdempotencyKey: r.IdempotencyKey, Cause: err}
}

// refusal reads an answer that is not the service's. An answer that does not
// say whether the request ran, for example one of a proxy, leaves it open.
func (c *Client) refusal(r Request, resp *http.Response, run string) *Error {
	if run != RunNone && run != RunRunning {
		run = RunUnknown
	}
	out := &Error{Code: codes.PeerRefused, RunState: run, IdempotencyKey: r.IdempotencyKey}
	if n, err := strconv.Atoi(resp.Header.Get("Azurering-Code")); err == nil && n > 0 {
		out.Code = codes.Code(n)
	}
	if out.Code == codes.HostLeaving {
		c.forget(r.Service)
	}
	if seconds, err := strconv.ParseInt(resp.Header.Get("Retry-After"), 10, 32); err == nil && seconds > 0 {
		out.RetryAfter = time.Duration(seconds) * time.Second
	}
	// The text only explains; a refusal whose body is cut is one all the same.
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusal))
	var text struct {
		Message string `json:"message"`
	}
	if json.Unmarshal(raw, &text) != nil || text.Message == "" {
		text.Message = "entry host answered " + resp.Status
	}
	out.Cause = errors.New(text.Message)
	return out
}

func (c *Client) request(ctx context.Context, host string, r Request) (*http.Request, error) {
	if r.Service == "" || !strings.HasPrefix(r.Path, "/") {
		return nil, errors.New("client: a service and a path that starts with / are needed")
	}
	method := r.Method
	if method == "" {
		method = http.MethodGet
	}
	target := c.cfg.Scheme + "://" + host + "/s/" + url.PathEscape(r.Service) + r.Path
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "client: request")
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
