package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"azurering/core"
	"azurering/core/member"
	"azurering/core/rings"
	"azurering/core/steer"
)

// beatTimeout bounds one heartbeat: the silence after which a host is
// suspected leaves room for several.
const beatTimeout = time.Second

// catchUpQueue bounds the hosts that wait to be pulled from.
const catchUpQueue = 32

// beater sends heartbeats, answers them, and hands on what they carry.
type beater struct {
	self   self
	timer  core.Timer
	peers  core.Peers
	group  *member.View
	dir    *directory
	state  *state
	pools  *pools
	steer  *steer.Planner
	drains *drains
	log    logrus.FieldLogger
	behind *rings.Ring // of pull
}

// pull asks to catch up with a host.
type pull struct {
	from      core.HostID
	version   uint64
	withdrawn uint64
}

type beaterDeps struct {
	fx.In
	Self  self
	Timer core.Timer
	Peers core.Peers
	Group *member.View
	Dir   *directory
	State *state
	Pools *pools
	Steer *steer.Planner
	Drain *drains
	Log   logrus.FieldLogger
}

func newBeater(d beaterDeps) *beater {
	b := &beater{
		self: d.Self, timer: d.Timer, peers: d.Peers, group: d.Group, dir: d.Dir, state: d.State,
		pools: d.Pools, steer: d.Steer, drains: d.Drain, log: d.Log,
		behind: rings.New(rings.Config{Name: "catch-up", Size: catchUpQueue}),
	}
	d.Peers.Handle(core.KindHeartbeat, b.handle)
	return b
}

func runBeater(d *duties, b *beater) {
	d.every("beat", beatPeriod, func(ctx context.Context) error {
		b.round(ctx)
		return nil
	})
	d.add(b.runCatchUp)
}

// fill returns a heartbeat with all that other hosts need.
func (b *beater) fill(to core.Host) core.Heartbeat {
	now := b.timer.Now()
	beat := b.group.NewHeartbeat(now, to.Name)
	b.state.Evidence.FillHeartbeat(now, &beat)
	b.state.Keys.FillHeartbeat(&beat)
	beat.Loads = []core.DomainLoad{b.pools.load(now, b.self.Domain, len(b.group.Live(b.self.Domain)))}
	beat.DrainProgress = b.drains.own(now)
	if to.Domain == b.self.Domain {
		beat.ProbeResults = b.pools.shared(now)
	}
	return beat
}

func (b *beater) handle(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
	beat := m.(core.Heartbeat)
	b.receive(beat)
	return b.fill(beat.Host), nil
}

// round sends the heartbeats that are due and waits for none of them.
func (b *beater) round(ctx context.Context) {
	plan := b.group.Tick(b.timer.Now())
	b.dir.renew()
	for _, c := range plan.Changes {
		b.log.WithFields(logrus.Fields{"event": "member", "member": c.Host.Name, "state": c.Host.State, "was": c.Previous}).Info("membership changed")
	}
	if len(plan.Changes) > 0 {
		b.steer.SetHosts(b.timer.Now(), b.group.Hosts())
	}
	var all sync.WaitGroup
	for _, h := range plan.Targets {
		all.Add(1)
		go func() {
			defer all.Done()
			b.send(ctx, h)
		}()
	}
	if plan.Paused {
		b.log.WithField("event", "paused").Warn("host was paused; observations restart")
	}
	// The rounds must not wait for a host that does not answer.
	go all.Wait()
}

func (b *beater) send(ctx context.Context, h core.Host) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	asked := b.timer.Now()
	answer, err := b.peers.Call(ctx, h.Name, b.fill(h))
	if err != nil {
		return
	}
	beat, ok := answer.(core.Heartbeat)
	if !ok {
		return
	}
	b.receive(beat)
	// Evidence is relayed inside a domain only: across domains only the
	// acting seat holders attest.
	if beat.Host.Domain == b.self.Domain {
		b.state.Evidence.MergeHeartbeat(asked, beat)
	}
}

func (b *beater) receive(beat core.Heartbeat) {
	now := b.timer.Now()
	b.group.HandleHeartbeat(now, beat)
	b.state.Keys.ObserveHeartbeat(beat.Host.Name, beat)
	b.state.Log.ObserveVersion(beat.ConfigVersion)
	if !b.state.covers(beat.ConfigVersion, beat.WithdrawalDigest) {
		// If the ring is full the next heartbeat asks again.
		_ = b.behind.Offer(pull{from: beat.Host.Name, version: beat.ConfigVersion, withdrawn: beat.WithdrawalDigest})
	}
	b.steer.AddLoads(now, "", 0, beat.Loads)
	b.pools.learn(now, beat)
	b.drains.take(now, beat)
}

// runCatchUp pulls from hosts that know more than this one.
func (b *beater) runCatchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-b.behind.C():
			p := item.(pull)
			if b.state.covers(p.version, p.withdrawn) {
				continue
			}
			if err := b.state.catchUp(ctx, p.from, p.version, p.withdrawn); err != nil {
				b.log.WithFields(logrus.Fields{"event": "catch-up", "from": p.from, "version": p.version}).WithError(err).Debug("catching up failed")
			}
		}
	}
}
