package beacon

import (
	"context"
	"net"

	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/codes"
)

// loanWire is the encoded form of a request for a part of a workspace's rate or its
// reply. If a reply is lost, nobody uses the loan until it ends.
type loanWire struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64   // number of the request, repeated in the reply
	Host      string   // that asks
	Workspace string
	Share     float64 // fraction of the rate that is requested, or granted in the reply
}

// RequestLoan asks the host with an IP address to lend a part of its share of a
// workspace's rate. Errors carry PeerDown if the request cannot be sent or gets no
// reply within 60 ms.
func (b *Transport) RequestLoan(ctx context.Context, address string, r core.RateLoanRequest) (core.RateLoanReply, error) {
	answer, err := b.request(ctx, address, func(number uint64) (byte, any) {
		return kindLoanRequest, loanWire{Number: number, Host: string(r.Host), Workspace: string(r.Workspace), Share: r.Share}
	})
	return core.RateLoanReply{Share: min(answer.loan.Share, r.Share)}, err
}

// handleLoan handles a request for a loan or a reply to one.
func (b *Transport) handleLoan(kind byte, raw []byte, from *net.UDPAddr) error {
	var w loanWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return codes.Wrap(err, codes.PeerFrame, "beacon: cannot decode loan message")
	}
	if !isAmount(w.Share) {
		return codes.New(codes.PeerFrame, "beacon: loan is %v of a rate, expected a finite number of 0 or more", w.Share)
	}
	if kind == kindLoanReply {
		b.deliver(w.Number, reply{loan: core.RateLoanReply{Share: w.Share}})
		return nil
	}
	granted := b.cfg.OnLoanRequest(core.RateLoanRequest{Host: core.HostID(w.Host), Workspace: core.WorkspaceID(w.Workspace), Share: w.Share})
	w.Share = granted.Share
	return b.sendWire(kindLoanReply, w, from)
}

// recallWire is the encoded form of a recall or its reply.
type recallWire struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   // number of the recall, repeated in the reply
	Host   string   // whose process is new
	Boot   uint64   // start of the process, in Unix milliseconds
}

// Recall tells the host with an IP address that this host's process is new. It returns
// nil once that host has ended the loans of earlier processes; errors carry PeerDown if
// it does not say so within 60 ms.
func (b *Transport) Recall(ctx context.Context, address string, r core.RateRecall) error {
	_, err := b.request(ctx, address, func(number uint64) (byte, any) {
		return kindRecall, recallWire{Number: number, Host: string(r.Host), Boot: r.StartedMs}
	})
	return err
}

// handleRecall handles a recall or a reply to one.
func (b *Transport) handleRecall(kind byte, raw []byte, from *net.UDPAddr) error {
	var w recallWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return codes.Wrap(err, codes.PeerFrame, "beacon: cannot decode recall")
	}
	if kind == kindRecallReply {
		b.deliver(w.Number, reply{})
		return nil
	}
	if !b.cfg.OnRecall(from.IP.String(), core.RateRecall{Host: core.HostID(w.Host), StartedMs: w.Boot}) {
		return nil
	}
	return b.sendWire(kindRecallReply, w, from)
}
