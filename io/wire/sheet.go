package wire

import (
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// sheetFormat is the version of the format of a stored sheet.
const sheetFormat = 1

// maxSheet bounds a stored sheet in bytes, so that its object always fits
// into one ObjectBody message.
const maxSheet = MaxFrameSize - kib

type regionWire struct {
	_       struct{} `cbor:",toarray"`
	Name    core.RegionID
	Domains []core.DomainID
}

type linkWire struct {
	_     struct{} `cbor:",toarray"`
	From  core.RegionID
	To    core.RegionID
	Mbits int64
	Delay time.Duration
}

type routeWire struct {
	_         struct{} `cbor:",toarray"`
	Path      string
	Access    uint64
	Kind      uint64
	Class     uint64
	Workspace core.WorkspaceID
	Timeout   time.Duration
}

type serviceWire struct {
	_      struct{} `cbor:",toarray"`
	Name   core.ServiceID
	Routes []routeWire
	Warm   time.Duration
}

type serverWire struct {
	_       struct{} `cbor:",toarray"`
	Name    core.ServerID
	Service core.ServiceID
	Domain  core.DomainID
	Address string
	Slots   int
	Conns   int
}

type sheetWire struct {
	_          struct{} `cbor:",toarray"`
	Format     uint64
	Name       string
	Regions    []regionWire
	Links      []linkWire
	Services   []serviceWire
	Servers    []serverWire
	Workspaces []workspaceWire
	Keys       []keyWire
	Shifts     []shiftWire
	Drains     []drainWire
	Blocks     blocksWire
}

// EncodeSheet returns the stored form of a sheet. Equal sheets give equal
// bytes. Errors carry SheetInvalid: an unknown value of an enumeration, or
// a block whose prefix is not valid or has bits set behind its length.
func EncodeSheet(s core.Sheet) ([]byte, error) {
	w, err := packSheet(s)
	if err != nil {
		return nil, codes.Wrap(err, codes.SheetInvalid, "wire: cannot encode sheet")
	}
	b, err := encoding.Marshal(w)
	if err != nil {
		return nil, codes.Wrap(err, codes.SheetInvalid, "wire: cannot encode sheet")
	}
	if len(b) > maxSheet {
		return nil, codes.New(codes.SheetInvalid, "wire: sheet of %d bytes is over the bound of %d", len(b), maxSheet)
	}
	return b, nil
}

// DecodeSheet returns the sheet of a stored form. Errors carry
// SheetInvalid. It checks the form only; package sheet checks the meaning.
func DecodeSheet(b []byte) (core.Sheet, error) {
	if len(b) > maxSheet {
		return core.Sheet{}, codes.New(codes.SheetInvalid, "wire: sheet of %d bytes is over the bound of %d", len(b), maxSheet)
	}
	var w sheetWire
	if err := many.Unmarshal(b, &w); err != nil {
		return core.Sheet{}, codes.Wrap(err, codes.SheetInvalid, "wire: malformed sheet")
	}
	if w.Format != sheetFormat {
		return core.Sheet{}, codes.New(codes.SheetInvalid, "wire: sheet format %d is not %d", w.Format, sheetFormat)
	}
	s, err := w.sheet()
	if err != nil {
		return core.Sheet{}, codes.Wrap(err, codes.SheetInvalid, "wire: malformed sheet")
	}
	return s, nil
}

func packSheet(s core.Sheet) (*sheetWire, error) {
	w := &sheetWire{Format: sheetFormat, Name: s.Name}
	for _, r := range s.Regions {
		w.Regions = append(w.Regions, regionWire{Name: r.Name, Domains: r.Domains})
	}
	for _, l := range s.Links {
		w.Links = append(w.Links, linkWire{From: l.From, To: l.To, Mbits: l.BandwidthMbps, Delay: l.Delay})
	}
	for _, v := range s.Servers {
		w.Servers = append(w.Servers, serverWire{
			Name: v.Name, Service: v.Service, Domain: v.Domain,
			Address: v.Address, Slots: v.Slots, Conns: v.MaxConns,
		})
	}
	for _, p := range s.Workspaces {
		w.Workspaces = append(w.Workspaces, packWorkspace(p))
	}
	for _, k := range s.Keys {
		w.Keys = append(w.Keys, packKey(k))
	}
	for _, h := range s.Shifts {
		w.Shifts = append(w.Shifts, packShift(h))
	}
	return w, w.packChecked(s)
}

// packChecked packs the parts that can be refused.
func (w *sheetWire) packChecked(s core.Sheet) error {
	for _, v := range s.Services {
		service, err := packService(v)
		if err != nil {
			return err
		}
		w.Services = append(w.Services, service)
	}
	for _, d := range s.Drains {
		drain, err := packDrain(d)
		if err != nil {
			return err
		}
		w.Drains = append(w.Drains, drain)
	}
	var err error
	w.Blocks, err = packBlocks(s.Blocks)
	return err
}

func (w *sheetWire) sheet() (core.Sheet, error) {
	s := core.Sheet{Name: w.Name}
	for _, r := range w.Regions {
		region := core.Region{Name: r.Name}
		region.Domains = append(region.Domains, r.Domains...)
		s.Regions = append(s.Regions, region)
	}
	for _, l := range w.Links {
		s.Links = append(s.Links, core.Link{From: l.From, To: l.To, BandwidthMbps: l.Mbits, Delay: l.Delay})
	}
	for _, v := range w.Servers {
		s.Servers = append(s.Servers, core.Server{
			Name: v.Name, Service: v.Service, Domain: v.Domain,
			Address: v.Address, Slots: v.Slots, MaxConns: v.Conns,
		})
	}
	for _, p := range w.Workspaces {
		s.Workspaces = append(s.Workspaces, p.workspace())
	}
	for _, h := range w.Shifts {
		s.Shifts = append(s.Shifts, h.shift())
	}
	return s, w.unpackChecked(&s)
}

// unpackChecked unpacks the parts that can be refused.
func (w *sheetWire) unpackChecked(s *core.Sheet) error {
	for _, v := range w.Services {
		service, err := v.service()
		if err != nil {
			return err
		}
		s.Services = append(s.Services, service)
	}
	for _, k := range w.Keys {
		key, err := k.key()
		if err != nil {
			return err
		}
		s.Keys = append(s.Keys, key)
	}
	for _, d := range w.Drains {
		drain, err := d.drain()
		if err != nil {
			return err
		}
		s.Drains = append(s.Drains, drain)
	}
	var err error
	s.Blocks, err = w.Blocks.blocks()
	return err
}

func packService(s core.Service) (serviceWire, error) {
	w := serviceWire{Name: s.Name, Warm: s.SlowStart}
	for _, r := range s.Routes {
		access, err := accesses.number(string(r.Access))
		if err != nil {
			return w, err
		}
		kind, err := routeKinds.number(string(r.Kind))
		if err != nil {
			return w, err
		}
		class, err := classes.number(string(r.Class))
		if err != nil {
			return w, err
		}
		w.Routes = append(w.Routes, routeWire{
			Path: r.Path, Access: access, Kind: kind, Class: class,
			Workspace: r.Workspace, Timeout: r.Timeout,
		})
	}
	return w, nil
}

func (w serviceWire) service() (core.Service, error) {
	s := core.Service{Name: w.Name, SlowStart: w.Warm}
	for _, r := range w.Routes {
		access, err := accesses.value(r.Access)
		if err != nil {
			return s, err
		}
		kind, err := routeKinds.value(r.Kind)
		if err != nil {
			return s, err
		}
		class, err := classes.value(r.Class)
		if err != nil {
			return s, err
		}
		s.Routes = append(s.Routes, core.Route{
			Path: r.Path, Access: core.Access(access), Kind: core.RouteKind(kind),
			Class: core.Class(class), Workspace: r.Workspace, Timeout: r.Timeout,
		})
	}
	return s, nil
}
