package entry

import (
	"context"
	"net/netip"
	"time"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/keys"
	"azurering/core/order"
	"azurering/core/rates"
	"azurering/core/sheet"
	"azurering/core/steer"
)

// requestCost is what one request takes from a rate limit, in thousandths of
// a token.
const requestCost = 1000

// keyChecker adapts keys.Keys to core.KeyChecker.
type keyChecker struct{ keys *keys.Keys }

// Check implements core.KeyChecker.
func (k keyChecker) Check(bearer string) (core.Grant, error) {
	id, workspace, err := k.keys.Check(bearer)
	if err != nil {
		return core.Grant{}, err
	}
	// All streams of a key share one watch, so Release has nothing to do.
	w := k.keys.Watch(id)
	return core.Grant{Key: id, Workspace: workspace, Revoked: w.Done(), Err: w.Err, Release: func() {}}, nil
}

// admitter adapts rates.Limiter to core.Admitter.
type admitter struct{ limiter *rates.Limiter }

// Admit implements core.Admitter.
func (a admitter) Admit(ctx context.Context, w core.WorkspaceID) error {
	return a.limiter.Wait(ctx, w, requestCost, maxRateWait)
}

// shiftGate implements flow.ShiftGate: it counts the requests that a shift
// moved to this host's region against the cap of the shift.
type shiftGate struct {
	self    self
	timer   core.Timer
	state   *state
	planner *steer.Planner
	limiter *rates.Limiter
}

// Take implements flow.ShiftGate.
func (g shiftGate) Take(address string) error {
	addr, err := netip.ParseAddr(address)
	if err != nil {
		return codes.Wrap(err, codes.RequestBad, "entry: the caller has no IP address")
	}
	name, ok := g.planner.ShiftOf(addr)
	if !ok {
		return nil
	}
	s := g.state.Log.Current().Sheet
	for _, v := range s.Shifts {
		if v.Name == name && v.To == sheet.RegionOf(s, g.self.Domain) {
			return g.limiter.AdmitResource(g.timer.Now(), core.ShiftResource(name), requestCost)
		}
	}
	return nil
}

// orderAdapter adapts order.Orders to core.Orders.
type orderAdapter struct {
	orders *order.Orders
	timer  core.Timer
}

// Do implements core.Orders.
func (b orderAdapter) Do(ctx context.Context, r core.OrderRequest, send core.OrderSend) (core.OrderAnswer, error) {
	request := order.Request{Workspace: r.Workspace, Key: r.Key, Hash: r.Digest}
	if deadline, ok := ctx.Deadline(); ok {
		request.Deadline = b.timer.Now() + time.Until(deadline)
	}
	result, err := b.orders.Do(ctx, request, func(ctx context.Context) (order.Result, error) {
		answer, err := send(ctx)
		return order.Result{Status: answer.Status, Header: answer.Header, Body: answer.Body}, err
	})
	return core.OrderAnswer{Status: result.Status, Header: result.Header, Body: result.Body}, err
}
