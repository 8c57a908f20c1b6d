package wire

import (
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxNested bounds the nesting. The deepest legal item, a config push,
	// has eight levels.
	maxNested = 12

	// fewItems bounds the arrays of most messages. Decoding allocates an
	// array before its elements are checked, so the bound keeps a short
	// hostile frame from taking much memory. A beat with all 5,700 hosts of
	// the design size still fits.
	fewItems = 1 << 14

	// manyItems bounds the arrays of withdrawal sets and of sheets.
	manyItems = 1 << 20
)

var (
	encoding = mustEncMode()
	few      = mustDecMode(fewItems)
	many     = mustDecMode(manyItems)
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

func mustDecMode(items int) cbor.DecMode {
	// Null and undefined would leave a field at its zero value, so that a
	// missing field could pass.
	simple, err := cbor.NewSimpleValueRegistryFromDefaults(
		cbor.WithRejectedSimpleValue(22),
		cbor.WithRejectedSimpleValue(23),
	)
	if err != nil {
		panic(err)
	}
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   maxNested,
		MaxArrayElements:  items,
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
