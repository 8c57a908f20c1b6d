package seats

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

// hold does the work of the seat holder. A store that has just failed, with
// the error err, is not asked again in the same tick, but the promises are.
func (s *Seat) hold(ctx context.Context, err error) error {
	if due := s.every("read", s.period()); err == nil && (due || s.alarmed()) {
		_, err = s.getRow(ctx)
	}
	if !s.isHolding() {
		return err
	}
	s.askPromises(ctx)
	if err != nil {
		return err
	}
	return s.repair(ctx)
}

func (s *Seat) alarmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alarm
}

// follow does the work of a host that does not hold the seat: it learns who
// does, watches the holder if it is a candidate, and takes the seat over if
// it may.
func (s *Seat) follow(ctx context.Context) error {
	if err := s.learn(ctx); err != nil {
		return err
	}
	v := s.View()
	near := (row{View: v}).names(s.cfg.Host.Name) || s.eligible()
	if near && !s.near {
		// This host has not watched the holder so far.
		s.goodAt = max(s.goodAt, s.now())
	}
	s.near = near
	period := s.bound
	if near {
		period = s.period()
	}
	if s.every("watch", period) {
		s.watch(ctx, near)
	}
	if s.eligible() && s.now() >= s.patience(s.View()) && s.every("take", s.period()/2) {
		return s.take(ctx)
	}
	return nil
}

// eligible reports whether this host may take the seat as far as it knows.
func (s *Seat) eligible() bool {
	s.mu.Lock()
	r, read := s.row, s.read
	r.View = s.view()
	s.mu.Unlock()
	return read && s.mayTake(r)
}

// learn reads the row after a start, when a message asks for it, and with
// growing pauses while no host that the row names answers.
func (s *Seat) learn(ctx context.Context) error {
	s.mu.Lock()
	alarm, read := s.alarm, s.read
	s.mu.Unlock()
	if alarm && s.every("alarm", s.period()/2) {
		_, err := s.getRow(ctx)
		return err
	}
	if read && s.now()-max(s.goodAt, s.nearAt) < 3*s.bound {
		s.backoff = 0
		return nil
	}
	if !s.every("learn", s.backoff) {
		return nil
	}
	s.backoff = min(max(2*s.backoff, s.period()), 8*s.bound)
	s.due["learn"] = s.now() + s.backoff
	_, err := s.getRow(ctx)
	return err
}

// watch asks about the holder. A host that may take the seat asks the holder
// itself; any other host asks one of the candidates, which share that load.
func (s *Seat) watch(ctx context.Context, near bool) {
	v := s.View()
	s.meet(v)
	if !near {
		s.askNear(ctx)
		return
	}
	if v.Holder == "" || v.Holder == s.cfg.Host.Name {
		return
	}
	if a, err := s.attest(ctx, v.Holder); err == nil && a.Acting {
		s.goodAt = s.now()
	}
}

// askNear asks one host of the own domain to attest: a candidate chosen by
// the name of this host, the next one after a failure, or any live host if
// no candidate is known.
func (s *Seat) askNear(ctx context.Context) {
	near := (row{View: s.View()}).others(s.cfg.Host.Name)
	if len(near) == 0 {
		for _, h := range s.cfg.LocalHosts() {
			if h.Name != s.cfg.Host.Name {
				near = append(near, h.Name)
			}
		}
	}
	if len(near) == 0 {
		return
	}
	s.mu.Lock()
	turn := s.turn
	s.mu.Unlock()
	if _, err := s.attest(ctx, near[(turn+spread(s.cfg.Host.Name))%len(near)]); err != nil {
		s.mu.Lock()
		s.turn++
		s.mu.Unlock()
		return
	}
	s.nearAt = s.now()
}

// spread turns a host's name into a number, so that hosts choose differently.
func spread(h core.HostID) int { return int(xxhash.Sum64String(string(h)) >> 33) }
