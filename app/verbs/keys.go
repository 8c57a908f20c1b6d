package verbs

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"azurering/core"
	"azurering/io/admin"
)

func (v *verbs) keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "Grants, withdraws and lists keys of workspaces.",
		Commands: []*cli.Command{
			{
				Name: "grant", Usage: "Makes a random key, prints it once and sends only its SHA-256 hash.", Action: v.keyGrant,
				Flags: append(hostFlags(), keyName(), &cli.StringFlag{Name: "workspace", Usage: "Grants the key to the workspace `NAME`.", Required: true}),
			},
			{
				Name: "withdraw", Usage: "Withdraws a key for good and tells where it is refused already.", Action: v.keyWithdraw,
				Flags: append(hostFlags(), keyName()),
			},
			{Name: "list", Usage: "Lists the keys of the configuration in force.", Flags: hostFlags(), Action: v.keyList},
		},
	}
}

func keyName() cli.Flag {
	return &cli.StringFlag{Name: "name", Usage: "Takes the key `NAME`; names are never used again.", Required: true}
}

type grantJSON struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Version   uint64 `json:"version"`
}

func (v *verbs) keyGrant(ctx context.Context, c *cli.Command) error {
	if _, err := args(c); err != nil {
		return err
	}
	list, err := hosts(c)
	if err != nil {
		return err
	}
	// rand.Text has at least 128 bits of randomness.
	secret := rand.Text() + rand.Text()
	k := core.Key{Name: core.KeyID(c.String("name")), Workspace: core.WorkspaceID(c.String("workspace")), Hash: sha256.Sum256([]byte(secret))}
	p, err := list[0].GrantKey(ctx, k)
	if err != nil {
		return unclear(err, "run key list; if the key is there, withdraw it and grant another name, because its text is lost")
	}
	out := grantJSON{Name: string(k.Name), Workspace: string(k.Workspace), Key: secret, Version: p.Version}
	return v.print(out, func(w io.Writer) {
		fmt.Fprintf(w, "Key %s of workspace %s is granted with version %d.\nIt is shown only now: %s\n", out.Name, out.Workspace, out.Version, secret)
	})
}

func (v *verbs) keyWithdraw(ctx context.Context, c *cli.Command) error {
	if _, err := args(c); err != nil {
		return err
	}
	list, err := hosts(c)
	if err != nil {
		return err
	}
	// A withdrawal may be repeated, so another host is tried.
	var out admin.WithdrawResult
	if err := reach(list, func(h *admin.Client) error {
		out, err = h.WithdrawKey(ctx, core.KeyID(c.String("name")))
		return err
	}); err != nil {
		return unclear(err, "run the command again")
	}
	return v.print(admin.Wire(out), func(w io.Writer) { writeWithdrawn(w, out) })
}

func writeWithdrawn(w io.Writer, k admin.WithdrawResult) {
	state := "is pending: it is refused only where it is in force; run key withdraw again to see how far it got"
	if k.Accepted {
		state = "is accepted: every host refuses the key within the freshness bound"
	}
	fmt.Fprintf(w, "Withdrawal of key %s %s.\n  in the store: %s\n  in force in:  %s\n  pending in:   %s\n",
		k.Key, state, yesNo(k.Durable), domainNames(k.InForce), domainNames(k.Pending))
}

func domainNames(list []core.DomainID) string {
	out := make([]string, 0, len(list))
	for _, d := range list {
		out = append(out, string(d))
	}
	return names(out)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func (v *verbs) keyList(ctx context.Context, c *cli.Command) error {
	if _, err := args(c); err != nil {
		return err
	}
	list, err := hosts(c)
	if err != nil {
		return err
	}
	var keys []admin.KeyStatus
	if err := reach(list, func(h *admin.Client) error {
		keys, err = h.Keys(ctx)
		return err
	}); err != nil {
		return err
	}
	return v.print(admin.Wire(keys), func(w io.Writer) {
		rows := []string{"KEY\tWORKSPACE\tWITHDRAWN"}
		for _, k := range keys {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s", k.Name, k.Workspace, yesNo(k.Withdrawn)))
		}
		table(w, rows)
	})
}
