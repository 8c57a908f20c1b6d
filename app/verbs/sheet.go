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

func (v *verbs) sheetCommand() *cli.Command {
	check := hostFlagsWith(&cli.StringSliceFlag{
		Name: "host", Usage: "Checks also on the entry host whose admin listener is at `ADDRESS`, an IP address and port.",
	})
	return &cli.Command{
		Name: "sheet", Usage: "Checks, applies and shows the whole configuration.",
		Commands: []*cli.Command{
			{Name: "check", Usage: "Checks a sheet file.", ArgsUsage: "FILE", Flags: check, Action: v.sheetCheck},
			{
				Name: "apply", Usage: "Publishes a sheet file as the configuration.", ArgsUsage: "FILE", Action: v.sheetApply,
				Flags: append(hostFlags(), &cli.Uint64Flag{
					Name: "base", Usage: "Publishes only if version `N` is in force; 0 means after whatever is in force.",
				}),
			},
			{Name: "show", Usage: "Prints the sheet in force as TOML.", Flags: hostFlags(), Action: v.sheetShow},
			{
				Name: "status", Usage: "Shows the version in force in each failure domain and the hosts that lag.",
				Flags: hostFlags(), Action: v.sheetStatus,
			},
		},
	}
}

func readSheet(c *cli.Command) ([]byte, core.Sheet, error) {
	file, err := args(c, "FILE")
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

func (v *verbs) sheetCheck(ctx context.Context, c *cli.Command) error {
	raw, s, err := readSheet(c)
	if err != nil {
		return err
	}
	out := checkJSON{Name: s.Name, Domains: len(sheet.Domains(s)), Servers: len(s.Servers), Blocks: len(s.Blocks), Keys: len(s.Keys)}
	if c.IsSet("host") {
		list, err := hosts(c)
		if err != nil {
			return err
		}
		if err := reach(list, func(h *admin.Client) error {
			out.Version, err = h.CheckSheet(ctx, raw)
			return err
		}); err != nil {
			return err
		}
	}
	return v.print(out, func(w io.Writer) {
		fmt.Fprintf(w, "Sheet %q is valid: %d failure domains, %d backend servers, %d client blocks, %d keys.\n",
			out.Name, out.Domains, out.Servers, out.Blocks, out.Keys)
		if out.Version > 0 {
			fmt.Fprintf(w, "The entry host accepts it; version %d is in force there.\n", out.Version)
		}
	})
}

func (v *verbs) sheetApply(ctx context.Context, c *cli.Command) error {
	raw, _, err := readSheet(c)
	if err != nil {
		return err
	}
	list, err := hosts(c)
	if err != nil {
		return err
	}
	p, err := list[0].ApplySheet(ctx, raw, c.Uint64("base"))
	if err != nil {
		return unclear(err, "run sheet show to see whether it was published")
	}
	return v.printPublished(p)
}

// unclear adds what to do to an error that leaves open whether a change was
// made.
func unclear(err error, advice string) error {
	switch codes.Of(err) {
	case codes.PeerDown, codes.StoreUnknown:
		return codes.Wrap(err, codes.Of(err), "verbs: the outcome is not known; %s", advice)
	default:
		return err
	}
}

func (v *verbs) printPublished(p admin.PublishResult) error {
	return v.print(admin.Wire(p), func(w io.Writer) {
		fmt.Fprintf(w, "Version %d is published.\n", p.Version)
		for _, k := range p.Withdrawn {
			writeWithdrawn(w, k)
		}
	})
}

func (v *verbs) sheetShow(ctx context.Context, c *cli.Command) error {
	if _, err := args(c); err != nil {
		return err
	}
	list, err := hosts(c)
	if err != nil {
		return err
	}
	var raw []byte
	var version uint64
	if err := reach(list, func(h *admin.Client) error {
		raw, version, err = h.Sheet(ctx)
		return err
	}); err != nil {
		return err
	}
	out := map[string]any{"version": version, "sheet": string(raw)}
	return v.print(out, func(w io.Writer) { fmt.Fprintf(w, "# version %d\n%s", version, raw) })
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

// versions compares the hosts with the highest version that any of them
// has in force.
func versions(s admin.Status) sheetStatusJSON {
	out := sheetStatusJSON{Version: s.Version}
	for _, h := range s.Hosts {
		out.Version = max(out.Version, h.Version)
	}
	for _, d := range s.Domains {
		one := domainVersionJSON{Domain: string(d.Domain), Version: d.Version, Hosts: d.Hosts, Reached: d.Reached, Lagging: []string{}, Silent: []string{}}
		for _, h := range s.Hosts {
			if h.Host.Domain != d.Domain || h.Host.State == core.HostDead {
				continue
			}
			if !h.Reached {
				one.Silent = append(one.Silent, string(h.Host.Name))
			} else if h.Version < out.Version {
				one.Lagging = append(one.Lagging, fmt.Sprintf("%s (%d)", h.Host.Name, h.Version))
			}
		}
		out.Domains = append(out.Domains, one)
	}
	return out
}

func (v *verbs) sheetStatus(ctx context.Context, c *cli.Command) error {
	s, err := status(ctx, c)
	if err != nil {
		return err
	}
	out := versions(s)
	return v.print(out, func(w io.Writer) {
		fmt.Fprintf(w, "Newest version in force: %d\n\n", out.Version)
		rows := []string{"DOMAIN\tVERSION\tHOSTS REACHED\tLAGGING\tNO ANSWER"}
		for _, d := range out.Domains {
			rows = append(rows, fmt.Sprintf("%s\t%d\t%d of %d\t%s\t%s", d.Domain, d.Version, d.Reached, d.Hosts, names(d.Lagging), names(d.Silent)))
		}
		table(w, rows)
	})
}

func names(list []string) string {
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ", ")
}
