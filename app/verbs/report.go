package verbs

import (
	"bytes"
	"context"
	_ "embed" // the page's template
	"fmt"
	"html/template"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"azurering/core/codes"
)

//go:embed report.html
var pageHTML string

var page = template.Must(template.New("report").Parse(pageHTML))

func (r *runner) reportCommand() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "Writes an HTML page with latencies by workspace and class and refusals by code, added up over the given hosts.",
		Flags: append(hostFlags(), &cli.StringFlag{Name: "out", Usage: "Writes the page to `FILE`.", Required: true}), Action: r.report,
	}
}

// pageData is what the template shows.
type pageData struct {
	Hosts     []string
	Silent    []string // hosts that did not answer
	Latencies []latencyRow
	Refusals  []refusalRow
}

type reportJSON struct {
	Out       string   `json:"out"`
	Hosts     []string `json:"hosts"`
	Silent    []string `json:"silent"`
	Latencies int      `json:"latencies"`
	Refusals  int      `json:"refusals"`
}

// report adds up the metrics of the hosts. It names hosts that do not answer on
// the page, and fails only if none answers.
func (r *runner) report(ctx context.Context, c *cli.Command) error {
	if _, err := exactArgs(c); err != nil {
		return err
	}
	list, err := adminClients(c)
	if err != nil {
		return err
	}
	totals := newMetricTotals()
	data := pageData{Hosts: []string{}, Silent: []string{}}
	var lastErr error
	for i, address := range c.StringSlice("host") {
		raw, err := list[i].Metrics(ctx)
		if codes.Is(err, codes.PeerDown) {
			data.Silent, lastErr = append(data.Silent, address), err
			continue
		}
		if err == nil {
			err = totals.add(raw)
		}
		if err != nil {
			return err
		}
		data.Hosts = append(data.Hosts, address)
	}
	if len(data.Hosts) == 0 {
		return lastErr
	}
	if data.Latencies, err = totals.latencyRows(); err != nil {
		return err
	}
	data.Refusals = totals.refusalRows()
	var html bytes.Buffer
	if err := page.Execute(&html, data); err != nil {
		return codes.Wrap(err, codes.Internal, "verbs: report page cannot be rendered")
	}
	if err := os.WriteFile(c.String("out"), html.Bytes(), 0o644); err != nil {
		return codes.Wrap(err, codes.UsageBad, "verbs: --out cannot be written")
	}
	out := reportJSON{Out: c.String("out"), Hosts: data.Hosts, Silent: data.Silent, Latencies: len(data.Latencies), Refusals: len(data.Refusals)}
	return r.printResult(out, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %d latency histograms and %d result codes from %d hosts; no answer from: %s\n",
			out.Out, out.Latencies, out.Refusals, len(out.Hosts), joinOrDash(out.Silent))
	})
}
