package steer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"azurering/core"
	"azurering/core/steer"
)

// fullSheet builds the design size: 24 regions, 54 domains, 4,100 backend
// servers of two services, 5,700 entry hosts and n blocks.
func fullSheet(n int) (*core.Sheet, []core.Host) {
	sheet := &core.Sheet{Services: []core.Service{{Name: "a"}, {Name: "b"}}}
	var hosts []core.Host
	for d := range 54 {
		r := d % 24
		domain := core.DomainID(fmt.Sprintf("domain-%02d", d))
		if r == d {
			sheet.Regions = append(sheet.Regions, core.Region{Name: core.RegionID(fmt.Sprintf("region-%02d", r))})
		}
		sheet.Regions[r].Domains = append(sheet.Regions[r].Domains, domain)
		for h := range 106 {
			hosts = append(hosts, core.Host{Name: core.HostID(fmt.Sprintf("entry-%02d-%03d", d, h)), Domain: domain, State: core.HostLive, CallerAddress: "10.0.0.1:443", PeerAddress: "10.0.0.1:444"})
		}
	}
	for i := range 24 {
		for j := range i {
			sheet.Links = append(sheet.Links, core.Link{From: sheet.Regions[j].Name, To: sheet.Regions[i].Name, Delay: time.Duration(10+(i*7+j*3)%40) * time.Millisecond})
		}
	}
	for i := range 4100 {
		sheet.Servers = append(sheet.Servers, core.Server{Name: core.ServerID(fmt.Sprintf("server-%04d", i)), Service: sheet.Services[i%2].Name, Domain: hosts[i%54*106].Domain, Slots: 4})
	}
	random := rand.New(rand.NewPCG(7, 7))
	seen := make(map[uint32]bool, n)
	for len(sheet.Blocks) < n {
		// Random /24 blocks from 1.0.0.0 to 222.255.255.0.
		net := 1<<16 + random.Uint32N(222<<16)
		if seen[net] {
			continue
		}
		seen[net] = true
		addr := netip.AddrFrom4([4]byte{byte(net >> 16), byte(net >> 8), byte(net), 0})
		sheet.Blocks = append(sheet.Blocks, core.AddressBlock{Prefix: netip.PrefixFrom(addr, 24), Domain: hosts[random.IntN(54)*106].Domain})
	}
	return sheet, hosts
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLook measures one look-up, and the memory per block of a Planner
// without the sheet's own list.
func BenchmarkLook(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 930_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			sheet, hosts := fullSheet(n)
			before := heap()
			s := steer.New(steer.Config{Sheet: sheet, Hosts: hosts, Self: hosts[0]})
			perBlock := float64(heap()-before) / float64(n)
			buf := make([]core.Host, 0, 4)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i += 7919
				addr := sheet.Blocks[i%n].Prefix.Addr().Next()
				if _, err := s.Lookup("a", addr, buf); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(perBlock, "B/block")
		})
	}
}

// BenchmarkLookParallel measures look-ups from all processors at once.
func BenchmarkLookParallel(b *testing.B) {
	sheet, hosts := fullSheet(100_000)
	s := steer.New(steer.Config{Sheet: sheet, Hosts: hosts, Self: hosts[0]})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		buf := make([]core.Host, 0, 4)
		for i := 0; pb.Next(); i += 7919 {
			if _, err := s.Lookup("a", sheet.Blocks[i%len(sheet.Blocks)].Prefix.Addr(), buf); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkApply measures changes at the full size: draining a server, which
// changes no block; one changed block in a new list; a first build; and a
// plan.
func BenchmarkApply(b *testing.B) {
	sheet, hosts := fullSheet(930_000)
	s := steer.New(steer.Config{Sheet: sheet, Hosts: hosts, Self: hosts[0]})
	b.Run("drain", func(b *testing.B) {
		i := 0
		for b.Loop() {
			next := *sheet
			next.Drains = []core.Drain{{Kind: core.DrainServer, Target: string(sheet.Servers[i%4100].Name)}}
			s.Apply(time.Duration(i)*time.Second, &next)
			i++
		}
	})
	b.Run("block", func(b *testing.B) {
		i := 0
		for b.Loop() {
			next := *sheet
			next.Blocks = append([]core.AddressBlock(nil), sheet.Blocks...)
			next.Blocks[i%930_000].Domain = hosts[i%5000].Domain
			s.Apply(time.Duration(i)*time.Second, &next)
			i++
		}
	})
	b.Run("build", func(b *testing.B) {
		for b.Loop() {
			steer.New(steer.Config{Sheet: sheet, Hosts: hosts, Self: hosts[0]})
		}
	})
	b.Run("plan", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			s.Replan(time.Duration(i) * time.Second)
		}
	})
}
