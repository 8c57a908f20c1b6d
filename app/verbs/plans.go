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

func (v *verbs) shiftCommand() *cli.Command {
	return &cli.Command{
		Name: "shift", Usage: "Moves a share of one region's callers to another region until resume ends it.", Action: v.shift,
		Flags: append(hostFlags(),
			&cli.StringFlag{Name: "name", Usage: "Names the shift `NAME`; resume takes this name.", Required: true},
			&cli.StringFlag{Name: "from", Usage: "Moves callers of the `REGION`.", Required: true},
			&cli.StringFlag{Name: "to", Usage: "Moves them to the `REGION`.", Required: true},
			&cli.FloatFlag{Name: "share", Usage: "Moves the `PART` of the callers, above 0 to 1, in thousandths.", Required: true},
			&cli.FloatFlag{Name: "cap", Usage: "Lets the receiving region accept `RATE` requests per second.", Required: true},
		),
	}
}

func (v *verbs) shift(ctx context.Context, c *cli.Command) error {
	if _, err := args(c); err != nil {
		return err
	}
	share, limit := c.Float("share"), c.Float("cap")
	if !(share >= .001 && share <= 1) || !(limit > 0 && limit <= 1e9) {
		return codes.New(codes.UsageBad, "verbs: --share must be 0.001 to 1 and --cap above 0 to 1e9 requests per second")
	}
	list, err := hosts(c)
	if err != nil {
		return err
	}
	p, err := list[0].AddShift(ctx, core.Shift{
		Name: c.String("name"), From: core.RegionID(c.String("from")), To: core.RegionID(c.String("to")),
		SharePerMille: int(math.Round(share * 1000)), Cap: int64(math.Round(limit * 1000)),
	})
	if err != nil {
		return unclear(err, "run status to see whether the shift is under way")
	}
	return v.printPublished(p)
}

func planFlags(bound string) []cli.Flag {
	return append(hostFlags(),
		&cli.StringFlag{
			Name: "kind", Usage: "Takes TARGET as a `KIND`: server, host or domain.", Value: string(core.DrainServer),
			Validator: oneOf("kind", string(core.DrainServer), string(core.DrainHost), string(core.DrainDomain)),
		},
		&cli.DurationFlag{Name: "within", Usage: "Bounds " + bound + " to `TIME`, such as 90s; 0 means 60 s."},
		&cli.BoolFlag{Name: "no-wait", Usage: "Publishes the change and ends without waiting until nothing is left."},
		&cli.DurationFlag{Name: "wait-limit", Usage: "Gives up watching after `TIME`; the work itself goes on.", Value: 10 * time.Minute},
	)
}

func (v *verbs) drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "Takes new work away from a backend server, host or failure domain and waits until it has none; run again, it continues to watch.",
		ArgsUsage: "TARGET", Flags: planFlags("the work in flight"),
		Action: func(ctx context.Context, c *cli.Command) error { return v.plan(ctx, c, core.ModeDrain) },
	}
}

func (v *verbs) stopCommand() *cli.Command {
	return &cli.Command{
		Name: "stop", Usage: "Drains a backend server, host or failure domain for good and waits until it has ended; run again, it continues to watch.",
		ArgsUsage: "TARGET", Flags: planFlags("the planned stop"),
		Action: func(ctx context.Context, c *cli.Command) error { return v.plan(ctx, c, core.ModeStop) },
	}
}

func (v *verbs) resumeCommand() *cli.Command {
	return &cli.Command{
		Name: "resume", Usage: "Ends a shift by its name, or a drain or stop by its target.", ArgsUsage: "NAME", Flags: hostFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			target, err := args(c, "NAME")
			if err != nil {
				return err
			}
			list, err := hosts(c)
			if err != nil {
				return err
			}
			p, err := list[0].Resume(ctx, target[0])
			if err != nil {
				return unclear(err, "run status to see whether it has ended")
			}
			return v.printPublished(p)
		},
	}
}

type planJSON struct {
	Target  string `json:"target"`
	Kind    string `json:"kind"`
	Mode    string `json:"mode"`
	Version uint64 `json:"version,omitempty"` // zero if it was under way already
	Done    bool   `json:"done"`
	Left    int64  `json:"left"`
	Hosts   int    `json:"hosts"` // hosts whose counts were added up
}

// plan publishes a drain or stop, unless it is under way, and watches it.
func (v *verbs) plan(ctx context.Context, c *cli.Command, mode core.DrainMode) error {
	target, err := args(c, "TARGET")
	if err != nil {
		return err
	}
	if c.Duration("within") < 0 || c.Duration("wait-limit") <= 0 {
		return codes.New(codes.UsageBad, "verbs: --within must not be below 0 and --wait-limit must be above 0")
	}
	list, err := hosts(c)
	if err != nil {
		return err
	}
	d := core.Drain{Kind: core.DrainKind(c.String("kind")), Target: target[0], Mode: mode, Timeout: c.Duration("within")}
	out := planJSON{Target: d.Target, Kind: string(d.Kind), Mode: string(d.Mode)}
	if out.Version, err = v.begin(ctx, list, d); err != nil {
		return err
	}
	if !c.Bool("no-wait") {
		if err := v.watch(ctx, list, d, c.Duration("wait-limit"), &out); err != nil {
			return err
		}
	}
	return v.print(out, func(w io.Writer) {
		if !out.Done {
			fmt.Fprintf(w, "%s of %s %s is under way.\n", d.Mode, d.Kind, d.Target)
			return
		}
		fmt.Fprintf(w, "%s of %s %s is done: nothing is left, as counted by %d hosts.\n", d.Mode, d.Kind, d.Target, out.Hosts)
	})
}

func find(s admin.Status, d core.Drain) (admin.DrainStatus, bool) {
	for _, other := range s.Drains {
		if other.Kind == d.Kind && other.Target == d.Target && other.Mode == d.Mode {
			return other, true
		}
	}
	return admin.DrainStatus{}, false
}

// begin publishes the drain unless it is in force. It returns the new
// version, or zero if the drain was under way.
func (v *verbs) begin(ctx context.Context, list []*admin.Client, d core.Drain) (uint64, error) {
	under := func() (bool, error) {
		s, err := list[0].Status(ctx)
		_, ok := find(s, d)
		return ok, err
	}
	ok, err := under()
	if err != nil {
		return 0, err
	}
	if ok {
		v.progress("%s of %s is under way already", d.Mode, d.Target)
		return 0, nil
	}
	p, err := list[0].AddDrain(ctx, d)
	if err == nil {
		v.progress("%s of %s is published with version %d", d.Mode, d.Target, p.Version)
		return p.Version, nil
	}
	// Another operator, or an attempt whose answer was lost, may have
	// published it.
	if ok, failed := under(); failed == nil && ok {
		v.progress("%s of %s was published by another attempt", d.Mode, d.Target)
		return 0, nil
	}
	return 0, unclear(err, "run the command again to continue")
}

// watch prints progress until nothing is left.
func (v *verbs) watch(ctx context.Context, list []*admin.Client, d core.Drain, limit time.Duration, out *planJSON) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	shown := ""
	for {
		text, err := look(ctx, list, d, out)
		if err != nil && ctx.Err() == nil {
			return err
		}
		if out.Done {
			return nil
		}
		if text != shown && ctx.Err() == nil {
			v.progress("%s", text)
			shown = text
		}
		select {
		case <-ctx.Done():
			return codes.Wrap(ctx.Err(), codes.CheckFailed, "verbs: %s of %s was not done yet, %d requests were left; run the command again to continue", d.Mode, d.Target, out.Left)
		case <-time.After(v.cfg.Poll):
		}
	}
}

// look asks all hosts once. A host that does not answer may still have
// work, except the one that is being stopped.
func look(ctx context.Context, list []*admin.Client, d core.Drain, out *planJSON) (string, error) {
	out.Left, out.Hosts = 0, 0
	missing, known, ended := 0, 0, true
	for _, h := range list {
		s, err := h.Status(ctx)
		if codes.Is(err, codes.PeerDown) {
			missing++
			continue
		}
		if err != nil {
			return "", err
		}
		found, ok := find(s, d)
		if ok {
			known++
		}
		out.Hosts++
		out.Left += found.Left
		if d.Kind == core.DrainHost && d.Mode == core.ModeStop && !hostGone(s, d.Target) {
			ended = false
		}
	}
	if out.Hosts > 0 && known == 0 {
		return "", codes.New(codes.CheckFailed, "verbs: %s of %s is not in force; another operator may have ended it", d.Mode, d.Target)
	}
	// The host that stops may be one of those asked.
	quiet := missing == 0 || missing == 1 && d.Kind == core.DrainHost && d.Mode == core.ModeStop
	out.Done = known > 0 && known == out.Hosts && out.Left == 0 && quiet && ended
	text := fmt.Sprintf("%s of %s: %d requests left on %d hosts, %d hosts do not answer", d.Mode, d.Target, out.Left, out.Hosts, missing)
	if out.Left == 0 && !ended {
		text += ", the host has not ended"
	}
	return text, nil
}
