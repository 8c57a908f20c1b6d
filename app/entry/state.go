package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"

	"azurering/core"
	"azurering/core/config"
	"azurering/core/keys"
	"azurering/core/member"
	"azurering/core/seats"
	"azurering/core/sheet"
	"azurering/io/setup"
	"azurering/io/wire"
)

const (
	pollPeriod = time.Second
	seatPeriod = 500 * time.Millisecond
	keyPeriod  = time.Second
	// sweepPeriod bounds how long a stream goes on after its host lost its
	// freshness.
	sweepPeriod = 200 * time.Millisecond
	// remoteHosts is the number of hosts of another domain that may be asked
	// for the holder of its seat.
	remoteHosts = 3
)

var stateModule = fx.Module("state",
	fx.Provide(newHub, newState),
	fx.Invoke(runState),
)

// hub tells parts of each new configuration, in order of version.
type hub struct {
	mu   sync.Mutex
	subs []func(config.State)
}

func newHub() *hub { return &hub{} }

func (h *hub) subscribe(f func(config.State)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subs = append(h.subs, f)
}

func (h *hub) publish(s config.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.subs {
		f(s)
	}
}

// state joins the parts that know what is in force on this host.
type state struct {
	Log      *config.Log
	Evidence *seats.Evidence
	Seat     *seats.Seat
	Keys     *keys.Keys
	releases chan releaseRequest
}

// releaseRequest asks the seat's goroutine to give the seat up.
type releaseRequest struct {
	ctx  context.Context
	done chan error
}

type stateDeps struct {
	fx.In
	Settings setup.Settings
	Self     self
	Table    core.Table
	Objects  core.ObjectStore
	Peers    core.Peers
	Timer    core.Timer
	Group    *member.View
	Hub      *hub
	Guard    guard
}

// guard refuses changes that would leave too little capacity.
type guard func(core.Sheet, core.Change) error

func newState(d stateDeps) (*state, error) {
	s := &state{releases: make(chan releaseRequest)}
	neighbours := func() []core.HostID { return names(d.Group.Neighbours(d.Group.Self())) }
	s.Log = config.New(config.Config{
		Table: d.Table, Objects: d.Objects, Codec: wire.Codec{}, Peers: d.Peers,
		PushTargets: neighbours, OnApply: d.Hub.publish, AdmitChange: d.Guard,
	})
	s.Evidence = seats.NewEvidence(seats.EvidenceConfig{
		Timer: d.Timer, FreshnessBound: d.Settings.Freshness, Domains: s.domains, HasApplied: s.covers, AppliedState: s.inForce,
	})
	var err error
	s.Seat, err = seats.New(seats.Config{
		Host: core.Host(d.Self), Table: d.Table, Peers: d.Peers, Timer: d.Timer, Evidence: s.Evidence,
		LocalHosts:  func() []core.Host { return d.Group.Live(d.Settings.Domain) },
		RemoteHosts: func(domain core.DomainID) []core.Host { return firstHosts(d.Group.Live(domain), remoteHosts) },
		Domains:     s.domains, CatchUp: s.catchUp,
	})
	if err != nil {
		return nil, err
	}
	s.Keys, err = keys.New(keys.Config{
		Host: core.Host(d.Self), Table: d.Table, Peers: d.Peers, Timer: d.Timer, Seat: s.Seat, Evidence: s.Evidence,
		Domains: s.domains, Neighbours: neighbours,
	})
	if err != nil {
		return nil, err
	}
	d.Hub.subscribe(func(c config.State) { s.Keys.SetKeys(c.Sheet.Keys) })
	return s, nil
}

func firstHosts(hosts []core.Host, n int) []core.Host { return hosts[:min(n, len(hosts))] }

func (s *state) domains() []core.DomainID { return sheet.Domains(s.Log.Current().Sheet) }

// covers reports whether this host has applied all that a host with the
// given version and withdrawal digest has applied.
func (s *state) covers(version, withdrawn uint64) bool {
	return s.Log.Current().Version >= version && s.Keys.ContainsSet(withdrawn)
}

func (s *state) inForce() (version, withdrawn uint64) {
	return s.Log.Current().Version, s.Keys.Digest()
}

// catchUp pulls what a peer has and this host lacks.
func (s *state) catchUp(ctx context.Context, from core.HostID, version, withdrawn uint64) error {
	s.Log.ObserveVersion(version)
	if s.Log.Current().Version < version {
		if err := s.Log.Pull(ctx, from); err != nil {
			return err
		}
	}
	if s.Keys.ContainsSet(withdrawn) {
		return nil
	}
	return s.Keys.Pull(ctx, from)
}

// poll reads the configuration from the store if this host is a reader of
// its domain, and records the read as evidence.
func (s *state) poll(ctx context.Context, t core.Timer) error {
	if !s.Seat.ShouldPoll() {
		return nil
	}
	started := t.Now()
	if err := s.Log.Poll(ctx); err != nil {
		return err
	}
	s.Evidence.RecordStoreRead(core.SpaceConfig, started)
	return nil
}

func runState(d *duties, s *state, t core.Timer) {
	d.every("config", pollPeriod, func(ctx context.Context) error { return s.poll(ctx, t) })
	d.add(s.Log.RunPush)
	d.add(func(ctx context.Context) { s.runSeat(ctx, t) })
	d.add(func(ctx context.Context) { runKeys(ctx, s.Keys, t) })
	d.every("sweep", sweepPeriod, func(context.Context) error {
		s.Keys.EndStaleWatches()
		return nil
	})
}

// runSeat ticks the seat and gives it up when asked to; both happen in this
// goroutine only.
func (s *state) runSeat(ctx context.Context, t core.Timer) {
	ticks := t.NewTicker("seat", seatPeriod)
	defer ticks.Stop()
	for {
		// The next tick tries again; the acting gauge shows failures.
		_ = s.Seat.Tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		case r := <-s.releases:
			r.done <- s.Seat.Release(r.ctx)
		}
	}
}

// release gives the seat up if this host holds it.
func (s *state) release(ctx context.Context) error {
	r := releaseRequest{ctx: ctx, done: make(chan error, 1)}
	select {
	case s.releases <- r:
		return <-r.done
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runKeys ticks the keys once a second and at once when there is a
// withdrawal to forward.
func runKeys(ctx context.Context, k *keys.Keys, t core.Timer) {
	ticks := t.NewTicker("keys", keyPeriod)
	defer ticks.Stop()
	for {
		// The next tick tries again; the age of the evidence shows failures.
		_ = k.Tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		case <-k.Wake():
		}
	}
}
