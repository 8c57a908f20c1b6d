package picker_test

import (
	"fmt"
	"testing"

	"azurering/core"
	"azurering/core/picker"
)

// Measures the choice among 30 to 3000 servers; 3000 run on about 300
// machines.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			env := newTestEnv("h1", "a")
			for i := range n {
				env.view.Update(instance(i, []core.DomainID{"a", "b", "c"}[i%3]))
			}
			env.view.SetRemoteInFlight(nil)
			for i := 0; b.Loop(); i++ {
				lease, err := env.view.Acquire(stickyAsk(fmt.Sprint(i % 100)))
				if err != nil {
					b.Fatal(err)
				}
				lease.Release(picker.OutcomeAnswered, nil)
			}
		})
	}
}

// Measures loading the whole list of servers, as after a start.
func BenchmarkPut(b *testing.B) {
	for b.Loop() {
		env := newTestEnv("h1", "a")
		env.addServers(3000, "a")
		env.view.SetRemoteInFlight(nil)
	}
}
