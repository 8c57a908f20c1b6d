package wire_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/wire"
)

// messages holds the zero message of each kind; filled sets all fields.
var messages = []core.Message{
	core.Heartbeat{},
	core.ConfigPull{},
	core.ConfigPush{},
	core.ObjectPull{},
	core.ObjectBody{},
	core.WithdrawPush{},
	core.WithdrawAck{},
	core.WithdrawPull{},
	core.AttestRequest{},
	core.Attestation{},
	core.SeatPromiseRequest{},
	core.SeatPromiseResponse{},
	core.LoanRequest{},
	core.LoanResponse{},
	core.ReserveRequest{},
	core.ReserveResponse{},
	core.OrderStatusRequest{},
	core.OrderStatusResponse{},
	core.OrderReplicateRequest{},
	core.OrderReplicateResponse{},
	core.ErrorResponse{},
}

// enumValues holds a valid value of each enumeration, for filler.
var enumValues = map[reflect.Type]string{
	reflect.TypeFor[core.HostState]():    string(core.HostDead),
	reflect.TypeFor[core.Class]():        string(core.ClassDownload),
	reflect.TypeFor[core.Access]():       string(core.AccessKeyed),
	reflect.TypeFor[core.RouteKind]():    string(core.RouteOrder),
	reflect.TypeFor[core.DrainKind]():    string(core.DrainDomain),
	reflect.TypeFor[core.DrainMode]():    string(core.ModeStop),
	reflect.TypeFor[core.ChangeKind]():   string(core.ChangeRate),
	reflect.TypeFor[core.LogEntryKind](): string(core.EntryChange),
}

// filler sets every field to a different value, so that a round trip detects
// a field that is missing in an encoding or swapped with another.
type filler struct{ n int64 }

func (f *filler) fill(v reflect.Value) {
	f.n++
	if v.Type() == reflect.TypeFor[netip.Prefix]() {
		raw := [4]byte{10, byte(f.n >> 8), byte(f.n), 0}
		v.Set(reflect.ValueOf(netip.PrefixFrom(netip.AddrFrom4(raw), 24)))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 3, 3))
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.String:
		value, ok := enumValues[v.Type()]
		if !ok {
			value = "text-" + strings.Repeat("x", int(f.n%7)) + string(rune('a'+f.n%26)) + string(rune('a'+f.n/26%26))
		}
		v.SetString(value)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8:
		v.SetUint(uint64(f.n % 251))
	case reflect.Uint64:
		v.SetUint(uint64(f.n) << 33)
	case reflect.Int, reflect.Int64:
		v.SetInt(f.n << 33)
	case reflect.Float64:
		v.SetFloat(1 / float64(f.n+1))
	default:
		panic("filler: unexpected type " + v.Type().String())
	}
}

// filled returns a value of the type of zero with all fields set.
func filled(zero any) any {
	v := reflect.New(reflect.TypeOf(zero)).Elem()
	(&filler{}).fill(v)
	return v.Interface()
}

// Guards against a field of a message that the encoding omits or swaps with
// another, for example one that was added to core only.
func TestRoundTrip(t *testing.T) {
	for _, zero := range messages {
		t.Run(string(zero.Kind()), func(t *testing.T) {
			m := filled(zero).(core.Message)
			frame, err := wire.EncodeFrame(1<<63|7, m)
			require.NoError(t, err)
			id, got, err := wire.DecodeFrame(frame)
			require.NoError(t, err)
			require.Equal(t, uint64(1<<63|7), id)
			require.Equal(t, m, got)
			t.Logf("%d bytes", len(frame))
		})
	}
}

// Guards against a kind of core/peers.go that has no codec or is missing in
// the list of messages that these tests use.
func TestEveryKindHasACodec(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../../core/peers.go", nil, 0)
	require.NoError(t, err)
	var declared []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); ok && id.Name == "MessageKind" {
			declared = append(declared, strings.Trim(spec.Values[0].(*ast.BasicLit).Value, `"`))
		}
		return true
	})
	var tested []string
	for _, m := range messages {
		tested = append(tested, string(m.Kind()))
		require.Positive(t, wire.FrameLimit(m.Kind()))
		require.LessOrEqual(t, wire.FrameLimit(m.Kind()), wire.MaxFrameSize)
	}
	require.ElementsMatch(t, declared, tested)
}

// Guards against a field of a stored entry that the encoding omits or swaps
// with another.
func TestEntryRoundTrip(t *testing.T) {
	full := filled(core.LogEntry{}).(core.LogEntry)
	sheet := core.LogEntry{Version: 3, Kind: core.EntrySheet, SheetObject: "sheet-1", Token: "t"}
	for _, e := range []core.LogEntry{full, sheet} {
		b, err := wire.EncodeEntry(e)
		require.NoError(t, err)
		got, err := wire.DecodeEntry(b)
		require.NoError(t, err)
		require.Equal(t, e, got)
	}
}

// Guards against a field of a stored sheet that the encoding omits or swaps
// with another, and against prefix lengths that blocks encode wrongly.
func TestSheetRoundTrip(t *testing.T) {
	s := filled(core.Sheet{}).(core.Sheet)
	for _, p := range []string{"0.0.0.0/0", "10.0.0.0/9", "1.2.3.4/32", "::/0", "2001:db8::/33", "2001:db8::1/128"} {
		s.Blocks = append(s.Blocks, core.AddressBlock{Prefix: netip.MustParsePrefix(p), Domain: "cw-berrechid"})
	}
	for _, s := range []core.Sheet{s, {}} {
		b, err := wire.EncodeSheet(s)
		require.NoError(t, err)
		got, err := wire.DecodeSheet(b)
		require.NoError(t, err)
		require.Equal(t, s, got)
	}
}

// unmarshalArray returns the elements of a CBOR array.
func unmarshalArray(t *testing.T, b []byte) []cbor.RawMessage {
	t.Helper()
	var parts []cbor.RawMessage
	require.NoError(t, cbor.Unmarshal(b, &parts))
	return parts
}

func marshal(t *testing.T, v any) []byte {
	t.Helper()
	b, err := cbor.Marshal(v)
	require.NoError(t, err)
	return b
}

// Guards against malformed frames that decode without an error, with another
// code, or without the call id that an answer needs.
func TestMalformedFrames(t *testing.T) {
	valid, err := wire.EncodeFrame(5, core.ConfigPull{After: 1})
	require.NoError(t, err)
	heartbeat, err := wire.EncodeFrame(5, filled(core.Heartbeat{}).(core.Message))
	require.NoError(t, err)
	configPullFrame := func(body any) []byte { return marshal(t, []any{1, 2, 5, body}) }
	deep := []byte{0x84, 1, 2, 5}
	for range 40 {
		deep = append(deep, 0x81)
	}
	parts := unmarshalArray(t, heartbeat)
	cases := []struct {
		name  string
		frame []byte
		code  codes.Code
		id    uint64
	}{
		{"empty", nil, codes.PeerFrame, 0},
		{"not CBOR", []byte{0xff, 0xff}, codes.PeerFrame, 0},
		{"cut off", valid[:len(valid)-1], codes.PeerFrame, 0},
		{"trailing byte", append(append([]byte(nil), valid...), 0), codes.PeerFrame, 0},
		{"head field missing", marshal(t, []any{1, 2, 5}), codes.PeerFrame, 0},
		{"head field added", marshal(t, []any{1, 2, 5, []any{1}, 9}), codes.PeerFrame, 0},
		{"other protocol version", marshal(t, []any{2, 2, 5, []any{1}}), codes.PeerFrame, 0},
		{"negative id", marshal(t, []any{1, 2, -5, []any{1}}), codes.PeerFrame, 0},
		{"unknown kind", marshal(t, []any{1, 99, 5, []any{1}}), codes.PeerKind, 5},
		{"body field missing", configPullFrame([]any{}), codes.PeerFrame, 5},
		{"body field added", configPullFrame([]any{1, 2}), codes.PeerFrame, 5},
		{"body null", configPullFrame(nil), codes.PeerFrame, 0},
		{"field null", configPullFrame([]any{nil}), codes.PeerFrame, 0},
		{"field undefined", append([]byte{0x84, 1, 2, 5, 0x81}, 0xf7), codes.PeerFrame, 0},
		{"field of another type", configPullFrame([]any{"1"}), codes.PeerFrame, 5},
		{"float", configPullFrame([]any{1.5}), codes.PeerFrame, 5},
		{"map instead of array", configPullFrame(map[int]int{0: 1}), codes.PeerFrame, 5},
		{"duplicate map key", append([]byte{0x84, 1, 2, 5}, 0xa2, 0, 1, 0, 1), codes.PeerFrame, 5},
		{"tag", append([]byte{0x84, 1, 2, 5, 0x81}, 0xc1, 1), codes.PeerFrame, 0},
		{"indefinite length", append([]byte{0x84, 1, 2, 5}, 0x9f, 1, 0xff), codes.PeerFrame, 0},
		{"too deep", append(deep, 1), codes.PeerFrame, 0},
		{"array longer than frame", append([]byte{0x84, 1, 6, 5, 0x81}, 0x9a, 0xff, 0xff, 0xff, 0xff), codes.PeerFrame, 0},
		{"invalid UTF-8", append([]byte{0x84, 1, 4, 5, 0x81}, 0x61, 0xff), codes.PeerFrame, 5},
		{"over the limit of its kind", marshal(t, []any{1, 4, 5, []any{strings.Repeat("x", 5000)}}), codes.PeerFrame, 5},
		{"over the limit of all kinds", make([]byte, wire.MaxFrameSize+1), codes.PeerFrame, 0},
		{"missing host state", marshal(t, []any{1, 1, 5, withHostState(t, parts[3], 0)}), codes.PeerFrame, 5},
		{"unknown host state", marshal(t, []any{1, 1, 5, withHostState(t, parts[3], 9)}), codes.PeerFrame, 5},
		{"missing class", marshal(t, []any{1, 15, 5, []any{"s", 0, "r"}}), codes.PeerFrame, 5},
		{"negative age", marshal(t, []any{1, 16, 5, []any{true, "t", -1}}), codes.PeerFrame, 5},
		{"short key hash", marshal(t, []any{1, 3, 5, []any{[]any{entryWithHash(31)}}}), codes.PeerFrame, 5},
		{"two keys in one change", marshal(t, []any{1, 3, 5, []any{[]any{entryWithHash(32, 32)}}}), codes.PeerFrame, 5},
		{"unknown change kind", marshal(t, []any{1, 3, 5, []any{[]any{[]any{1, 2, "", []any{[]any{9, "", []any{}, []any{}, []any{}, []any{}}}, "t"}}}}), codes.PeerFrame, 5},
		{"missing change", marshal(t, []any{1, 3, 5, []any{[]any{[]any{1, 2, "", []any{}, "t"}}}}), codes.PeerFrame, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			id, m, err := wire.DecodeFrame(c.frame)
			require.Equal(t, c.code, codes.Of(err), "%v", err)
			require.Equal(t, c.id, id)
			require.Nil(t, m)
		})
	}
	t.Run("valid forms of the cases", func(t *testing.T) {
		for _, frame := range [][]byte{
			configPullFrame([]any{1}),
			marshal(t, []any{1, 1, 5, withHostState(t, parts[3], 1)}),
			marshal(t, []any{1, 15, 5, []any{"s", 1, "r"}}),
			marshal(t, []any{1, 16, 5, []any{true, "t", 1}}),
			marshal(t, []any{1, 3, 5, []any{[]any{entryWithHash(32)}}}),
		} {
			_, _, err := wire.DecodeFrame(frame)
			require.NoError(t, err)
		}
	})
}

// withHostState replaces the state of the sending host in the body of a heartbeat.
func withHostState(t *testing.T, body []byte, state uint64) []cbor.RawMessage {
	t.Helper()
	fields := unmarshalArray(t, body)
	host := unmarshalArray(t, fields[0])
	host[len(host)-1] = marshal(t, state)
	fields[0] = marshal(t, host)
	return fields
}

// entryWithHash returns the wire form of an entry with a change that has one
// key for each hash size.
func entryWithHash(sizes ...int) []any {
	var keys []any
	for _, n := range sizes {
		keys = append(keys, []any{"k", "w", make([]byte, n)})
	}
	return []any{1, 2, "", []any{[]any{1, "", keys, []any{}, []any{}, []any{}}}, "t"}
}

type unknownMessage struct{}

func (unknownMessage) Kind() core.MessageKind { return "strange" }

// Guards against encoding messages that the receiver would refuse.
func TestEncodeRefuses(t *testing.T) {
	cases := []struct {
		name string
		m    core.Message
		code codes.Code
	}{
		{"nil message", nil, codes.PeerKind},
		{"unknown kind", unknownMessage{}, codes.PeerKind},
		{"pointer", &core.AttestRequest{}, codes.PeerFrame},
		{"missing host state", core.Heartbeat{}, codes.PeerFrame},
		{"unknown class", core.ReserveRequest{Class: "bulk"}, codes.PeerFrame},
		{"negative length", core.LoanResponse{TTL: -time.Second}, codes.PeerFrame},
		{"negative store age", core.Heartbeat{Host: core.Host{State: core.HostLive}, EvidenceAge: -1}, codes.PeerFrame},
		{"entry without kind", core.ConfigPush{Entries: []core.LogEntry{{Version: 1}}}, codes.PeerFrame},
		{"over the size limit", core.OrderReplicateRequest{Record: make([]byte, 5<<20)}, codes.PeerFrame},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := wire.EncodeFrame(1, c.m)
			require.Equal(t, c.code, codes.Of(err), "%v", err)
		})
	}
}

// Guards against corrupt or invalid sheets that are decoded or encoded
// without an error.
func TestMalformedSheets(t *testing.T) {
	s := core.Sheet{Blocks: []core.AddressBlock{{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Domain: "d"}}}
	valid, err := wire.EncodeSheet(s)
	require.NoError(t, err)
	withField := func(field int, v any) []byte {
		parts := unmarshalArray(t, valid)
		parts[field] = marshal(t, v)
		return marshal(t, parts)
	}
	blocks := func(count int, packed ...byte) []byte { return withField(10, []any{[]string{"d"}, count, packed}) }
	_, err = wire.DecodeSheet(blocks(1, 8, 0, 10))
	require.NoError(t, err)
	for name, b := range map[string][]byte{
		"cut off":                valid[:len(valid)-1],
		"other format":           withField(0, 2),
		"unknown drain kind":     withField(9, []any{[]any{7, "t", 1, 0}}),
		"count too high":         blocks(2, 8, 0, 10),
		"count too low":          blocks(0, 8, 0, 10),
		"bytes after last block": blocks(1, 8, 0, 10, 0, 0),
		"unknown domain":         blocks(1, 8, 1, 10),
		"IPv4 length over 32":    blocks(1, 33, 0, 10, 0, 0, 0, 0),
		"IPv6 length over 128":   blocks(1, 193, 0, 10),
		"address cut off":        blocks(1, 16, 0, 10),
		"bits after the prefix":  blocks(1, 7, 0, 11),
		"domain index cut off":   blocks(1, 8, 0x80),
	} {
		_, err := wire.DecodeSheet(b)
		require.Equal(t, codes.SheetInvalid, codes.Of(err), "%s: %v", name, err)
	}
	for _, p := range []netip.Prefix{{}, netip.PrefixFrom(netip.MustParseAddr("10.0.0.1"), 8)} {
		_, err := wire.EncodeSheet(core.Sheet{Blocks: []core.AddressBlock{{Prefix: p}}})
		require.Equal(t, codes.SheetInvalid, codes.Of(err))
	}
	_, err = wire.EncodeSheet(core.Sheet{Drains: []core.Drain{{Kind: "all"}}})
	require.Equal(t, codes.SheetInvalid, codes.Of(err))
}

// Guards against corrupt entries, entries of another format or over the size
// limit, and entries without a kind being decoded or encoded.
func TestMalformedEntries(t *testing.T) {
	valid, err := wire.EncodeEntry(filled(core.LogEntry{}).(core.LogEntry))
	require.NoError(t, err)
	otherFormat := unmarshalArray(t, valid)
	otherFormat[0] = marshal(t, 2)
	for _, b := range [][]byte{nil, valid[1:], valid[:len(valid)-1], marshal(t, otherFormat), make([]byte, 1<<17)} {
		_, err := wire.DecodeEntry(b)
		require.Equal(t, codes.ChangeInvalid, codes.Of(err))
	}
	oversized := core.LogEntry{Kind: core.EntryChange, Change: core.Change{Kind: core.ChangeRevoke, Target: strings.Repeat("x", 1<<16)}}
	for _, e := range []core.LogEntry{{}, {Kind: core.EntryChange}, oversized} {
		_, err = wire.EncodeEntry(e)
		require.Equal(t, codes.ChangeInvalid, codes.Of(err))
	}
}
