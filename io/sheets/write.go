package sheets

import (
	"encoding/hex"
	"time"

	"github.com/pelletier/go-toml/v2"

	"azurering/core"
	"azurering/core/codes"
)

// Format returns the file form of a sheet. Read gives the same sheet back.
func Format(s core.Sheet) ([]byte, error) {
	f := file{Name: s.Name}
	for _, v := range s.Regions {
		f.Region = append(f.Region, writeRegion(v))
	}
	for _, v := range s.Links {
		f.Link = append(f.Link, link{From: string(v.From), To: string(v.To), Mbits: v.BandwidthMbps, Delay: v.Delay.String()})
	}
	for _, v := range s.Services {
		f.Service = append(f.Service, writeService(v))
	}
	for _, v := range s.Servers {
		f.Server = append(f.Server, server{
			Name: string(v.Name), Service: string(v.Service), Domain: string(v.Domain),
			Address: v.Address, Slots: v.Slots, Conns: v.MaxConns,
		})
	}
	for _, v := range s.Workspaces {
		f.Workspace = append(f.Workspace, workspace{Name: string(v.Name), Rate: decimal(v.Rate), Burst: decimal(v.Burst)})
	}
	for _, v := range s.Keys {
		f.Key = append(f.Key, key{Name: string(v.Name), Workspace: string(v.Workspace), Hash: hex.EncodeToString(v.Hash[:])})
	}
	for _, v := range s.Blocks {
		f.Block = append(f.Block, block{Prefix: v.Prefix.String(), Domain: string(v.Domain)})
	}
	for _, v := range s.Shifts {
		f.Shift = append(f.Shift, shift{
			Name: v.Name, From: string(v.From), To: string(v.To), Share: decimal(int64(v.SharePerMille)), Cap: decimal(v.Cap),
		})
	}
	for _, v := range s.Drains {
		f.Drain = append(f.Drain, drain{Kind: string(v.Kind), Target: v.Target, Mode: string(v.Mode), Within: durationText(v.Timeout)})
	}
	raw, err := toml.Marshal(f)
	return raw, codes.Wrap(err, codes.Internal, "sheets: sheet cannot be written")
}

func writeRegion(v core.Region) region {
	out := region{Name: string(v.Name)}
	for _, d := range v.Domains {
		out.Domains = append(out.Domains, string(d))
	}
	return out
}

func writeService(v core.Service) service {
	out := service{Name: string(v.Name), Warm: durationText(v.SlowStart)}
	for _, w := range v.Routes {
		out.Route = append(out.Route, route{
			Path: w.Path, Access: string(w.Access), Kind: string(w.Kind), Class: string(w.Class),
			Workspace: string(w.Workspace), Timeout: durationText(w.Timeout),
		})
	}
	return out
}

func decimal(milli int64) float64 { return float64(milli) / thousandths }

func durationText(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
