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
	// convergenceTimeout bounds the time after traffic ends until all hosts have
	// the same version in force.
	convergenceTimeout = 10 * time.Second
)

// Faults selects the faults and operator changes of a run. They start at a
// quarter of the run; network and platform faults end at three quarters.
type Faults struct {
	StoreDown    bool // the platform (table, objects and host list) is unreachable
	StoreSlow    bool // each request to the platform is delayed by 300 ms
	StoreLossy   bool // the platform's table applies writes but drops the responses
	CutRegion    bool // the platform is down and the domains of its region are isolated
	StallServers bool // some responses of backend servers take longer than the callers' attempt timeout, for the whole run
	CutDomain    bool // one failure domain is partitioned from all others and from the platform
	KillEntry    bool // one entry host is killed without a graceful shutdown
	StopEntry    bool // one entry host shuts down gracefully
	DrainServer  bool // one backend server is drained
	WithdrawKey  bool // the key of one workspace is withdrawn
	ShiftTraffic bool // 30% of one region's callers are moved to another region
}

// Config configures Run.
type Config struct {
	Deployment Deployment // Association if empty
	Seconds    int        // duration of the traffic; 10 if zero or less
	Seed       uint64     // of the callers' random choices
	Faults     Faults
	Out        io.Writer // progress lines and report; discarded if nil
	Logs       io.Writer // log lines of the hosts; discarded if nil
}

// Run starts a deployment, sends traffic, injects the faults and prints a
// report. It returns an error with code CheckFailed if an invariant was
// violated or the hosts did not become ready in time, and with code UsageBad
// if the deployment is unknown.
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
	cfg.Out = &syncWriter{w: cfg.Out}
	if cfg.Logs == nil {
		cfg.Logs = io.Discard
	}
	p, err := newPlan(cfg.Deployment)
	if err != nil {
		return err
	}
	p.stallServers = cfg.Faults.StallServers
	c, err := newCluster(p, newWorkspaces(cfg.Deployment), cfg.Logs)
	if err != nil {
		return err
	}
	defer c.close()
	return run(ctx, cfg, c)
}

func run(ctx context.Context, cfg Config, c *cluster) error {
	printProgress(cfg.Out, c, "starting %d entry hosts in %d failure domains", hostsPerDomain*6, 6)
	if err := c.start(ctx); err != nil {
		return err
	}
	if err := c.publishSheet(ctx, newSheet(cfg.Deployment, c.plan, c.workspaces, c.servers())); err != nil {
		return err
	}
	printProgress(cfg.Out, c, "sheet is in force on all hosts; starting traffic")
	load, err := newLoadGenerator(c, cfg.Seed)
	if err != nil {
		return err
	}
	duration := time.Duration(cfg.Seconds) * time.Second
	loadCtx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	injector := &faultInjector{cluster: c, load: load, faults: cfg.Faults, out: cfg.Out, duration: duration}
	done := make(chan struct{})
	go func() {
		defer close(done)
		injector.run(ctx)
	}()
	load.run(loadCtx)
	<-done
	printProgress(cfg.Out, c, "traffic ended; checking invariants")
	violations := append(c.checker.check(c.workspaces, load.notRun), c.checkVersions()...)
	printReport(cfg.Out, cfg.Deployment, load, violations)
	if len(violations) > 0 {
		return codes.New(codes.CheckFailed, "demo: %d invariant violations; the first: %s", len(violations), violations[0])
	}
	return nil
}

// printProgress prints a line with the elapsed time of the run.
func printProgress(out io.Writer, c *cluster, format string, args ...any) {
	fmt.Fprintf(out, "%6.1fs  %s\n", c.checker.elapsed().Seconds(), fmt.Sprintf(format, args...))
}

// checkVersions waits until all running hosts have the same configuration
// version in force. It returns a violation if they don't within
// convergenceTimeout.
func (c *cluster) checkVersions() []string {
	deadline := time.Now().Add(convergenceTimeout)
	for {
		hostsByVersion := make(map[uint64][]core.HostID)
		for _, h := range c.running() {
			v := h.app.Parts().State.Log.Current().Version
			hostsByVersion[v] = append(hostsByVersion[v], h.settings.Host)
		}
		if len(hostsByVersion) == 1 {
			return nil
		}
		if time.Now().After(deadline) {
			return []string{fmt.Sprintf("P12: hosts have different versions in force: %v", hostsByVersion)}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// printReport prints the outcomes per workspace and request class, and the
// violations.
func printReport(out io.Writer, deployment Deployment, load *loadGenerator, violations []string) {
	fmt.Fprintf(out, "\nReport of deployment %s\n\n", deployment)
	fmt.Fprintf(out, "%-10s %-9s %7s %7s %8s %8s %9s %9s  %s\n", "workspace", "class", "sent", "done", "refused", "unknown", "p50 ms", "p99 ms", "refusals by code")
	load.mu.Lock()
	defer load.mu.Unlock()
	keys := make([]outcomeKey, 0, len(load.outcomes))
	for k := range load.outcomes {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		return keys[i].workspace < keys[j].workspace || keys[i].workspace == keys[j].workspace && keys[i].class < keys[j].class
	})
	for _, k := range keys {
		counts := load.outcomes[k]
		fmt.Fprintf(out, "%-10s %-9s %7d %7d %8d %8d %9.1f %9.1f  %s\n", k.workspace, k.class, counts.sent, counts.answered,
			counts.sent-counts.answered-counts.unknown, counts.unknown, float64(counts.latency.ValueAtQuantile(50))/1000, float64(counts.latency.ValueAtQuantile(99))/1000, formatRefusals(counts))
	}
	fmt.Fprintf(out, "\nInvariant checks: %d violations\n", len(violations))
	for _, v := range violations {
		fmt.Fprintf(out, "  %s\n", v)
	}
}

// formatRefusals returns the refusals as "code:count" pairs.
func formatRefusals(counts *outcomes) string {
	var parts []string
	for code, n := range counts.refused {
		parts = append(parts, fmt.Sprintf("%d:%d", code, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
