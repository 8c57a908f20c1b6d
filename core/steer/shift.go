package steer

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

// shift is a shift of the sheet with what this host makes of it.
type shift struct {
	core.Shift
	from, to []int32
	seed     uint64
	share    float64 // of the blocks, as planned now
	fits     float64 // part of the share for which the target has budget
	next     float64 // fits as computed by the plan in progress
	// given remembers the callers moved. Quota is what was left of cap, in
	// callers, at the last plan; look-ups count it down.
	given   *ledger
	quota   *atomic.Int64
	granted int64
	cap     int64
}

// ramp is the largest growth of a shift's share in one plan, as a part of
// its full share. The receiving servers start with cold caches.
const ramp = 0.05

func (s *Planner) applyShifts() {
	before := make(map[string]shift, len(s.shifts))
	for _, sh := range s.shifts {
		before[sh.Name] = sh
	}
	s.shifts = nil
	for _, sh := range s.sheet.Shifts {
		next := shift{Shift: sh, seed: xxhash.Sum64String("shift/" + sh.Name), fits: 1, next: 1, given: &ledger{slot: s.slot}, quota: new(atomic.Int64)}
		next.given.grow(1)
		if old, ok := before[sh.Name]; ok && old.From == sh.From && old.To == sh.To {
			next.share, next.fits, next.next = old.share, old.fits, old.next
			next.given, next.quota, next.granted = old.given, old.quota, old.granted
		}
		for _, r := range s.sheet.Regions {
			for _, d := range r.Domains {
				if r.Name == sh.From {
					next.from = append(next.from, s.dict.ids[d])
				}
				if r.Name == sh.To {
					next.to = append(next.to, s.dict.ids[d])
				}
			}
		}
		s.shifts = append(s.shifts, next)
	}
}

// shiftShares keeps each shift under this host's part of its cap. The parts
// of all hosts add up to the cap, which the receiving region enforces too.
func (s *Planner) shiftShares(live int) {
	for i := range s.shifts {
		sh := &s.shifts[i]
		full := float64(sh.SharePerMille) / 1000
		// The share grows slowly into room that a plan found.
		sh.fits, sh.next = min(sh.next, sh.fits*1.05+0.01), 1
		sh.given.advance(s.slot)
		sh.given.add(0, float64(sh.granted-max(sh.quota.Swap(0), 0)))
		// Answers live for up to the longest lifetime; the second in progress
		// counts too.
		moved := sh.given.outstanding(0, 0, int64(s.cfg.Lifetime/time.Second)+1)
		sh.cap = int64(s.shiftPart(sh, live) * float64(sh.Cap) / 1000 / s.cfg.RequestRate)
		sh.granted = max(sh.cap-int64(moved), 0)
		sh.quota = new(atomic.Int64)
		sh.quota.Store(sh.granted)
		allowed := full
		if callers := s.askedIn(sh.from); callers*full > 0 {
			allowed = min(full, float64(sh.cap)/callers)
		}
		sh.share = min(sh.share+ramp*full, allowed, full*sh.fits)
	}
}

// askedIn returns how many callers of some home domains use an answer of
// this host.
func (s *Planner) askedIn(homes []int32) float64 {
	callers := 0.0
	for _, d := range homes {
		for _, sv := range s.services {
			if int(d)+1 < len(sv.asked.sums) {
				callers += sv.asked.outstanding(int(d)+1, 0, s.lifeSlots())
			}
		}
	}
	return callers
}

// shiftPart is this host's part of a shift's cap: hosts of the region that
// callers leave are asked most.
func (s *Planner) shiftPart(sh *shift, live int) float64 {
	from := make(map[core.DomainID]bool, len(sh.from))
	for _, d := range sh.from {
		from[s.dict.names[d]] = true
	}
	in := 0
	for _, h := range s.hosts {
		if (h.State == core.HostLive || h.State == "") && from[h.Domain] {
			in++
		}
	}
	if in == 0 {
		return 1 / float64(max(live, 1))
	}
	return s.part(from[s.cfg.Self.Domain], in, live)
}

// fillShifts grants the shifted demand the budgets of its region and takes
// it off the homes' demand. A shift that does not fit moves fewer blocks.
func (s *Planner) fillShifts(sv *service, usable []bool, demand, left []float64) []row {
	rows := make([]row, len(s.shifts))
	for i := range s.shifts {
		sh := &s.shifts[i]
		moved := 0.0
		for _, d := range sh.from {
			moved += demand[d] * sh.share
			demand[d] -= demand[d] * sh.share
		}
		room, total, weight := 0.0, 0.0, make([]float64, len(left))
		for _, d := range sh.to {
			if usable[d] && sv.capacity[d] > 0 {
				// Callers of the domain itself come first.
				room += max(left[d]-demand[d], 0)
				weight[d] = sv.capacity[d]
				total += sv.capacity[d]
			}
		}
		if moved > 100*idle {
			sh.next = min(sh.next, room/moved*sh.share*1000/float64(max(sh.SharePerMille, 1)))
		}
		for d, w := range weight {
			if w <= 0 {
				continue
			}
			left[d] = max(left[d]-moved*w/total, 0)
			rows[i].picks = append(rows[i].picks, s.pick(d, w))
		}
		home := len(s.dict.names)
		if len(sh.from) > 0 {
			home = int(sh.from[0])
		}
		rows[i].rest = s.rest(sv, home, func(d int32) bool { return weight[d] > 0 })
	}
	return rows
}

func (s *Planner) shiftViews() [][]shiftView {
	out := make([][]shiftView, len(s.dict.names)+1)
	for i, sh := range s.shifts {
		view := shiftView{index: i, name: sh.Name, seed: sh.seed, share: sh.share, full: float64(sh.SharePerMille) / 1000, quota: sh.quota}
		for _, d := range sh.from {
			out[d] = append(out[d], view)
		}
	}
	return out
}
