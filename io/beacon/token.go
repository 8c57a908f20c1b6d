package beacon

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/codes"
)

// tokenTimeout is the timeout of a token request: about two round trips
// between regions.
const tokenTimeout = 60 * time.Millisecond

// Kinds of datagrams. The kind is the first byte.
const (
	kindDigest       = 'd'
	kindTokenRequest = 'a'
	kindTokenReply   = 'g'
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
	granted := make(chan float64, 1)
	b.mu.Lock()
	b.lastRequest++
	number := b.lastRequest
	b.pending[number] = granted
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.pending, number)
	}()
	to := &net.UDPAddr{IP: net.ParseIP(address), Port: b.cfg.Port}
	if err := b.sendToken(kindTokenRequest, tokenWire{Number: number, Workspace: string(w), Tokens: want}, to); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	select {
	case n := <-granted:
		return n, nil
	case <-ctx.Done():
		return 0, codes.Wrap(ctx.Err(), codes.PeerDown, "beacon: host %s did not reply to the token request", address)
	}
}

func (b *Transport) sendToken(kind byte, w tokenWire, to *net.UDPAddr) error {
	raw, err := cbor.Marshal(w)
	if err != nil {
		return codes.Wrap(err, codes.Internal, "beacon: cannot encode token message")
	}
	_, err = b.socket.WriteToUDP(append([]byte{kind}, raw...), to)
	return codes.Wrap(err, codes.PeerDown, "beacon: cannot send token message to %s", to)
}

// handleToken handles a token request or a reply to one.
func (b *Transport) handleToken(kind byte, raw []byte, from *net.UDPAddr) error {
	var w tokenWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return codes.Wrap(err, codes.PeerFrame, "beacon: cannot decode token message")
	}
	if kind == kindTokenRequest {
		w.Tokens = b.cfg.OnTokenRequest(core.WorkspaceID(w.Workspace), w.Tokens)
		return b.sendToken(kindTokenReply, w, from)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if granted := b.pending[w.Number]; granted != nil {
		delete(b.pending, w.Number)
		granted <- w.Tokens
	}
	return nil
}
