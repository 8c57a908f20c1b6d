package verbs

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"azurering/core"
	"azurering/io/admin"
)

func (v *verbs) hostsCommand() *cli.Command {
	return &cli.Command{
		Name: "hosts", Usage: "Lists the entry hosts with their states and versions.", Flags: hostFlags(), Action: v.hosts,
	}
}

func (v *verbs) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "Shows failure domains, hosts, seats, versions, shares, drains and shifts.",
		Flags: hostFlags(), Action: v.status,
	}
}

// status asks the first host that answers.
func status(ctx context.Context, c *cli.Command) (admin.Status, error) {
	if _, err := args(c); err != nil {
		return admin.Status{}, err
	}
	list, err := hosts(c)
	if err != nil {
		return admin.Status{}, err
	}
	var s admin.Status
	return s, reach(list, func(h *admin.Client) error {
		s, err = h.Status(ctx)
		return err
	})
}

func (v *verbs) hosts(ctx context.Context, c *cli.Command) error {
	s, err := status(ctx, c)
	if err != nil {
		return err
	}
	return v.print(admin.Wire(s.Hosts), func(w io.Writer) { writeHosts(w, s) })
}

func (v *verbs) status(ctx context.Context, c *cli.Command) error {
	s, err := status(ctx, c)
	if err != nil {
		return err
	}
	return v.print(admin.Wire(s), func(w io.Writer) {
		fmt.Fprintf(w, "As seen by entry host %s; version %d in force; %d backend servers.\n\n", s.Host, s.Version, s.Servers)
		writeDomains(w, s)
		fmt.Fprintln(w)
		writeHosts(w, s)
		writeShares(w, s)
		writePlans(w, s)
	})
}

func writeDomains(w io.Writer, s admin.Status) {
	rows := []string{"REGION\tDOMAIN\tSEAT\tEPOCH\tVERSION\tHOSTS REACHED\tFREE SLOTS"}
	for _, d := range s.Domains {
		epoch, slots := "-", "-"
		if d.Epoch > 0 {
			epoch = fmt.Sprint(d.Epoch)
		}
		// A host counts the slots of its own failure domain only.
		if d.Total > 0 {
			slots = fmt.Sprintf("%d of %d", d.Free, d.Total)
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d of %d\t%s",
			d.Region, d.Domain, orDash(string(d.Holder)), epoch, d.Version, d.Reached, d.Hosts, slots))
	}
	table(w, rows)
}

func writeHosts(w io.Writer, s admin.Status) {
	rows := []string{"HOST\tDOMAIN\tSTATE\tREACHED\tVERSION\tFRESH\tCALLERS"}
	for _, h := range s.Hosts {
		version := "-"
		if h.Reached {
			version = fmt.Sprint(h.Version)
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s",
			h.Host.Name, h.Host.Domain, h.Host.State, yesNo(h.Reached), version, yesNo(h.Fresh), orDash(h.Host.CallerAddress)))
	}
	table(w, rows)
}

func writeShares(w io.Writer, s admin.Status) {
	if len(s.Shares) == 0 {
		return
	}
	fmt.Fprintln(w)
	rows := []string{"WORKSPACE\tRATE /s\tBURST\tTHIS DOMAIN /s\tTHIS HOST /s"}
	for _, v := range s.Shares {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s",
			v.Workspace, decimal(v.Limit.Rate), decimal(v.Limit.Burst), decimal(v.Domain.Rate), decimal(v.Host.Rate)))
	}
	table(w, rows)
}

func writePlans(w io.Writer, s admin.Status) {
	if len(s.Drains) > 0 {
		fmt.Fprintln(w)
		rows := []string{"DRAIN OF\tKIND\tMODE\tPHASE\tLEFT\tWITHIN"}
		for _, d := range s.Drains {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%s", d.Target, d.Kind, d.Mode, d.Phase, d.Left, within(d)))
		}
		table(w, rows)
	}
	if len(s.Shifts) > 0 {
		fmt.Fprintln(w)
		rows := []string{"SHIFT\tFROM\tTO\tSHARE\tCAP /s"}
		for _, v := range s.Shifts {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s", v.Name, v.From, v.To, decimal(int64(v.SharePerMille)), decimal(v.Cap)))
		}
		table(w, rows)
	}
}

func within(d admin.DrainStatus) string {
	if d.Within == 0 {
		return "1m0s"
	}
	return d.Within.String()
}

// decimal writes thousandths.
func decimal(milli int64) string { return fmt.Sprint(float64(milli) / 1000) }

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// hostGone reports whether a stopped host has ended.
func hostGone(s admin.Status, target string) bool {
	for _, h := range s.Hosts {
		if string(h.Host.Name) == target {
			return h.Host.State == core.HostDead
		}
	}
	return true
}
