package verbs

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"azurering/client"
	"azurering/core/codes"
)

func (v *verbs) askCommand() *cli.Command {
	return &cli.Command{
		Name: "ask", Usage: "Sends one request as a caller and prints the answer.", Action: v.ask,
		Flags: append([]cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "Looks up hosts at the callers' listener at `ADDRESS`, an IP address and port; may be given several times.", Required: true},
			&cli.StringFlag{Name: "service", Usage: "Asks the service `NAME`.", Required: true},
			&cli.StringFlag{Name: "path", Usage: "Asks for the `PATH` below the service, with the query.", Value: "/"},
			&cli.StringFlag{Name: "method", Usage: "Uses the HTTP `METHOD`; the default is POST with --order or --data, otherwise GET."},
			&cli.BoolFlag{Name: "order", Usage: "Sends an order, which runs at most once."},
			&cli.StringFlag{Name: "idempotency-key", Usage: "Repeats the order with the key `KEY`; without it a new one is made."},
			&cli.StringFlag{Name: "data", Usage: "Sends `TEXT` as the body, or the content of a file given as @FILE."},
			&cli.StringFlag{Name: "key-file", Usage: "Reads the workspace's key from `FILE`; without it, AZURERING_KEY holds it."},
			&cli.DurationFlag{Name: "timeout", Usage: "Gives up after `TIME` over all attempts.", Value: 30 * time.Second},
		}, tlsFlags()...),
	}
}

type answerJSON struct {
	Status int         `json:"status"`
	Host   string      `json:"host"`
	Tries  int         `json:"tries"`
	Key    string      `json:"key,omitempty"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
}

func (v *verbs) ask(ctx context.Context, c *cli.Command) error {
	if _, err := args(c); err != nil {
		return err
	}
	request, err := askRequest(c)
	if err != nil {
		return err
	}
	caller, err := askClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	answer, err := caller.Do(ctx, request)
	if err != nil {
		return err
	}
	out := answerJSON{Status: answer.Status, Host: answer.Host, Tries: answer.Attempts, Key: answer.IdempotencyKey, Header: answer.Header, Body: string(answer.Body)}
	return v.print(out, func(w io.Writer) {
		v.progress("status %d from entry host %s, attempts: %d", out.Status, out.Host, out.Tries)
		_, _ = w.Write(answer.Body)
		if !strings.HasSuffix(out.Body, "\n") {
			fmt.Fprintln(w)
		}
	})
}

func askRequest(c *cli.Command) (client.Request, error) {
	r := client.Request{
		Service: c.String("service"), Method: c.String("method"), Path: c.String("path"),
		AtMostOnce: c.Bool("order"), IdempotencyKey: c.String("idempotency-key"), Body: []byte(c.String("data")),
	}
	if r.IdempotencyKey != "" && !r.AtMostOnce {
		return r, codes.New(codes.UsageBad, "verbs: --idempotency-key needs --order")
	}
	if !strings.HasPrefix(r.Path, "/") {
		return r, codes.New(codes.UsageBad, "verbs: --path must start with /")
	}
	if file, ok := strings.CutPrefix(c.String("data"), "@"); ok {
		raw, err := os.ReadFile(file)
		if err != nil {
			return r, codes.Wrap(err, codes.UsageBad, "verbs: --data cannot be read")
		}
		r.Body = raw
	}
	if r.Method == "" && (r.AtMostOnce || len(r.Body) > 0) {
		r.Method = http.MethodPost
	}
	return r, nil
}

func askClient(c *cli.Command) (*client.Client, error) {
	key, err := secretOf(c, "key-file", "AZURERING_KEY")
	if err != nil {
		return nil, err
	}
	config, err := tlsConfig(c)
	if err != nil {
		return nil, err
	}
	entries := c.StringSlice("entry")
	return client.New(client.Config{EntryHosts: entries, Key: key, Scheme: schemeOf(entries[0], config != nil), TLSConfig: config})
}
