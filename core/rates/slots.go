package rates

import (
	"sync"
	"time"

	"azurering/core"
	"azurering/core/share"
)

// Slots counts the concurrent requests to backend servers against the slot
// loans of the host. A request takes a slot before it is sent and releases
// it when it has ended, also if the loan has shrunk or expired meanwhile.
// It is safe for concurrent use.
type Slots struct {
	// Lender is told the demand; nil means none. It is set before use.
	Lender Lender

	mu      sync.Mutex
	servers map[core.Resource]*slotState
}

type slotState struct {
	parts  []share.Part
	inUse  int64
	peak   int64 // most in use since the last Tick
	missed int64 // takes refused since the last Tick
	want   int64
	seen   time.Duration
}

func (s *Slots) state(r core.Resource) *slotState {
	if s.servers == nil {
		s.servers = make(map[core.Resource]*slotState)
	}
	st := s.servers[r]
	if st == nil {
		st = &slotState{}
		s.servers[r] = st
	}
	return st
}

// SetLoans replaces the loans of a slot resource. It fits
// share.HolderConfig.Changed.
func (s *Slots) SetLoans(_ time.Duration, r core.Resource, parts []share.Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(r).parts = parts
}

// Take takes a slot of a server if the loans have a free one.
func (s *Slots) Take(now time.Duration, server core.ServerID) bool {
	r := core.SlotsResource(server)
	s.mu.Lock()
	st := s.state(r)
	st.seen = now
	if st.inUse < share.Sum(st.parts, now).Slots {
		st.inUse++
		st.peak = max(st.peak, st.inUse)
		s.mu.Unlock()
		return true
	}
	st.missed++
	want := core.Amount{Slots: max(st.want, st.inUse+st.missed)}
	s.mu.Unlock()
	if s.Lender != nil {
		s.Lender.Want(r, want)
		s.Lender.Need(r, 0)
	}
	return false
}

// Release ends the use of a slot.
func (s *Slots) Release(server core.ServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.state(core.SlotsResource(server)); st.inUse > 0 {
		st.inUse--
	}
}

// Free returns how many slots of a server can be taken.
func (s *Slots) Free(now time.Duration, server core.ServerID) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(core.SlotsResource(server))
	return max(share.Sum(st.parts, now).Slots-st.inUse, 0)
}

// Over returns how many requests run beyond the loans of a server, because
// a loan shrank or expired after they had started.
func (s *Slots) Over(now time.Duration, server core.ServerID) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(core.SlotsResource(server))
	return max(st.inUse-share.Sum(st.parts, now).Slots, 0)
}

// InUse returns the slots taken of a resource. It fits
// share.HolderConfig.InUse.
func (s *Slots) InUse(r core.Resource) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.servers[r]; st != nil {
		return st.inUse
	}
	return 0
}

// Tick updates the wants: the most in use since the last call and the
// refused takes, falling by one slot a call. Its owner calls it about once a
// second.
func (s *Slots) Tick(now time.Duration) {
	s.mu.Lock()
	wants := make(map[core.Resource]core.Amount, len(s.servers))
	for r, st := range s.servers {
		st.want = max(st.peak+st.missed, st.want-1)
		if now-st.seen > idleAfter {
			st.want = st.inUse
		}
		st.peak, st.missed = st.inUse, 0
		wants[r] = core.Amount{Slots: st.want}
	}
	s.mu.Unlock()
	if s.Lender == nil {
		return
	}
	for r, want := range wants {
		s.Lender.Want(r, want)
	}
}
