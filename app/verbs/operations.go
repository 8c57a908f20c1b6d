package verbs

import (
	"context"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/urfave/cli/v3"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/admin"
)

func (r *runner) shiftCommand() *cli.Command {
	return &cli.Command{
		Name: "shift", Usage: "Moves a share of one region's callers to another region until resume ends it.", Action: r.shift,
		Flags: append(hostFlags(),
			&cli.StringFlag{Name: "name", Usage: "Names the shift `NAME`; pass this name to resume to end it.", Required: true},
			&cli.StringFlag{Name: "from", Usage: "Moves callers out of `REGION`.", Required: true},
			&cli.StringFlag{Name: "to", Usage: "Moves them to `REGION`.", Required: true},
			&cli.FloatFlag{Name: "share", Usage: "Moves the fraction `PART` of the callers, 0.001 to 1, rounded to thousandths.", Required: true},
			&cli.FloatFlag{Name: "cap", Usage: "Limits what the receiving region accepts to `RATE` requests per second.", Required: true},
		),
	}
}

func (r *runner) shift(ctx context.Context, c *cli.Command) error {
	if _, err := exactArgs(c); err != nil {
		return err
	}
	share, limit := c.Float("share"), c.Float("cap")
	if !(share >= .001 && share <= 1) || !(limit > 0 && limit <= 1e9) {
		return codes.New(codes.UsageBad, "verbs: --share must be 0.001 to 1 and --cap above 0 to 1e9 requests per second")
	}
	list, err := adminClients(c)
	if err != nil {
		return err
	}
	p, err := list[0].AddShift(ctx, core.Shift{
		Name: c.String("name"), From: core.RegionID(c.String("from")), To: core.RegionID(c.String("to")),
		SharePerMille: int(math.Round(share * 1000)), Cap: int64(math.Round(limit * 1000)),
	})
	if err != nil {
		return withAdvice(err, "run status to see whether the shift is under way")
	}
	return r.printPublished(p)
}

func drainFlags(bound string) []cli.Flag {
	return append(hostFlags(),
		&cli.StringFlag{
			Name: "kind", Usage: "Treats TARGET as a `KIND`: server, host or domain.", Value: string(core.DrainServer),
			Validator: oneOf("kind", string(core.DrainServer), string(core.DrainHost), string(core.DrainDomain)),
		},
		&cli.DurationFlag{Name: "within", Usage: "Bounds " + bound + " to `TIME`, such as 90s; 0 means 60 s."},
		&cli.BoolFlag{Name: "no-wait", Usage: "Publishes the change and exits without waiting for the work in flight."},
		&cli.DurationFlag{Name: "wait-limit", Usage: "Stops waiting after `TIME`; the drain or stop itself goes on.", Value: 10 * time.Minute},
	)
}

func (r *runner) drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "Sends no new work to a backend server, host or failure domain and waits until none is left; if repeated, it waits for the drain under way.",
		ArgsUsage: "TARGET", Flags: drainFlags("the work in flight"),
		Action: func(ctx context.Context, c *cli.Command) error { return r.runDrain(ctx, c, core.ModeDrain) },
	}
}

func (r *runner) stopCommand() *cli.Command {
	return &cli.Command{
		Name: "stop", Usage: "Drains a backend server, host or failure domain for good and waits until it has ended; if repeated, it waits for the stop under way.",
		ArgsUsage: "TARGET", Flags: drainFlags("the planned stop"),
		Action: func(ctx context.Context, c *cli.Command) error { return r.runDrain(ctx, c, core.ModeStop) },
	}
}

func (r *runner) resumeCommand() *cli.Command {
	return &cli.Command{
		Name: "resume", Usage: "Ends a shift by its name, or a drain or stop by its target.", ArgsUsage: "NAME", Flags: hostFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			target, err := exactArgs(c, "NAME")
			if err != nil {
				return err
			}
			list, err := adminClients(c)
			if err != nil {
				return err
			}
			p, err := list[0].Resume(ctx, target[0])
			if err != nil {
				return withAdvice(err, "run status to see whether it has ended")
			}
			return r.printPublished(p)
		},
	}
}

type drainJSON struct {
	Target  string `json:"target"`
	Kind    string `json:"kind"`
	Mode    string `json:"mode"`
	Version uint64 `json:"version,omitempty"` // zero if it was in force already
	Done    bool   `json:"done"`
	Left    int64  `json:"left"`
	Hosts   int    `json:"hosts"` // hosts whose counts were added up
}

// runDrain publishes a drain or stop, unless it is in force already, and waits
// until it is done.
func (r *runner) runDrain(ctx context.Context, c *cli.Command, mode core.DrainMode) error {
	target, err := exactArgs(c, "TARGET")
	if err != nil {
		return err
	}
	if c.Duration("within") < 0 || c.Duration("wait-limit") <= 0 {
		return codes.New(codes.UsageBad, "verbs: --within must not be below 0 and --wait-limit must be above 0")
	}
	list, err := adminClients(c)
	if err != nil {
		return err
	}
	d := core.Drain{Kind: core.DrainKind(c.String("kind")), Target: target[0], Mode: mode, Timeout: c.Duration("within")}
	out := drainJSON{Target: d.Target, Kind: string(d.Kind), Mode: string(d.Mode)}
	if out.Version, err = r.startDrain(ctx, list, d); err != nil {
		return err
	}
	if !c.Bool("no-wait") {
		if err := r.waitDone(ctx, list, d, c.Duration("wait-limit"), &out); err != nil {
			return err
		}
	}
	return r.printResult(out, func(w io.Writer) {
		if !out.Done {
			fmt.Fprintf(w, "%s of %s %s is under way.\n", d.Mode, d.Kind, d.Target)
			return
		}
		fmt.Fprintf(w, "%s of %s %s is done: nothing is left, as counted by %d hosts.\n", d.Mode, d.Kind, d.Target, out.Hosts)
	})
}

func findDrain(s admin.Status, d core.Drain) (admin.DrainStatus, bool) {
	for _, drain := range s.Drains {
		if drain.Kind == d.Kind && drain.Target == d.Target && drain.Mode == d.Mode {
			return drain, true
		}
	}
	return admin.DrainStatus{}, false
}

// startDrain publishes the drain unless it is in force already. It returns the
// new version, or zero if it published nothing.
func (r *runner) startDrain(ctx context.Context, list []*admin.Client, d core.Drain) (uint64, error) {
	isInForce := func() (bool, error) {
		s, err := list[0].Status(ctx)
		_, ok := findDrain(s, d)
		return ok, err
	}
	ok, err := isInForce()
	if err != nil {
		return 0, err
	}
	if ok {
		r.progressf("%s of %s is under way already", d.Mode, d.Target)
		return 0, nil
	}
	p, err := list[0].AddDrain(ctx, d)
	if err == nil {
		r.progressf("%s of %s is published with version %d", d.Mode, d.Target, p.Version)
		return p.Version, nil
	}
	// Another operator may have published it, or this call, if only its
	// answer was lost.
	if ok, statusErr := isInForce(); statusErr == nil && ok {
		r.progressf("%s of %s was published by another attempt", d.Mode, d.Target)
		return 0, nil
	}
	return 0, withAdvice(err, "run the command again to go on")
}

// waitDone polls the hosts and prints progress until the drain is done. It
// returns CheckFailed after the limit.
func (r *runner) waitDone(ctx context.Context, list []*admin.Client, d core.Drain, limit time.Duration, out *drainJSON) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	lastProgress := ""
	for {
		text, err := pollHosts(ctx, list, d, out)
		if err != nil && ctx.Err() == nil {
			return err
		}
		if out.Done {
			return nil
		}
		if text != lastProgress && ctx.Err() == nil {
			r.progressf("%s", text)
			lastProgress = text
		}
		select {
		case <-ctx.Done():
			return codes.Wrap(ctx.Err(), codes.CheckFailed, "verbs: %s of %s was not done yet, %d requests were left; run the command again to go on waiting", d.Mode, d.Target, out.Left)
		case <-time.After(r.cfg.PollInterval):
		}
	}
}

// pollHosts asks all hosts once, adds up their counts in out and returns a
// progress line. The drain is done only if all hosts answer, because a host
// that does not answer may still have work. Only if a host is being stopped,
// one host may be missing.
func pollHosts(ctx context.Context, list []*admin.Client, d core.Drain, out *drainJSON) (string, error) {
	out.Left, out.Hosts = 0, 0
	unreachable, inForce, ended := 0, 0, true
	for _, h := range list {
		s, err := h.Status(ctx)
		if codes.Is(err, codes.PeerDown) {
			unreachable++
			continue
		}
		if err != nil {
			return "", err
		}
		found, ok := findDrain(s, d)
		if ok {
			inForce++
		}
		out.Hosts++
		out.Left += found.Left
		if d.Kind == core.DrainHost && d.Mode == core.ModeStop && !hostEnded(s, d.Target) {
			ended = false
		}
	}
	if out.Hosts > 0 && inForce == 0 {
		return "", codes.New(codes.CheckFailed, "verbs: %s of %s is not in force; another operator may have ended it", d.Mode, d.Target)
	}
	// The host that stops may be one of those asked.
	allCounted := unreachable == 0 || unreachable == 1 && d.Kind == core.DrainHost && d.Mode == core.ModeStop
	out.Done = inForce > 0 && inForce == out.Hosts && out.Left == 0 && allCounted && ended
	text := fmt.Sprintf("%s of %s: %d requests left on %d hosts, %d hosts do not answer", d.Mode, d.Target, out.Left, out.Hosts, unreachable)
	if out.Left == 0 && !ended {
		text += ", the host has not ended"
	}
	return text, nil
}
