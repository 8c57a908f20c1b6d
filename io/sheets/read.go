package sheets

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/sheet"
	"azurering/io/tomls"
)

// thousandths is the number of core's rate units in one request.
const thousandths = 1000

// maxDecimal bounds decimals of the file so that thousandths fit an int64.
const maxDecimal = 1e12

// reader maps the file to a sheet and collects the faults.
type reader struct {
	faults []string
}

// Parse parses and validates a sheet file. Its error carries SheetInvalid
// and lists all faults; syntax errors and unknown keys come with line and
// column.
func Parse(raw []byte) (core.Sheet, error) {
	var f file
	if err := tomls.Decode(raw, &f, codes.SheetInvalid); err != nil {
		return core.Sheet{}, err
	}
	r := &reader{}
	s := r.sheet(f)
	if len(r.faults) > 0 {
		return core.Sheet{}, codes.New(codes.SheetInvalid, "sheets: %d faults:\n%s", len(r.faults), strings.Join(r.faults, "\n"))
	}
	return s, sheet.Check(s)
}

func (r *reader) fault(format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func (r *reader) duration(what, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.fault("%s: %q is not a duration such as 250ms or 20s", what, text)
	}
	return d
}

func (r *reader) milli(what string, value float64) int64 {
	if math.IsNaN(value) || value < 0 || value > maxDecimal/thousandths {
		r.fault("%s: %v is out of range", what, value)
		return 0
	}
	return int64(math.Round(value * thousandths))
}

func (r *reader) sheet(f file) core.Sheet {
	s := core.Sheet{Name: f.Name}
	for _, v := range f.Region {
		s.Regions = append(s.Regions, readRegion(v))
	}
	for _, v := range f.Link {
		delay := r.duration("link "+v.From+" to "+v.To+": delay", v.Delay)
		s.Links = append(s.Links, core.Link{From: core.RegionID(v.From), To: core.RegionID(v.To), BandwidthMbps: v.Mbits, Delay: delay})
	}
	for _, v := range f.Service {
		s.Services = append(s.Services, r.service(v))
	}
	for _, v := range f.Server {
		s.Servers = append(s.Servers, core.Server{
			Name: core.ServerID(v.Name), Service: core.ServiceID(v.Service), Domain: core.DomainID(v.Domain),
			Address: v.Address, Slots: v.Slots, MaxConns: v.Conns,
		})
	}
	for _, v := range f.Workspace {
		s.Workspaces = append(s.Workspaces, core.Workspace{
			Name: core.WorkspaceID(v.Name),
			Rate: r.milli("workspace "+v.Name+": rate", v.Rate), Burst: r.milli("workspace "+v.Name+": burst", v.Burst),
		})
	}
	r.keysAndBlocks(f, &s)
	r.plans(f, &s)
	return s
}

func readRegion(v region) core.Region {
	out := core.Region{Name: core.RegionID(v.Name)}
	for _, d := range v.Domains {
		out.Domains = append(out.Domains, core.DomainID(d))
	}
	return out
}

func (r *reader) service(v service) core.Service {
	out := core.Service{Name: core.ServiceID(v.Name), SlowStart: r.duration("service "+v.Name+": warm", v.Warm)}
	for _, w := range v.Route {
		out.Routes = append(out.Routes, core.Route{
			Path: w.Path, Access: core.Access(w.Access), Kind: core.RouteKind(w.Kind), Class: core.Class(w.Class),
			Workspace: core.WorkspaceID(w.Workspace),
			Timeout:   r.duration("service "+v.Name+": route "+w.Path+": timeout", w.Timeout),
		})
	}
	return out
}

func (r *reader) keysAndBlocks(f file, s *core.Sheet) {
	for _, v := range f.Key {
		k := core.Key{Name: core.KeyID(v.Name), Workspace: core.WorkspaceID(v.Workspace)}
		raw, err := hex.DecodeString(v.Hash)
		if err != nil || len(raw) != len(k.Hash) {
			r.fault("key %s: hash must be 64 hexadecimal digits", v.Name)
		}
		copy(k.Hash[:], raw)
		s.Keys = append(s.Keys, k)
	}
	for _, v := range f.Block {
		prefix, err := netip.ParsePrefix(v.Prefix)
		if err != nil {
			r.fault("block %q is not an address prefix", v.Prefix)
		}
		s.Blocks = append(s.Blocks, core.AddressBlock{Prefix: prefix, Domain: core.DomainID(v.Domain)})
	}
}

func (r *reader) plans(f file, s *core.Sheet) {
	for _, v := range f.Shift {
		s.Shifts = append(s.Shifts, core.Shift{
			Name: v.Name, From: core.RegionID(v.From), To: core.RegionID(v.To),
			SharePerMille: int(r.milli("shift "+v.Name+": share", v.Share)), Cap: r.milli("shift "+v.Name+": cap", v.Cap),
		})
	}
	for _, v := range f.Drain {
		s.Drains = append(s.Drains, core.Drain{
			Kind: core.DrainKind(v.Kind), Target: v.Target, Mode: core.DrainMode(v.Mode),
			Timeout: r.duration("drain of "+v.Target+": within", v.Within),
		})
	}
}
