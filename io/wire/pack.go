package wire

import (
	"github.com/pkg/errors"

	"azurering/core"
)

// pack returns the wire form of a message.
func pack(m core.Message) (body, error) {
	switch m := m.(type) {
	case core.Heartbeat:
		return packHeartbeat(m)
	case core.ConfigPush:
		return packConfigPush(m)
	case core.WithdrawPush:
		return packWithdrawPush(m), nil
	case core.LoanRequest:
		return packLoanRequest(m), nil
	case core.LoanResponse:
		return packLoanResponse(m)
	case core.ReserveRequest:
		return packReserve(m)
	case core.ReserveResponse:
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
	case core.AttestRequest:
		return &attestWire{}, nil
	case core.Attestation:
		return &attestedWire{
			Domain: m.Domain, Host: m.Host, Epoch: m.Epoch, Acting: m.Acting,
			Version: m.ConfigVersion, Withdrawn: m.WithdrawalDigest,
			Holder: m.Holder, Candidates: m.Candidates, Seen: m.Fresh, Age: m.EvidenceAge,
		}, notNegative("age", m.EvidenceAge)
	case core.SeatPromiseRequest:
		return &seatPromiseWire{Domain: m.Domain, Epoch: m.Epoch}, nil
	case core.SeatPromiseResponse:
		return &seatPromisedWire{Given: m.Granted, Epoch: m.Epoch}, nil
	case core.OrderStatusRequest:
		return &orderStatusRequestWire{Workspace: m.Workspace, Key: m.Key, Token: m.Token}, nil
	case core.OrderStatusResponse:
		return &orderStatusResponseWire{Running: m.Running}, nil
	case core.OrderReplicateRequest:
		return &orderReplicateRequestWire{
			Domain: m.Domain, Epoch: m.Epoch, Workspace: m.Workspace,
			Key: m.Key, Token: m.Token, Record: m.Record,
		}, nil
	case core.OrderReplicateResponse:
		return &orderReplicateResponseWire{Stored: m.Stored, Record: m.Record}, nil
	case core.ErrorResponse:
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
