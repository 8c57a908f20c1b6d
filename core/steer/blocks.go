package steer

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"

	"azurering/core"
)

// domainIndex numbers domains. The numbers stay the same across sheets, so
// that the table of blocks can be kept.
type domainIndex struct {
	names []core.DomainID
	ids   map[core.DomainID]int32
}

// intern returns the number of a domain and assigns one to a new domain.
func (d *domainIndex) intern(name core.DomainID) int32 {
	if id, ok := d.ids[name]; ok {
		return id
	}
	if d.ids == nil {
		d.ids = make(map[core.DomainID]int32)
	}
	id := int32(len(d.names))
	d.names = append(d.names, name)
	d.ids[name] = id
	return id
}

// block is the value of a prefix. The hash identifies the block in rendezvous
// hashing. Its 32 bits keep the value at eight bytes.
type block struct {
	hash uint32
	home int32
}

// blockTable maps client addresses to blocks by longest prefix match.
type blockTable struct {
	table *bart.Table[block]
	list  []core.AddressBlock
	// unknownHome is the home of addresses without a block: the number after
	// the last domain.
	unknownHome int32
}

func hashPrefix(p netip.Prefix) uint32 {
	var buf [17]byte
	a := p.Addr().As16()
	copy(buf[:], a[:])
	buf[16] = byte(p.Bits())
	return uint32(xxhash.Sum64(buf[:]))
}

// lookup returns the hash and the home domain of an address. An address
// without a block belongs to the block of its /24 or, for IPv6, /48 prefix.
func (b *blockTable) lookup(addr netip.Addr) (uint64, int32) {
	addr = addr.Unmap()
	if found, ok := b.table.Lookup(addr); ok {
		return uint64(found.hash), found.home
	}
	bits := 24
	if addr.Is6() {
		bits = 48
	}
	p, err := addr.WithZone("").Prefix(bits)
	if err != nil {
		return 0, b.unknownHome
	}
	return uint64(hashPrefix(p)), b.unknownHome
}

func (b *blockTable) insert(domains *domainIndex, list []core.AddressBlock) {
	for _, e := range list {
		if p := e.Prefix.Masked(); p.IsValid() {
			b.table.Insert(p, block{hash: hashPrefix(p), home: domains.intern(e.Domain)})
		}
	}
}

// The table is rebuilt if at least one in rebuildDivisor of its blocks changed.
// Each persistent change copies a path of the table, so many of them cost more
// than a rebuild.
const rebuildDivisor = 10

// updated returns the table for a new list. An unchanged list keeps the
// table; a few changes copy only the paths that they touch.
func (b *blockTable) updated(domains *domainIndex, list []core.AddressBlock) *blockTable {
	if b != nil && equalBlocks(b.list, list) {
		return &blockTable{table: b.table, list: b.list}
	}
	if b != nil {
		if changed, removed := diffBlocks(b.list, list); (len(changed)+len(removed))*rebuildDivisor < len(list) {
			table := b.table
			for _, e := range removed {
				table = table.DeletePersist(e.Prefix.Masked())
			}
			for _, e := range changed {
				if p := e.Prefix.Masked(); p.IsValid() {
					table = table.InsertPersist(p, block{hash: hashPrefix(p), home: domains.intern(e.Domain)})
				}
			}
			return &blockTable{table: table, list: list}
		}
	}
	next := &blockTable{table: new(bart.Table[block]), list: list}
	next.insert(domains, list)
	return next
}

// equalBlocks reports whether two lists are equal. Comparing a list with
// itself costs nothing.
func equalBlocks(a, b []core.AddressBlock) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0] || slices.Equal(a, b)
}

// diffBlocks returns the blocks that were added or changed, and those that
// were removed.
func diffBlocks(before, after []core.AddressBlock) (changed, removed []core.AddressBlock) {
	before, after = trimCommon(before, after)
	previous := make(map[netip.Prefix]core.DomainID, len(before))
	for _, e := range before {
		previous[e.Prefix.Masked()] = e.Domain
	}
	for _, e := range after {
		p := e.Prefix.Masked()
		if d, ok := previous[p]; !ok || d != e.Domain {
			changed = append(changed, e)
		}
		delete(previous, p)
	}
	for p := range previous {
		removed = append(removed, core.AddressBlock{Prefix: p})
	}
	return changed, removed
}

// trimCommon removes what both lists have in common: equal entries at the
// same positions if the lists have the same length, otherwise the common head
// and tail. diffBlocks compares the rest block by block.
func trimCommon(before, after []core.AddressBlock) (b, a []core.AddressBlock) {
	if len(before) == len(after) {
		for i := range before {
			if before[i] != after[i] {
				b = append(b, before[i])
				a = append(a, after[i])
			}
		}
		return b, a
	}
	for len(before) > 0 && len(after) > 0 && before[0] == after[0] {
		before, after = before[1:], after[1:]
	}
	for len(before) > 0 && len(after) > 0 && before[len(before)-1] == after[len(after)-1] {
		before, after = before[:len(before)-1], after[:len(after)-1]
	}
	return before, after
}
