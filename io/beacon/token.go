package beacon

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/codes"
)

// requestTimeout is the timeout of a request for tokens or a permit: about two
// round trips between regions.
const requestTimeout = 60 * time.Millisecond

// Kinds of datagrams. The kind is the first byte.
const (
	kindDigest        = 'd'
	kindNews          = 'n'
	kindTokenRequest  = 'a'
	kindTokenReply    = 'g'
	kindPermitRequest = 'p'
	kindPermitReply   = 'q'
	kindLimitNotice   = 'l'
	kindLoanRequest   = 'r'
	kindLoanReply     = 's'
	kindRecall        = 'e'
	kindRecallReply   = 'f'
)

// tokenWire is the encoded form of a token request or its reply. If a reply
// is lost, so are its tokens: they are never spent twice.
type tokenWire struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64   // number of the request, repeated in the reply
	Workspace string
	Tokens    float64 // requested, or granted in the reply
}

// RequestTokens requests rate tokens of a workspace from the host with an IP address,
// and returns how many it granted. Errors carry PeerDown if the request cannot
// be sent or gets no reply within 60 ms.
func (b *Transport) RequestTokens(ctx context.Context, address string, w core.WorkspaceID, want float64) (float64, error) {
	answer, err := b.request(ctx, address, func(number uint64) (byte, any) {
		return kindTokenRequest, tokenWire{Number: number, Workspace: string(w), Tokens: want}
	})
	return min(answer.tokens, want), err
}

// reply is the content of a reply to a request for tokens, a permit or a loan, or
// to a recall, whose reply is empty.
type reply struct {
	tokens float64
	loan   core.RateLoanReply
	permit core.PermitReply
}

// request sends the datagram that message returns for a number to the host with an
// IP address, and waits for the reply with that number.
func (b *Transport) request(ctx context.Context, address string, message func(number uint64) (kind byte, wire any)) (reply, error) {
	replied := make(chan reply, 1)
	b.mu.Lock()
	b.lastRequest++
	number := b.lastRequest
	b.pending[number] = replied
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.pending, number)
	}()
	kind, wire := message(number)
	if err := b.sendWire(kind, wire, &net.UDPAddr{IP: net.ParseIP(address), Port: b.cfg.Port}); err != nil {
		return reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	select {
	case r := <-replied:
		return r, nil
	case <-ctx.Done():
		return reply{}, codes.Wrap(ctx.Err(), codes.PeerDown, "beacon: host %s did not reply to a request of kind %c", address, kind)
	}
}

// deliver passes a reply to the request with a number. Replies that come too late
// or twice are dropped.
func (b *Transport) deliver(number uint64, r reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if replied := b.pending[number]; replied != nil {
		delete(b.pending, number)
		replied <- r
	}
}

// sendWire sends a datagram of a kind.
func (b *Transport) sendWire(kind byte, wire any, to *net.UDPAddr) error {
	raw, err := cbor.Marshal(wire)
	if err != nil {
		return codes.Wrap(err, codes.Internal, "beacon: cannot encode a message of kind %c", kind)
	}
	_, err = b.socket.WriteToUDP(append([]byte{kind}, raw...), to)
	return codes.Wrap(err, codes.PeerDown, "beacon: cannot send a message of kind %c to %s", kind, to)
}

// handleToken handles a token request or a reply to one.
func (b *Transport) handleToken(kind byte, raw []byte, from *net.UDPAddr) error {
	var w tokenWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return codes.Wrap(err, codes.PeerFrame, "beacon: cannot decode token message")
	}
	if !isAmount(w.Tokens) {
		return codes.New(codes.PeerFrame, "beacon: number of tokens is %v, expected a finite number of 0 or more", w.Tokens)
	}
	if kind == kindTokenRequest {
		w.Tokens = b.cfg.OnTokenRequest(core.WorkspaceID(w.Workspace), w.Tokens)
		return b.sendWire(kindTokenReply, w, from)
	}
	b.deliver(w.Number, reply{tokens: w.Tokens})
	return nil
}
