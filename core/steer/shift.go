package steer

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

// shiftState is a shift of the sheet with this host's planning state for it.
type shiftState struct {
	core.Shift
	from, to []int32
	seed     uint64
	share    float64 // of the blocks, currently planned
	fitShare float64 // fraction of the share for which the target region has budget
	nextFit  float64 // fitShare as computed by the plan in progress
	// moved counts the moved callers. capCallers is this host's part of the
	// cap, in callers. Each plan sets quota to granted, the rest of it;
	// look-ups decrement quota.
	moved      *answerHistory
	quota      *atomic.Int64
	granted    int64
	capCallers int64
}

// maxShiftGrowth is the largest growth of a shift's share in one plan, as a
// fraction of its full share. It is small because the receiving servers start
// with cold caches.
const maxShiftGrowth = 0.05

func (s *Planner) applyShifts() {
	previous := make(map[string]shiftState, len(s.shifts))
	for _, sh := range s.shifts {
		previous[sh.Name] = sh
	}
	s.shifts = nil
	for _, sh := range s.sheet.Shifts {
		next := shiftState{Shift: sh, seed: xxhash.Sum64String("shift/" + sh.Name), fitShare: 1, nextFit: 1, moved: &answerHistory{second: s.second}, quota: new(atomic.Int64)}
		next.moved.grow(1)
		if old, ok := previous[sh.Name]; ok && old.From == sh.From && old.To == sh.To {
			next.share, next.fitShare, next.nextFit = old.share, old.fitShare, old.nextFit
			next.moved, next.quota, next.granted = old.moved, old.quota, old.granted
		}
		for _, r := range s.sheet.Regions {
			for _, d := range r.Domains {
				if r.Name == sh.From {
					next.from = append(next.from, s.domains.ids[d])
				}
				if r.Name == sh.To {
					next.to = append(next.to, s.domains.ids[d])
				}
			}
		}
		s.shifts = append(s.shifts, next)
	}
}

// updateShiftShares keeps each shift under this host's part of its cap. The
// parts of all hosts add up to the cap. The receiving region enforces the cap
// too.
func (s *Planner) updateShiftShares(live int) {
	for i := range s.shifts {
		sh := &s.shifts[i]
		fullShare := float64(sh.SharePerMille) / 1000
		// fitShare drops at once to what the last plan found to fit, and grows
		// slowly.
		sh.fitShare, sh.nextFit = min(sh.nextFit, sh.fitShare*1.05+0.01), 1
		sh.moved.advance(s.second)
		sh.moved.add(0, float64(sh.granted-max(sh.quota.Swap(0), 0)))
		// Answers live up to the longest lifetime, and the current second
		// counts too.
		moved := sh.moved.outstanding(0, 0, int64(s.cfg.Lifetime/time.Second)+1)
		sh.capCallers = int64(s.shiftPart(sh, live) * float64(sh.Cap) / 1000 / s.cfg.RequestRate)
		sh.granted = max(sh.capCallers-int64(moved), 0)
		sh.quota = new(atomic.Int64)
		sh.quota.Store(sh.granted)
		allowed := fullShare
		if callers := s.activeCallers(sh.from); callers*fullShare > 0 {
			allowed = min(fullShare, float64(sh.capCallers)/callers)
		}
		sh.share = min(sh.share+maxShiftGrowth*fullShare, allowed, fullShare*sh.fitShare)
	}
}

// activeCallers returns the number of callers of some home domains that use
// an answer of this host.
func (s *Planner) activeCallers(homes []int32) float64 {
	callers := 0.0
	for _, d := range homes {
		for _, sv := range s.services {
			if int(d)+1 < len(sv.answersByHome.sums) {
				callers += sv.answersByHome.outstanding(int(d)+1, 0, s.meanLifetimeSeconds())
			}
		}
	}
	return callers
}

// shiftPart returns this host's part of a shift's cap. Hosts of the region
// that callers leave get most of it, because they answer most look-ups of
// these callers.
func (s *Planner) shiftPart(sh *shiftState, live int) float64 {
	from := make(map[core.DomainID]bool, len(sh.from))
	for _, d := range sh.from {
		from[s.domains.names[d]] = true
	}
	inRegion := 0
	for _, h := range s.hosts {
		if (h.State == core.HostLive || h.State == "") && from[h.Domain] {
			inRegion++
		}
	}
	if inRegion == 0 {
		return 1 / float64(max(live, 1))
	}
	return s.hostPart(from[s.cfg.Self.Domain], inRegion, live)
}

// allocateShifts assigns the shifted demand to the budgets of the target
// region and subtracts it from the homes' demand. If it does not fit, the
// next plans shift fewer blocks.
func (s *Planner) allocateShifts(sv *service, usable []bool, demand, remaining []float64) []ranking {
	rankings := make([]ranking, len(s.shifts))
	for i := range s.shifts {
		sh := &s.shifts[i]
		moved := 0.0
		for _, d := range sh.from {
			moved += demand[d] * sh.share
			demand[d] -= demand[d] * sh.share
		}
		free, total, weight := 0.0, 0.0, make([]float64, len(remaining))
		for _, d := range sh.to {
			if usable[d] && sv.capacity[d] > 0 {
				// The domain's own callers have priority.
				free += max(remaining[d]-demand[d], 0)
				weight[d] = sv.capacity[d]
				total += sv.capacity[d]
			}
		}
		if moved > 100*minDemand {
			sh.nextFit = min(sh.nextFit, free/moved*sh.share*1000/float64(max(sh.SharePerMille, 1)))
		}
		for d, w := range weight {
			if w <= 0 {
				continue
			}
			remaining[d] = max(remaining[d]-moved*w/total, 0)
			rankings[i].weighted = append(rankings[i].weighted, s.weightedDomain(d, w))
		}
		home := len(s.domains.names)
		if len(sh.from) > 0 {
			home = int(sh.from[0])
		}
		rankings[i].fallbacks = s.fallbacks(sv, home, func(d int32) bool { return weight[d] > 0 })
	}
	return rankings
}

func (s *Planner) shiftViews() [][]shiftView {
	out := make([][]shiftView, len(s.domains.names)+1)
	for i, sh := range s.shifts {
		view := shiftView{index: i, name: sh.Name, seed: sh.seed, share: sh.share, fullShare: float64(sh.SharePerMille) / 1000, quota: sh.quota}
		for _, d := range sh.from {
			out[d] = append(out[d], view)
		}
	}
	return out
}
