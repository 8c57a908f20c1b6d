package share_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"azurering/core"
	"azurering/core/share"
)

func sum(list []int64) int64 {
	var s int64
	for _, v := range list {
		s += v
	}
	return s
}

// Guards against divisions that lose units, exceed the total, or give one
// party more than it wants while another lacks.
func TestDivideIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 1<<40).Draw(t, "total")
		wants := rapid.SliceOfN(rapid.Int64Range(-5, 1<<38), 1, 60).Draw(t, "wants")
		require.Equal(t, total, sum(share.MaxMin(total, wants)))
		parts, left := share.MaxMinUpTo(total, wants)
		require.Equal(t, total, sum(parts)+left)
		for i, p := range parts {
			require.GreaterOrEqual(t, p, int64(0))
			require.LessOrEqual(t, p, max(wants[i], 0))
			if p >= wants[i] {
				continue
			}
			require.Zero(t, left, "party %d lacks while something is left", i)
			for j, q := range parts {
				require.LessOrEqual(t, q, p+1, "party %d has more than %d, which lacks", j, i)
			}
		}
	})
}

// Guards against splits that lose units or favour a party by more than one.
func TestSplitAndProportionKeepTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 1<<50).Draw(t, "total")
		n := rapid.IntRange(1, 54).Draw(t, "n")
		parts := share.SplitEqually(total, n)
		require.Equal(t, total, sum(parts))
		require.LessOrEqual(t, parts[0]-parts[n-1], int64(1))
		weights := rapid.SliceOfN(rapid.Int64Range(0, 1<<40), n, n).Draw(t, "weights")
		shares := share.SplitByWeight(total, weights)
		require.Equal(t, total, sum(shares))
		for i, w := range weights {
			if sum(weights) > 0 && w == 0 {
				require.Zero(t, shares[i])
			}
		}
	})
}

// Guards against rows that change in the table, and against malformed rows
// that are taken as amounts.
func TestRowCodec(t *testing.T) {
	row := share.Row{
		Version: 7, Limit: core.Amount{Rate: 10, Burst: 20},
		Amounts: map[core.DomainID]core.Amount{"a": {Rate: 4, Burst: 9}, "b": {Rate: 6, Burst: 11}},
		Parts:   map[core.DomainID]core.Amount{"a": {Rate: 1, Burst: 2}},
	}
	body, err := share.EncodeRow(row)
	require.NoError(t, err)
	got, err := share.DecodeRow(body)
	require.NoError(t, err)
	require.Equal(t, row, got)
	_, err = share.DecodeRow(body[:len(body)-1])
	require.ErrorContains(t, err, "malformed")
	row.Amounts["a"] = core.Amount{Rate: -1}
	body, err = share.EncodeRow(row)
	require.NoError(t, err)
	_, err = share.DecodeRow(body)
	require.ErrorContains(t, err, "negative")
}
