package bench_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/bench"
)

// fullSize reports whether the tests run at the sizes of docs/CAPACITY.md.
func fullSize() bool { return os.Getenv("AZURERING_CAPACITY") != "" }

func fleetConfig(domains, perDomain int) bench.FleetConfig {
	return bench.FleetConfig{Domains: domains, PerDomain: perDomain, Workspaces: 8, Servers: 8, Loss: 0.02, Seed: 7}
}

// Guards against changes that do not reach every host, and against pushes
// whose bytes per host grow with the number of hosts. With AZURERING_CAPACITY
// set it prints the table of docs/CAPACITY.md.
func TestCapacitySpread(t *testing.T) {
	sizes, changes := [][2]int{{6, 2}, {6, 4}}, 4
	if fullSize() {
		sizes, changes = [][2]int{{6, 2}, {10, 5}, {10, 10}, {20, 10}, {20, 15}}, 20
	}
	for _, peersOnly := range []bool{false, true} {
		var results []bench.SpreadResult
		for _, size := range sizes {
			cfg := fleetConfig(size[0], size[1])
			cfg.PeersOnly = peersOnly
			r, err := bench.Spread(cfg, changes)
			require.NoError(t, err)
			require.Equal(t, changes, r.Reached, "changes that every one of %d hosts got", r.Hosts)
			results = append(results, r)
			require.Less(t, r.Bytes, 1.5*results[0].Bytes, "bytes per host must not grow with the number of hosts")
		}
		t.Logf("peers only: %v\n%s", peersOnly, bench.SpreadTable(results))
	}
}

// Guards against hosts that stop being fresh or miss a version, with and
// without changes, and against heartbeats whose size grows with the number of
// hosts. With AZURERING_CAPACITY set it prints the tables of docs/CAPACITY.md.
func TestCapacityTraffic(t *testing.T) {
	sizes, seconds := [][2]int{{6, 2}, {6, 4}}, 10
	if fullSize() {
		sizes, seconds = [][2]int{{6, 2}, {6, 10}, {6, 50}, {20, 5}, {20, 15}, {54, 2}, {54, 5}}, 60
	}
	var results []bench.TrafficResult
	for _, changing := range []bool{false, true} {
		for _, size := range sizes {
			cfg := fleetConfig(size[0], size[1])
			r, err := bench.Traffic(cfg, seconds, changing)
			require.NoError(t, err)
			require.Equal(t, cfg.Domains, r.Holders, "domains with an acting holder")
			require.Equal(t, r.Hosts, r.Fresh, "fresh hosts")
			require.Zero(t, r.Behind, "hosts without the newest version")
			results = append(results, r)
			require.Less(t, r.Sent["host"]["beat"].Bytes, 3*results[0].Sent["reader"]["beat"].Bytes, "bytes of heartbeats must not grow with the number of hosts")
		}
	}
	t.Logf("messages\n%s", bench.TrafficTable(results))
	t.Logf("store\n%s", bench.StoreTable(results))
}

// Guards against an overlay of neighbours in which a change does not reach
// every host. TestCapacitySpread runs the hosts' own code at some of the same
// sizes, for comparison with the model.
func TestCapacityFlood(t *testing.T) {
	sizes, runs := [][2]int{{6, 2}, {6, 4}}, 5
	if fullSize() {
		sizes, runs = [][2]int{{6, 2}, {10, 10}, {20, 15}, {54, 20}, {54, 106}}, 20
	}
	var results []bench.FloodResult
	for _, size := range sizes {
		cfg := fleetConfig(size[0], size[1])
		r := bench.Flood(cfg, runs)
		require.Equal(t, runs, r.Reached, "changes that every one of %d hosts got", r.Hosts)
		results = append(results, r)
	}
	t.Logf("model\n%s", bench.FloodTable(results))
}

// TestCapacityCosts prints processor times. It asserts nothing about them
// because they depend on the machine.
func TestCapacityCosts(t *testing.T) {
	if !fullSize() {
		t.Skip("processor times are measured with AZURERING_CAPACITY=1 only")
	}
	costs, err := bench.Costs(bench.CostSizes{
		Keys: []int{1_000, 10_000, 100_000}, Hosts: []int{300, 1_500, 5_700}, Resources: []int{10, 100, 1_000},
		Callers: []int{1, 10, 100}, Blocks: []int{10_000, 100_000, 930_000}, Servers: 4_100,
	})
	require.NoError(t, err)
	t.Logf("processor\n%s", bench.CostTable(costs))
}

// Guards against kinds of items whose memory grows faster than their number.
func TestCapacityMemory(t *testing.T) {
	sizes := bench.MemorySizes{
		Blocks: []int{10_000, 30_000}, Sites: []int{500, 1_500}, Hosts: []int{300, 900}, Shares: []int{10, 30},
		Keys: []int{1_000, 3_000}, Withdrawals: []int{1_000, 3_000}, Orders: []int{300, 900},
	}
	if fullSize() {
		sizes = bench.MemorySizes{
			Blocks: []int{10_000, 100_000, 930_000}, Sites: []int{100, 1_000, 4_100}, Hosts: []int{300, 1_500, 5_700}, Shares: []int{10, 100, 1_000},
			Keys: []int{1_000, 10_000, 100_000}, Withdrawals: []int{1_000, 10_000, 100_000}, Orders: []int{100, 1_000, 10_000},
		}
	}
	results, err := bench.Memory(sizes)
	require.NoError(t, err)
	firstBytesEach := make(map[string]float64)
	for _, r := range results {
		bytesEach := float64(r.Bytes) / float64(r.Count)
		if firstBytesEach[r.Item] == 0 {
			firstBytesEach[r.Item] = bytesEach
		}
		require.Positive(t, r.Bytes, r.Item)
		require.Less(t, bytesEach, 2*firstBytesEach[r.Item], "%s: bytes each grow with the number", r.Item)
	}
	t.Logf("memory\n%s", bench.MemoryTable(results))
}
