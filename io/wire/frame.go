package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
)

// ProtocolVersion is the version of the peer protocol that frames carry.
const ProtocolVersion = 1

// headSize bounds the bytes of a frame before its body: array head,
// protocol, kind and call id.
const headSize = 1 + 9 + 9 + 9

type frameWire struct {
	_        struct{} `cbor:",toarray"`
	Protocol uint64
	Kind     uint64
	ID       uint64
	Body     cbor.RawMessage
}

type outFrame struct {
	_        struct{} `cbor:",toarray"`
	Protocol uint64
	Kind     uint64
	ID       uint64
	Body     body
}

// EncodeFrame returns the frame of a message. The id matches calls and answers;
// which of the two a frame is follows from the id (package peers). Errors
// carry PeerKind for an unknown kind and PeerFrame for a message that no
// receiver would accept.
func EncodeFrame(id uint64, m core.Message) ([]byte, error) {
	if m == nil {
		return nil, codes.New(codes.PeerKind, "wire: no message")
	}
	c, ok := byKind[m.Kind()]
	if !ok {
		return nil, codes.New(codes.PeerKind, "wire: unknown kind %q", m.Kind())
	}
	b, err := pack(m)
	if err != nil {
		return nil, codes.Wrap(err, codes.PeerFrame, "wire: cannot encode %s", c.kind)
	}
	frame, err := encoding.Marshal(outFrame{Protocol: ProtocolVersion, Kind: c.number, ID: id, Body: b})
	if err != nil {
		return nil, codes.Wrap(err, codes.PeerFrame, "wire: cannot encode %s", c.kind)
	}
	if len(frame) > c.bound {
		return nil, codes.New(codes.PeerFrame, "wire: %s of %d bytes is over the bound of %d", c.kind, len(frame), c.bound)
	}
	return frame, nil
}

// DecodeFrame returns the message of a frame. Errors carry PeerKind for an
// unknown kind and PeerFrame for everything else. The id is set even with
// an error if the head of the frame could be read, and 0 otherwise.
func DecodeFrame(frame []byte) (uint64, core.Message, error) {
	if len(frame) > MaxFrameSize {
		return 0, nil, codes.New(codes.PeerFrame, "wire: frame of %d bytes is over the bound of %d", len(frame), MaxFrameSize)
	}
	var f frameWire
	if err := many.Unmarshal(frame, &f); err != nil {
		return 0, nil, codes.Wrap(err, codes.PeerFrame, "wire: malformed frame")
	}
	if f.Protocol != ProtocolVersion {
		return 0, nil, codes.New(codes.PeerFrame, "wire: protocol version %d is not %d", f.Protocol, ProtocolVersion)
	}
	c, ok := byNumber[f.Kind]
	if !ok {
		return f.ID, nil, codes.New(codes.PeerKind, "wire: unknown kind %d", f.Kind)
	}
	m, err := c.decode(f.Body, len(frame))
	if err != nil {
		return f.ID, nil, codes.Wrap(err, codes.PeerFrame, "wire: malformed %s", c.kind)
	}
	return f.ID, m, nil
}

func (c codec) decode(raw []byte, size int) (core.Message, error) {
	if size > c.bound {
		return nil, errors.Errorf("%d bytes are over the bound of %d", size, c.bound)
	}
	b := c.fresh()
	if err := c.mode.Unmarshal(raw, b); err != nil {
		return nil, err
	}
	return b.message()
}
