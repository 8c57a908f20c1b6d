package timer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core/timer"
)

// Guards against a late subscriber getting a burst of ticks: one that slept
// through many periods must get one tick.
func TestManualTicksCoalesce(t *testing.T) {
	m := timer.NewManual()
	ticks := m.NewTicker("test", time.Second)
	m.Advance(10 * time.Second)
	require.Equal(t, 10*time.Second, <-ticks.C())
	select {
	case <-ticks.C():
		t.Fatal("a second tick arrived for one advance")
	default:
	}
	ticks.Stop()
	m.Advance(time.Second)
	require.Empty(t, ticks.C())
}

// Guards against alarms that fire early or not at all.
func TestManualAfter(t *testing.T) {
	m := timer.NewManual()
	alarm := m.After(2 * time.Second)
	m.Advance(time.Second)
	require.Empty(t, alarm)
	m.Advance(time.Second)
	require.Equal(t, 2*time.Second, <-alarm)
}
