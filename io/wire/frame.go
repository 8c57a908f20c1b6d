package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
)

// ProtocolVersion is the version of the peer protocol; every frame carries it.
const ProtocolVersion = 1

// headSize is the maximum number of bytes before the body of a frame: array
// head, protocol, kind and call id.
const headSize = 1 + 9 + 9 + 9

// incomingFrame is a frame whose body is decoded once its kind is known.
type incomingFrame struct {
	_        struct{} `cbor:",toarray"`
	Protocol uint64
	Kind     uint64
	ID       uint64
	Body     cbor.RawMessage
}

type outgoingFrame struct {
	_        struct{} `cbor:",toarray"`
	Protocol uint64
	Kind     uint64
	ID       uint64
	Body     body
}

// EncodeFrame returns the frame of a message. Call and answer carry the same id;
// package peers tells them apart by the parity of the id. Errors carry
// PeerKind for a nil message or an unknown kind, and PeerFrame for an invalid
// field or a frame over the limit of its kind.
func EncodeFrame(id uint64, m core.Message) ([]byte, error) {
	if m == nil {
		return nil, codes.New(codes.PeerKind, "wire: message is nil")
	}
	c, ok := byKind[m.Kind()]
	if !ok {
		return nil, codes.New(codes.PeerKind, "wire: unknown message kind %q", m.Kind())
	}
	b, err := pack(m)
	if err != nil {
		return nil, codes.Wrap(err, codes.PeerFrame, "wire: cannot encode %s", c.kind)
	}
	frame, err := encMode.Marshal(outgoingFrame{Protocol: ProtocolVersion, Kind: c.number, ID: id, Body: b})
	if err != nil {
		return nil, codes.Wrap(err, codes.PeerFrame, "wire: cannot encode %s", c.kind)
	}
	if len(frame) > c.maxFrame {
		return nil, codes.New(codes.PeerFrame, "wire: %s of %d bytes exceeds the limit of %d bytes", c.kind, len(frame), c.maxFrame)
	}
	return frame, nil
}

// DecodeFrame returns the call id and the message of a frame. Errors carry
// PeerKind for an unknown kind and PeerFrame for everything else. The id
// is returned with the error as well, so that the frame can be answered; it
// is 0 if the frame is over MaxFrame, is not well-formed or has another
// protocol version.
func DecodeFrame(frame []byte) (uint64, core.Message, error) {
	if len(frame) > MaxFrameSize {
		return 0, nil, codes.New(codes.PeerFrame, "wire: frame of %d bytes exceeds the limit of %d bytes", len(frame), MaxFrameSize)
	}
	var f incomingFrame
	if err := decModeLarge.Unmarshal(frame, &f); err != nil {
		return 0, nil, codes.Wrap(err, codes.PeerFrame, "wire: malformed frame")
	}
	if f.Protocol != ProtocolVersion {
		return 0, nil, codes.New(codes.PeerFrame, "wire: frame has protocol version %d instead of %d", f.Protocol, ProtocolVersion)
	}
	c, ok := byNumber[f.Kind]
	if !ok {
		return f.ID, nil, codes.New(codes.PeerKind, "wire: unknown message kind %d", f.Kind)
	}
	m, err := c.decode(f.Body, len(frame))
	if err != nil {
		return f.ID, nil, codes.Wrap(err, codes.PeerFrame, "wire: malformed %s", c.kind)
	}
	return f.ID, m, nil
}

// decode decodes the body of a frame; size is the size of the whole frame in
// bytes.
func (c codec) decode(raw []byte, size int) (core.Message, error) {
	if size > c.maxFrame {
		return nil, errors.Errorf("%d bytes exceed the limit of %d bytes", size, c.maxFrame)
	}
	b := c.newBody()
	if err := c.mode.Unmarshal(raw, b); err != nil {
		return nil, err
	}
	return b.message()
}
