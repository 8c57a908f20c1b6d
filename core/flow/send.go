package flow

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
)

// send tries backend servers of the own domain, then other domains. Its error
// is always a *core.SendError. Its state is SendUnknown if any attempt may have
// been executed, otherwise that of the last attempt.
func (f *Handler) send(ctx context.Context, route core.Route, grant core.Grant, r core.Request) (core.Response, error) {
	pick := core.PickRequest{Workspace: grant.Workspace, Service: r.Service}
	var last *core.SendError
	for try := 1; ; try++ {
		resp, server, err := f.sendOnce(ctx, grant, pick, r)
		if err == nil {
			return resp, nil
		}
		last = mergeFailure(last, err)
		if server == "" || try == maxAttempts || !mayRetry(route, last.State) || ctx.Err() != nil {
			break
		}
		attempt := core.Attempt{Service: r.Service, Kind: route.Kind, State: last.State, Tries: try}
		if !f.cfg.Picker.Retry(ctx, attempt) {
			break
		}
		pick.Tried = append(pick.Tried, server)
	}
	if last.State != core.SendUnknown && f.cfg.Remote != nil && ctx.Err() == nil && grant.Err() == nil {
		resp, err := f.cfg.Remote.Send(ctx, r, route.Class)
		if err == nil {
			return resp, nil
		}
		last = mergeFailure(last, err)
	}
	return core.Response{}, last
}

// sendOnce takes a slot and sends the request once. The returned server is
// empty if the request was not sent because there was no slot or the key was
// no longer valid.
func (f *Handler) sendOnce(ctx context.Context, grant core.Grant, pick core.PickRequest, r core.Request) (core.Response, core.ServerID, error) {
	slot, err := f.cfg.Picker.Acquire(ctx, pick)
	if err != nil {
		return core.Response{}, "", &core.SendError{State: core.SendNotSent, Cause: err}
	}
	server := slot.Server()
	if err := grant.Err(); err != nil {
		slot.Release(core.Outcome{})
		return core.Response{}, "", &core.SendError{State: core.SendNotSent, Cause: err}
	}
	start := f.cfg.Timer.Now()
	resp, err := f.cfg.Servers.Send(ctx, server, r)
	if err != nil {
		state := stateOf(err)
		slot.Release(core.Outcome{
			Failed: ctx.Err() == nil, Shed: state == core.SendRefused, Abandoned: state == core.SendUnknown,
			Ended: core.EndOf(err), Latency: f.cfg.Timer.Now() - start,
		})
		return core.Response{}, server.Name, err
	}
	resp.Body = &slotBody{ReadCloser: resp.Body, release: func(failed, complete bool) {
		slot.Release(core.Outcome{Failed: failed, Abandoned: !complete, Ended: resp.Ended, Latency: f.cfg.Timer.Now() - start})
	}}
	return resp, server.Name, nil
}

// mayRetry reports whether the request may be sent to another server: always
// if it is idempotent; an order only if it certainly did not run.
func mayRetry(route core.Route, state core.SendState) bool {
	return route.Kind == core.RouteIdempotent || state != core.SendUnknown
}

func stateOf(err error) core.SendState {
	var se *core.SendError
	if errors.As(err, &se) {
		return se.State
	}
	return core.SendUnknown
}

// mergeFailure combines the failures of two attempts. It keeps the newest
// cause, and the state SendUnknown once any attempt may have run.
func mergeFailure(last *core.SendError, err error) *core.SendError {
	next := &core.SendError{State: stateOf(err), Cause: err}
	if last != nil && last.State == core.SendUnknown {
		next.State = core.SendUnknown
	}
	return next
}

// withCode adds a result code to the failure of an idempotent request
// that has none.
func withCode(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	code := codes.Of(err)
	if code != codes.Internal {
		return err
	}
	if ctx.Err() != nil {
		return codes.Wrap(err, codes.RequestDeadline, "flow: request timed out or was cancelled")
	}
	return codes.Wrap(err, codes.ServerFailed, "flow: all attempts at backend servers failed")
}

// NotExecuted reports whether an error of Serve proves that the request has not been
// executed and will not be.
func NotExecuted(err error) bool {
	var se *core.SendError
	if errors.As(err, &se) {
		return se.State != core.SendUnknown
	}
	switch codes.Of(err) {
	case codes.OrderRunning, codes.OrderUnknown, codes.OrderMismatch, codes.OrderExpired, codes.Internal:
		return false
	default:
		return err != nil
	}
}

// slotBody is a response body that releases its slot when it is closed. It
// records whether the answer was read to its end or a read failed.
type slotBody struct {
	io.ReadCloser
	once     sync.Once
	failed   atomic.Bool // atomic because Close may run during Read
	complete atomic.Bool
	release  func(failed, complete bool)
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.complete.Store(true)
	case err != nil:
		b.failed.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.release(b.failed.Load(), b.complete.Load()) })
	return err
}
