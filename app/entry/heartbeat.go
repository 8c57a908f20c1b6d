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

// heartbeatTimeout bounds one heartbeat. Several of them fit into the silence
// after which a host is suspected.
const heartbeatTimeout = time.Second

// catchUpQueueSize bounds the queue of catch-up requests.
const catchUpQueueSize = 32

// heartbeater sends and answers heartbeats, and passes their content to the
// parts of the host.
type heartbeater struct {
	self      self
	timer     core.Timer
	peers     core.Peers
	view      *member.View
	directory *directory
	state     *state
	pools     *pools
	planner   *steer.Planner
	drains    *drainCounts
	log       logrus.FieldLogger
	catchUps  *rings.Ring // of catchUpRequest
}

// catchUpRequest names a host that has applied a configuration version or a
// set of withdrawals which this host lacks.
type catchUpRequest struct {
	from      core.HostID
	version   uint64
	withdrawn uint64
}

type heartbeaterDeps struct {
	fx.In
	Self      self
	Timer     core.Timer
	Peers     core.Peers
	Group     *member.View
	Directory *directory
	State     *state
	Pools     *pools
	Steer     *steer.Planner
	Drains    *drainCounts
	Log       logrus.FieldLogger
}

func newHeartbeater(d heartbeaterDeps) *heartbeater {
	b := &heartbeater{
		self: d.Self, timer: d.Timer, peers: d.Peers, view: d.Group, directory: d.Directory, state: d.State,
		pools: d.Pools, planner: d.Steer, drains: d.Drains, log: d.Log,
		catchUps: rings.New(rings.Config{Name: "catch-up", Size: catchUpQueueSize}),
	}
	d.Peers.Handle(core.KindHeartbeat, b.handle)
	return b
}

func runHeartbeater(d *tasks, b *heartbeater) {
	d.addPeriodic("beat", heartbeatPeriod, func(ctx context.Context) error {
		b.sendDue(ctx)
		return nil
	})
	d.add(b.runCatchUp)
}

// heartbeat returns the heartbeat for a host. Probe results are included only
// for hosts of the same failure domain.
func (b *heartbeater) heartbeat(to core.Host) core.Heartbeat {
	now := b.timer.Now()
	heartbeat := b.view.NewHeartbeat(now, to.Name)
	b.state.Evidence.FillHeartbeat(now, &heartbeat)
	b.state.Keys.FillHeartbeat(&heartbeat)
	heartbeat.Loads = []core.DomainLoad{b.pools.load(now, b.self.Domain, len(b.view.Live(b.self.Domain)))}
	heartbeat.DrainProgress = b.drains.local(now)
	if to.Domain == b.self.Domain {
		heartbeat.ProbeResults = b.pools.sharedProbes(now)
	}
	return heartbeat
}

func (b *heartbeater) handle(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
	heartbeat := m.(core.Heartbeat)
	b.receive(heartbeat)
	return b.heartbeat(heartbeat.Host), nil
}

// sendDue updates the membership and sends the heartbeats that are due. It
// does not wait for their answers.
func (b *heartbeater) sendDue(ctx context.Context) {
	plan := b.view.Tick(b.timer.Now())
	b.directory.refresh()
	for _, change := range plan.Changes {
		b.log.WithFields(logrus.Fields{"event": "member", "member": change.Host.Name, "state": change.Host.State, "was": change.Previous}).Info("membership changed")
	}
	if len(plan.Changes) > 0 {
		b.planner.SetHosts(b.timer.Now(), b.view.Hosts())
	}
	var wg sync.WaitGroup
	for _, h := range plan.Targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			b.send(ctx, h)
		}()
	}
	if plan.Paused {
		b.log.WithField("event", "paused").Warn("host was paused; membership observations start over")
	}
	// The next round must not wait for a host that does not answer.
	go wg.Wait()
}

func (b *heartbeater) send(ctx context.Context, h core.Host) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := b.timer.Now()
	answer, err := b.peers.Call(ctx, h.Name, b.heartbeat(h))
	if err != nil {
		return
	}
	heartbeat, ok := answer.(core.Heartbeat)
	if !ok {
		return
	}
	b.receive(heartbeat)
	// Evidence is relayed only within a failure domain. Between domains, only
	// acting seat holders attest.
	if heartbeat.Host.Domain == b.self.Domain {
		b.state.Evidence.MergeHeartbeat(sentAt, heartbeat)
	}
}

func (b *heartbeater) receive(heartbeat core.Heartbeat) {
	now := b.timer.Now()
	b.view.HandleHeartbeat(now, heartbeat)
	b.state.Keys.ObserveHeartbeat(heartbeat.Host.Name, heartbeat)
	b.state.Log.ObserveVersion(heartbeat.ConfigVersion)
	if !b.state.covers(heartbeat.ConfigVersion, heartbeat.WithdrawalDigest) {
		// If the queue is full, the next heartbeat queues the request again.
		_ = b.catchUps.Offer(catchUpRequest{from: heartbeat.Host.Name, version: heartbeat.ConfigVersion, withdrawn: heartbeat.WithdrawalDigest})
	}
	b.planner.AddLoads(now, "", 0, heartbeat.Loads)
	b.pools.mergeProbes(now, heartbeat)
	b.drains.merge(now, heartbeat)
}

// runCatchUp carries out queued catch-up requests until the context ends.
func (b *heartbeater) runCatchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-b.catchUps.C():
			p := item.(catchUpRequest)
			if b.state.covers(p.version, p.withdrawn) {
				continue
			}
			if err := b.state.catchUp(ctx, p.from, p.version, p.withdrawn); err != nil {
				b.log.WithFields(logrus.Fields{"event": "catch-up", "from": p.from, "version": p.version}).WithError(err).Debug("configuration or withdrawals could not be pulled from a peer; its next heartbeat retries")
			}
		}
	}
}
