package admin

import (
	"encoding/hex"
	"math"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// Wire returns the wire form of a Status, Published, Withdrawn, list of
// HostStatus or list of KeyState, for encoding/json. Other values are
// returned as they are.
func Wire(v any) any {
	switch v := v.(type) {
	case Status:
		return fromStatus(v)
	case PublishResult:
		return fromPublished(v)
	case WithdrawResult:
		return fromWithdrawn(v)
	case []HostStatus:
		return fromHosts(v)
	case []KeyStatus:
		return fromKeys(v)
	default:
		return v
	}
}

func fromHosts(list []HostStatus) []hostJSON {
	out := make([]hostJSON, 0, len(list))
	for _, h := range list {
		out = append(out, hostJSON{
			Name: string(h.Host.Name), Domain: string(h.Host.Domain), State: string(h.Host.State), Caller: h.Host.CallerAddress,
			Reached: h.Reached, Version: h.Version, Fresh: h.Fresh,
		})
	}
	return out
}

func fromKeys(list []KeyStatus) []keyJSON {
	out := make([]keyJSON, 0, len(list))
	for _, k := range list {
		out = append(out, keyJSON{Name: string(k.Name), Workspace: string(k.Workspace), Withdrawn: k.Withdrawn})
	}
	return out
}

func fromStatus(s Status) statusJSON {
	out := statusJSON{Host: string(s.Host), Version: s.Version, Servers: s.Servers, Hosts: fromHosts(s.Hosts)}
	for _, d := range s.Domains {
		out.Domains = append(out.Domains, domainJSON{
			Region: string(d.Region), Domain: string(d.Domain), Holder: string(d.Holder), Epoch: d.Epoch,
			Version: d.Version, Hosts: d.Hosts, Reached: d.Reached, Free: d.Free, Total: d.Total,
		})
	}
	for _, d := range s.Drains {
		out.Drains = append(out.Drains, drainJSON{
			Kind: string(d.Kind), Target: d.Target, Mode: string(d.Mode), Phase: d.Phase, Left: d.Left, Within: d.Within.String(),
		})
	}
	for _, v := range s.Shares {
		out.Shares = append(out.Shares, shareJSON{
			Workspace: string(v.Workspace), Rate: decimal(v.Limit.Rate), Burst: decimal(v.Limit.Burst),
			Domain: decimal(v.Domain.Rate), Host: decimal(v.Host.Rate),
		})
	}
	for _, v := range s.Shifts {
		out.Shifts = append(out.Shifts, shiftJSON{
			Name: v.Name, From: string(v.From), To: string(v.To), Share: decimal(int64(v.SharePerMille)), Cap: decimal(v.Cap),
		})
	}
	return out
}

func toStatus(in statusJSON) Status {
	out := Status{Host: core.HostID(in.Host), Version: in.Version, Servers: in.Servers}
	for _, d := range in.Domains {
		out.Domains = append(out.Domains, DomainStatus{
			Region: core.RegionID(d.Region), Domain: core.DomainID(d.Domain), Holder: core.HostID(d.Holder), Epoch: d.Epoch,
			Version: d.Version, Hosts: d.Hosts, Reached: d.Reached, Free: d.Free, Total: d.Total,
		})
	}
	for _, h := range in.Hosts {
		out.Hosts = append(out.Hosts, HostStatus{
			Host:    core.Host{Name: core.HostID(h.Name), Domain: core.DomainID(h.Domain), State: core.HostState(h.State), CallerAddress: h.Caller},
			Reached: h.Reached, Version: h.Version, Fresh: h.Fresh,
		})
	}
	for _, d := range in.Drains {
		within, _ := time.ParseDuration(d.Within)
		out.Drains = append(out.Drains, DrainStatus{
			Kind: core.DrainKind(d.Kind), Target: d.Target, Mode: core.DrainMode(d.Mode), Phase: d.Phase, Left: d.Left, Within: within,
		})
	}
	for _, v := range in.Shares {
		out.Shares = append(out.Shares, ShareStatus{
			Workspace: core.WorkspaceID(v.Workspace), Limit: core.Amount{Rate: milli(v.Rate), Burst: milli(v.Burst)},
			Domain: core.Amount{Rate: milli(v.Domain)}, Host: core.Amount{Rate: milli(v.Host)},
		})
	}
	for _, v := range in.Shifts {
		out.Shifts = append(out.Shifts, toShift(v))
	}
	return out
}

func toShift(v shiftJSON) core.Shift {
	return core.Shift{Name: v.Name, From: core.RegionID(v.From), To: core.RegionID(v.To), SharePerMille: int(milli(v.Share)), Cap: milli(v.Cap)}
}

func milli(v float64) int64 {
	if math.IsNaN(v) || math.Abs(v) > 1e12 {
		return -1
	}
	return int64(math.Round(v * thousandths))
}

func fromWithdrawn(w WithdrawResult) withdrawnJSON {
	return withdrawnJSON{
		Key: string(w.Key), Durable: w.Durable, Accepted: w.Accepted, InForce: texts(w.InForce), Pending: texts(w.Pending),
	}
}

func toWithdrawn(w withdrawnJSON) WithdrawResult {
	return WithdrawResult{
		Key: core.KeyID(w.Key), Durable: w.Durable, Accepted: w.Accepted, InForce: domains(w.InForce), Pending: domains(w.Pending),
	}
}

func fromPublished(p PublishResult) publishedJSON {
	out := publishedJSON{Version: p.Version}
	for _, w := range p.Withdrawn {
		out.Withdrawn = append(out.Withdrawn, fromWithdrawn(w))
	}
	return out
}

func toPublished(p publishedJSON) PublishResult {
	out := PublishResult{Version: p.Version}
	for _, w := range p.Withdrawn {
		out.Withdrawn = append(out.Withdrawn, toWithdrawn(w))
	}
	return out
}

func texts(ids []core.DomainID) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, string(id))
	}
	return out
}

func domains(in []string) []core.DomainID {
	out := make([]core.DomainID, 0, len(in))
	for _, text := range in {
		out = append(out, core.DomainID(text))
	}
	return out
}

func toKey(g grantJSON) (core.Key, error) {
	k := core.Key{Name: core.KeyID(g.Name), Workspace: core.WorkspaceID(g.Workspace)}
	raw, err := hex.DecodeString(g.Hash)
	if err != nil || len(raw) != len(k.Hash) {
		return k, codes.New(codes.ChangeInvalid, "admin: hash must be 64 hexadecimal digits")
	}
	copy(k.Hash[:], raw)
	return k, nil
}

func toDrain(d drainRequestJSON) (core.Drain, error) {
	out := core.Drain{Kind: core.DrainKind(d.Kind), Target: d.Target, Mode: core.DrainMode(d.Mode)}
	if d.Within == "" {
		return out, nil
	}
	within, err := time.ParseDuration(d.Within)
	out.Timeout = within
	return out, codes.Wrap(err, codes.ChangeInvalid, "admin: within is not a duration")
}
