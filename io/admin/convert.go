package admin

import (
	"encoding/hex"
	"math"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// Wire returns the form of a Status, PublishResult, WithdrawResult, []HostStatus or
// []KeyStatus that encoding/json writes as the operator interface does. Other
// values are returned unchanged.
func Wire(v any) any {
	switch v := v.(type) {
	case Status:
		return statusToWire(v)
	case PublishResult:
		return publishedToWire(v)
	case WithdrawResult:
		return withdrawnToWire(v)
	case []HostStatus:
		return hostsToWire(v)
	case []KeyStatus:
		return keysToWire(v)
	default:
		return v
	}
}

func hostsToWire(list []HostStatus) []hostJSON {
	out := make([]hostJSON, 0, len(list))
	for _, h := range list {
		out = append(out, hostJSON{
			Name: string(h.Host.Name), Domain: string(h.Host.Domain), State: string(h.Host.State), Caller: h.Host.CallerAddress,
			Reached: h.Reached, Version: h.Version, Fresh: h.Fresh,
		})
	}
	return out
}

func keysToWire(list []KeyStatus) []keyJSON {
	out := make([]keyJSON, 0, len(list))
	for _, k := range list {
		out = append(out, keyJSON{Name: string(k.Name), Workspace: string(k.Workspace), Withdrawn: k.Withdrawn})
	}
	return out
}

func statusToWire(s Status) statusJSON {
	out := statusJSON{Host: string(s.Host), Version: s.Version, Servers: s.Servers, Hosts: hostsToWire(s.Hosts)}
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
			Workspace: string(v.Workspace), Rate: fromThousandths(v.Limit.Rate), Burst: fromThousandths(v.Limit.Burst),
			Domain: fromThousandths(v.Domain.Rate), Host: fromThousandths(v.Host.Rate),
		})
	}
	for _, v := range s.Shifts {
		out.Shifts = append(out.Shifts, shiftJSON{
			Name: v.Name, From: string(v.From), To: string(v.To), Share: fromThousandths(int64(v.SharePerMille)), Cap: fromThousandths(v.Cap),
		})
	}
	return out
}

func statusFromWire(in statusJSON) Status {
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
			Workspace: core.WorkspaceID(v.Workspace), Limit: core.Amount{Rate: toThousandths(v.Rate), Burst: toThousandths(v.Burst)},
			Domain: core.Amount{Rate: toThousandths(v.Domain)}, Host: core.Amount{Rate: toThousandths(v.Host)},
		})
	}
	for _, v := range in.Shifts {
		out.Shifts = append(out.Shifts, shiftFromWire(v))
	}
	return out
}

func shiftFromWire(v shiftJSON) core.Shift {
	return core.Shift{Name: v.Name, From: core.RegionID(v.From), To: core.RegionID(v.To), SharePerMille: int(toThousandths(v.Share)), Cap: toThousandths(v.Cap)}
}

// toThousandths converts a decimal to thousandths. It returns -1, which
// validation rejects, for NaN and values beyond 1e12.
func toThousandths(v float64) int64 {
	if math.IsNaN(v) || math.Abs(v) > 1e12 {
		return -1
	}
	return int64(math.Round(v * thousandths))
}

func withdrawnToWire(w WithdrawResult) withdrawnJSON {
	return withdrawnJSON{
		Key: string(w.Key), Durable: w.Durable, Accepted: w.Accepted, InForce: domainsToWire(w.InForce), Pending: domainsToWire(w.Pending),
	}
}

func withdrawnFromWire(w withdrawnJSON) WithdrawResult {
	return WithdrawResult{
		Key: core.KeyID(w.Key), Durable: w.Durable, Accepted: w.Accepted, InForce: domainsFromWire(w.InForce), Pending: domainsFromWire(w.Pending),
	}
}

func publishedToWire(p PublishResult) publishedJSON {
	out := publishedJSON{Version: p.Version}
	for _, w := range p.Withdrawn {
		out.Withdrawn = append(out.Withdrawn, withdrawnToWire(w))
	}
	return out
}

func publishedFromWire(p publishedJSON) PublishResult {
	out := PublishResult{Version: p.Version}
	for _, w := range p.Withdrawn {
		out.Withdrawn = append(out.Withdrawn, withdrawnFromWire(w))
	}
	return out
}

func domainsToWire(ids []core.DomainID) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, string(id))
	}
	return out
}

func domainsFromWire(names []string) []core.DomainID {
	out := make([]core.DomainID, 0, len(names))
	for _, id := range names {
		out = append(out, core.DomainID(id))
	}
	return out
}

func keyFromWire(g grantJSON) (core.Key, error) {
	k := core.Key{Name: core.KeyID(g.Name), Workspace: core.WorkspaceID(g.Workspace)}
	raw, err := hex.DecodeString(g.Hash)
	if err != nil || len(raw) != len(k.Hash) {
		return k, codes.New(codes.ChangeInvalid, "admin: hash must be 64 hexadecimal digits")
	}
	copy(k.Hash[:], raw)
	return k, nil
}

func drainFromWire(d drainRequestJSON) (core.Drain, error) {
	out := core.Drain{Kind: core.DrainKind(d.Kind), Target: d.Target, Mode: core.DrainMode(d.Mode)}
	if d.Within == "" {
		return out, nil
	}
	within, err := time.ParseDuration(d.Within)
	out.Timeout = within
	return out, codes.Wrap(err, codes.ChangeInvalid, "admin: within is not a duration such as 250ms or 20s")
}
