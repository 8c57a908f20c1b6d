package dynamo_test

import (
	"fmt"
	"testing"

	"azurering/core"
	"azurering/io/dynamo"
	"azurering/io/stand"
)

// BenchmarkTable measures the client together with the emulator over loopback,
// with one request at a time.
func BenchmarkTable(b *testing.B) {
	emulator := stand.New(stand.Config{})
	if err := emulator.Listen("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = emulator.Close() }()
	table, err := dynamo.New(dynamo.Config{Endpoint: emulator.URL() + stand.TablePath, AccessKey: "a", SecretKey: "s"})
	if err != nil {
		b.Fatal(err)
	}
	written := 0
	for _, rows := range []int{1, 25, 100} {
		b.Run(fmt.Sprintf("commit/%d", rows), func(b *testing.B) {
			for b.Loop() {
				var writes []core.Write
				for range rows {
					written++
					writes = append(writes, core.Write{
						Kind: core.WritePut, Space: core.SpaceOrder, Key: fmt.Sprintf("%012d", written),
						Token: "0123456789abcdef", Value: make([]byte, 200),
					})
				}
				if err := table.Commit(b.Context(), writes); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("get", func(b *testing.B) {
		for b.Loop() {
			if _, err := table.Get(b.Context(), core.SpaceOrder, "000000000001"); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("list/100", func(b *testing.B) {
		for b.Loop() {
			if _, err := table.List(b.Context(), core.SpaceOrder, "", 100); err != nil {
				b.Fatal(err)
			}
		}
	})
}
