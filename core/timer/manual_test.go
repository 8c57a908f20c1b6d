package timer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core/timer"
)

// A subscriber that missed many periods must get one tick, not a burst of
// them.
func TestManualTicksCoalesce(t *testing.T) {
	m := timer.NewManual()
	ticks := m.NewTicker("test", time.Second)
	m.Advance(10 * time.Second)
	require.Equal(t, 10*time.Second, <-ticks.C())
	select {
	case <-ticks.C():
		t.Fatal("a second tick arrived after a single Advance")
	default:
	}
	ticks.Stop()
	m.Advance(time.Second)
	require.Empty(t, ticks.C())
}

// Guards against timeouts that fire early or not at all.
func TestManualAfterFiresWhenDue(t *testing.T) {
	m := timer.NewManual()
	timeout := m.After(2 * time.Second)
	m.Advance(time.Second)
	require.Empty(t, timeout)
	m.Advance(time.Second)
	require.Equal(t, 2*time.Second, <-timeout)
}
