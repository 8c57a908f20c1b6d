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

// memoryPart is the part of the host's memory that the runtime keeps its
// heap below. The rest covers stacks, sockets and the time until a
// collection ends.
const memoryPart = 0.7

func (v *verbs) edgeCommand() *cli.Command {
	return &cli.Command{
		Name: "edge", Usage: "Runs a host on the users' platform, until it gets a SIGTERM.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "Reads the platform's settings from `FILE`; without it the platform names the file."},
			&cli.StringFlag{Name: "level", Usage: "Logs events of `LEVEL` and above.", Value: "info"},
			&cli.IntFlag{Name: "metrics", Usage: "Serves metrics on `PORT`; 0 for none.", Value: 0},
			&cli.BoolFlag{Name: "check", Usage: "Checks the settings and ends."},
		},
		Action: v.edge,
	}
}

func (v *verbs) edge(ctx context.Context, c *cli.Command) error {
	if _, err := args(c); err != nil {
		return err
	}
	path := c.String("settings")
	if path == "" {
		path = platform.SettingsPath()
	}
	place, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if port := c.Int("metrics"); port > 0 {
		place.MetricsListen = net.JoinHostPort(place.Address, strconv.Itoa(port))
	}
	if c.Bool("check") {
		return v.print(map[string]any{"host": place.Name, "domain": place.Domain}, func(w io.Writer) {
			fmt.Fprintf(w, "The settings of host %s in failure domain %s are valid.\n", place.Name, place.Domain)
		})
	}
	out := logs.NewAsyncWriter(v.cfg.Out)
	defer out.Flush()
	log, err := logs.New(logs.Config{Level: c.String("level"), Out: out})
	if err != nil {
		return err
	}
	if place.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(place.MemoryBytes)))
	}
	app, err := edge.New(edge.Config{
		Place: place, Log: log, Feed: platform.NewStore(platform.StoreConfig{Address: place.StoreAddress}),
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
	return runEdge(ctx, app, place, path)
}

// runEdge runs a host until SIGTERM. SIGHUP makes it read its settings again.
func runEdge(ctx context.Context, app *edge.App, place core.HostSettings, path string) error {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
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
		case <-ended:
		case <-ctx.Done():
		}
		over, cancel := context.WithTimeout(context.WithoutCancel(ctx), place.Bounds.ShutdownGrace)
		defer cancel()
		return codes.Wrap(app.Stop(over), codes.Internal, "verbs: host")
	}
}
