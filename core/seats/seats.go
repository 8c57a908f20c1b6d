// Package seats implements the seat of each failure domain: a leadership lease
// under which at most one host, the holder, may act at a time. It covers
// takeover, renewal and release of the seat. A holder renews its right to act
// by reading its row in the table or, while the table is down, by promises of
// all other candidates.
//
// The package also keeps a host's freshness evidence, which bounds how old its
// configuration and withdrawals are, and handles the messages attest and
// seat-promise. Package keys and entry hosts use it.
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

// DefaultFreshnessBound is the default freshness bound: the age up to which evidence
// proves that a host is fresh.
const DefaultFreshnessBound = 4 * time.Second

// maxCandidates is the maximum number of candidates in a row, including the
// holder.
const maxCandidates = 3

// Config configures a Seat. CatchUp, Decommissioned, CallTimeout and
// MaxConcurrentCalls are optional.
type Config struct {
	Host     core.Host // own host; its domain is the domain of the seat
	Table    core.Table
	Peers    core.Peers
	Timer    core.Timer
	Evidence *Evidence
	// LocalHosts returns the live hosts of the own domain according to membership,
	// with or without the own host.
	LocalHosts func() []core.Host
	// RemoteHosts returns live hosts of another domain, the preferred ones first.
	RemoteHosts func(core.DomainID) []core.Host
	// Domains returns the failure domains of the active configuration.
	Domains func() []core.DomainID
	// CatchUp pulls from a peer the configuration, up to the given version, and
	// the withdrawals, with the given digest, that this host lacks. If it is nil,
	// an answer of a host that is ahead is not used as evidence.
	CatchUp func(ctx context.Context, from core.HostID, version, withdrawn uint64) error
	// Decommissioned reports whether a host has stopped for good, as stated by an operator
	// or the platform, for example by a stop in the configuration. If all hosts
	// that a row names are decommissioned, any host of the domain may take the
	// seat. If it is nil, no host counts as decommissioned. If it reports a
	// running host as decommissioned, two holders may act at once.
	Decommissioned func(core.HostID) bool
	// CallTimeout bounds each call to the table; calls to peers get half of it.
	// Zero means a quarter of the freshness bound. If all calls hang, a tick of
	// the holder takes at most 2.5 times CallTimeout, so the holder still renews
	// its promises within the bound.
	CallTimeout time.Duration
	// MaxConcurrentCalls is the maximum number of concurrent calls to peers. Zero means 64;
	// with 1 all calls run in the goroutine that calls Tick.
	MaxConcurrentCalls int
}

// Seat takes part in the election for the seat of the own failure domain, as
// holder, candidate or other host. Tick and Release must be called from one
// goroutine; all other methods are safe for concurrent use.
type Seat struct {
	cfg   Config
	bound time.Duration
	runID string

	mu sync.Mutex
	// row is the seat row that this run last read or wrote; hasRow is set once it
	// has done so.
	row    row
	hasRow bool
	// peerView is the state of the own seat according to peers. It may be newer
	// than row.
	peerView      View
	holding       bool
	confirmedAt   time.Duration // start of the last read or write that showed this run as the holder
	takenAt       time.Duration // local time when the takeover was known to be committed
	waitEnd       time.Duration // earliest local time to act
	readAfterTake bool          // configuration and withdrawals were read after takenAt
	released      bool          // Release was called
	// pending is a write of the row whose outcome is not known yet.
	pending *rowWrite
	// promisedAt holds, per candidate, the local time at which the last request
	// was sent that it answered with a promise.
	promisedAt map[core.HostID]time.Duration
	rereadRow  bool // the next tick reads the row, because a message implied that it changed
	// remoteHolders holds the last known holders of other domains' seats.
	remoteHolders map[core.DomainID]core.HostID

	// The fields below are used only by the goroutine that calls Tick, except
	// rotation, which mu guards.
	lastTick      time.Duration
	activeAt      time.Duration // when the holder last acted or, after a takeover, will act
	vacantAt      time.Duration // when the seat was first seen without a holder
	trackedEpoch  uint64        // epoch that activeAt and vacantAt refer to
	vacant        bool          // the seat had no holder when trackHolder last recorded it
	watchesHolder bool          // this host may take the seat and asks the holder itself
	localAnswerAt time.Duration // when askLocalHost last got an attestation
	// nextDue holds the local time from which each periodic task is due.
	nextDue     map[string]time.Duration
	readBackoff time.Duration // pause before the next read of a row whose hosts do not answer
	rotation    int           // advances to select the next host or domain to ask
}

// New returns a Seat and registers the handlers of attest and seat-promise
// with cfg.Peers. It returns a SettingsInvalid error if a required field of
// cfg is missing.
func New(cfg Config) (*Seat, error) {
	if cfg.Host.Name == "" || cfg.Host.Domain == "" {
		return nil, codes.New(codes.SettingsInvalid, "seats: Config.Host needs a name and a domain")
	}
	if cfg.Table == nil || cfg.Peers == nil || cfg.Timer == nil || cfg.Evidence == nil {
		return nil, codes.New(codes.SettingsInvalid, "seats: Config needs Table, Peers, Timer and Evidence")
	}
	if cfg.LocalHosts == nil || cfg.Domains == nil || cfg.RemoteHosts == nil {
		return nil, codes.New(codes.SettingsInvalid, "seats: Config needs the functions LocalHosts, Domains and RemoteHosts")
	}
	s := &Seat{
		cfg:           cfg,
		bound:         cfg.Evidence.Bound(),
		runID:         uuid.NewString(),
		confirmedAt:   noTime,
		promisedAt:    make(map[core.HostID]time.Duration),
		remoteHolders: make(map[core.DomainID]core.HostID),
		nextDue:       make(map[string]time.Duration),
		lastTick:      cfg.Timer.Now(),
		activeAt:      cfg.Timer.Now(),
		vacantAt:      cfg.Timer.Now(),
		localAnswerAt: cfg.Timer.Now(),
		vacant:        true,
	}
	s.row.Domain = cfg.Host.Domain
	if s.cfg.CallTimeout == 0 {
		s.cfg.CallTimeout = s.bound / 4
	}
	if s.cfg.MaxConcurrentCalls == 0 {
		s.cfg.MaxConcurrentCalls = 64
	}
	cfg.Peers.Handle(core.KindAttest, s.handleAttest)
	cfg.Peers.Handle(core.KindSeatPromise, s.handlePromise)
	return s, nil
}

// period is the interval at which the holder reads its row and candidates
// check the holder: 1 s with DefaultFreshnessBound.
func (s *Seat) period() time.Duration { return s.bound / 4 }

// takeoverWait is the time after a takeover by which every earlier holder has
// stopped acting: the bound plus 10% for clock drift.
func (s *Seat) takeoverWait() time.Duration { return s.bound + s.bound/10 }

// Acting returns the epoch of the seat and whether this host may act as its
// holder now.
func (s *Seat) Acting() (uint64, bool) {
	storeAt, ok := s.cfg.Evidence.StoreReadAt()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holding || s.released {
		return s.row.Epoch, false
	}
	// A later holder's attestation may count towards a majority only if that
	// holder has read the withdrawals after its takeover.
	s.readAfterTake = s.readAfterTake || (ok && storeAt >= s.takenAt)
	now := s.cfg.Timer.Now()
	if !s.readAfterTake || now < s.waitEnd {
		return s.row.Epoch, false
	}
	confirmed := s.confirmedAt != noTime && now-s.confirmedAt < s.bound
	return s.row.Epoch, confirmed || s.hasAllPromises(now)
}

// hasAllPromises reports whether every other candidate has promised, within
// the bound, not to take the seat. While the outcome of a change of candidates
// is unknown, this must hold for the old and the new candidates. The caller
// holds mu.
func (s *Seat) hasAllPromises(now time.Duration) bool {
	if !s.hasPromisesFor(s.row, now) {
		return false
	}
	return s.pending == nil || s.hasPromisesFor(s.pending.row, now)
}

func (s *Seat) hasPromisesFor(r row, now time.Duration) bool {
	others := r.candidatesExcept(s.cfg.Host.Name)
	for _, c := range others {
		at, ok := s.promisedAt[c]
		if !ok || now-at >= s.bound {
			return false
		}
	}
	return len(others) > 0
}

// Holder returns the holder of the own seat and its epoch as far as this host
// knows. The holder is empty if none is known.
func (s *Seat) Holder() (core.HostID, uint64) {
	v := s.View()
	return v.Holder, v.Epoch
}

// View returns the newest known state of the own seat, from the row or from
// peers.
func (s *Seat) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.viewLocked()
}

func (s *Seat) viewLocked() View {
	if !s.holding && s.peerView.Epoch > 0 && s.peerView.Epoch >= s.row.Epoch {
		return s.peerView
	}
	return s.row.View
}

// ExclusiveFrom returns the local time by which every earlier holder has stopped
// acting. It is meaningful only while this host holds the seat.
func (s *Seat) ExclusiveFrom() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waitEnd
}

// Fence returns a check of the seat row that the holder adds to its commits:
// such a commit fails once the row has changed, for example by a takeover. It
// returns false if this host does not hold the seat.
func (s *Seat) Fence() (core.Write, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holding || s.released {
		return core.Write{}, false
	}
	return core.Write{
		Kind: core.WriteCheck, Space: core.SpaceSeat, Key: string(s.cfg.Host.Domain),
		ExpectVersion: s.row.version, ExpectToken: s.row.token,
	}, true
}

// ShouldPoll reports whether this host should poll the table for configuration and
// withdrawals. The holder and one live candidate do, so that a domain has two
// readers. If none of them is live, the two live hosts with the smallest names
// do.
func (s *Seat) ShouldPoll() bool {
	v := s.View()
	live := s.liveHosts()
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

// liveHosts returns the live hosts of the own domain, including the own host.
func (s *Seat) liveHosts() map[core.HostID]bool {
	live := map[core.HostID]bool{s.cfg.Host.Name: true}
	for _, h := range s.cfg.LocalHosts() {
		if h.State == "" || h.State == core.HostLive {
			live[h.Name] = true
		}
	}
	return live
}

// rank returns the number of live hosts of the domain with a smaller name than
// the own host.
func (s *Seat) rank() int {
	n := 0
	for h := range s.liveHosts() {
		if h < s.cfg.Host.Name {
			n++
		}
	}
	return n
}

// Tick runs one round: it holds, watches or takes the seat and renews the
// freshness evidence. Callers should call it at least once per quarter of the
// freshness bound. Each call to the table or to a peer has its own deadline.
// The returned error is only for logging; the next tick retries.
func (s *Seat) Tick(ctx context.Context) error {
	now := s.cfg.Timer.Now()
	if now-s.lastTick > s.period()+time.Second {
		// The process was paused, so a lack of answers in that time says nothing
		// about the holder.
		s.activeAt = max(s.activeAt, now)
	}
	s.lastTick = now
	if s.isReleased() {
		return nil
	}
	roleErr := s.runRole(ctx)
	if err := s.renewEvidence(ctx); err != nil {
		return err
	}
	return roleErr
}

func (s *Seat) isReleased() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.released
}

func (s *Seat) runRole(ctx context.Context) error {
	var err error
	if s.hasPending() {
		err = s.resolvePending(ctx)
	}
	if s.isHolding() {
		return s.runHolder(ctx, err)
	}
	if err != nil {
		return err
	}
	return s.runFollower(ctx)
}

func (s *Seat) isHolding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holding
}

// startIfDue reports whether a periodic task is due and, if so, schedules its
// next run one period from now.
func (s *Seat) startIfDue(task string, period time.Duration) bool {
	now := s.cfg.Timer.Now()
	if at, ok := s.nextDue[task]; ok && now < at {
		return false
	}
	// Ticks may come slightly early; a tenth of the period of slack keeps a task
	// from running only every other tick.
	s.nextDue[task] = now + period - period/10
	return true
}

// readRow reads the seat row and updates the state from it.
func (s *Seat) readRow(ctx context.Context) (row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	started := s.cfg.Timer.Now()
	raw, err := s.cfg.Table.Get(ctx, core.SpaceSeat, string(s.cfg.Host.Domain))
	if err != nil {
		return row{}, errors.Wrap(err, "seats: seat row cannot be read from the table")
	}
	r, err := decodeRow(raw)
	if err != nil {
		return row{}, err
	}
	s.applyRow(r, started)
	return r, nil
}

// applyRow updates the state from a row whose read started at the given local
// time.
func (s *Seat) applyRow(r row, started time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasRow, s.rereadRow = true, false
	if p := s.pending; p != nil {
		if r.token == p.token {
			s.applyPending(started)
		} else if r.version > p.expectVersion {
			// Another write has replaced the version that the pending write expects, so
			// the pending write can no longer take effect.
			s.pending = nil
		}
	}
	s.row = r
	if s.peerView.Epoch <= r.Epoch {
		s.peerView = View{} // the row is at least as new
	}
	if s.holding && r.runID == s.runID {
		s.confirmedAt = max(s.confirmedAt, started)
		return
	}
	s.holding = false
}
