package verbs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"azurering/app/demo"
	"azurering/app/entry"
	"azurering/core/codes"
	"azurering/io/logs"
	"azurering/io/setup"
)

// stopMargin is added to the stop setting for what follows it: closing the
// listeners and ending the background tasks.
const stopMargin = 15 * time.Second

func (r *runner) entryCommand() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "Runs an entry host until SIGTERM or SIGINT, then stops it gracefully.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "Reads the settings of the host from the TOML `FILE`.", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "Checks the settings and exits."},
		},
		Action: r.entry,
	}
}

func (r *runner) entry(ctx context.Context, c *cli.Command) error {
	if _, err := exactArgs(c); err != nil {
		return err
	}
	settings, err := setup.Load(c.String("settings"))
	if err != nil {
		return err
	}
	log, err := logs.New(logs.Config{Level: settings.Level, Out: r.cfg.Stderr})
	if err != nil {
		return err
	}
	if c.Bool("check") {
		return r.printResult(map[string]any{"host": settings.Host, "domain": settings.Domain}, func(w io.Writer) {
			fmt.Fprintf(w, "The settings of entry host %s in failure domain %s are valid.\n", settings.Host, settings.Domain)
		})
	}
	app, err := entry.New(entry.Config{Settings: settings, Log: log})
	if err != nil {
		return err
	}
	ctx, stopSignals := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stopSignals()
	if err := app.Start(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-app.ShutdownRequested():
	}
	// Restore the default handling, so that a second signal ends the process
	// at once.
	stopSignals()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settings.Stop+stopMargin)
	defer cancel()
	return app.Stop(stopCtx)
}

func (r *runner) demoCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{
			Name: "deployment", Usage: "Runs the deployment `NAME`: association or atlas.", Value: string(demo.Association),
			Validator: oneOf("deployment", string(demo.Association), string(demo.Atlas)),
		},
		&cli.IntFlag{Name: "seconds", Usage: "Sends traffic for `N` seconds.", Value: 10, Validator: positive("seconds")},
		&cli.Uint64Flag{Name: "seed", Usage: "Seeds the random choices of the callers with `N`.", Value: 1},
		&cli.StringFlag{Name: "logs", Usage: "Writes the log lines of the hosts to `FILE`; by default they are discarded."},
	}
	for _, f := range [][2]string{
		{"store-down", "Makes the platform unavailable from a quarter to three quarters of the run."},
		{"cut-domain", "Isolates one failure domain from a quarter to three quarters of the run."},
		{"kill-entry", "Kills one entry host without a graceful shutdown."},
		{"stop-entry", "Stops one entry host gracefully."},
		{"drain-server", "Drains one backend server."},
		{"withdraw-key", "Withdraws the key of one workspace."},
		{"shift-traffic", "Moves a share of one region's callers to another region."},
	} {
		flags = append(flags, &cli.BoolFlag{Name: f[0], Usage: f[1]})
	}
	return &cli.Command{
		Name: "demo", Usage: "Runs a small deployment in one process, with optional faults, and checks its invariants.",
		Flags: flags, Action: r.demo,
	}
}

func positive(flag string) func(int) error {
	return func(n int) error {
		if n <= 0 {
			return codes.New(codes.UsageBad, "verbs: --%s must be above 0", flag)
		}
		return nil
	}
}

type demoJSON struct {
	Deployment string `json:"deployment"`
	Passed     bool   `json:"passed"`
	Report     string `json:"report"`
}

func (r *runner) demo(ctx context.Context, c *cli.Command) error {
	if _, err := exactArgs(c); err != nil {
		return err
	}
	cfg := demo.Config{
		Deployment: demo.Deployment(c.String("deployment")), Seconds: c.Int("seconds"), Seed: c.Uint64("seed"), Out: r.cfg.Stdout,
		Faults: demo.Faults{
			StoreDown: c.Bool("store-down"), CutDomain: c.Bool("cut-domain"), KillEntry: c.Bool("kill-entry"),
			StopEntry: c.Bool("stop-entry"), DrainServer: c.Bool("drain-server"), WithdrawKey: c.Bool("withdraw-key"),
			ShiftTraffic: c.Bool("shift-traffic"),
		},
	}
	if path := c.String("logs"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return codes.Wrap(err, codes.UsageBad, "verbs: --logs cannot be written")
		}
		defer func() { _ = f.Close() }()
		cfg.Logs = f
	}
	ctx, stopSignals := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stopSignals()
	if r.output != outputJSON {
		return demo.Run(ctx, cfg)
	}
	var report bytes.Buffer
	cfg.Out = &report
	err := demo.Run(ctx, cfg)
	if printErr := r.printResult(demoJSON{Deployment: string(cfg.Deployment), Passed: err == nil, Report: report.String()}, nil); printErr != nil {
		return printErr
	}
	return err
}
