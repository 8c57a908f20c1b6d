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
	group     *member.Group
	directory *directory
	state     *state
	pools     *pools
	steer     *steer.Steer
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
	Group     *member.Group
	Directory *directory
	State     *state
	Pools     *pools
	Steer     *steer.Steer
	Drains    *drainCounts
	Log       logrus.FieldLogger
}

func newHeartbeater(d heartbeaterDeps) *heartbeater {
	b := &heartbeater{
		self: d.Self, timer: d.Timer, peers: d.Peers, group: d.Group, directory: d.Directory, state: d.State,
		pools: d.Pools, steer: d.Steer, drains: d.Drains, log: d.Log,
		catchUps: rings.New(rings.Config{Name: "catch-up", Size: catchUpQueueSize}),
	}
	d.Peers.Handle(core.KindBeat, b.handle)
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
func (b *heartbeater) heartbeat(to core.Host) core.Beat {
	now := b.timer.Now()
	beat := b.group.Beat(now, to.Name)
	b.state.Evidence.Fill(now, &beat)
	b.state.Keys.Fill(&beat)
	beat.Loads = []core.Load{b.pools.load(now, b.self.Domain, len(b.group.Live(b.self.Domain)))}
	beat.Drains = b.drains.local(now)
	if to.Domain == b.self.Domain {
		beat.Probes = b.pools.sharedProbes(now)
	}
	return beat
}

func (b *heartbeater) handle(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
	beat := m.(core.Beat)
	b.receive(beat)
	return b.heartbeat(beat.Host), nil
}

// sendDue updates the membership and sends the heartbeats that are due. It
// does not wait for their answers.
func (b *heartbeater) sendDue(ctx context.Context) {
	plan := b.group.Tick(b.timer.Now())
	b.directory.refresh()
	for _, change := range plan.Changes {
		b.log.WithFields(logrus.Fields{"event": "member", "member": change.Host.Name, "state": change.Host.State, "was": change.Was}).Info("membership changed")
	}
	if len(plan.Changes) > 0 {
		b.steer.Hosts(b.timer.Now(), b.group.Hosts())
	}
	var wg sync.WaitGroup
	for _, h := range plan.Beats {
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
	beat, ok := answer.(core.Beat)
	if !ok {
		return
	}
	b.receive(beat)
	// Evidence is relayed only within a failure domain. Between domains, only
	// acting seat holders attest.
	if beat.Host.Domain == b.self.Domain {
		b.state.Evidence.Merge(sentAt, beat)
	}
}

func (b *heartbeater) receive(beat core.Beat) {
	now := b.timer.Now()
	b.group.Receive(now, beat)
	b.state.Keys.Observe(beat.Host.Name, beat)
	b.state.Log.Seen(beat.Version)
	if !b.state.covers(beat.Version, beat.Withdrawn) {
		// If the queue is full, the next heartbeat queues the request again.
		_ = b.catchUps.Offer(catchUpRequest{from: beat.Host.Name, version: beat.Version, withdrawn: beat.Withdrawn})
	}
	b.steer.Measure(now, "", 0, beat.Loads)
	b.pools.mergeProbes(now, beat)
	b.drains.merge(now, beat)
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
