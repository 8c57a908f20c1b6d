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

// statusParallel bounds the hosts asked at once for a status.
const statusParallel = 32

// Control implements admin.Control on the parts of this host. It is safe
// for concurrent use.
type Control struct {
	self   self
	group  *member.View
	state  *state
	limits *limits
	pools  *pools
	beater *beater
	peers  core.Peers
}

type controlDeps struct {
	fx.In
	Self   self
	Group  *member.View
	State  *state
	Limits *limits
	Pools  *pools
	Beater *beater
	Peers  core.Peers
}

func newControl(d controlDeps) *Control {
	return &Control{
		self: d.Self, group: d.Group, state: d.State, limits: d.Limits, pools: d.Pools, beater: d.Beater, peers: d.Peers,
	}
}

// Sheet implements admin.Control.
func (c *Control) Sheet() (core.Sheet, uint64) {
	s := c.state.Log.Current()
	return s.Sheet, s.Version
}

// PublishSheet implements admin.Control. Keys that the new sheet dropped
// are withdrawn.
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

// withdraw reports a withdrawal that is in force but not yet accepted as a
// result with Accepted false, not as a failure.
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

// Status implements admin.Control. It asks all known hosts.
func (c *Control) Status(ctx context.Context) (admin.Status, error) {
	current := c.state.Log.Current()
	out := admin.Status{
		Host: c.self.Name, Version: current.Version, Hosts: c.hosts(ctx),
		Shifts: current.Sheet.Shifts, Servers: len(current.Sheet.Servers),
	}
	for _, r := range current.Sheet.Regions {
		for _, d := range r.Domains {
			out.Domains = append(out.Domains, c.domain(ctx, r.Name, d, out.Hosts))
		}
	}
	out.Drains = c.beater.drains.report(c.beater.timer.Now(), c.group.Hosts())
	for _, w := range current.Sheet.Workspaces {
		out.Shares = append(out.Shares, c.share(w))
	}
	return out, nil
}

// hosts asks each known host for its version and freshness.
func (c *Control) hosts(ctx context.Context) []admin.HostStatus {
	list := c.group.Hosts()
	out := make([]admin.HostStatus, len(list))
	fanout.Each(statusParallel, len(list), func(i int) {
		out[i].Host = list[i]
		if list[i].State != core.HostDead {
			c.ask(ctx, &out[i])
		}
	})
	return out
}

func (c *Control) ask(ctx context.Context, h *admin.HostStatus) {
	if h.Host.Name == c.self.Name {
		h.Reached = true
		h.Version = c.state.Log.Current().Version
		h.Fresh = c.state.Evidence.Fresh(c.beater.timer.Now())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	answer, err := c.peers.Call(ctx, h.Host.Name, c.beater.fill(h.Host))
	if err != nil {
		return
	}
	if b, ok := answer.(core.Heartbeat); ok {
		h.Reached, h.Version, h.Fresh = true, b.ConfigVersion, b.EvidenceFresh
		c.beater.drains.take(c.beater.timer.Now(), b)
	}
}

func (c *Control) domain(ctx context.Context, r core.RegionID, d core.DomainID, hosts []admin.HostStatus) admin.DomainStatus {
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
		load := c.pools.load(c.beater.timer.Now(), d, out.Hosts)
		out.Free, out.Total = load.Free, load.Total
	}
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	if holder, err := c.state.Seat.FindHolder(ctx, d); err == nil {
		out.Holder = holder
	}
	if d == c.self.Domain {
		_, out.Epoch = c.state.Seat.Holder()
	}
	return out
}

func (c *Control) share(w core.Workspace) admin.ShareStatus {
	r := core.RateResource(w.Name)
	out := admin.ShareStatus{
		Workspace: w.Name, Limit: core.Amount{Rate: w.Rate, Burst: w.Burst},
		Host: c.limits.limiter.Held(c.beater.timer.Now(), w.Name),
	}
	if usable, ok := c.limits.keeper.Usable(r); ok {
		out.Domain = usable
	}
	return out
}

// newGuard refuses drains, stops and shifts that would leave a service
// without anything that can serve it.
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
