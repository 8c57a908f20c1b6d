package wire

import (
	"time"

	"github.com/pkg/errors"

	"azurering/core"
)

type hostWire struct {
	_           struct{} `cbor:",toarray"`
	Name        core.HostID
	Domain      core.DomainID
	Incarnation uint64
	Caller      string
	Peer        string
	State       uint64
}

type ageWire struct {
	_      struct{} `cbor:",toarray"`
	Domain core.DomainID
	Age    time.Duration
}

type loadWire struct {
	_      struct{} `cbor:",toarray"`
	Domain core.DomainID
	Free   int64
	Total  int64
}

type suspicionWire struct {
	_           struct{} `cbor:",toarray"`
	Host        core.HostID
	Incarnation uint64
	By          core.HostID
}

type probedWire struct {
	_       struct{} `cbor:",toarray"`
	Server  core.ServerID
	Age     time.Duration
	Failed  bool
	Ready   bool
	Leaving bool
	Load    float64
}

type drainCountWire struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint64
	Target   string
	InFlight int64
	Age      time.Duration
}

type heartbeatWire struct {
	_         struct{} `cbor:",toarray"`
	Host      hostWire
	Members   []hostWire
	Suspects  []suspicionWire
	Joining   bool
	Logged    uint64
	Version   uint64
	Withdrawn uint64
	StoreAge  time.Duration
	StoreSeen bool
	Ages      []ageWire
	Loads     []loadWire
	Probes    []probedWire
	Drains    []drainCountWire
}

func packHost(h core.Host) (hostWire, error) {
	state, err := hostStates.requiredNumber(string(h.State))
	return hostWire{
		Name: h.Name, Domain: h.Domain, Incarnation: h.Incarnation,
		Caller: h.CallerAddress, Peer: h.PeerAddress, State: state,
	}, err
}

func (w hostWire) host() (core.Host, error) {
	state, err := hostStates.requiredValue(w.State)
	return core.Host{
		Name: w.Name, Domain: w.Domain, Incarnation: w.Incarnation,
		CallerAddress: w.Caller, PeerAddress: w.Peer, State: core.HostState(state),
	}, err
}

func packHeartbeat(m core.Heartbeat) (body, error) {
	host, err := packHost(m.Host)
	if err != nil {
		return nil, err
	}
	w := &heartbeatWire{
		Host: host, Version: m.ConfigVersion, Withdrawn: m.WithdrawalDigest,
		StoreAge: m.EvidenceAge, StoreSeen: m.EvidenceFresh, Joining: m.Joining, Logged: m.WithdrawalRows,
	}
	for _, s := range m.Suspects {
		w.Suspects = append(w.Suspects, suspicionWire{Host: s.Host, Incarnation: s.Incarnation, By: s.Reporter})
	}
	for _, h := range m.Members {
		member, err := packHost(h)
		if err != nil {
			return nil, err
		}
		w.Members = append(w.Members, member)
	}
	for _, a := range m.DomainAges {
		w.Ages = append(w.Ages, ageWire{Domain: a.Domain, Age: a.Age})
	}
	for _, l := range m.Loads {
		w.Loads = append(w.Loads, loadWire{Domain: l.Domain, Free: l.Free, Total: l.Total})
	}
	for _, p := range m.ProbeResults {
		w.Probes = append(w.Probes, probedWire{
			Server: p.Server, Age: p.Age, Failed: p.Failed,
			Ready: p.Health.Ready, Leaving: p.Health.Leaving, Load: p.Health.Load,
		})
	}
	for _, d := range m.DrainProgress {
		kind, err := drainKinds.requiredNumber(string(d.Kind))
		if err != nil {
			return nil, err
		}
		w.Drains = append(w.Drains, drainCountWire{Kind: kind, Target: d.Target, InFlight: d.InFlight, Age: d.Age})
	}
	return w, w.check()
}

func (w *heartbeatWire) check() error {
	if err := notNegative("store age", w.StoreAge); err != nil {
		return err
	}
	for _, a := range w.Ages {
		if err := notNegative("age", a.Age); err != nil {
			return err
		}
	}
	for _, p := range w.Probes {
		if err := notNegative("probe age", p.Age); err != nil {
			return err
		}
		if !(p.Load >= -1 && p.Load <= 1) {
			return errors.Errorf("load %v of a probe is not between -1 and 1", p.Load)
		}
	}
	for _, d := range w.Drains {
		if err := notNegative("drain age", d.Age); err != nil {
			return err
		}
	}
	return nil
}

func (w *heartbeatWire) message() (core.Message, error) {
	if err := w.check(); err != nil {
		return nil, err
	}
	host, err := w.Host.host()
	if err != nil {
		return nil, err
	}
	m := core.Heartbeat{
		Host: host, ConfigVersion: w.Version, WithdrawalDigest: w.Withdrawn,
		EvidenceAge: w.StoreAge, EvidenceFresh: w.StoreSeen, Joining: w.Joining, WithdrawalRows: w.Logged,
	}
	for _, s := range w.Suspects {
		m.Suspects = append(m.Suspects, core.Suspicion{Host: s.Host, Incarnation: s.Incarnation, Reporter: s.By})
	}
	for _, h := range w.Members {
		member, err := h.host()
		if err != nil {
			return nil, err
		}
		m.Members = append(m.Members, member)
	}
	for _, a := range w.Ages {
		m.DomainAges = append(m.DomainAges, core.EvidenceAge{Domain: a.Domain, Age: a.Age})
	}
	for _, l := range w.Loads {
		m.Loads = append(m.Loads, core.DomainLoad{Domain: l.Domain, Free: l.Free, Total: l.Total})
	}
	for _, p := range w.Probes {
		m.ProbeResults = append(m.ProbeResults, core.ProbeResult{
			Server: p.Server, Age: p.Age, Failed: p.Failed,
			Health: core.Health{Ready: p.Ready, Leaving: p.Leaving, Load: p.Load},
		})
	}
	for _, d := range w.Drains {
		kind, err := drainKinds.requiredValue(d.Kind)
		if err != nil {
			return nil, err
		}
		m.DrainProgress = append(m.DrainProgress, core.DrainProgress{Kind: core.DrainKind(kind), Target: d.Target, InFlight: d.InFlight, Age: d.Age})
	}
	return m, nil
}
