// Package beacon carries beats between entry hosts as datagrams, and copies
// of followed tables over WebSocket.
package beacon

import (
	"net"
	"strconv"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/gossip"
)

const (
	// maxDatagram is the largest UDP payload.
	maxDatagram = 65507
	// maxDigest is the largest digest. Its kind goes before it.
	maxDigest = maxDatagram - 1
)

// Config configures a Beacon. All fields are required.
type Config struct {
	Address string // IP address of this host
	Port    int    // the same on all hosts
	// OnDigest takes in a digest and returns the addresses to pass it on to.
	OnDigest func(gossip.Digest) []string
	// OnTokenRequest takes tokens of a workspace out for another host.
	OnTokenRequest func(w core.WorkspaceID, want float64) float64
	Log            logrus.FieldLogger
}

// Transport sends and receives beats. It is safe for concurrent use.
type Transport struct {
	cfg    Config
	socket *net.UDPConn

	mu        sync.Mutex
	asked     uint64
	questions map[uint64]chan float64 // without an answer yet
}

// Listen opens the socket of a beacon.
func Listen(cfg Config) (*Transport, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(cfg.Address), Port: cfg.Port})
	if err != nil {
		return nil, errors.Wrap(err, "beacon: socket")
	}
	return &Transport{cfg: cfg, socket: socket, questions: make(map[uint64]chan float64)}, nil
}

// Run receives beats until the beacon is closed.
func (b *Transport) Run() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := b.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A host that is down refuses datagrams; that shows as an error
			// of the next read.
			continue
		}
		if err := b.take(buffer[:n], from); err != nil {
			b.cfg.Log.WithError(err).WithField("from", from).Warn("beacon: datagram ignored")
		}
	}
}

// take takes in a datagram.
func (b *Transport) take(raw []byte, from *net.UDPAddr) error {
	if len(raw) == 0 {
		return codes.New(codes.PeerFrame, "beacon: empty datagram")
	}
	switch kind := raw[0]; kind {
	case kindDigest:
		return b.takeDigest(raw[1:])
	case kindAsk, kindGive:
		return b.takeToken(kind, raw[1:], from)
	default:
		return codes.New(codes.PeerKind, "beacon: datagram of unknown kind %d", kind)
	}
}

func (b *Transport) takeDigest(raw []byte) error {
	digest, err := DecodeDigest(raw)
	if err != nil {
		return err
	}
	addresses := b.cfg.OnDigest(digest)
	if len(addresses) == 0 {
		return nil
	}
	digest.Forwarded = true
	if err := b.Send(digest, addresses); err != nil {
		b.cfg.Log.WithError(err).Debug("beacon: digest was not passed on to all hosts")
	}
	return nil
}

// Send sends a digest to hosts by their IP addresses. Datagrams may be lost;
// the next beat makes up for it.
func (b *Transport) Send(d gossip.Digest, addresses []string) error {
	raw, err := EncodeDigest(d)
	if err != nil {
		return err
	}
	raw = append([]byte{kindDigest}, raw...)
	var last error
	for _, a := range addresses {
		if _, err := b.socket.WriteToUDP(raw, &net.UDPAddr{IP: net.ParseIP(a), Port: b.cfg.Port}); err != nil {
			last = errors.Wrap(err, "beacon: beat to "+net.JoinHostPort(a, strconv.Itoa(b.cfg.Port)))
		}
	}
	return last
}

// Close closes the socket and ends Run.
func (b *Transport) Close() error { return errors.Wrap(b.socket.Close(), "beacon: socket") }
