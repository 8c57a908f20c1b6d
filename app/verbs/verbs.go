// Package verbs implements the command line of azurering. Command azurering
// calls Run.
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
	ExitOK      = 0
	ExitFailure = 1 // a refusal, any other error or a failed check
	ExitUsage   = 2 // wrong flags or arguments
)

const (
	outputText = "text"
	outputJSON = "json"
)

// Config configures a run of the command line.
type Config struct {
	Stdout io.Writer // results
	Stderr io.Writer // errors and progress
	// PollInterval is the time between two status requests while a drain or stop is
	// under way. Zero means 1 s.
	PollInterval time.Duration
}

// runner holds what the commands share during one Run.
type runner struct {
	cfg    Config
	output string
}

// Run runs the command line args, of which the first is the program's name,
// and returns the exit code of the process. Errors are printed to cfg.Err
// with their numbered result code.
func Run(ctx context.Context, args []string, cfg Config) int {
	if cfg.PollInterval == 0 {
		cfg.PollInterval = time.Second
	}
	r := &runner{cfg: cfg, output: outputText}
	err := r.root().Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	r.printError(err)
	if codeOf(err) == codes.UsageBad {
		return ExitUsage
	}
	return ExitFailure
}

// codeOf returns the result code of an error. Errors of package client carry
// it in a field.
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

func (r *runner) printError(err error) {
	out := errorJSON{Code: int(codeOf(err)), Message: err.Error()}
	var refused *client.Error
	if errors.As(err, &refused) {
		out.Run, out.Key = refused.RunState, refused.IdempotencyKey
	}
	if r.output == outputJSON {
		_ = json.NewEncoder(r.cfg.Stderr).Encode(out)
		return
	}
	fmt.Fprintf(r.cfg.Stderr, "azurering: error %d: %s\n", out.Code, out.Message)
	if out.Key != "" {
		fmt.Fprintf(r.cfg.Stderr, "The idempotency key of the order is %s.\n", out.Key)
	}
}

func (r *runner) root() *cli.Command {
	root := &cli.Command{
		Name: "azurering", Usage: "Steers callers' requests to regions and backend servers.",
		Description: "Operator commands need --host and the operators' credential, from --secret-file or AZURERING_SECRET. " +
			"The exit code is 0 for success, 1 for a refusal or a failed check and 2 for wrong usage.",
		Commands: []*cli.Command{
			r.entryCommand(), r.edgeCommand(), r.demoCommand(), r.sheetCommand(), r.keyCommand(), r.shiftCommand(),
			r.drainCommand(), r.stopCommand(), r.resumeCommand(), r.hostsCommand(), r.statusCommand(),
			r.askCommand(), r.reportCommand(),
		},
	}
	r.configure(root)
	return root
}

// configure sets the options that all commands have in common, on a command and
// its subcommands.
func (r *runner) configure(c *cli.Command) {
	c.Writer, c.ErrWriter = r.cfg.Stdout, r.cfg.Stderr
	c.HideHelpCommand, c.HideVersion = true, true
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return codes.Wrap(err, codes.UsageBad, "verbs: wrong usage of %s; see --help", c.FullName())
	}
	if len(c.Commands) > 0 {
		c.Action = requireSubcommand
	} else {
		c.Flags = append(c.Flags, r.outputFlag())
	}
	for _, sub := range c.Commands {
		r.configure(sub)
	}
}

func requireSubcommand(_ context.Context, c *cli.Command) error {
	names := make([]string, 0, len(c.Commands))
	for _, sub := range c.Commands {
		names = append(names, sub.Name)
	}
	return codes.New(codes.UsageBad, "verbs: %s needs one of %s", c.FullName(), strings.Join(names, ", "))
}

func (r *runner) outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Usage: "Prints `FORMAT`: text or json.", Value: outputText, Destination: &r.output,
		Validator: oneOf("output", outputText, outputJSON),
	}
}

// oneOf returns a flag validator that accepts the allowed values.
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

// exactArgs returns the positional arguments, or an error if there are not as
// many as names.
func exactArgs(c *cli.Command, names ...string) ([]string, error) {
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

// printResult writes a result to the standard output: data as indented JSON, or
// what text writes, as --output says.
func (r *runner) printResult(data any, text func(io.Writer)) error {
	if r.output != outputJSON {
		text(r.cfg.Stdout)
		return nil
	}
	e := json.NewEncoder(r.cfg.Stdout)
	e.SetIndent("", "  ")
	return codes.Wrap(e.Encode(data), codes.Internal, "verbs: result cannot be written")
}

// writeTable writes rows of tab-separated cells with aligned columns.
func writeTable(w io.Writer, rows []string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(t, r)
	}
	_ = t.Flush()
}

func (r *runner) progressf(format string, args ...any) {
	fmt.Fprintf(r.cfg.Stderr, format+"\n", args...)
}
