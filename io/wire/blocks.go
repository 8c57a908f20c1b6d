package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"azurering/core"
)

// blocksWire holds the blocks of a sheet in one byte string. One CBOR array
// per block would take three times the bytes and thirty times the
// allocations.
//
// Each block is one byte for family and length of the prefix (the length
// for IPv4, v6Mark plus the length for IPv6), the index of its domain as a
// varint, and the bytes of the address that the prefix covers.
type blocksWire struct {
	_       struct{} `cbor:",toarray"`
	Domains []core.DomainID
	Count   uint64
	Packed  []byte
}

// v6Mark keeps the two families apart: IPv4 uses 0 to 32, IPv6 64 to 192.
const v6Mark = 64

// minBlock is the size of the shortest block in bytes.
const minBlock = 2

func packBlocks(blocks []core.AddressBlock) (blocksWire, error) {
	w := blocksWire{Count: uint64(len(blocks))}
	w.Packed = make([]byte, 0, 6*len(blocks))
	index := make(map[core.DomainID]uint64)
	for _, b := range blocks {
		if !b.Prefix.IsValid() || b.Prefix != b.Prefix.Masked() {
			return blocksWire{}, errors.Errorf("block %s is not a masked prefix", b.Prefix)
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
	used := (bits + 7) / 8
	if prefix.Addr().Is4() {
		packed = binary.AppendUvarint(append(packed, byte(bits)), domain)
		addr := prefix.Addr().As4()
		return append(packed, addr[:used]...)
	}
	packed = binary.AppendUvarint(append(packed, byte(v6Mark+bits)), domain)
	addr := prefix.Addr().As16()
	return append(packed, addr[:used]...)
}

func (w blocksWire) blocks() ([]core.AddressBlock, error) {
	if w.Count > uint64(len(w.Packed)/minBlock) {
		return nil, errors.Errorf("%d blocks in %d bytes", w.Count, len(w.Packed))
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
		if rest, err = w.block(&blocks[i], rest); err != nil {
			return nil, errors.Wrapf(err, "block %d", i)
		}
	}
	if len(rest) > 0 {
		return nil, errors.New("bytes after the last block")
	}
	return blocks, nil
}

// block reads one block and returns the bytes after it.
func (w blocksWire) block(b *core.AddressBlock, packed []byte) ([]byte, error) {
	if len(packed) < minBlock {
		return nil, errors.New("cut off")
	}
	mark := int(packed[0])
	domain, n := binary.Uvarint(packed[1:])
	if n <= 0 || domain >= uint64(len(w.Domains)) {
		return nil, errors.New("unknown domain")
	}
	packed = packed[1+n:]
	prefix, used, err := readPrefix(mark, packed)
	if err != nil {
		return nil, err
	}
	b.Prefix, b.Domain = prefix, w.Domains[domain]
	return packed[used:], nil
}

func readPrefix(mark int, packed []byte) (netip.Prefix, int, error) {
	bits, wide := mark, false
	if mark >= v6Mark {
		bits, wide = mark-v6Mark, true
	}
	used := (bits + 7) / 8
	if (!wide && bits > 32) || bits > 128 || used > len(packed) {
		return netip.Prefix{}, 0, errors.New("cut off or of unknown length")
	}
	var addr netip.Addr
	if wide {
		var raw [16]byte
		copy(raw[:], packed[:used])
		addr = netip.AddrFrom16(raw)
	} else {
		var raw [4]byte
		copy(raw[:], packed[:used])
		addr = netip.AddrFrom4(raw)
	}
	prefix := netip.PrefixFrom(addr, bits)
	if prefix != prefix.Masked() {
		return netip.Prefix{}, 0, errors.New("bits set behind the prefix")
	}
	return prefix, used, nil
}
