package demo

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

const (
	defaultSeconds = 10
	// settleTime is how long hosts get at the end to agree on the version.
	settleTime = 10 * time.Second
)

// Faults says what happens during a run: at a quarter of the time, healed at
// three quarters where that applies.
type Faults struct {
	StoreDown    bool // the platform's store and host list are down
	StoreSlow    bool // each request to the platform takes 300 ms longer
	StoreLossy   bool // the platform drops the answers of writes that took effect
	CutRegion    bool // the region of the store is cut off and the platform is down
	StallServers bool // some answers of backend servers take longer than callers wait
	CutDomain    bool // one failure domain is cut off from all others and the platform
	KillEntry    bool // one entry host ends without a shutdown
	StopEntry    bool // one entry host is stopped gracefully
	DrainServer  bool // one backend server is drained
	WithdrawKey  bool // the key of one workspace is withdrawn
	ShiftTraffic bool // a part of one region's callers is moved to another
}

// Config configures a run.
type Config struct {
	Deployment Deployment // empty means association
	Seconds    int        // of traffic; zero means 10
	Seed       uint64
	Faults     Faults
	Out        io.Writer // progress and report; nil means none
	Logs       io.Writer // log lines of the hosts; nil means none
}

// Run runs a deployment and prints its report. Its error carries CheckFailed
// if something that must always hold did not.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Deployment == "" {
		cfg.Deployment = Association
	}
	if cfg.Seconds <= 0 {
		cfg.Seconds = defaultSeconds
	}
	if cfg.Out == nil {
		cfg.Out = io.Discard
	}
	cfg.Out = &output{out: cfg.Out}
	if cfg.Logs == nil {
		cfg.Logs = io.Discard
	}
	p, err := planOf(cfg.Deployment)
	if err != nil {
		return err
	}
	p.stall = cfg.Faults.StallServers
	w, err := newWorld(p, tenants(cfg.Deployment), cfg.Logs)
	if err != nil {
		return err
	}
	defer w.close()
	return run(ctx, cfg, w)
}

func run(ctx context.Context, cfg Config, w *world) error {
	say(cfg.Out, w, "starting %d entry hosts in %d failure domains", hostsPerDomain*6, 6)
	if err := w.start(ctx); err != nil {
		return err
	}
	if err := w.publish(ctx, sheetOf(cfg.Deployment, w.plan, w.tenants, w.servers())); err != nil {
		return err
	}
	say(cfg.Out, w, "sheet is in force on all hosts; traffic starts")
	l, err := newLoad(w, cfg.Seed)
	if err != nil {
		return err
	}
	length := time.Duration(cfg.Seconds) * time.Second
	traffic, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	d := &director{world: w, load: l, faults: cfg.Faults, out: cfg.Out, length: length}
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.run(ctx)
	}()
	l.run(traffic)
	<-done
	say(cfg.Out, w, "traffic ended; checking")
	violations := append(w.audit.check(w.tenants, l.notRun), w.versions()...)
	report(cfg.Out, cfg.Deployment, l, violations)
	if len(violations) > 0 {
		return codes.New(codes.CheckFailed, "demo: %d checks failed; the first: %s", len(violations), violations[0])
	}
	return nil
}

func say(out io.Writer, w *world, format string, args ...any) {
	fmt.Fprintf(out, "%6.1fs  %s\n", w.audit.now().Seconds(), fmt.Sprintf(format, args...))
}

// versions waits until all running hosts have the same version in force and
// returns a violation if they do not get there.
func (w *world) versions() []string {
	deadline := time.Now().Add(settleTime)
	for {
		seen := make(map[uint64][]core.HostID)
		for _, h := range w.running() {
			v := h.app.Node().State.Log.Current().Version
			seen[v] = append(seen[v], h.settings.Host)
		}
		if len(seen) == 1 {
			return nil
		}
		if time.Now().After(deadline) {
			return []string{fmt.Sprintf("P12: hosts have different versions in force: %v", seen)}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// report prints what was served per workspace and class.
func report(out io.Writer, d Deployment, l *load, violations []string) {
	fmt.Fprintf(out, "\nReport of deployment %s\n\n", d)
	fmt.Fprintf(out, "%-10s %-9s %7s %7s %8s %8s %9s %9s  %s\n", "workspace", "class", "sent", "done", "refused", "unknown", "p50 ms", "p99 ms", "refusals by code")
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := make([]tallyKey, 0, len(l.tallies))
	for k := range l.tallies {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		return keys[i].workspace < keys[j].workspace || keys[i].workspace == keys[j].workspace && keys[i].class < keys[j].class
	})
	for _, k := range keys {
		t := l.tallies[k]
		fmt.Fprintf(out, "%-10s %-9s %7d %7d %8d %8d %9.1f %9.1f  %s\n", k.workspace, k.class, t.sent, t.done,
			t.sent-t.done-t.unknown, t.unknown, float64(t.latency.ValueAtQuantile(50))/1000, float64(t.latency.ValueAtQuantile(99))/1000, refusals(t))
	}
	fmt.Fprintf(out, "\nChecks of what must always hold: %d violations\n", len(violations))
	for _, v := range violations {
		fmt.Fprintf(out, "  %s\n", v)
	}
}

func refusals(t *tally) string {
	var parts []string
	for code, n := range t.refused {
		parts = append(parts, fmt.Sprintf("%d:%d", code, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
