package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/timer"
)

// Guards against an evacuation that ends because an older copy of the store lacks it, and
// against one that never ends although the operator has taken it back.
func TestLostEvacuationEndsInTime(t *testing.T) {
	clock := timer.NewManual()
	hold := operatorRewriteTime(core.HostSettings{Bounds: core.PlatformLimits{RecoveryTime: 20 * time.Second}})
	require.Equal(t, 20*time.Second, hold)
	var inForce map[core.DomainID]bool
	e := newEvacuations(clock, func(domains map[core.DomainID]bool) { inForce = domains })
	set := func(domain core.DomainID, evacuated bool, hold time.Duration) {
		e.set(domain, evacuated, hold)
		e.publish()
	}
	for _, domain := range []core.DomainID{"lost", "again", "over"} {
		set(domain, true, 0)
		set(domain, false, hold)
	}
	set("again", true, 0)
	set("over", false, 0)
	set("other", false, hold)
	require.Equal(t, map[core.DomainID]bool{"lost": true, "again": true}, inForce)
	clock.Advance(hold - time.Millisecond)
	require.Empty(t, e.expire())
	clock.Advance(time.Millisecond)
	require.Equal(t, []core.DomainID{"lost"}, e.expire())
	e.publish()
	require.Equal(t, map[core.DomainID]bool{"again": true}, inForce)
}
