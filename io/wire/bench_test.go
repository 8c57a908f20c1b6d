package wire_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/io/wire"
)

func BenchmarkMessages(b *testing.B) {
	for _, zero := range messages {
		m := filled(zero).(core.Message)
		frame, err := wire.EncodeFrame(1000, m)
		require.NoError(b, err)
		b.Run("encode/"+string(m.Kind()), func(b *testing.B) {
			for b.Loop() {
				_, _ = wire.EncodeFrame(1000, m)
			}
			b.ReportMetric(float64(len(frame)), "bytes")
		})
		b.Run("decode/"+string(m.Kind()), func(b *testing.B) {
			for b.Loop() {
				_, _, _ = wire.DecodeFrame(frame)
			}
		})
	}
}

// wideSheet returns a sheet with n blocks over 54 failure domains.
func wideSheet(n int) core.Sheet {
	s := core.Sheet{Name: "wide", Blocks: make([]core.AddressBlock, n)}
	for i := range s.Blocks {
		raw := [4]byte{byte(1 + i>>16), byte(i >> 8), byte(i), 0}
		s.Blocks[i] = core.AddressBlock{
			Prefix: netip.PrefixFrom(netip.AddrFrom4(raw), 24),
			Domain: core.DomainID(fmt.Sprintf("domain-%02d", i%54)),
		}
	}
	return s
}

func BenchmarkSheet(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 930_000} {
		s := wideSheet(n)
		body, err := wire.EncodeSheet(s)
		require.NoError(b, err)
		b.Run(fmt.Sprintf("encode/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = wire.EncodeSheet(s)
			}
			b.ReportMetric(float64(len(body)), "bytes")
		})
		b.Run(fmt.Sprintf("decode/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = wire.DecodeSheet(body)
			}
		})
	}
}
