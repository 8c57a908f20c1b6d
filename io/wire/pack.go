package wire

import (
	"github.com/pkg/errors"

	"azurering/core"
)

// pack returns the wire form of a message.
func pack(m core.Message) (body, error) {
	switch m := m.(type) {
	case core.Beat:
		return packBeat(m)
	case core.ConfigPush:
		return packConfigPush(m)
	case core.WithdrawPush:
		return packWithdrawPush(m), nil
	case core.LoanAsk:
		return packLoanAsk(m), nil
	case core.LoanGrant:
		return packLoanGrant(m)
	case core.Reserve:
		return packReserve(m)
	case core.Reserved:
		return packReserved(m)
	default:
		return packSimple(m)
	}
}

// packSimple returns the wire form of messages that have no enumerations and
// no lists of structures.
func packSimple(m core.Message) (body, error) {
	switch m := m.(type) {
	case core.ConfigPull:
		return &configPullWire{After: m.After}, nil
	case core.ObjectPull:
		return &objectPullWire{Name: m.Name}, nil
	case core.ObjectBody:
		return &objectBodyWire{Found: m.Found, Body: m.Body}, nil
	case core.WithdrawAck:
		return &withdrawAckWire{Domain: m.Domain, Host: m.Host, Epoch: m.Epoch, Acting: m.Acting}, nil
	case core.WithdrawPull:
		return &withdrawPullWire{After: m.After}, nil
	case core.Attest:
		return &attestWire{}, nil
	case core.Attested:
		return &attestedWire{
			Domain: m.Domain, Host: m.Host, Epoch: m.Epoch, Acting: m.Acting,
			Version: m.Version, Withdrawn: m.Withdrawn,
			Holder: m.Holder, Candidates: m.Candidates, Seen: m.Seen, Age: m.Age,
		}, notNegative("age", m.Age)
	case core.SeatPromise:
		return &seatPromiseWire{Domain: m.Domain, Epoch: m.Epoch}, nil
	case core.SeatPromised:
		return &seatPromisedWire{Given: m.Given, Epoch: m.Epoch}, nil
	case core.OrderPeek:
		return &orderPeekWire{Workspace: m.Workspace, Key: m.Key, Token: m.Token}, nil
	case core.OrderPeeked:
		return &orderPeekedWire{Running: m.Running}, nil
	case core.OrderMirror:
		return &orderMirrorWire{
			Domain: m.Domain, Epoch: m.Epoch, Workspace: m.Workspace,
			Key: m.Key, Token: m.Token, Record: m.Record,
		}, nil
	case core.OrderMirrored:
		return &orderMirroredWire{Stored: m.Stored, Record: m.Record}, nil
	case core.Refused:
		return &refusedWire{Code: m.Code, Text: m.Text}, nil
	default:
		return nil, errors.Errorf("unexpected message type %T", m)
	}
}

// nilIfEmpty returns nil for an empty slice. The encoder writes nil as an
// empty slice, so a nil slice is nil again after decoding.
func nilIfEmpty(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return b
}
