package wire

import (
	"github.com/fxamacker/cbor/v2"

	"azurering/core"
)

// body is the wire form of one kind of message.
type body interface {
	message() (core.Message, error)
}

// codec describes one kind of message.
type codec struct {
	kind   core.MessageKind
	number uint64
	bound  int // bytes of a frame
	mode   cbor.DecMode
	fresh  func() body
}

const (
	kib = 1 << 10
	mib = 1 << 20

	// MaxFrameSize is the largest bound of all kinds, in bytes. It leaves room
	// for the sheet of the design size (930,000 blocks, about 5 MB) several
	// times over.
	MaxFrameSize = 64 * mib
)

// codecs is the list of kinds. The numbers are part of the protocol: a
// number is never reused.
var codecs = []codec{
	{core.KindHeartbeat, 1, mib, few, func() body { return new(beatWire) }},
	{core.KindConfigPull, 2, kib, few, func() body { return new(configPullWire) }},
	{core.KindConfigPush, 3, 8 * mib, few, func() body { return new(configPushWire) }},
	{core.KindObjectPull, 4, 4 * kib, few, func() body { return new(objectPullWire) }},
	{core.KindObjectBody, 5, MaxFrameSize, few, func() body { return new(objectBodyWire) }},
	{core.KindWithdrawPush, 6, MaxFrameSize, many, func() body { return new(withdrawPushWire) }},
	{core.KindWithdrawAck, 7, 4 * kib, few, func() body { return new(withdrawAckWire) }},
	{core.KindWithdrawPull, 8, kib, few, func() body { return new(withdrawPullWire) }},
	{core.KindAttest, 9, kib, few, func() body { return new(attestWire) }},
	{core.KindAttested, 10, 4 * kib, few, func() body { return new(attestedWire) }},
	{core.KindSeatPromise, 11, 4 * kib, few, func() body { return new(seatPromiseWire) }},
	{core.KindSeatPromised, 12, kib, few, func() body { return new(seatPromisedWire) }},
	{core.KindLoanRequest, 13, 2 * mib, few, func() body { return new(loanAskWire) }},
	{core.KindLoanResponse, 14, 2 * mib, few, func() body { return new(loanGrantWire) }},
	{core.KindReserve, 15, 4 * kib, few, func() body { return new(reserveWire) }},
	{core.KindReserved, 16, 4 * kib, few, func() body { return new(reservedWire) }},
	{core.KindOrderStatusRequest, 17, 16 * kib, few, func() body { return new(orderPeekWire) }},
	{core.KindOrderStatusResponse, 18, kib, few, func() body { return new(orderPeekedWire) }},
	{core.KindOrderMirror, 19, 4 * mib, few, func() body { return new(orderMirrorWire) }},
	{core.KindOrderMirrored, 20, 4 * mib, few, func() body { return new(orderMirroredWire) }},
	{core.KindErrorResponse, 21, 16 * kib, few, func() body { return new(refusedWire) }},
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

// FrameLimit returns the largest frame of a kind in bytes, or 0 for an unknown
// kind.
func FrameLimit(kind core.MessageKind) int { return byKind[kind].bound }
