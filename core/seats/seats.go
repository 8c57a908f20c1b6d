// Package seats keeps the seat of each failure domain: who holds it, whether
// the holder may act, takeover and release. It also keeps the evidence that
// a host is fresh, and answers the attest and seat-promise messages.
package seats

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
)

// DefaultFreshnessBound is the default freshness bound.
const DefaultFreshnessBound = 4 * time.Second

// maxCandidates is the number of candidates that a row names at most,
// including the holder.
const maxCandidates = 3

// Config configures a Seat. Host, Table, Peers, Timer, Evidence and the
// functions Hosts, Domains and Remote are required.
type Config struct {
	Host     core.Host // the own host; its domain is the domain of the seat
	Table    core.Table
	Peers    core.Peers
	Timer    core.Timer
	Evidence *Evidence
	// LocalHosts returns the live hosts of the own domain as membership sees
	// them. Whether it includes the own host does not matter.
	LocalHosts func() []core.Host
	// RemoteHosts returns some live hosts of another domain, best first.
	RemoteHosts func(core.DomainID) []core.Host
	// Domains returns the failure domains of the configuration in force.
	Domains func() []core.DomainID
	// CatchUp pulls the configuration and the withdrawals that a peer has
	// and this host lacks. Nil means that nothing is pulled.
	CatchUp func(ctx context.Context, from core.HostID, version, withdrawn uint64) error
	// Decommissioned reports that a host has ended for good, as an operator or the
	// platform asserts, for example by a stop in the configuration. If all
	// hosts that a row names are gone, any host of the domain may take the
	// seat. Nil means never. A wrong answer allows two acting holders.
	Decommissioned func(core.HostID) bool
	// CallTimeout bounds each call to the table; calls to peers get half of
	// it. Zero means a quarter of the bound. A tick of a holder whose calls
	// all hang takes at most two and a half times as long, so that it still
	// renews its promises within the bound.
	CallTimeout time.Duration
	// MaxConcurrentCalls is the number of peer calls under way at once. Zero means 64;
	// with 1 all calls run in the goroutine that calls Tick.
	MaxConcurrentCalls int
}

// Seat is one host's part in the seat of its failure domain. Tick and
// Release are called from one goroutine; the other methods are safe for
// concurrent use.
type Seat struct {
	cfg   Config
	bound time.Duration
	run   string

	mu sync.Mutex
	// row is the row as last read or written by this run; read is set once
	// that has happened.
	row  row
	read bool
	// hint is what peers said about the own seat; it may be newer than row.
	hint    View
	holding bool
	readAt  time.Duration // start of the last read that named this run
	takenAt time.Duration // local time after the takeover was committed
	waitEnd time.Duration // earliest time to act
	loaded  bool          // the store was read after takenAt
	left    bool          // Release was called
	pending *attempt
	// promised holds, per candidate, when the last question was sent that
	// it answered with a promise.
	promised map[core.HostID]time.Duration
	alarm    bool // a message asks for a read of the row at the next tick
	remote   map[core.DomainID]core.HostID

	// The fields below belong to the goroutine of Tick.
	lastTick time.Duration
	goodAt   time.Duration // when the holder was last known to act, or will
	freeAt   time.Duration // when the seat was first seen without a holder
	goodFor  uint64        // epoch for which goodAt and freeAt count
	free     bool
	near     bool          // this host watches the holder, because it may take the seat
	nearAt   time.Duration // when a host of the row last answered
	due      map[string]time.Duration
	backoff  time.Duration
	turn     int
}

// New returns a Seat and sets the handlers of attest and seat-promise. Its
// error carries SettingsInvalid.
func New(cfg Config) (*Seat, error) {
	if cfg.Host.Name == "" || cfg.Host.Domain == "" {
		return nil, codes.New(codes.SettingsInvalid, "seats: own host lacks a name or a domain")
	}
	if cfg.Table == nil || cfg.Peers == nil || cfg.Timer == nil || cfg.Evidence == nil {
		return nil, codes.New(codes.SettingsInvalid, "seats: table, peers, timer and evidence are required")
	}
	if cfg.LocalHosts == nil || cfg.Domains == nil || cfg.RemoteHosts == nil {
		return nil, codes.New(codes.SettingsInvalid, "seats: functions Hosts, Domains and Remote are required")
	}
	s := &Seat{
		cfg:      cfg,
		bound:    cfg.Evidence.Bound(),
		run:      uuid.NewString(),
		readAt:   none,
		promised: make(map[core.HostID]time.Duration),
		remote:   make(map[core.DomainID]core.HostID),
		due:      make(map[string]time.Duration),
		lastTick: cfg.Timer.Now(),
		goodAt:   cfg.Timer.Now(),
		freeAt:   cfg.Timer.Now(),
		nearAt:   cfg.Timer.Now(),
		free:     true,
	}
	s.row.Domain = cfg.Host.Domain
	if s.cfg.CallTimeout == 0 {
		s.cfg.CallTimeout = s.bound / 4
	}
	if s.cfg.MaxConcurrentCalls == 0 {
		s.cfg.MaxConcurrentCalls = 64
	}
	cfg.Peers.Handle(core.KindAttest, s.onAttest)
	cfg.Peers.Handle(core.KindSeatPromise, s.onPromise)
	return s, nil
}

// period is the time between two reads of the row by the holder and between
// two checks of the holder by a candidate: 1 s at the default bound.
func (s *Seat) period() time.Duration { return s.bound / 4 }

// wait is the time after a takeover until every earlier holder has stopped
// acting: the bound plus 10% for clock drift.
func (s *Seat) wait() time.Duration { return s.bound + s.bound/10 }

// Acting returns the epoch of the seat and whether this host has the right
// to act in it now.
func (s *Seat) Acting() (uint64, bool) {
	stored, ok := s.cfg.Evidence.StoreReadAt()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holding || s.left {
		return s.row.Epoch, false
	}
	// An attestation by a later holder is worth its place in a majority only
	// if that holder has read the withdrawals after its takeover.
	s.loaded = s.loaded || (ok && stored >= s.takenAt)
	now := s.cfg.Timer.Now()
	if !s.loaded || now < s.waitEnd {
		return s.row.Epoch, false
	}
	byRead := s.readAt != none && now-s.readAt < s.bound
	return s.row.Epoch, byRead || s.promisedAll(now)
}

// promisedAll reports whether every other candidate has promised, within
// the bound, not to take the seat. While a change of the candidates has an
// unknown outcome, it must hold for both forms of the row.
func (s *Seat) promisedAll(now time.Duration) bool {
	if !s.promisedBy(s.row, now) {
		return false
	}
	return s.pending == nil || s.promisedBy(s.pending.row, now)
}

func (s *Seat) promisedBy(r row, now time.Duration) bool {
	others := r.others(s.cfg.Host.Name)
	for _, c := range others {
		at, ok := s.promised[c]
		if !ok || now-at >= s.bound {
			return false
		}
	}
	return len(others) > 0
}

// Holder returns the holder of the own seat and its epoch as far as this
// host knows. The holder is empty while nobody is known to hold the seat.
func (s *Seat) Holder() (core.HostID, uint64) {
	v := s.View()
	return v.Holder, v.Epoch
}

// View returns the newest that this host knows about the own seat.
func (s *Seat) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view()
}

func (s *Seat) view() View {
	if !s.holding && s.hint.Epoch > 0 && s.hint.Epoch >= s.row.Epoch {
		return s.hint
	}
	return s.row.View
}

// ExclusiveFrom returns the local time by which every earlier holder has stopped
// acting. It counts only while this host holds the seat.
func (s *Seat) ExclusiveFrom() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waitEnd
}

// Fence returns a check of the seat row for commits of the acting holder: a
// commit that contains it takes effect only while the row is as this host
// knows it. It reports false if this host does not hold the seat.
func (s *Seat) Fence() (core.Write, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holding || s.left {
		return core.Write{}, false
	}
	return core.Write{
		Kind: core.WriteCheck, Space: core.SpaceSeat, Key: string(s.cfg.Host.Domain),
		ExpectVersion: s.row.version, ExpectToken: s.row.token,
	}, true
}

// ShouldPoll reports whether this host should poll the table for configuration
// and withdrawals: the holder and one live candidate do, so that a domain
// has two readers. If no candidate is live, the first two live hosts do.
func (s *Seat) ShouldPoll() bool {
	v := s.View()
	live := s.live()
	self := s.cfg.Host.Name
	var readers []core.HostID
	if live[v.Holder] {
		readers = append(readers, v.Holder)
	}
	for _, c := range v.Candidates {
		if c != v.Holder && live[c] {
			readers = append(readers, c)
		}
	}
	if len(readers) == 0 {
		return s.rank() < 2
	}
	return readers[0] == self || (len(readers) > 1 && readers[1] == self)
}

// live returns the live hosts of the own domain, including the own host.
func (s *Seat) live() map[core.HostID]bool {
	live := map[core.HostID]bool{s.cfg.Host.Name: true}
	for _, h := range s.cfg.LocalHosts() {
		if h.State == "" || h.State == core.HostLive {
			live[h.Name] = true
		}
	}
	return live
}

// rank is the number of live hosts of the domain with a smaller name.
func (s *Seat) rank() int {
	n := 0
	for h := range s.live() {
		if h < s.cfg.Host.Name {
			n++
		}
	}
	return n
}

// Tick does one round of work. Each call to the table or a peer has its own
// deadline. The error is for the log only; the next tick tries again.
func (s *Seat) Tick(ctx context.Context) error {
	now := s.cfg.Timer.Now()
	if now-s.lastTick > s.period()+time.Second {
		// This host was paused, so silence in that time says nothing about
		// the holder.
		s.goodAt = max(s.goodAt, now)
	}
	s.lastTick = now
	if s.hasLeft() {
		return nil
	}
	seatErr := s.work(ctx)
	if err := s.refresh(ctx); err != nil {
		return err
	}
	return seatErr
}

func (s *Seat) hasLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

func (s *Seat) work(ctx context.Context) error {
	var err error
	if s.unresolved() {
		err = s.resolve(ctx)
	}
	if s.isHolding() {
		return s.hold(ctx, err)
	}
	if err != nil {
		return err
	}
	return s.follow(ctx)
}

func (s *Seat) isHolding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holding
}

// every reports whether a duty is due and, if so, notes it as done now.
func (s *Seat) every(duty string, period time.Duration) bool {
	now := s.cfg.Timer.Now()
	if at, ok := s.due[duty]; ok && now < at {
		return false
	}
	// A caller's tick may come slightly early; a tenth of the period of
	// slack keeps the duty from skipping every other tick.
	s.due[duty] = now + period - period/10
	return true
}

// getRow reads the seat row and takes over what it says.
func (s *Seat) getRow(ctx context.Context) (row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	started := s.cfg.Timer.Now()
	raw, err := s.cfg.Table.Get(ctx, core.SpaceSeat, string(s.cfg.Host.Domain))
	if err != nil {
		return row{}, errors.Wrap(err, "seats: seat row cannot be read")
	}
	r, err := decodeRow(raw)
	if err != nil {
		return row{}, err
	}
	s.saw(r, started)
	return r, nil
}

// saw takes over a row that was read by a read started at the given time.
func (s *Seat) saw(r row, started time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read, s.alarm = true, false
	if p := s.pending; p != nil {
		if r.token == p.token {
			s.land(started)
		} else if r.version > p.expect {
			// Another write has replaced the version that the attempt
			// expects, so it can never take effect.
			s.pending = nil
		}
	}
	s.row = r
	if s.hint.Epoch <= r.Epoch {
		s.hint = View{} // the row is newer
	}
	if s.holding && r.run == s.run {
		s.readAt = max(s.readAt, started)
		return
	}
	s.holding = false
}
