package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"azurering/core"
)

// blocksWire holds the blocks of a sheet in one byte string. A CBOR array per
// block would take three times the bytes and thirty times the allocations.
//
// Each block consists of one byte for the address family and the prefix
// length (the length for IPv4, v6Offset plus the length for IPv6), the index
// of its domain as a varint, and the address bytes that the prefix covers.
type blocksWire struct {
	_       struct{} `cbor:",toarray"`
	Domains []core.DomainID
	Count   uint64
	Packed  []byte
}

// v6Offset is added to the prefix length of IPv6, so that IPv4 uses 0 to 32
// and IPv6 uses 64 to 192.
const v6Offset = 64

// minBlockSize is the size of the shortest block in bytes.
const minBlockSize = 2

func packBlocks(blocks []core.AddressBlock) (blocksWire, error) {
	w := blocksWire{Count: uint64(len(blocks))}
	w.Packed = make([]byte, 0, 6*len(blocks))
	index := make(map[core.DomainID]uint64)
	for _, b := range blocks {
		if !b.Prefix.IsValid() || b.Prefix != b.Prefix.Masked() {
			return blocksWire{}, errors.Errorf("prefix %s of a block is invalid or has bits set beyond its length", b.Prefix)
		}
		domain, ok := index[b.Domain]
		if !ok {
			domain = uint64(len(w.Domains))
			index[b.Domain] = domain
			w.Domains = append(w.Domains, b.Domain)
		}
		w.Packed = appendBlock(w.Packed, b.Prefix, domain)
	}
	return w, nil
}

func appendBlock(packed []byte, prefix netip.Prefix, domain uint64) []byte {
	bits := prefix.Bits()
	size := (bits + 7) / 8
	if prefix.Addr().Is4() {
		packed = binary.AppendUvarint(append(packed, byte(bits)), domain)
		addr := prefix.Addr().As4()
		return append(packed, addr[:size]...)
	}
	packed = binary.AppendUvarint(append(packed, byte(v6Offset+bits)), domain)
	addr := prefix.Addr().As16()
	return append(packed, addr[:size]...)
}

func (w blocksWire) blocks() ([]core.AddressBlock, error) {
	if w.Count > uint64(len(w.Packed)/minBlockSize) {
		return nil, errors.Errorf("%d blocks do not fit into %d bytes", w.Count, len(w.Packed))
	}
	if w.Count == 0 {
		if len(w.Packed) > 0 || len(w.Domains) > 0 {
			return nil, errors.New("bytes after the last block")
		}
		return nil, nil
	}
	blocks := make([]core.AddressBlock, w.Count)
	rest := w.Packed
	for i := range blocks {
		var err error
		if rest, err = w.unpackBlock(&blocks[i], rest); err != nil {
			return nil, errors.Wrapf(err, "block %d", i)
		}
	}
	if len(rest) > 0 {
		return nil, errors.New("bytes after the last block")
	}
	return blocks, nil
}

// unpackBlock reads one block into b and returns the bytes after it.
func (w blocksWire) unpackBlock(b *core.AddressBlock, packed []byte) ([]byte, error) {
	if len(packed) < minBlockSize {
		return nil, errors.New("block is cut off")
	}
	lengthByte := int(packed[0])
	domain, n := binary.Uvarint(packed[1:])
	if n <= 0 || domain >= uint64(len(w.Domains)) {
		return nil, errors.New("domain index is unknown or cut off")
	}
	packed = packed[1+n:]
	prefix, size, err := readPrefix(lengthByte, packed)
	if err != nil {
		return nil, err
	}
	b.Prefix, b.Domain = prefix, w.Domains[domain]
	return packed[size:], nil
}

// readPrefix returns the prefix for a length byte and the number of address
// bytes that it took from packed.
func readPrefix(lengthByte int, packed []byte) (netip.Prefix, int, error) {
	bits, isIPv6 := lengthByte, false
	if lengthByte >= v6Offset {
		bits, isIPv6 = lengthByte-v6Offset, true
	}
	size := (bits + 7) / 8
	if (!isIPv6 && bits > 32) || bits > 128 || size > len(packed) {
		return netip.Prefix{}, 0, errors.New("prefix length is out of range or the address is cut off")
	}
	var addr netip.Addr
	if isIPv6 {
		var raw [16]byte
		copy(raw[:], packed[:size])
		addr = netip.AddrFrom16(raw)
	} else {
		var raw [4]byte
		copy(raw[:], packed[:size])
		addr = netip.AddrFrom4(raw)
	}
	prefix := netip.PrefixFrom(addr, bits)
	if prefix != prefix.Masked() {
		return netip.Prefix{}, 0, errors.New("address has bits set beyond the prefix length")
	}
	return prefix, size, nil
}
