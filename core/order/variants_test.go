package order_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// variant is a way to claim orders, for the comparison in
// docs/parts/order.md. Only variantTable is implemented; the others are
// models.
type variant string

const (
	variantTable  variant = "table"  // claims in the table only
	variantHybrid variant = "hybrid" // in the table, or at the home domain while the host's store is down
	variantBound  variant = "bound"  // always at the home domain, which also writes the table
)

const (
	outageFrom    = 10 * time.Minute
	outageTo      = 20 * time.Minute
	holderFailsAt = 15 * time.Minute
	domains       = 6
)

// modelAttempt is one attempt at an order in the model.
type modelAttempt struct {
	at          time.Duration
	key         int
	from        int // domain of the host
	retriesLeft int // attempts that the caller makes after this one
}

// model simulates one variant. cutOff is the number of domains that lose the
// store during the outage.
type model struct {
	variant     variant
	cutOff      int
	table       map[int]bool
	memory      [domains]map[int]bool // claims in the memory of a domain's candidates for the seat
	runs        map[int]int
	ranInOutage int // orders first run during the outage
}

func (m *model) storeDown(domain int, at time.Duration) bool {
	return domain < m.cutOff && at >= outageFrom && at < outageTo
}

// claim reports whether the attempt may run the order.
func (m *model) claim(t modelAttempt) bool {
	home := t.key % domains
	switch {
	case m.variant == variantBound:
		// A seat does not move without the store: only the memory of its last
		// holder makes a claim safe without the table.
		if m.storeDown(home, t.at) && home == 0 && t.at >= holderFailsAt {
			return false
		}
		return m.claimInMemory(home, t.key)
	case !m.storeDown(t.from, t.at):
		if m.table[t.key] {
			return false
		}
		m.table[t.key] = true
		return true
	case m.variant == variantTable:
		return false
	case m.storeDown(home, t.at) && home == 0 && t.at >= holderFailsAt:
		return false
	default:
		return m.claimInMemory(home, t.key)
	}
}

// claimInMemory reports whether a claim in the memory of the home domain
// succeeds.
func (m *model) claimInMemory(home, key int) bool {
	if m.memory[home][key] {
		return false
	}
	m.memory[home][key] = true
	return true
}

// flush writes the claims in memory to the table after the outage.
func (m *model) flush() {
	for _, known := range m.memory {
		for key := range known {
			m.table[key] = true
		}
	}
}

// simulate runs 20 orders a second for 30 minutes and returns how many runs
// were duplicates. An order that did not run is retried each minute; the
// caller misses 2% of the answers and then repeats the order at another host.
func (m *model) simulate() (duplicates int) {
	r := rand.New(rand.NewPCG(5, 6))
	m.table, m.runs = make(map[int]bool), make(map[int]int)
	for i := range m.memory {
		m.memory[i] = make(map[int]bool)
	}
	var attempts []modelAttempt
	for key := range 20 * 1800 {
		attempts = append(attempts, modelAttempt{at: time.Duration(key) * 50 * time.Millisecond, key: key, from: r.IntN(domains), retriesLeft: 15})
	}
	flushed := false
	for i := 0; i < len(attempts); i++ {
		t := attempts[i]
		if !flushed && t.at >= outageTo {
			m.flush()
			flushed = true
		}
		ran := m.claim(t)
		if ran {
			m.runs[t.key]++
			if m.runs[t.key] == 1 && t.at >= outageFrom && t.at < outageTo {
				m.ranInOutage++
			}
		}
		if t.retriesLeft > 0 && (m.runs[t.key] == 0 || (ran && r.IntN(50) == 0)) {
			next := modelAttempt{at: t.at + time.Minute, key: t.key, from: r.IntN(domains), retriesLeft: t.retriesLeft - 1}
			at := i + 1 + sort.Search(len(attempts)-i-1, func(j int) bool { return attempts[i+1+j].at > next.at })
			attempts = append(attempts[:at], append([]modelAttempt{next}, attempts[at:]...)...)
		}
	}
	for _, n := range m.runs {
		duplicates += max(n-1, 0)
	}
	return duplicates
}

// BenchmarkVariants compares ways to claim by the orders first run during a
// store outage of ten minutes, and by the orders that ran twice.
func BenchmarkVariants(b *testing.B) {
	for _, cutOff := range []int{domains, 4} {
		for _, v := range []variant{variantTable, variantHybrid, variantBound} {
			b.Run(fmt.Sprintf("down-for=%d-of-%d/%s", cutOff, domains, v), func(b *testing.B) {
				for b.Loop() {
					m := &model{variant: v, cutOff: cutOff}
					duplicates := m.simulate()
					b.ReportMetric(float64(m.ranInOutage), "accepted")
					b.ReportMetric(float64(duplicates), "doubles")
				}
			})
		}
	}
}
