package seats

import (
	"context"
	"sort"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fanout"
)

// rowWrite is a write of the seat row that may or may not have taken effect.
// All retries use the same token, so the row shows this write whichever of
// them took effect.
type rowWrite struct {
	row            row
	takeover       bool          // takes the seat; otherwise it changes the candidates
	wait           time.Duration // time after the takeover before this host may act
	expectVersion  uint64
	token          string
	outcomeUnknown bool // an earlier try may still take effect
}

func (s *Seat) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending != nil
}

// startWrite records a pending write that is based on the current row. While a
// takeover is pending, this host gives no promises.
func (s *Seat) startWrite(next row, current row, takeover bool, wait time.Duration) {
	token := uuid.NewString()
	next.version, next.token = current.version+1, token
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = &rowWrite{row: next, takeover: takeover, wait: wait, expectVersion: current.version, token: token}
}

// commitPending tries the pending write once.
func (s *Seat) commitPending(ctx context.Context) error {
	s.mu.Lock()
	p := s.pending
	s.mu.Unlock()
	started := s.cfg.Timer.Now()
	err := s.writeRow(ctx, p.row, p.expectVersion, p.token)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch codes.Of(err) {
	case codes.OK:
		s.applyPending(started)
		return nil
	case codes.StoreDown, codes.StoreLimit, codes.StoreConflict:
		// This try has not taken effect. An earlier one may have taken effect, or
		// may yet; only a read of the row can tell.
		if !p.outcomeUnknown {
			s.pending = nil
		}
	default:
		p.outcomeUnknown = true
	}
	return errors.Wrap(err, "seats: seat row cannot be written to the table")
}

func (s *Seat) writeRow(ctx context.Context, r row, expectVersion uint64, token string) error {
	body, err := r.encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.cfg.Table.Commit(ctx, []core.Write{{
		Kind: core.WritePut, Space: core.SpaceSeat, Key: string(s.cfg.Host.Domain),
		ExpectVersion: expectVersion, Token: token, Value: body,
	}})
}

// resolvePending reads the row to find out whether the pending write took
// effect, and retries the write if it did not. The write cannot be dropped
// while the row is unchanged, because a delayed copy of it may still arrive.
func (s *Seat) resolvePending(ctx context.Context) error {
	if _, err := s.readRow(ctx); err != nil {
		return err
	}
	if !s.hasPending() {
		return nil
	}
	return s.commitPending(ctx)
}

// applyPending updates the state after the pending write took effect, at some
// time after the local time started. The caller holds mu.
func (s *Seat) applyPending(started time.Duration) {
	p := s.pending
	s.pending, s.row, s.hasRow = nil, p.row, true
	if !p.takeover {
		s.confirmedAt = max(s.confirmedAt, started)
		return
	}
	now := s.cfg.Timer.Now()
	s.holding, s.readAfterTake = true, false
	s.takenAt, s.waitEnd, s.confirmedAt = now, now+p.wait, started
	s.promisedAt = make(map[core.HostID]time.Duration)
}

// takeSeat reads the row and takes the seat if the row allows it.
func (s *Seat) takeSeat(ctx context.Context) error {
	r, err := s.readRow(ctx)
	if err != nil || s.hasPending() || s.isHolding() || !s.mayTake(r) || s.now() < s.takeoverTime(r.View) {
		return err
	}
	next := row{View: View{
		Domain: r.Domain, Holder: s.cfg.Host.Name, Incarnation: s.cfg.Host.Incarnation,
		Epoch: r.Epoch + 1, Candidates: r.Candidates,
	}, runID: s.runID}
	if !r.hasCandidate(s.cfg.Host.Name) {
		next.Candidates = []core.HostID{s.cfg.Host.Name}
	}
	wait := s.takeoverWait()
	if r.version == 0 || (r.Holder == "" && r.clean) {
		wait = 0 // no earlier holder can be acting
	}
	s.startWrite(next, r, true, wait)
	return s.commitPending(ctx)
}

// mayTake reports whether the row allows this host to take the seat.
func (s *Seat) mayTake(r row) bool {
	if r.Epoch == 0 || r.hasCandidate(s.cfg.Host.Name) || len(r.candidatesExcept(r.Holder)) == 0 {
		return true
	}
	if s.cfg.Decommissioned == nil {
		return false
	}
	for _, c := range r.Candidates {
		if !s.cfg.Decommissioned(c) {
			return false
		}
	}
	return r.Holder == "" || s.cfg.Decommissioned(r.Holder)
}

// takeoverTime returns the local time from which this host may take over a
// seat in the given state. This only avoids needless takeovers; takeoverWait
// and the promises keep two holders from acting at once.
func (s *Seat) takeoverTime(v View) time.Duration {
	s.trackHolder(v)
	index := s.rank()
	for i, c := range v.Candidates {
		if c == s.cfg.Host.Name {
			index = i
		}
	}
	// Candidates further down the row wait longer, so that the first one normally
	// wins.
	stagger := time.Duration(min(index, 8)) * s.period()
	switch {
	case v.Holder == s.cfg.Host.Name:
		return 0 // an earlier run of this host holds the seat
	case v.Epoch == 0, v.Holder == "":
		return s.vacantAt + stagger
	case s.liveHosts()[v.Holder]:
		// The holder is live but does not act or cannot be reached from here. A
		// takeover costs a waiting time in which nobody acts, and a broken link
		// between two hosts that both reach the table must not make the seat move
		// back and forth.
		return s.activeAt + 3*s.bound + stagger
	default:
		return s.activeAt + s.bound/2 + stagger
	}
}

// trackHolder records a new epoch or a change between held and vacant. A new
// holder counts as active until its waiting time is over. Otherwise
// a candidate that reaches the others only through the table would take the
// seat back again and again before any holder acts.
func (s *Seat) trackHolder(v View) {
	if v.Epoch == s.trackedEpoch && (v.Holder == "") == s.vacant {
		return
	}
	s.trackedEpoch, s.vacant = v.Epoch, v.Holder == ""
	s.activeAt, s.vacantAt = s.now()+s.takeoverWait(), s.now()
}

func (s *Seat) now() time.Duration { return s.cfg.Timer.Now() }

// repairCandidates replaces candidates that are not live and fills free
// places.
func (s *Seat) repairCandidates(ctx context.Context) error {
	s.mu.Lock()
	r, confirmedAt := s.row, s.confirmedAt
	idle := s.holding && s.pending == nil
	s.mu.Unlock()
	if !idle || s.now()-confirmedAt > s.bound/2 || s.now() < s.ExclusiveFrom() {
		return nil
	}
	next := s.chooseCandidates(r)
	if sameHosts(next, r.Candidates) || !s.startIfDue("repair", s.bound) {
		return nil
	}
	changed := r
	changed.Candidates = next
	s.startWrite(changed, r, false, 0)
	return s.commitPending(ctx)
}

// chooseCandidates returns the candidates that the row should name: the own
// host, the current candidates that are live, and other live hosts in order of
// name, up to maxCandidates.
func (s *Seat) chooseCandidates(r row) []core.HostID {
	live := s.liveHosts()
	out := []core.HostID{s.cfg.Host.Name}
	for _, c := range r.candidatesExcept(s.cfg.Host.Name) {
		if live[c] {
			out = append(out, c)
		}
	}
	var unlisted []core.HostID
	for h := range live {
		if h != s.cfg.Host.Name && !r.hasCandidate(h) {
			unlisted = append(unlisted, h)
		}
	}
	sort.Slice(unlisted, func(i, j int) bool { return unlisted[i] < unlisted[j] })
	out = append(out, unlisted...)
	return out[:min(len(out), maxCandidates)]
}

// sameHosts reports whether a and b contain the same hosts in any order.
func sameHosts(a, b []core.HostID) bool {
	if len(a) != len(b) {
		return false
	}
	in := make(map[core.HostID]bool, len(a))
	for _, h := range a {
		in[h] = true
	}
	for _, h := range b {
		if !in[h] {
			return false
		}
	}
	return true
}

// Release gives up the seat at a graceful shutdown. The host stops acting
// before the row is written, so the successor need not wait. Release retries
// until the row no longer names this run or the context ends; in the latter
// case it returns an error with the code of the table's last error. Tick does
// nothing after Release.
func (s *Seat) Release(ctx context.Context) error {
	s.mu.Lock()
	mayHold := s.holding || s.pending != nil
	s.released = true
	s.mu.Unlock()
	for mayHold {
		done, err := s.tryRelease(ctx)
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return codes.Wrap(err, codes.Of(err), "seats: seat was not released before the context ended")
		case <-s.cfg.Timer.After(s.period() / 4):
		}
	}
	return nil
}

func (s *Seat) tryRelease(ctx context.Context) (bool, error) {
	r, err := s.readRow(ctx)
	if err != nil {
		return false, err
	}
	if r.runID == s.runID {
		next := row{View: View{Domain: r.Domain, Epoch: r.Epoch, Candidates: r.candidatesExcept(s.cfg.Host.Name)}}
		s.mu.Lock()
		next.clean = s.holding && s.now() >= s.waitEnd
		s.mu.Unlock()
		if err := s.writeRow(ctx, next, r.version, uuid.NewString()); err != nil {
			return false, err
		}
		r = next
	}
	// Otherwise an earlier try has released the seat or another host has taken
	// it. A takeover by this run that is still pending may take effect later,
	// but this run no longer acts.
	s.mu.Lock()
	s.row, s.holding = r, false
	s.mu.Unlock()
	if r.Holder != "" {
		return true, nil
	}
	// A request for an epoch that a candidate does not know makes it read the row
	// at its next tick, where it finds the seat vacant.
	fanout.Each(s.cfg.MaxConcurrentCalls, len(r.Candidates), func(i int) {
		_, _ = s.call(ctx, r.Candidates[i], core.SeatPromiseRequest{Domain: r.Domain, Epoch: r.Epoch + 1})
	})
	return true, nil
}
