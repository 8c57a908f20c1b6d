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

// send tries backend servers of the own domain, then other domains. Its
// error is always a *core.SendError, whose state is the worst of all tries.
func (f *Handler) send(ctx context.Context, route core.Route, grant core.Grant, r core.Request) (core.Response, error) {
	pick := core.PickRequest{Workspace: grant.Workspace, Service: r.Service}
	var last *core.SendError
	for try := 1; ; try++ {
		resp, server, err := f.sendOnce(ctx, grant, pick, r)
		if err == nil {
			return resp, nil
		}
		last = worse(last, err)
		if server == "" || try == maxTries || !mayRetry(route, last.State) || ctx.Err() != nil {
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
		last = worse(last, err)
	}
	return core.Response{}, last
}

// sendOnce takes one slot and sends once. The server is empty if there was
// no slot.
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
			Latency: f.cfg.Timer.Now() - start,
		})
		return core.Response{}, server.Name, err
	}
	resp.Body = &slotBody{ReadCloser: resp.Body, done: func(failed, whole bool) {
		slot.Release(core.Outcome{Failed: failed, Abandoned: !whole, Latency: f.cfg.Timer.Now() - start})
	}}
	return resp, server.Name, nil
}

// mayRetry says whether another server may be tried. An idempotent request
// always may; an order only if it certainly did not run.
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

// worse keeps the state that claims least: once a try may have run, the
// request may have run. The newest cause is kept.
func worse(last *core.SendError, err error) *core.SendError {
	next := &core.SendError{State: stateOf(err), Cause: err}
	if last != nil && last.State == core.SendUnknown {
		next.State = core.SendUnknown
	}
	return next
}

// sendError turns the failure of an idempotent request into a coded error.
func sendError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	code := codes.Of(err)
	if code != codes.Internal {
		return err
	}
	if ctx.Err() != nil {
		return codes.Wrap(err, codes.RequestDeadline, "flow: the request's time is over")
	}
	return codes.Wrap(err, codes.ServerFailed, "flow: no backend server answered")
}

// NotExecuted reports whether an error of Serve proves that the request did not
// run and will not run.
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

// slotBody gives the slot back when the answer was read or given up.
type slotBody struct {
	io.ReadCloser
	once   sync.Once
	failed atomic.Bool // Close may run while Read does
	whole  atomic.Bool
	done   func(failed, whole bool)
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.whole.Store(true)
	case err != nil:
		b.failed.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.done(b.failed.Load(), b.whole.Load()) })
	return err
}
