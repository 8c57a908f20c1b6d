package wire

import "azurering/core"

// Codec implements core.ConfigCodec. The zero value is ready to use.
type Codec struct{}

var _ core.ConfigCodec = Codec{}

// EncodeEntry implements core.ConfigCodec.
func (Codec) EncodeEntry(e core.LogEntry) ([]byte, error) { return EncodeEntry(e) }

// DecodeEntry implements core.ConfigCodec.
func (Codec) DecodeEntry(b []byte) (core.LogEntry, error) { return DecodeEntry(b) }

// EncodeSheet implements core.ConfigCodec.
func (Codec) EncodeSheet(s core.Sheet) ([]byte, error) { return EncodeSheet(s) }

// DecodeSheet implements core.ConfigCodec.
func (Codec) DecodeSheet(b []byte) (core.Sheet, error) { return DecodeSheet(b) }
