package beacon

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"azurering/core"
)

// versionWire is the encoded form of a core.Version: its number, and the era, if there
// is one, as the CBOR tag of the number. Hosts of earlier builds know no eras. They skip
// the tag and read the number; a further field would make the message unreadable to
// them. Their own versions have no tag and count as older than those of any era.
type versionWire core.Version

const (
	// eraTag is the tag of era 0. Tags above it have no other meaning.
	eraTag = 1 << 32
	// tagType is the type of a tag in the upper three bits of the first byte of an item.
	tagType = 6
)

// MarshalCBOR implements cbor.Marshaler.
func (v versionWire) MarshalCBOR() ([]byte, error) {
	if v.Era == 0 {
		return cbor.Marshal(v.Number)
	}
	return cbor.Marshal(cbor.Tag{Number: eraTag + v.Era, Content: v.Number})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (v *versionWire) UnmarshalCBOR(raw []byte) error {
	*v = versionWire{}
	if raw[0]>>5 != tagType {
		return cbor.Unmarshal(raw, &v.Number)
	}
	var tag cbor.RawTag
	if err := cbor.Unmarshal(raw, &tag); err != nil {
		return err
	}
	if tag.Number <= eraTag {
		return errors.Errorf("beacon: version has tag %d, expected one above %d", tag.Number, uint64(eraTag))
	}
	v.Era = tag.Number - eraTag
	return cbor.Unmarshal(tag.Content, &v.Number)
}
