package beacon

import (
	"context"
	"net"

	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/codes"
)

// permitWire is the encoded form of a core.PermitRequest, of its reply and of a
// core.LimitNotice. If a reply is lost, the permit is not used.
type permitWire struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64   // number of the request, repeated in the reply
	Host      string
	Server    string
	Boot      int64
	Known     bool
	Named     bool
	PerSecond float64
	Age       int64 // milliseconds
	Granted   bool
	Wait      int64 // milliseconds
}

// setLimit sets the fields that hold a limit.
func (w *permitWire) setLimit(l core.ServerLimit) {
	w.Known, w.Named, w.PerSecond, w.Age = l.Known, l.Named, l.PerSecond, l.Age.Milliseconds()
}

// limit returns the limit in a message. A rate that is no finite number of 0 or
// more makes it unknown.
func (w *permitWire) limit() core.ServerLimit {
	if !w.Known || !isAmount(w.PerSecond) {
		return core.ServerLimit{}
	}
	return core.ServerLimit{Known: true, Named: w.Named, PerSecond: w.PerSecond, Age: duration(w.Age)}
}

// RequestPermit asks the host with an IP address for a permit. Errors carry
// PeerDown if the request cannot be sent or gets no reply within 60 ms.
func (b *Transport) RequestPermit(ctx context.Context, address string, p core.PermitRequest) (core.PermitReply, error) {
	answer, err := b.request(ctx, address, func(number uint64) (byte, any) {
		w := permitWire{Number: number, Host: string(p.Host), Server: string(p.Server), Boot: p.StartedMs}
		w.setLimit(p.Limit)
		return kindPermitRequest, w
	})
	return answer.permit, err
}

// SendNotice sends a notice to the hosts with the given IP addresses. It returns the
// last error, after trying all of them. Notices may be lost; a coordinator
// repeats its own.
func (b *Transport) SendNotice(n core.LimitNotice, addresses []string) error {
	w := permitWire{Host: string(n.Host), Server: string(n.Server), Boot: n.StartedMs}
	w.setLimit(n.Limit)
	var last error
	for _, a := range addresses {
		if err := b.sendWire(kindLimitNotice, w, &net.UDPAddr{IP: net.ParseIP(a), Port: b.cfg.Port}); err != nil {
			last = err
		}
	}
	return last
}

// handlePermit handles a permit request, a reply to one, or a notice.
func (b *Transport) handlePermit(kind byte, raw []byte, from *net.UDPAddr) error {
	var w permitWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return codes.Wrap(err, codes.PeerFrame, "beacon: cannot decode permit message")
	}
	switch kind {
	case kindLimitNotice:
		b.cfg.OnLimitNotice(core.LimitNotice{Host: core.HostID(w.Host), Server: core.ServerID(w.Server), StartedMs: w.Boot, Limit: w.limit()})
		return nil
	case kindPermitReply:
		b.deliver(w.Number, reply{permit: core.PermitReply{Granted: w.Granted, Wait: duration(w.Wait), Limit: w.limit()}})
		return nil
	}
	answer := b.cfg.OnPermitRequest(core.PermitRequest{Host: core.HostID(w.Host), Server: core.ServerID(w.Server), StartedMs: w.Boot, Limit: w.limit()})
	w.Granted, w.Wait = answer.Granted, answer.Wait.Milliseconds()
	w.setLimit(answer.Limit)
	return b.sendWire(kindPermitReply, w, from)
}
