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

// attempt is a write of the seat row that may or may not have taken effect.
// It keeps its token over retries, so any copy that takes effect is known
// as this one.
type attempt struct {
	row    row
	take   bool          // takes the seat; otherwise changes candidates
	wait   time.Duration // waiting time after the takeover
	expect uint64
	token  string
	unsure bool // an earlier try may still take effect
}

func (s *Seat) unresolved() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending != nil
}

// begin notes an attempt. From here on this host gives no promise.
func (s *Seat) begin(next row, from row, take bool, wait time.Duration) {
	token := uuid.NewString()
	next.version, next.token = from.version+1, token
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = &attempt{row: next, take: take, wait: wait, expect: from.version, token: token}
}

// commit tries the pending attempt once.
func (s *Seat) commit(ctx context.Context) error {
	s.mu.Lock()
	p := s.pending
	s.mu.Unlock()
	started := s.cfg.Timer.Now()
	err := s.write(ctx, p.row, p.expect, p.token)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch codes.Of(err) {
	case codes.OK:
		s.land(started)
		return nil
	case codes.StoreDown, codes.StoreLimit, codes.StoreConflict:
		// This try has not taken effect. An earlier one may have, or may
		// still; only a read tells.
		if !p.unsure {
			s.pending = nil
		}
	default:
		p.unsure = true
	}
	return errors.Wrap(err, "seats: seat row cannot be written")
}

func (s *Seat) write(ctx context.Context, r row, expect uint64, token string) error {
	body, err := r.encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.cfg.Table.Commit(ctx, []core.Write{{
		Kind: core.WritePut, Space: core.SpaceSeat, Key: string(s.cfg.Host.Domain),
		ExpectVersion: expect, Token: token, Value: body,
	}})
}

// resolve finds out what became of an attempt with an unknown outcome, and
// tries it again if it has not taken effect. Giving it up is not possible
// while the row stands unchanged, because a late copy could still arrive.
func (s *Seat) resolve(ctx context.Context) error {
	if _, err := s.getRow(ctx); err != nil {
		return err
	}
	if !s.unresolved() {
		return nil
	}
	return s.commit(ctx)
}

// land takes over the pending attempt, which took effect after the local
// time started. The caller holds the lock.
func (s *Seat) land(started time.Duration) {
	p := s.pending
	s.pending, s.row, s.read = nil, p.row, true
	if !p.take {
		s.readAt = max(s.readAt, started)
		return
	}
	now := s.cfg.Timer.Now()
	s.holding, s.loaded = true, false
	s.takenAt, s.waitEnd, s.readAt = now, now+p.wait, started
	s.promised = make(map[core.HostID]time.Duration)
}

// take reads the row and takes the seat if this host may.
func (s *Seat) take(ctx context.Context) error {
	r, err := s.getRow(ctx)
	if err != nil || s.unresolved() || s.isHolding() || !s.mayTake(r) || s.now() < s.patience(r.View) {
		return err
	}
	next := row{View: View{
		Domain: r.Domain, Holder: s.cfg.Host.Name, Incarnation: s.cfg.Host.Incarnation,
		Epoch: r.Epoch + 1, Candidates: r.Candidates,
	}, run: s.run}
	if !r.names(s.cfg.Host.Name) {
		next.Candidates = []core.HostID{s.cfg.Host.Name}
	}
	wait := s.wait()
	if r.version == 0 || (r.Holder == "" && r.clean) {
		wait = 0 // no earlier holder acts
	}
	s.begin(next, r, true, wait)
	return s.commit(ctx)
}

// mayTake reports whether the row lets this host take the seat.
func (s *Seat) mayTake(r row) bool {
	if r.Epoch == 0 || r.names(s.cfg.Host.Name) || len(r.others(r.Holder)) == 0 {
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

// patience returns the local time from which this host may take a seat of
// the given state over. It only avoids needless takeovers; two holders are
// kept apart by the waiting time and the promises.
func (s *Seat) patience(v View) time.Duration {
	s.meet(v)
	index := s.rank()
	for i, c := range v.Candidates {
		if c == s.cfg.Host.Name {
			index = i
		}
	}
	// The second candidate in the row gives the first one time to win.
	stagger := time.Duration(min(index, 8)) * s.period()
	switch {
	case v.Holder == s.cfg.Host.Name:
		return 0 // an earlier run of this host
	case v.Epoch == 0, v.Holder == "":
		return s.freeAt + stagger
	case s.live()[v.Holder]:
		// The holder lives but does not act or cannot be reached from here.
		// A new holder does not act for its waiting time, and a link cut
		// between two hosts that both reach the store must not make the
		// seat change sides often.
		return s.goodAt + 3*s.bound + stagger
	default:
		return s.goodAt + s.bound/2 + stagger
	}
}

// meet notes a new epoch or a seat that has become free. A new holder gets
// its waiting time before its silence counts: otherwise a candidate that
// only the store connects with the others takes the seat back each time
// before anybody acts.
func (s *Seat) meet(v View) {
	if v.Epoch == s.goodFor && (v.Holder == "") == s.free {
		return
	}
	s.goodFor, s.free = v.Epoch, v.Holder == ""
	s.goodAt, s.freeAt = s.now()+s.wait(), s.now()
}

func (s *Seat) now() time.Duration { return s.cfg.Timer.Now() }

// repair replaces candidates that are not live, and fills free places.
func (s *Seat) repair(ctx context.Context) error {
	s.mu.Lock()
	r, byRead := s.row, s.readAt
	idle := s.holding && s.pending == nil
	s.mu.Unlock()
	if !idle || s.now()-byRead > s.bound/2 || s.now() < s.ExclusiveFrom() {
		return nil
	}
	next := s.choose(r)
	if same(next, r.Candidates) || !s.every("repair", s.bound) {
		return nil
	}
	changed := r
	changed.Candidates = next
	s.begin(changed, r, false, 0)
	return s.commit(ctx)
}

// choose returns the candidates that the row should name: the holder, the
// live ones of the old candidates, and live hosts in order of name.
func (s *Seat) choose(r row) []core.HostID {
	live := s.live()
	out := []core.HostID{s.cfg.Host.Name}
	for _, c := range r.others(s.cfg.Host.Name) {
		if live[c] {
			out = append(out, c)
		}
	}
	var rest []core.HostID
	for h := range live {
		if h != s.cfg.Host.Name && !r.names(h) {
			rest = append(rest, h)
		}
	}
	sort.Slice(rest, func(i, j int) bool { return rest[i] < rest[j] })
	out = append(out, rest...)
	return out[:min(len(out), maxCandidates)]
}

func same(a, b []core.HostID) bool {
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

// Release gives the seat up at a graceful shutdown. The host stops acting
// before the row is written, so the successor does not wait for it. It tries
// until the context ends or the row no longer names this run, and returns
// the last error of the table. After Release the Seat does no more work.
func (s *Seat) Release(ctx context.Context) error {
	s.mu.Lock()
	held := s.holding || s.pending != nil
	s.left = true
	s.mu.Unlock()
	for held {
		done, err := s.release(ctx)
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return codes.Wrap(err, codes.Of(err), "seats: seat was not released")
		case <-s.cfg.Timer.After(s.period() / 4):
		}
	}
	return nil
}

func (s *Seat) release(ctx context.Context) (bool, error) {
	r, err := s.getRow(ctx)
	if err != nil {
		return false, err
	}
	if r.run == s.run {
		next := row{View: View{Domain: r.Domain, Epoch: r.Epoch, Candidates: r.others(s.cfg.Host.Name)}}
		s.mu.Lock()
		next.clean = s.holding && s.now() >= s.waitEnd
		s.mu.Unlock()
		if err := s.write(ctx, next, r.version, uuid.NewString()); err != nil {
			return false, err
		}
		r = next
	}
	// Otherwise an earlier try has released the seat or another host has
	// taken it. A takeover of this run that is still under way may take
	// effect later, but it names a run that no longer acts.
	s.mu.Lock()
	s.row, s.holding = r, false
	s.mu.Unlock()
	if r.Holder != "" {
		return true, nil
	}
	// A question about an epoch that a candidate does not know makes it read
	// the row at its next tick, where it finds the seat free.
	fanout.Each(s.cfg.MaxConcurrentCalls, len(r.Candidates), func(i int) {
		_, _ = s.call(ctx, r.Candidates[i], core.SeatPromiseRequest{Domain: r.Domain, Epoch: r.Epoch + 1})
	})
	return true, nil
}
