// Package verbs is the command line of azurering.
package verbs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"azurering/client"
	"azurering/core/codes"
)

// The exit codes of the process.
const (
	ExitDone    = 0
	ExitRefused = 1 // a refusal, a failure or a failed check
	ExitUsage   = 2 // wrong flags or arguments
)

const (
	outputText = "text"
	outputJSON = "json"
)

// Config configures a run of the command line.
type Config struct {
	Out io.Writer // results
	Err io.Writer // errors and progress
	// Poll is the time between two looks at a drain or stop under way. Zero
	// means 1 s.
	Poll time.Duration
}

// verbs holds what the verbs of one run share.
type verbs struct {
	cfg    Config
	output string
}

// Run runs the command line args, of which the first is the program's name,
// and returns the exit code of the process. Errors are printed to cfg.Err
// with their numbered result code.
func Run(ctx context.Context, args []string, cfg Config) int {
	if cfg.Poll == 0 {
		cfg.Poll = time.Second
	}
	v := &verbs{cfg: cfg, output: outputText}
	err := v.root().Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	v.printError(err)
	if codeOf(err) == codes.UsageBad {
		return ExitUsage
	}
	return ExitRefused
}

// codeOf returns the code of an error of a verb; errors of package client
// carry it in a field.
func codeOf(err error) codes.Code {
	var refused *client.Error
	if errors.As(err, &refused) {
		return refused.Code
	}
	return codes.Of(err)
}

type errorJSON struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
	Run     string `json:"run,omitempty"`
	Key     string `json:"key,omitempty"`
}

func (v *verbs) printError(err error) {
	out := errorJSON{Code: int(codeOf(err)), Message: err.Error()}
	var refused *client.Error
	if errors.As(err, &refused) {
		out.Run, out.Key = refused.RunState, refused.IdempotencyKey
	}
	if v.output == outputJSON {
		_ = json.NewEncoder(v.cfg.Err).Encode(out)
		return
	}
	fmt.Fprintf(v.cfg.Err, "azurering: error %d: %s\n", out.Code, out.Message)
	if out.Key != "" {
		fmt.Fprintf(v.cfg.Err, "The idempotency key of the order is %s.\n", out.Key)
	}
}

func (v *verbs) root() *cli.Command {
	root := &cli.Command{
		Name: "azurering", Usage: "Steers requests of callers to regions and backend servers.",
		Description: "Operator verbs need --host and the operators' credential, from --secret-file or AZURERING_SECRET. " +
			"The exit code is 0 for success, 1 for a refusal or a failed check and 2 for wrong usage.",
		Commands: []*cli.Command{
			v.entryCommand(), v.edgeCommand(), v.demoCommand(), v.sheetCommand(), v.keyCommand(), v.shiftCommand(),
			v.drainCommand(), v.stopCommand(), v.resumeCommand(), v.hostsCommand(), v.statusCommand(),
			v.askCommand(), v.reportCommand(),
		},
	}
	v.prepare(root)
	return root
}

// prepare sets what all commands have in common.
func (v *verbs) prepare(c *cli.Command) {
	c.Writer, c.ErrWriter = v.cfg.Out, v.cfg.Err
	c.HideHelpCommand, c.HideVersion = true, true
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return codes.Wrap(err, codes.UsageBad, "verbs: wrong usage of %s; see --help", c.FullName())
	}
	if len(c.Commands) > 0 {
		c.Action = needVerb
	} else {
		c.Flags = append(c.Flags, v.outputFlag())
	}
	for _, sub := range c.Commands {
		v.prepare(sub)
	}
}

func needVerb(_ context.Context, c *cli.Command) error {
	names := make([]string, 0, len(c.Commands))
	for _, sub := range c.Commands {
		names = append(names, sub.Name)
	}
	return codes.New(codes.UsageBad, "verbs: %s needs one of %s", c.FullName(), strings.Join(names, ", "))
}

func (v *verbs) outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Usage: "Prints `FORMAT`: text or json.", Value: outputText, Destination: &v.output,
		Validator: oneOf("output", outputText, outputJSON),
	}
}

// oneOf returns a flag validator.
func oneOf(flag string, allowed ...string) func(string) error {
	return func(value string) error {
		for _, a := range allowed {
			if value == a {
				return nil
			}
		}
		return errors.Errorf("--%s is %q, must be one of %s", flag, value, strings.Join(allowed, ", "))
	}
}

// args returns the positional arguments if there are exactly as many as
// named.
func args(c *cli.Command, names ...string) ([]string, error) {
	got := c.Args().Slice()
	if len(got) != len(names) {
		want := "no argument"
		if len(names) > 0 {
			want = strings.Join(names, " ")
		}
		return nil, codes.New(codes.UsageBad, "verbs: %s takes %s, got %q", c.FullName(), want, got)
	}
	return got, nil
}

// print writes a result: data as JSON or text for people.
func (v *verbs) print(data any, text func(io.Writer)) error {
	if v.output != outputJSON {
		text(v.cfg.Out)
		return nil
	}
	e := json.NewEncoder(v.cfg.Out)
	e.SetIndent("", "  ")
	return codes.Wrap(e.Encode(data), codes.Internal, "verbs: result cannot be written")
}

// table writes rows of tab-separated cells in aligned columns.
func table(w io.Writer, rows []string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(t, r)
	}
	_ = t.Flush()
}

func (v *verbs) progress(format string, args ...any) {
	fmt.Fprintf(v.cfg.Err, format+"\n", args...)
}
