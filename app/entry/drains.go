package entry

import (
	"time"

	"azurering/core"
	"azurering/core/config"
	"azurering/core/drain"
	"azurering/io/admin"
)

// drainCounts tracks the requests in flight that planned drains and stops wait
// for, on this host and, from their heartbeats, on other hosts.
type drainCounts struct {
	self    self
	state   *state
	pools   *pools
	stopper *stopper
	tracker *drain.Tracker
}

func newDrainCounts(s self, st *state, p *pools, stop *stopper, t core.Timer, h *hub) *drainCounts {
	d := &drainCounts{self: s, state: st, pools: p, stopper: stop, tracker: drain.NewTracker()}
	h.subscribe(func(c config.State) { d.tracker.Apply(t.Now(), &c.Sheet) })
	return d
}

// local returns this host's counts for the drains in its configuration.
func (d *drainCounts) local(now time.Duration) []core.DrainProgress {
	var out []core.DrainProgress
	for _, operation := range d.state.Log.Current().Sheet.Drains {
		out = append(out, core.DrainProgress{
			Kind: operation.Kind, Target: operation.Target, InFlight: d.inFlight(operation), Age: d.tracker.Age(now, operation.Kind, operation.Target),
		})
	}
	return out
}

func (d *drainCounts) inFlight(operation core.Drain) int64 {
	if operation.Kind == core.DrainHost {
		if core.HostID(operation.Target) == d.self.Name {
			return d.stopper.inFlight.Load()
		}
		return 0
	}
	return d.pools.drainedInFlight(operation)
}

// merge records the counts in another host's heartbeat.
func (d *drainCounts) merge(now time.Duration, b core.Heartbeat) {
	d.tracker.Record(now, trackerCounts(b.Host.Name, b.DrainProgress))
}

func trackerCounts(h core.HostID, list []core.DrainProgress) []drain.Count {
	out := make([]drain.Count, 0, len(list))
	for _, c := range list {
		out = append(out, drain.Count{Host: h, Kind: c.Kind, Target: c.Target, InFlight: c.InFlight, Age: c.Age})
	}
	return out
}

// report returns the progress of all drains over the given hosts.
func (d *drainCounts) report(now time.Duration, hosts []core.Host) []admin.DrainStatus {
	d.tracker.Record(now, trackerCounts(d.self.Name, d.local(now)))
	var out []admin.DrainStatus
	for _, p := range d.tracker.Drains(now, activeHosts(hosts)) {
		out = append(out, admin.DrainStatus{
			Kind: p.Drain.Kind, Target: p.Drain.Target, Mode: p.Drain.Mode, Within: p.Drain.Timeout,
			Phase: string(p.Phase), Left: p.InFlight,
		})
	}
	return out
}

// activeHosts returns the live and leaving hosts, without suspected and dead
// ones.
func activeHosts(hosts []core.Host) []core.Host {
	out := make([]core.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.State == core.HostLive || h.State == core.HostLeaving {
			out = append(out, h)
		}
	}
	return out
}
