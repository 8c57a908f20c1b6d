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
var pageText string

var page = template.Must(template.New("report").Parse(pageText))

func (v *verbs) reportCommand() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "Writes an HTML page with latencies per workspace and class, and refusals by code, over all given hosts.",
		Flags: append(hostFlags(), &cli.StringFlag{Name: "out", Usage: "Writes the page to `FILE`.", Required: true}), Action: v.report,
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

// report adds up the metrics of the hosts. A host that does not answer is
// named on the page; only if none answers the report fails.
func (v *verbs) report(ctx context.Context, c *cli.Command) error {
	if _, err := args(c); err != nil {
		return err
	}
	list, err := hosts(c)
	if err != nil {
		return err
	}
	sums := newSums()
	data := pageData{Hosts: []string{}, Silent: []string{}}
	var last error
	for i, address := range c.StringSlice("host") {
		raw, err := list[i].Metrics(ctx)
		if codes.Is(err, codes.PeerDown) {
			data.Silent, last = append(data.Silent, address), err
			continue
		}
		if err == nil {
			err = sums.add(raw)
		}
		if err != nil {
			return err
		}
		data.Hosts = append(data.Hosts, address)
	}
	if len(data.Hosts) == 0 {
		return last
	}
	if data.Latencies, err = sums.latencyRows(); err != nil {
		return err
	}
	data.Refusals = sums.refusalRows()
	var html bytes.Buffer
	if err := page.Execute(&html, data); err != nil {
		return codes.Wrap(err, codes.Internal, "verbs: report")
	}
	if err := os.WriteFile(c.String("out"), html.Bytes(), 0o644); err != nil {
		return codes.Wrap(err, codes.UsageBad, "verbs: --out cannot be written")
	}
	out := reportJSON{Out: c.String("out"), Hosts: data.Hosts, Silent: data.Silent, Latencies: len(data.Latencies), Refusals: len(data.Refusals)}
	return v.print(out, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %d latency histograms and %d result codes from %d hosts; no answer from: %s\n",
			out.Out, out.Latencies, out.Refusals, len(out.Hosts), names(out.Silent))
	})
}
