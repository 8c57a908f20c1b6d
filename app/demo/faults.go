package demo

import (
	"context"
	"io"
	"sync"
	"time"

	"azurering/core"
	"azurering/io/stand"
)

// drainGrace is how long a drained server may still get new requests while
// the change propagates to all hosts.
const drainGrace = 5 * time.Second

// storeDelay is the added delay per request of a slow platform.
const storeDelay = 300 * time.Millisecond

// faultInjector injects the configured faults into a running cluster.
type faultInjector struct {
	cluster  *cluster
	load     *loadGenerator
	faults   Faults
	out      io.Writer
	duration time.Duration

	stops sync.WaitGroup // graceful stops in progress
}

// run injects the faults at a quarter of the run and ends them at three
// quarters. It returns after graceful stops have completed.
func (f *faultInjector) run(ctx context.Context) {
	defer f.stops.Wait()
	if !f.sleep(ctx, f.duration/4) {
		return
	}
	f.inject(ctx)
	if !f.sleep(ctx, f.duration/2) {
		return
	}
	f.heal()
}

// sleep reports whether the time passed before the context ended.
func (f *faultInjector) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (f *faultInjector) progress(format string, args ...any) {
	printProgress(f.out, f.cluster, format, args...)
}

// targetHost returns the host to kill or stop. It is never hosts[0], through
// which the operator changes are published: it is in the last failure domain.
func (f *faultInjector) targetHost() *host { return f.cluster.hosts[len(f.cluster.hosts)-1] }

// isolatedDomain returns the failure domain that CutDomain isolates.
func (f *faultInjector) isolatedDomain() core.DomainID {
	regions := f.cluster.plan.regions
	return regions[1].Domains[0]
}

func (f *faultInjector) inject(ctx context.Context) {
	if f.faults.DrainServer {
		f.drainServer(ctx)
	}
	if f.faults.WithdrawKey {
		f.withdrawKey(ctx)
	}
	if f.faults.ShiftTraffic {
		f.shiftTraffic(ctx)
	}
	if f.faults.StoreDown {
		f.progress("fault: the platform is down")
		if err := f.cluster.platform.SetDown(true); err != nil {
			f.cluster.checker.addViolation("demo: change platform faults: %v", err)
		}
	}
	if f.faults.StoreSlow {
		f.injectPlatformFault(stand.Fault{Kind: stand.FaultDelay, Delay: storeDelay})
	}
	if f.faults.StoreLossy {
		f.injectPlatformFault(stand.Fault{Kind: stand.FaultDropAfter, Service: stand.ServiceTable})
	}
	if f.faults.CutDomain {
		f.isolateDomain(f.isolatedDomain())
	}
	if f.faults.CutRegion {
		f.isolateStoreRegion()
	}
	if f.faults.KillEntry {
		h := f.targetHost()
		f.progress("fault: killing entry host %s", h.settings.Host)
		h.stopped = true
		h.app.Kill()
	}
	if f.faults.StopEntry {
		f.stops.Go(func() { f.stopHost(ctx) })
	}
}

func (f *faultInjector) heal() {
	f.progress("network and platform faults ended")
	if err := f.cluster.platform.SetDown(false); err != nil {
		f.cluster.checker.addViolation("demo: change platform faults: %v", err)
	}
	_ = f.cluster.platform.SetFaults()
	for _, r := range f.cluster.plan.regions {
		for _, domain := range r.Domains {
			f.cluster.net.setIsolated(domain, false)
		}
	}
}

// injectPlatformFault adds a fault to those of the platform.
func (f *faultInjector) injectPlatformFault(fault stand.Fault) {
	f.progress("fault: platform: %s", fault.Kind)
	if err := f.cluster.platform.SetFaults(append(f.cluster.platform.Faults(), fault)...); err != nil {
		f.cluster.checker.addViolation("demo: change platform faults: %v", err)
	}
}

// isolateDomain partitions a domain from all others and from the platform.
func (f *faultInjector) isolateDomain(domain core.DomainID) {
	f.progress("fault: isolating failure domain %s", domain)
	f.cluster.net.setIsolated(domain, true)
	f.injectPlatformFault(stand.Fault{Kind: stand.FaultDropBefore, ClientID: string(domain)})
}

// isolateStoreRegion isolates the domains of the platform's region and takes
// the platform down.
func (f *faultInjector) isolateStoreRegion() {
	for _, domain := range f.cluster.plan.regions[0].Domains {
		f.progress("fault: isolating failure domain %s", domain)
		f.cluster.net.setIsolated(domain, true)
	}
	if err := f.cluster.platform.SetDown(true); err != nil {
		f.cluster.checker.addViolation("demo: change platform faults: %v", err)
	}
}

func (f *faultInjector) stopHost(ctx context.Context) {
	h := f.targetHost()
	f.progress("stopping entry host %s gracefully", h.settings.Host)
	h.stopped = true
	if err := h.app.Stop(ctx); err != nil {
		f.cluster.checker.addViolation("P11: entry host %s did not stop gracefully: %v", h.settings.Host, err)
		return
	}
	f.progress("entry host %s stopped", h.settings.Host)
}

func (f *faultInjector) drainServer(ctx context.Context) {
	s := f.cluster.backends[0]
	change := core.Change{Kind: core.ChangeDrain, Drain: core.Drain{Kind: core.DrainServer, Target: string(s.Name), Mode: core.ModeDrain}}
	if _, err := f.cluster.hosts[0].app.Parts().Control.PublishChange(ctx, change); err != nil {
		f.cluster.checker.addViolation("demo: publish drain: %v", err)
		return
	}
	f.cluster.checker.setDrainDeadline(s.Name, f.cluster.checker.elapsed()+drainGrace)
	f.progress("draining backend server %s", s.Name)
}

func (f *faultInjector) withdrawKey(ctx context.Context) {
	ws := f.cluster.workspaces[len(f.cluster.workspaces)-1]
	result, err := f.cluster.hosts[0].app.Parts().Control.Withdraw(ctx, ws.keyName())
	if err != nil {
		f.cluster.checker.addViolation("demo: withdraw key: %v", err)
		return
	}
	f.progress("key of workspace %s is withdrawn: durable %t, accepted %t, in force in %v, pending in %v", ws.name, result.Durable, result.Accepted, result.InForce, result.Pending)
	if result.Accepted {
		// Every host refuses the key after the freshness bound and a margin of 10%.
		f.load.setWithdrawalDeadline(ws.name, f.cluster.checker.elapsed()+freshness*11/10)
	}
}

func (f *faultInjector) shiftTraffic(ctx context.Context) {
	regions := f.cluster.plan.regions
	change := core.Change{Kind: core.ChangeShift, Shift: core.Shift{
		Name: "demo-shift", From: regions[0].Name, To: regions[2].Name, SharePerMille: 300, Cap: 40_000,
	}}
	if _, err := f.cluster.hosts[0].app.Parts().Control.PublishChange(ctx, change); err != nil {
		f.cluster.checker.addViolation("demo: publish shift: %v", err)
		return
	}
	f.progress("shifting 30%% of region %s to %s", regions[0].Name, regions[2].Name)
}
