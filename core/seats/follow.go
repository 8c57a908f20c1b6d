package seats

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

// runHolder does the holder's part of a tick: it reads the row, renews
// promises and updates the candidates. A non-nil err is the error of a table
// call of the same tick; the table is then not called again, but promises are
// still requested.
func (s *Seat) runHolder(ctx context.Context, err error) error {
	if due := s.startIfDue("read", s.period()); err == nil && (due || s.needsReread()) {
		_, err = s.readRow(ctx)
	}
	if !s.isHolding() {
		return err
	}
	s.requestPromises(ctx)
	if err != nil {
		return err
	}
	return s.repairCandidates(ctx)
}

func (s *Seat) needsReread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rereadRow
}

// runFollower does the part of a tick of a host that does not hold the seat:
// it keeps the row up to date, watches the holder if it may take the seat, and
// takes the seat over when it is entitled to.
func (s *Seat) runFollower(ctx context.Context) error {
	if err := s.refreshRow(ctx); err != nil {
		return err
	}
	v := s.View()
	watchesHolder := (row{View: v}).hasCandidate(s.cfg.Host.Name) || s.isEligible()
	if watchesHolder && !s.watchesHolder {
		// This host has not watched the holder so far.
		s.activeAt = max(s.activeAt, s.now())
	}
	s.watchesHolder = watchesHolder
	period := s.bound
	if watchesHolder {
		period = s.period()
	}
	if s.startIfDue("watch", period) {
		s.checkHolder(ctx, watchesHolder)
	}
	if s.isEligible() && s.now() >= s.takeoverTime(s.View()) && s.startIfDue("take", s.period()/2) {
		return s.takeSeat(ctx)
	}
	return nil
}

// isEligible reports whether this host may take the seat as far as it knows.
func (s *Seat) isEligible() bool {
	s.mu.Lock()
	r, hasRow := s.row, s.hasRow
	r.View = s.viewLocked()
	s.mu.Unlock()
	return hasRow && s.mayTake(r)
}

// refreshRow reads the row after a start, when a message implied a change, and
// with growing pauses while the holder is not seen to act and no other host of
// the domain answers.
func (s *Seat) refreshRow(ctx context.Context) error {
	s.mu.Lock()
	reread, hasRow := s.rereadRow, s.hasRow
	s.mu.Unlock()
	if reread && s.startIfDue("alarm", s.period()/2) {
		_, err := s.readRow(ctx)
		return err
	}
	if hasRow && s.now()-max(s.activeAt, s.localAnswerAt) < 3*s.bound {
		s.readBackoff = 0
		return nil
	}
	if !s.startIfDue("learn", s.readBackoff) {
		return nil
	}
	s.readBackoff = min(max(2*s.readBackoff, s.period()), 8*s.bound)
	s.nextDue["learn"] = s.now() + s.readBackoff
	_, err := s.readRow(ctx)
	return err
}

// checkHolder checks on the holder. A host that may take the seat asks the
// holder itself; any other host asks one of the candidates, which spreads the
// load over them.
func (s *Seat) checkHolder(ctx context.Context, askHolder bool) {
	v := s.View()
	s.trackHolder(v)
	if !askHolder {
		s.askLocalHost(ctx)
		return
	}
	if v.Holder == "" || v.Holder == s.cfg.Host.Name {
		return
	}
	if a, err := s.requestAttestation(ctx, v.Holder); err == nil && a.Acting {
		s.activeAt = s.now()
	}
}

// askLocalHost requests an attestation from one host of the own domain: a
// candidate chosen by a hash of the own name, the next one after a failure, or
// any live host if no candidate is known.
func (s *Seat) askLocalHost(ctx context.Context) {
	hosts := (row{View: s.View()}).candidatesExcept(s.cfg.Host.Name)
	if len(hosts) == 0 {
		for _, h := range s.cfg.LocalHosts() {
			if h.Name != s.cfg.Host.Name {
				hosts = append(hosts, h.Name)
			}
		}
	}
	if len(hosts) == 0 {
		return
	}
	s.mu.Lock()
	rotation := s.rotation
	s.mu.Unlock()
	if _, err := s.requestAttestation(ctx, hosts[(rotation+hostHash(s.cfg.Host.Name))%len(hosts)]); err != nil {
		s.mu.Lock()
		s.rotation++
		s.mu.Unlock()
		return
	}
	s.localAnswerAt = s.now()
}

// hostHash maps a host's name to a non-negative number, so that hosts spread
// their requests over different peers.
func hostHash(h core.HostID) int { return int(xxhash.Sum64String(string(h)) >> 33) }
