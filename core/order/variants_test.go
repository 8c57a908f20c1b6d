package order_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// variant is a way to claim orders, for the comparison in
// docs/parts/order.md. Only variantTable is built; the others are models.
type variant string

const (
	variantTable  variant = "table"  // claims in the table only
	variantHybrid variant = "hybrid" // in the table, or at the home domain while the host's store is down
	variantBound  variant = "bound"  // always at the home domain, which also writes the table
)

const (
	outageFrom = 10 * time.Minute
	outageTo   = 20 * time.Minute
	holderDies = 15 * time.Minute
	domains    = 6
)

// try is one attempt at an order in the model.
type try struct {
	at   time.Duration
	key  int
	from int // domain of the host
	left int // attempts that the caller makes after this one
}

// model plays one variant. cutOff is the number of domains that lose the
// store during the outage.
type model struct {
	variant variant
	cutOff  int
	table   map[int]bool
	memory  [domains]map[int]bool // claims that the candidates of a domain know
	runs    map[int]int
	inside  int // orders first run during the outage
}

func (m *model) storeDown(domain int, at time.Duration) bool {
	return domain < m.cutOff && at >= outageFrom && at < outageTo
}

// claim reports whether the attempt may run the order.
func (m *model) claim(t try) bool {
	home := t.key % domains
	switch {
	case m.variant == variantBound:
		// A seat does not move without the store, and its last holder's
		// memory is what makes a claim without the table safe.
		if m.storeDown(home, t.at) && home == 0 && t.at >= holderDies {
			return false
		}
		return m.remember(home, t.key)
	case !m.storeDown(t.from, t.at):
		if m.table[t.key] {
			return false
		}
		m.table[t.key] = true
		return true
	case m.variant == variantTable:
		return false
	case m.storeDown(home, t.at) && home == 0 && t.at >= holderDies:
		return false
	default:
		return m.remember(home, t.key)
	}
}

func (m *model) remember(home, key int) bool {
	if m.memory[home][key] {
		return false
	}
	m.memory[home][key] = true
	return true
}

// flush writes the claims of the outage to the table when it returns.
func (m *model) flush() {
	for _, known := range m.memory {
		for key := range known {
			m.table[key] = true
		}
	}
}

// play runs 20 orders a second for 30 minutes. An order that did not run is
// tried again each minute; the caller misses 2% of the answers and then
// repeats the order at another host.
func (m *model) play() (doubles int) {
	r := rand.New(rand.NewPCG(5, 6))
	m.table, m.runs = make(map[int]bool), make(map[int]int)
	for i := range m.memory {
		m.memory[i] = make(map[int]bool)
	}
	var tries []try
	for key := range 20 * 1800 {
		tries = append(tries, try{at: time.Duration(key) * 50 * time.Millisecond, key: key, from: r.IntN(domains), left: 15})
	}
	flushed := false
	for i := 0; i < len(tries); i++ {
		t := tries[i]
		if !flushed && t.at >= outageTo {
			m.flush()
			flushed = true
		}
		ran := m.claim(t)
		if ran {
			m.runs[t.key]++
			if m.runs[t.key] == 1 && t.at >= outageFrom && t.at < outageTo {
				m.inside++
			}
		}
		if t.left > 0 && (m.runs[t.key] == 0 || (ran && r.IntN(50) == 0)) {
			next := try{at: t.at + time.Minute, key: t.key, from: r.IntN(domains), left: t.left - 1}
			at := i + 1 + sort.Search(len(tries)-i-1, func(j int) bool { return tries[i+1+j].at > next.at })
			tries = append(tries[:at], append([]try{next}, tries[at:]...)...)
		}
	}
	for _, n := range m.runs {
		doubles += max(n-1, 0)
	}
	return doubles
}

// BenchmarkVariants compares ways to claim by the orders first run during a
// store outage of ten minutes, and by the orders that ran twice.
func BenchmarkVariants(b *testing.B) {
	for _, cutOff := range []int{domains, 4} {
		for _, v := range []variant{variantTable, variantHybrid, variantBound} {
			b.Run(fmt.Sprintf("down-for=%d-of-%d/%s", cutOff, domains, v), func(b *testing.B) {
				for b.Loop() {
					m := &model{variant: v, cutOff: cutOff}
					doubles := m.play()
					b.ReportMetric(float64(m.inside), "accepted")
					b.ReportMetric(float64(doubles), "doubles")
				}
			})
		}
	}
}
