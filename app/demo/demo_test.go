package demo_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/app/demo"
)

// Guards against invariant violations along the whole request path, with all
// parts on loopback in one process and with faults alone and in pairs. The
// demo checks workspace isolation, keys leaked to backend servers, rates,
// slots, orders run at most once, refused orders that ran, whole responses,
// withdrawn keys, drains and agreement on the version.
func TestRunHoldsUnderFaults(t *testing.T) {
	for name, faults := range map[string]demo.Faults{
		"planned work":                  {DrainServer: true, WithdrawKey: true, ShiftTraffic: true},
		"store down":                    {StoreDown: true},
		"store slow":                    {StoreSlow: true},
		"store loses answers":           {StoreLossy: true},
		"domain cut off":                {CutDomain: true},
		"region of the store lost":      {CutRegion: true},
		"host dies":                     {KillEntry: true},
		"host stops, key withdrawn":     {StopEntry: true, WithdrawKey: true},
		"store down, host dies":         {StoreDown: true, KillEntry: true},
		"domain cut off, key withdrawn": {CutDomain: true, WithdrawKey: true},
		"servers stall":                 {StallServers: true},
		"servers stall, store down":     {StallServers: true, StoreDown: true},
		"store slow, drain and shift":   {StoreSlow: true, DrainServer: true, ShiftTraffic: true},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			cfg := demo.Config{Deployment: demo.Atlas, Seconds: 8, Seed: 1, Faults: faults, Out: &out}
			if len(name)%2 == 0 {
				cfg.Deployment = demo.Association
			}
			require.NoError(t, demo.Run(context.Background(), cfg), "%s", &out)
			t.Logf("%s", &out)
		})
	}
}
