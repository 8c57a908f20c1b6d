package verbs

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/urfave/cli/v3"

	"azurering/app/edge"
	"azurering/core"
	"azurering/core/codes"
	"azurering/io/logs"
	"azurering/platform"
)

// The memory limit of the Go runtime is maxHeapShare of the host's memory, and leaves
// at least kernelShare for what the kernel holds for connections, and programBytes for the
// program itself.
const (
	maxHeapShare = 0.7
	kernelShare  = 0.25
	programBytes = 32 << 20
)

// heapLimit returns the memory limit of the Go runtime on a host with an amount of memory,
// in bytes.
func heapLimit(memory int64) int64 {
	limit := min(maxHeapShare*float64(memory), (1-kernelShare)*float64(memory)-programBytes)
	return max(int64(limit), memory/2)
}

func (r *runner) edgeCommand() *cli.Command {
	return &cli.Command{
		Name: "edge", Usage: "Runs a host on the users' platform until SIGTERM or SIGINT.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "Reads the platform's settings from `FILE`; the default is the file that the platform names."},
			&cli.StringFlag{Name: "level", Usage: "Logs events of `LEVEL` and above.", Value: "info"},
			&cli.IntFlag{Name: "metrics", Usage: "Serves metrics on `PORT`; 0 turns them off.", Value: 0},
			&cli.BoolFlag{Name: "check", Usage: "Checks the settings and exits."},
		},
		Action: r.edge,
	}
}

func (r *runner) edge(ctx context.Context, c *cli.Command) error {
	if _, err := exactArgs(c); err != nil {
		return err
	}
	path := c.String("settings")
	if path == "" {
		path = platform.SettingsPath()
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if port := c.Int("metrics"); port > 0 {
		settings.MetricsListen = net.JoinHostPort(settings.Address, strconv.Itoa(port))
	}
	if c.Bool("check") {
		return r.printResult(map[string]any{"host": settings.Name, "domain": settings.Domain}, func(w io.Writer) {
			fmt.Fprintf(w, "The settings of host %s in failure domain %s are valid.\n", settings.Name, settings.Domain)
		})
	}
	out := logs.NewAsyncWriter(r.cfg.Stdout)
	defer out.Flush()
	log, err := logs.New(logs.Config{Level: c.String("level"), Out: out})
	if err != nil {
		return err
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(heapLimit(settings.MemoryBytes))
	}
	app, err := edge.New(edge.Config{
		Place: settings, Log: log, Feed: platform.NewStore(platform.StoreConfig{Address: settings.StoreAddress}),
		Decode: edge.RowDecoders{
			Rules: platform.DecodeConfig, IsRules: platform.IsConfigKey, EvacuatedDomain: platform.EvacuationKey,
			Instance: platform.DecodeInstance,
		},
		Dialect: platform.HeaderCodec{},
		Paths:   edge.Paths{Ready: platform.PathReady, Lookup: platform.PathLookup, LookupBody: platform.LookupResponse},
	})
	if err != nil {
		return err
	}
	return runEdge(ctx, app, settings, path)
}

// runEdge runs a host until SIGTERM, SIGINT or the end of the context. SIGHUP
// makes it reload its settings.
func runEdge(ctx context.Context, app *edge.App, settings core.HostSettings, path string) error {
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := app.Start(ctx); err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			app.Reload(platform.LoadSettings(path))
			continue
		case <-terminate:
		case <-ctx.Done():
		}
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settings.Bounds.ShutdownGrace)
		defer cancel()
		return codes.Wrap(app.Stop(stopCtx), codes.Internal, "verbs: host was not stopped cleanly")
	}
}
