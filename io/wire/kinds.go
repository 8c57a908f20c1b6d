package wire

import (
	"github.com/fxamacker/cbor/v2"

	"azurering/core"
)

// body is the wire form of a message.
type body interface {
	message() (core.Message, error)
}

// codec describes the encoding of one kind of message.
type codec struct {
	kind     core.MessageKind
	number   uint64
	maxFrame int // maximum size of a frame in bytes
	mode     cbor.DecMode
	newBody  func() body
}

const (
	kib = 1 << 10
	mib = 1 << 20

	// MaxFrameSize is the largest frame limit of all kinds, in bytes. It is
	// several times the size of a sheet of the design size (930,000 blocks,
	// about 5 MB).
	MaxFrameSize = 64 * mib
)

// codecs lists all kinds. The numbers are part of the protocol and must never
// be reused.
var codecs = []codec{
	{core.KindHeartbeat, 1, mib, decMode, func() body { return new(heartbeatWire) }},
	{core.KindConfigPull, 2, kib, decMode, func() body { return new(configPullWire) }},
	{core.KindConfigPush, 3, 8 * mib, decMode, func() body { return new(configPushWire) }},
	{core.KindObjectPull, 4, 4 * kib, decMode, func() body { return new(objectPullWire) }},
	{core.KindObjectBody, 5, MaxFrameSize, decMode, func() body { return new(objectBodyWire) }},
	{core.KindWithdrawPush, 6, MaxFrameSize, decModeLarge, func() body { return new(withdrawPushWire) }},
	{core.KindWithdrawAck, 7, 4 * kib, decMode, func() body { return new(withdrawAckWire) }},
	{core.KindWithdrawPull, 8, kib, decMode, func() body { return new(withdrawPullWire) }},
	{core.KindAttest, 9, kib, decMode, func() body { return new(attestWire) }},
	{core.KindAttested, 10, 4 * kib, decMode, func() body { return new(attestedWire) }},
	{core.KindSeatPromise, 11, 4 * kib, decMode, func() body { return new(seatPromiseWire) }},
	{core.KindSeatPromised, 12, kib, decMode, func() body { return new(seatPromisedWire) }},
	{core.KindLoanRequest, 13, 2 * mib, decMode, func() body { return new(loanRequestWire) }},
	{core.KindLoanResponse, 14, 2 * mib, decMode, func() body { return new(loanResponseWire) }},
	{core.KindReserve, 15, 4 * kib, decMode, func() body { return new(reserveWire) }},
	{core.KindReserved, 16, 4 * kib, decMode, func() body { return new(reserveResponseWire) }},
	{core.KindOrderStatusRequest, 17, 16 * kib, decMode, func() body { return new(orderStatusRequestWire) }},
	{core.KindOrderStatusResponse, 18, kib, decMode, func() body { return new(orderStatusResponseWire) }},
	{core.KindOrderMirror, 19, 4 * mib, decMode, func() body { return new(orderReplicateRequestWire) }},
	{core.KindOrderMirrored, 20, 4 * mib, decMode, func() body { return new(orderReplicateResponseWire) }},
	{core.KindErrorResponse, 21, 16 * kib, decMode, func() body { return new(refusedWire) }},
}

var (
	byKind   = indexKinds()
	byNumber = indexNumbers()
)

func indexKinds() map[core.MessageKind]codec {
	index := make(map[core.MessageKind]codec, len(codecs))
	for _, c := range codecs {
		index[c.kind] = c
	}
	return index
}

func indexNumbers() map[uint64]codec {
	index := make(map[uint64]codec, len(codecs))
	for _, c := range codecs {
		index[c.number] = c
	}
	return index
}

// FrameLimit returns the maximum size of a frame of a kind in bytes, or 0 for an
// unknown kind.
func FrameLimit(kind core.MessageKind) int { return byKind[kind].maxFrame }
