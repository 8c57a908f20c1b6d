package verbs

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/sheet"
	"azurering/io/admin"
	"azurering/io/sheets"
)

func (r *runner) sheetCommand() *cli.Command {
	check := hostFlagsWith(&cli.StringSliceFlag{
		Name: "host", Usage: "Also checks the sheet on the entry host with the admin listener `ADDRESS`, an IP address and port.",
	})
	return &cli.Command{
		Name: "sheet", Usage: "Checks, applies and shows the whole configuration.",
		Commands: []*cli.Command{
			{Name: "check", Usage: "Checks a sheet file.", ArgsUsage: "FILE", Flags: check, Action: r.sheetCheck},
			{
				Name: "apply", Usage: "Publishes a sheet file as the configuration.", ArgsUsage: "FILE", Action: r.sheetApply,
				Flags: append(hostFlags(), &cli.Uint64Flag{
					Name: "base", Usage: "Publishes only if version `N` is in force; 0 means any version.",
				}),
			},
			{Name: "show", Usage: "Prints the sheet in force as TOML.", Flags: hostFlags(), Action: r.sheetShow},
			{
				Name: "status", Usage: "Shows the version in force in each failure domain and the hosts with an older one.",
				Flags: hostFlags(), Action: r.sheetStatus,
			},
		},
	}
}

func readSheet(c *cli.Command) ([]byte, core.Sheet, error) {
	file, err := exactArgs(c, "FILE")
	if err != nil {
		return nil, core.Sheet{}, err
	}
	raw, err := os.ReadFile(file[0])
	if err != nil {
		return nil, core.Sheet{}, codes.Wrap(err, codes.UsageBad, "verbs: sheet cannot be read")
	}
	s, err := sheets.Parse(raw)
	return raw, s, err
}

type checkJSON struct {
	Name    string `json:"name"`
	Domains int    `json:"domains"`
	Servers int    `json:"servers"`
	Blocks  int    `json:"blocks"`
	Keys    int    `json:"keys"`
	// Version is the version in force on the host, if one was asked.
	Version uint64 `json:"version,omitempty"`
}

func (r *runner) sheetCheck(ctx context.Context, c *cli.Command) error {
	raw, s, err := readSheet(c)
	if err != nil {
		return err
	}
	out := checkJSON{Name: s.Name, Domains: len(sheet.Domains(s)), Servers: len(s.Servers), Blocks: len(s.Blocks), Keys: len(s.Keys)}
	if c.IsSet("host") {
		clients, err := adminClients(c)
		if err != nil {
			return err
		}
		if err := firstReachable(clients, func(h *admin.Client) error {
			out.Version, err = h.CheckSheet(ctx, raw)
			return err
		}); err != nil {
			return err
		}
	}
	return r.printResult(out, func(w io.Writer) {
		fmt.Fprintf(w, "Sheet %q is valid: %d failure domains, %d backend servers, %d client blocks, %d keys.\n",
			out.Name, out.Domains, out.Servers, out.Blocks, out.Keys)
		if out.Version > 0 {
			fmt.Fprintf(w, "The entry host accepts it; version %d is in force there.\n", out.Version)
		}
	})
}

func (r *runner) sheetApply(ctx context.Context, c *cli.Command) error {
	raw, _, err := readSheet(c)
	if err != nil {
		return err
	}
	list, err := adminClients(c)
	if err != nil {
		return err
	}
	p, err := list[0].ApplySheet(ctx, raw, c.Uint64("base"))
	if err != nil {
		return withAdvice(err, "run sheet show to see whether it was published")
	}
	return r.printPublished(p)
}

// withAdvice adds what the operator should do to an error that leaves unknown
// whether a change was made. It returns other errors unchanged.
func withAdvice(err error, advice string) error {
	switch codes.Of(err) {
	case codes.PeerDown, codes.StoreUnknown:
		return codes.Wrap(err, codes.Of(err), "verbs: whether the change was made is not known; %s", advice)
	default:
		return err
	}
}

func (r *runner) printPublished(p admin.PublishResult) error {
	return r.printResult(admin.Wire(p), func(w io.Writer) {
		fmt.Fprintf(w, "Version %d is published.\n", p.Version)
		for _, k := range p.Withdrawn {
			writeWithdrawn(w, k)
		}
	})
}

func (r *runner) sheetShow(ctx context.Context, c *cli.Command) error {
	if _, err := exactArgs(c); err != nil {
		return err
	}
	list, err := adminClients(c)
	if err != nil {
		return err
	}
	var raw []byte
	var version uint64
	if err := firstReachable(list, func(h *admin.Client) error {
		raw, version, err = h.Sheet(ctx)
		return err
	}); err != nil {
		return err
	}
	out := map[string]any{"version": version, "sheet": string(raw)}
	return r.printResult(out, func(w io.Writer) { fmt.Fprintf(w, "# version %d\n%s", version, raw) })
}

type domainVersionJSON struct {
	Domain  string   `json:"domain"`
	Version uint64   `json:"version"`
	Hosts   int      `json:"hosts"`
	Reached int      `json:"reached"`
	Lagging []string `json:"lagging"`
	Silent  []string `json:"silent"`
}

type sheetStatusJSON struct {
	Version uint64              `json:"version"`
	Domains []domainVersionJSON `json:"domains"`
}

// newSheetStatus compares the versions of the hosts with the highest version
// that any of them has in force.
func newSheetStatus(s admin.Status) sheetStatusJSON {
	out := sheetStatusJSON{Version: s.Version}
	for _, h := range s.Hosts {
		out.Version = max(out.Version, h.Version)
	}
	for _, d := range s.Domains {
		domain := domainVersionJSON{Domain: string(d.Domain), Version: d.Version, Hosts: d.Hosts, Reached: d.Reached, Lagging: []string{}, Silent: []string{}}
		for _, h := range s.Hosts {
			if h.Host.Domain != d.Domain || h.Host.State == core.HostDead {
				continue
			}
			if !h.Reached {
				domain.Silent = append(domain.Silent, string(h.Host.Name))
			} else if h.Version < out.Version {
				domain.Lagging = append(domain.Lagging, fmt.Sprintf("%s (%d)", h.Host.Name, h.Version))
			}
		}
		out.Domains = append(out.Domains, domain)
	}
	return out
}

func (r *runner) sheetStatus(ctx context.Context, c *cli.Command) error {
	s, err := fetchStatus(ctx, c)
	if err != nil {
		return err
	}
	out := newSheetStatus(s)
	return r.printResult(out, func(w io.Writer) {
		fmt.Fprintf(w, "Newest version in force: %d\n\n", out.Version)
		rows := []string{"DOMAIN\tVERSION\tHOSTS REACHED\tLAGGING\tNO ANSWER"}
		for _, d := range out.Domains {
			rows = append(rows, fmt.Sprintf("%s\t%d\t%d of %d\t%s\t%s", d.Domain, d.Version, d.Reached, d.Hosts, joinOrDash(d.Lagging), joinOrDash(d.Silent)))
		}
		writeTable(w, rows)
	})
}

func joinOrDash(list []string) string {
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ", ")
}
