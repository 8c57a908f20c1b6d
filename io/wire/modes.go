package wire

import (
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxNestedLevels is the maximum nesting depth. The deepest valid message,
	// a config push, has eight levels.
	maxNestedLevels = 12

	// maxItems is the maximum length of arrays in most messages. The decoder
	// allocates an array before it checks the elements, so without the limit a
	// short malicious frame could allocate much memory. A heartbeat with all 5,700
	// hosts of the design size fits.
	maxItems = 1 << 14

	// maxItemsLarge is the maximum length of arrays in withdrawal sets and
	// sheets.
	maxItemsLarge = 1 << 20
)

var (
	encMode      = mustEncMode()
	decMode      = mustDecMode(maxItems)
	decModeLarge = mustDecMode(maxItemsLarge)
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{
		NilContainers: cbor.NilContainerAsEmpty,
		IndefLength:   cbor.IndefLengthForbidden,
		TagsMd:        cbor.TagsForbidden,
	}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode(maxArrayElements int) cbor.DecMode {
	// Null (22) and undefined (23) would leave a field at its zero value, so a
	// missing field would be accepted.
	simple, err := cbor.NewSimpleValueRegistryFromDefaults(
		cbor.WithRejectedSimpleValue(22),
		cbor.WithRejectedSimpleValue(23),
	)
	if err != nil {
		panic(err)
	}
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   maxNestedLevels,
		MaxArrayElements:  maxArrayElements,
		MaxMapPairs:       16,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		SimpleValues:      simple,
		BinaryUnmarshaler: cbor.BinaryUnmarshalerNone,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
