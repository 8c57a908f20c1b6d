package demo_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/app/demo"
)

// Guards against a violation of what must always hold over the whole path,
// with operators' work and faults under way.
func TestRunHoldsUnderFaults(t *testing.T) {
	for name, cfg := range map[string]demo.Config{
		"association, planned work": {Faults: demo.Faults{DrainServer: true, WithdrawKey: true, ShiftTraffic: true}},
		"atlas, store down":         {Deployment: demo.Atlas, Faults: demo.Faults{StoreDown: true}},
	} {
		t.Run(name, func(t *testing.T) {
			cfg.Seconds, cfg.Seed = 6, 1
			var out bytes.Buffer
			cfg.Out = &out
			require.NoError(t, demo.Run(context.Background(), cfg), "%s", &out)
		})
	}
}
