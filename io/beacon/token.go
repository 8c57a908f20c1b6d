package beacon

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/codes"
)

// askTimeout bounds a question for tokens: two round trips between regions.
const askTimeout = 60 * time.Millisecond

// The kinds of datagrams, their first byte.
const (
	kindDigest = 'd'
	kindAsk    = 'a'
	kindGive   = 'g'
)

// tokenWire is a question for tokens or its answer. A lost answer loses the
// tokens, which keeps their sum.
type tokenWire struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64   // of the question, which the answer repeats
	Workspace string
	Tokens    float64
}

// RequestTokens asks a host for tokens of a workspace's rate and returns how many it
// gave. Errors carry PeerDown.
func (b *Transport) RequestTokens(ctx context.Context, address string, w core.WorkspaceID, want float64) (float64, error) {
	given := make(chan float64, 1)
	b.mu.Lock()
	b.asked++
	number := b.asked
	b.questions[number] = given
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.questions, number)
	}()
	to := &net.UDPAddr{IP: net.ParseIP(address), Port: b.cfg.Port}
	if err := b.sendToken(kindAsk, tokenWire{Number: number, Workspace: string(w), Tokens: want}, to); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	select {
	case n := <-given:
		return n, nil
	case <-ctx.Done():
		return 0, codes.Wrap(ctx.Err(), codes.PeerDown, "beacon: host %s gave no tokens", address)
	}
}

func (b *Transport) sendToken(kind byte, w tokenWire, to *net.UDPAddr) error {
	raw, err := cbor.Marshal(w)
	if err != nil {
		return codes.Wrap(err, codes.Internal, "beacon: message cannot be encoded")
	}
	_, err = b.socket.WriteToUDP(append([]byte{kind}, raw...), to)
	return codes.Wrap(err, codes.PeerDown, "beacon: message to %s", to)
}

// takeToken takes in a question or an answer.
func (b *Transport) takeToken(kind byte, raw []byte, from *net.UDPAddr) error {
	var w tokenWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return codes.Wrap(err, codes.PeerFrame, "beacon: message cannot be decoded")
	}
	if kind == kindAsk {
		w.Tokens = b.cfg.OnTokenRequest(core.WorkspaceID(w.Workspace), w.Tokens)
		return b.sendToken(kindGive, w, from)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if given := b.questions[w.Number]; given != nil {
		delete(b.questions, w.Number)
		given <- w.Tokens
	}
	return nil
}
