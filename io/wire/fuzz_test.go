package wire_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/wire"
)

// Guards against frames that make the decoder panic, that are refused
// without the right code, or that decode to a message which does not
// survive another round trip.
func FuzzDecode(f *testing.F) {
	for _, zero := range messages {
		frame, err := wire.EncodeFrame(9, filled(zero).(core.Message))
		require.NoError(f, err)
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		id, m, err := wire.DecodeFrame(frame)
		if err != nil {
			require.Contains(t, []codes.Code{codes.PeerFrame, codes.PeerKind}, codes.Of(err))
			return
		}
		again, err := wire.EncodeFrame(id, m)
		require.NoError(t, err)
		id2, m2, err := wire.DecodeFrame(again)
		require.NoError(t, err)
		require.Equal(t, id, id2)
		require.Equal(t, m, m2)
	})
}

// Guards against stored entries and sheets that make the decoders panic or
// do not survive another round trip.
func FuzzStored(f *testing.F) {
	entry, err := wire.EncodeEntry(filled(core.LogEntry{}).(core.LogEntry))
	require.NoError(f, err)
	sheet, err := wire.EncodeSheet(filled(core.Sheet{}).(core.Sheet))
	require.NoError(f, err)
	f.Add(entry)
	f.Add(sheet)
	f.Fuzz(func(t *testing.T, b []byte) {
		if e, err := wire.DecodeEntry(b); err == nil {
			again, err := wire.EncodeEntry(e)
			require.NoError(t, err)
			e2, err := wire.DecodeEntry(again)
			require.NoError(t, err)
			require.Equal(t, e, e2)
		}
		if s, err := wire.DecodeSheet(b); err == nil {
			again, err := wire.EncodeSheet(s)
			require.NoError(t, err)
			s2, err := wire.DecodeSheet(again)
			require.NoError(t, err)
			require.Equal(t, s, s2)
		}
	})
}
