package demo

import (
	"context"
	"io"
	"sync"
	"time"

	"azurering/core"
	"azurering/io/stand"
)

// drainGrace is how long a drained server may still get new work: the few
// seconds in which the change reaches all hosts.
const drainGrace = 5 * time.Second

// storeDelay is how much longer a slow platform takes.
const storeDelay = 300 * time.Millisecond

// director makes the faults happen.
type director struct {
	world  *world
	load   *load
	faults Faults
	out    io.Writer
	length time.Duration

	stopping sync.WaitGroup // hosts that are stopped meanwhile
}

// run makes the faults at a quarter of the run and heals them at three
// quarters. It returns once the hosts that it stopped have ended.
func (d *director) run(ctx context.Context) {
	defer d.stopping.Wait()
	if !d.wait(ctx, d.length/4) {
		return
	}
	d.strike(ctx)
	if !d.wait(ctx, d.length/2) {
		return
	}
	d.heal()
}

func (d *director) wait(ctx context.Context, t time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(t):
		return true
	}
}

func (d *director) say(format string, args ...any) { say(d.out, d.world, format, args...) }

// victim is the host that faults hit: not one of the first domain, whose
// host carries out the operators' changes.
func (d *director) victim() *host { return d.world.hosts[len(d.world.hosts)-1] }

// cutOff is the domain that is cut off.
func (d *director) cutOff() core.DomainID {
	regions := d.world.plan.regions
	return regions[1].Domains[0]
}

func (d *director) strike(ctx context.Context) {
	if d.faults.DrainServer {
		d.drain(ctx)
	}
	if d.faults.WithdrawKey {
		d.withdraw(ctx)
	}
	if d.faults.ShiftTraffic {
		d.shift(ctx)
	}
	if d.faults.StoreDown {
		d.say("fault: the platform is down")
		if err := d.world.platform.SetDown(true); err != nil {
			d.world.audit.fault("demo: platform: %v", err)
		}
	}
	if d.faults.StoreSlow {
		d.platformFault(stand.Fault{Kind: stand.FaultSlow, Delay: storeDelay})
	}
	if d.faults.StoreLossy {
		d.platformFault(stand.Fault{Kind: stand.FaultDropAfter, Service: stand.Table})
	}
	if d.faults.CutDomain {
		d.cut(d.cutOff())
	}
	if d.faults.CutRegion {
		d.cutRegion()
	}
	if d.faults.KillEntry {
		h := d.victim()
		d.say("fault: entry host %s is killed", h.settings.Host)
		h.ended = true
		h.app.Kill()
	}
	if d.faults.StopEntry {
		d.stopping.Go(func() { d.stop(ctx) })
	}
}

func (d *director) heal() {
	d.say("links and platform work again")
	if err := d.world.platform.SetDown(false); err != nil {
		d.world.audit.fault("demo: platform: %v", err)
	}
	_ = d.world.platform.SetFaults()
	for _, r := range d.world.plan.regions {
		for _, domain := range r.Domains {
			d.world.net.set(domain, false)
		}
	}
}

// platformFault adds a fault of the platform.
func (d *director) platformFault(f stand.Fault) {
	d.say("fault: platform: %s", f.Kind)
	if err := d.world.platform.SetFaults(append(d.world.platform.Faults(), f)...); err != nil {
		d.world.audit.fault("demo: platform: %v", err)
	}
}

// cut cuts a domain off from all others and from the platform.
func (d *director) cut(domain core.DomainID) {
	d.say("fault: failure domain %s is cut off", domain)
	d.world.net.set(domain, true)
	d.platformFault(stand.Fault{Kind: stand.FaultCut, Identity: string(domain)})
}

// cutRegion takes away the region in which the platform is.
func (d *director) cutRegion() {
	for _, domain := range d.world.plan.regions[0].Domains {
		d.say("fault: failure domain %s is cut off", domain)
		d.world.net.set(domain, true)
	}
	if err := d.world.platform.SetDown(true); err != nil {
		d.world.audit.fault("demo: platform: %v", err)
	}
}

func (d *director) stop(ctx context.Context) {
	h := d.victim()
	d.say("entry host %s is stopped gracefully", h.settings.Host)
	h.ended = true
	if err := h.app.Stop(ctx); err != nil {
		d.world.audit.fault("P11: stop of %s: %v", h.settings.Host, err)
		return
	}
	d.say("entry host %s has ended", h.settings.Host)
}

func (d *director) drain(ctx context.Context) {
	s := d.world.backends[0]
	change := core.Change{Kind: core.ChangeDrain, Drain: core.Drain{Kind: core.DrainServer, Target: string(s.Name), Mode: core.ModeDrain}}
	if _, err := d.world.hosts[0].app.Node().Control.PublishChange(ctx, change); err != nil {
		d.world.audit.fault("demo: drain: %v", err)
		return
	}
	d.world.audit.drain(s.Name, d.world.audit.now()+drainGrace)
	d.say("backend server %s is drained", s.Name)
}

func (d *director) withdraw(ctx context.Context) {
	t := d.world.tenants[len(d.world.tenants)-1]
	w, err := d.world.hosts[0].app.Node().Control.Withdraw(ctx, t.keyName())
	if err != nil {
		d.world.audit.fault("demo: withdraw: %v", err)
		return
	}
	d.say("key of %s is withdrawn: durable %t, accepted %t, in force in %v, pending in %v", t.name, w.Durable, w.Accepted, w.InForce, w.Pending)
	if w.Accepted {
		// One freshness bound and its margin later every host refuses it.
		d.load.withdraw(t.name, d.world.audit.now()+freshness*11/10)
	}
}

func (d *director) shift(ctx context.Context) {
	regions := d.world.plan.regions
	change := core.Change{Kind: core.ChangeShift, Shift: core.Shift{
		Name: "demo-shift", From: regions[0].Name, To: regions[2].Name, SharePerMille: 300, Cap: 40_000,
	}}
	if _, err := d.world.hosts[0].app.Node().Control.PublishChange(ctx, change); err != nil {
		d.world.audit.fault("demo: shift: %v", err)
		return
	}
	d.say("300 thousandths of %s are shifted to %s", regions[0].Name, regions[2].Name)
}
