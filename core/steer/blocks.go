package steer

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"

	"azurering/core"
)

// dictionary gives domains numbers that stay the same over sheets, so that
// the table of blocks outlives them.
type dictionary struct {
	names []core.DomainID
	ids   map[core.DomainID]int32
}

func (d *dictionary) id(name core.DomainID) int32 {
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

// block is the value of one prefix. The hash identifies the block in
// rendezvous hashing; 32 bits keep the value at eight bytes.
type block struct {
	hash uint32
	home int32
}

// blocks is the longest prefix match from client addresses to blocks.
type blocks struct {
	table *bart.Table[block]
	list  []core.AddressBlock
	// other is the home of addresses without a block, the number after the
	// last domain.
	other int32
}

func hashPrefix(p netip.Prefix) uint32 {
	var buf [17]byte
	a := p.Addr().As16()
	copy(buf[:], a[:])
	buf[16] = byte(p.Bits())
	return uint32(xxhash.Sum64(buf[:]))
}

// look returns the hash and the home domain of an address. An address
// without a block is its own block of 24 or 48 bits.
func (b *blocks) look(addr netip.Addr) (uint64, int32) {
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
		return 0, b.other
	}
	return uint64(hashPrefix(p)), b.other
}

func (b *blocks) insert(dict *dictionary, list []core.AddressBlock) {
	for _, e := range list {
		if p := e.Prefix.Masked(); p.IsValid() {
			b.table.Insert(p, block{hash: hashPrefix(p), home: dict.id(e.Domain)})
		}
	}
}

// rebuildShare is the part of the blocks above which a changed list builds a
// new table: each persistent change copies one path of it.
const rebuildShare = 10

// updated returns the blocks for a new list. An unchanged list keeps the
// table, a few changes copy only the paths that they touch.
func (b *blocks) updated(dict *dictionary, list []core.AddressBlock) *blocks {
	if b != nil && sameList(b.list, list) {
		return &blocks{table: b.table, list: b.list}
	}
	if b != nil {
		if changed, gone := diff(b.list, list); (len(changed)+len(gone))*rebuildShare < len(list) {
			table := b.table
			for _, e := range gone {
				table = table.DeletePersist(e.Prefix.Masked())
			}
			for _, e := range changed {
				if p := e.Prefix.Masked(); p.IsValid() {
					table = table.InsertPersist(p, block{hash: hashPrefix(p), home: dict.id(e.Domain)})
				}
			}
			return &blocks{table: table, list: list}
		}
	}
	next := &blocks{table: new(bart.Table[block]), list: list}
	next.insert(dict, list)
	return next
}

// sameList reports whether two lists are equal; a list shared with the
// sheet before costs nothing.
func sameList(a, b []core.AddressBlock) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0] || slices.Equal(a, b)
}

// diff returns the blocks that were added or changed, and those that went.
func diff(before, after []core.AddressBlock) (changed, gone []core.AddressBlock) {
	before, after = trim(before, after)
	had := make(map[netip.Prefix]core.DomainID, len(before))
	for _, e := range before {
		had[e.Prefix.Masked()] = e.Domain
	}
	for _, e := range after {
		p := e.Prefix.Masked()
		if d, ok := had[p]; !ok || d != e.Domain {
			changed = append(changed, e)
		}
		delete(had, p)
	}
	for p := range had {
		gone = append(gone, core.AddressBlock{Prefix: p})
	}
	return changed, gone
}

// trim drops what both lists share: equal positions of lists of one length,
// else the equal head and tail. What is left is looked at block by block.
func trim(before, after []core.AddressBlock) (b, a []core.AddressBlock) {
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
