package picker_test

import (
	"fmt"
	"testing"

	"azurering/core"
	"azurering/core/picker"
)

// The cost of a choice among the servers of 300 machines.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLab("h1", "a")
			for i := range n {
				l.view.Update(instance(i, []core.DomainID{"a", "b", "c"}[i%3]))
			}
			l.view.SetRemoteInFlight(nil)
			for i := 0; b.Loop(); i++ {
				lease, err := l.view.Acquire(ask(fmt.Sprint(i % 100)))
				if err != nil {
					b.Fatal(err)
				}
				lease.Release(picker.OutcomeAnswered, nil)
			}
		})
	}
}

// The cost of reading the list of servers, as after a start.
func BenchmarkPut(b *testing.B) {
	for b.Loop() {
		l := newLab("h1", "a")
		l.fill(3000, "a")
		l.view.SetRemoteInFlight(nil)
	}
}
