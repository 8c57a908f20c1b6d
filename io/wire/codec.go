package wire

import "azurering/core"

// Codec implements core.Codec. The zero value is ready to use.
type Codec struct{}

var _ core.Codec = Codec{}

// EncodeEntry implements core.Codec.
func (Codec) EncodeEntry(e core.Entry) ([]byte, error) { return EncodeEntry(e) }

// DecodeEntry implements core.Codec.
func (Codec) DecodeEntry(b []byte) (core.Entry, error) { return DecodeEntry(b) }

// EncodeSheet implements core.Codec.
func (Codec) EncodeSheet(s core.Sheet) ([]byte, error) { return EncodeSheet(s) }

// DecodeSheet implements core.Codec.
func (Codec) DecodeSheet(b []byte) (core.Sheet, error) { return DecodeSheet(b) }
