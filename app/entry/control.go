package entry

import (
	"context"

	"go.uber.org/fx"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/drain"
	"azurering/core/fanout"
	"azurering/core/member"
	"azurering/io/admin"
)

// maxStatusCalls bounds the concurrent calls to other hosts for a status.
const maxStatusCalls = 32

// Control carries out operator requests on this host. It implements
// admin.Control and is safe for concurrent use.
type Control struct {
	self        self
	view        *member.View
	state       *state
	limits      *limits
	pools       *pools
	heartbeater *heartbeater
	peers       core.Peers
}

type controlDeps struct {
	fx.In
	Self        self
	Group       *member.View
	State       *state
	Limits      *limits
	Pools       *pools
	Heartbeater *heartbeater
	Peers       core.Peers
}

func newControl(d controlDeps) *Control {
	return &Control{
		self: d.Self, view: d.Group, state: d.State, limits: d.Limits, pools: d.Pools, heartbeater: d.Heartbeater, peers: d.Peers,
	}
}

// Sheet implements admin.Control.
func (c *Control) Sheet() (core.Sheet, uint64) {
	s := c.state.Log.Current()
	return s.Sheet, s.Version
}

// PublishSheet implements admin.Control. It withdraws the keys that the new
// sheet no longer contains.
func (c *Control) PublishSheet(ctx context.Context, s core.Sheet, base uint64) (admin.PublishResult, error) {
	for _, k := range s.Keys {
		if c.state.Keys.IsWithdrawn(k.Name) {
			return admin.PublishResult{}, codes.New(codes.SheetInvalid, "entry: key %q was withdrawn; key names are not used again", k.Name)
		}
	}
	result, err := c.state.Log.PublishSheet(ctx, s, base)
	out := admin.PublishResult{Version: result.Version}
	if err != nil {
		return out, err
	}
	for _, w := range result.RemovedKeys {
		report, _ := c.withdraw(ctx, w)
		out.Withdrawn = append(out.Withdrawn, report)
	}
	return out, nil
}

// PublishChange implements admin.Control.
func (c *Control) PublishChange(ctx context.Context, ch core.Change) (admin.PublishResult, error) {
	result, err := c.state.Log.PublishChange(ctx, ch, 0)
	return admin.PublishResult{Version: result.Version}, err
}

// Withdraw implements admin.Control.
func (c *Control) Withdraw(ctx context.Context, key core.KeyID) (admin.WithdrawResult, error) {
	for _, k := range c.state.Log.Current().Sheet.Keys {
		if k.Name == key {
			return c.withdraw(ctx, core.Withdrawal{Key: key, Workspace: k.Workspace})
		}
	}
	return admin.WithdrawResult{Key: key}, codes.New(codes.ChangeInvalid, "entry: no key %q in the configuration", key)
}

// withdraw withdraws a key. A withdrawal that is not yet accepted by all
// domains is returned with Accepted false and without an error.
func (c *Control) withdraw(ctx context.Context, w core.Withdrawal) (admin.WithdrawResult, error) {
	r, err := c.state.Keys.Withdraw(ctx, w)
	out := admin.WithdrawResult{Key: w.Key, Durable: r.Durable, Accepted: r.Accepted, InForce: r.InForce, Pending: r.Pending}
	if codes.Is(err, codes.WithdrawPending) {
		return out, nil
	}
	return out, err
}

// Withdrawn implements admin.Control.
func (c *Control) Withdrawn(key core.KeyID) bool { return c.state.Keys.IsWithdrawn(key) }

// Status implements admin.Control. It calls all known hosts that are not dead.
func (c *Control) Status(ctx context.Context) (admin.Status, error) {
	current := c.state.Log.Current()
	out := admin.Status{
		Host: c.self.Name, Version: current.Version, Hosts: c.hostStatuses(ctx),
		Shifts: current.Sheet.Shifts, Servers: len(current.Sheet.Servers),
	}
	for _, r := range current.Sheet.Regions {
		for _, d := range r.Domains {
			out.Domains = append(out.Domains, c.domainStatus(ctx, r.Name, d, out.Hosts))
		}
	}
	out.Drains = c.heartbeater.drains.report(c.heartbeater.timer.Now(), c.view.Hosts())
	for _, w := range current.Sheet.Workspaces {
		out.Shares = append(out.Shares, c.shareStatus(w))
	}
	return out, nil
}

// hostStatuses asks each known host that is not dead for its version and
// freshness.
func (c *Control) hostStatuses(ctx context.Context) []admin.HostStatus {
	hosts := c.view.Hosts()
	out := make([]admin.HostStatus, len(hosts))
	fanout.Each(maxStatusCalls, len(hosts), func(i int) {
		out[i].Host = hosts[i]
		if hosts[i].State != core.HostDead {
			c.queryHost(ctx, &out[i])
		}
	})
	return out
}

func (c *Control) queryHost(ctx context.Context, h *admin.HostStatus) {
	if h.Host.Name == c.self.Name {
		h.Reached = true
		h.Version = c.state.Log.Current().Version
		h.Fresh = c.state.Evidence.Fresh(c.heartbeater.timer.Now())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	answer, err := c.peers.Call(ctx, h.Host.Name, c.heartbeater.heartbeat(h.Host))
	if err != nil {
		return
	}
	if heartbeat, ok := answer.(core.Heartbeat); ok {
		h.Reached, h.Version, h.Fresh = true, heartbeat.ConfigVersion, heartbeat.EvidenceFresh
		c.heartbeater.drains.merge(c.heartbeater.timer.Now(), heartbeat)
	}
}

func (c *Control) domainStatus(ctx context.Context, r core.RegionID, d core.DomainID, hosts []admin.HostStatus) admin.DomainStatus {
	out := admin.DomainStatus{Region: r, Domain: d}
	for _, h := range hosts {
		if h.Host.Domain != d || h.Host.State == core.HostDead {
			continue
		}
		out.Hosts++
		if !h.Reached {
			continue
		}
		if out.Reached == 0 || h.Version < out.Version {
			out.Version = h.Version
		}
		out.Reached++
	}
	if d == c.self.Domain {
		load := c.pools.load(c.heartbeater.timer.Now(), d, out.Hosts)
		out.Free, out.Total = load.Free, load.Total
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if holder, err := c.state.Seat.FindHolder(ctx, d); err == nil {
		out.Holder = holder
	}
	if d == c.self.Domain {
		_, out.Epoch = c.state.Seat.Holder()
	}
	return out
}

func (c *Control) shareStatus(w core.Workspace) admin.ShareStatus {
	r := core.RateResource(w.Name)
	out := admin.ShareStatus{
		Workspace: w.Name, Limit: core.Amount{Rate: w.Rate, Burst: w.Burst},
		Host: c.limits.limiter.Held(c.heartbeater.timer.Now(), w.Name),
	}
	if usable, ok := c.limits.lender.Usable(r); ok {
		out.Domain = usable
	}
	return out
}

// newGuard returns a guard that refuses drains, stops and shifts after which
// a service could not be served.
func newGuard(g *member.View) guard {
	return func(s core.Sheet, ch core.Change) error {
		state := drain.Fleet{Sheet: &s, Hosts: g.Hosts()}
		switch ch.Kind {
		case core.ChangeDrain:
			return drain.CheckDrain(state, ch.Drain)
		case core.ChangeShift:
			return drain.CheckShift(state, ch.Shift)
		default:
			return nil
		}
	}
}
