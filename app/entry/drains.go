package entry

import (
	"time"

	"azurering/core"
	"azurering/core/config"
	"azurering/core/drain"
	"azurering/io/admin"
)

// drains counts what is left of planned drains and stops, here and on the
// hosts whose heartbeats arrive.
type drains struct {
	self    self
	state   *state
	pools   *pools
	stopper *stopper
	tracker *drain.Tracker
}

func newDrains(s self, st *state, p *pools, stop *stopper, t core.Timer, h *hub) *drains {
	d := &drains{self: s, state: st, pools: p, stopper: stop, tracker: drain.NewTracker()}
	h.subscribe(func(c config.State) { d.tracker.Apply(t.Now(), &c.Sheet) })
	return d
}

// own returns this host's counts for the drains of its configuration.
func (d *drains) own(now time.Duration) []core.DrainProgress {
	var out []core.DrainProgress
	for _, one := range d.state.Log.Current().Sheet.Drains {
		out = append(out, core.DrainProgress{
			Kind: one.Kind, Target: one.Target, InFlight: d.inFlight(one), Age: d.tracker.Age(now, one.Kind, one.Target),
		})
	}
	return out
}

func (d *drains) inFlight(one core.Drain) int64 {
	if one.Kind == core.DrainHost {
		if core.HostID(one.Target) == d.self.Name {
			return d.stopper.inFlight.Load()
		}
		return 0
	}
	return d.pools.drainedInFlight(one)
}

// take takes in the counts of another host.
func (d *drains) take(now time.Duration, b core.Heartbeat) {
	d.tracker.Record(now, countsOf(b.Host.Name, b.DrainProgress))
}

func countsOf(h core.HostID, list []core.DrainProgress) []drain.Count {
	out := make([]drain.Count, 0, len(list))
	for _, c := range list {
		out = append(out, drain.Count{Host: h, Kind: c.Kind, Target: c.Target, InFlight: c.InFlight, Age: c.Age})
	}
	return out
}

// report returns the progress of all drains.
func (d *drains) report(now time.Duration, hosts []core.Host) []admin.DrainStatus {
	d.tracker.Record(now, countsOf(d.self.Name, d.own(now)))
	var out []admin.DrainStatus
	for _, p := range d.tracker.Drains(now, known(hosts)) {
		out = append(out, admin.DrainStatus{
			Kind: p.Drain.Kind, Target: p.Drain.Target, Mode: p.Drain.Mode, Within: p.Drain.Timeout,
			Phase: string(p.Phase), Left: p.InFlight,
		})
	}
	return out
}

// known leaves out hosts that are only suspected to exist.
func known(hosts []core.Host) []core.Host {
	out := make([]core.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.State == core.HostLive || h.State == core.HostLeaving {
			out = append(out, h)
		}
	}
	return out
}
