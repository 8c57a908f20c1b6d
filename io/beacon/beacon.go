// Package beacon is the transport between entry hosts. It sends heartbeats
// and requests for rate tokens and permits as UDP datagrams, and copies of the
// tables of package mirror over WebSocket.
package beacon

import (
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/gossip"
)

const (
	// maxDatagram is the largest UDP payload over IPv4, in bytes.
	maxDatagram = 65507
	// maxDigest is the largest encoded digest, in bytes. The kind byte comes
	// before it.
	maxDigest = maxDatagram - 1
)

// Config configures a Transport. All fields are required.
type Config struct {
	Address string // IP address of this host
	Port    int    // the same on all hosts
	// OnDigest handles a received digest and returns the IP addresses of the
	// hosts to forward it to.
	OnDigest func(gossip.Digest) []string
	// OnNews handles received news and returns the IP addresses of the hosts to
	// forward them to.
	OnNews func(gossip.News) []string
	// OnTokenRequest removes up to want rate tokens of a workspace to lend them to
	// another host, and returns how many.
	OnTokenRequest func(w core.WorkspaceID, want float64) float64
	// OnLoanRequest decides how much of a workspace's rate to lend to another host.
	OnLoanRequest func(core.RateLoanRequest) core.RateLoanReply
	// OnRecall ends the loans of earlier processes of the host with an IP address. It
	// returns false if the recall must be sent again later.
	OnRecall func(address string, r core.RateRecall) bool
	// OnPermitRequest decides whether another host may send a request to a server.
	OnPermitRequest func(core.PermitRequest) core.PermitReply
	// OnLimitNotice handles what another host tells about a server's limit. Run
	// calls OnDigest, OnNews, OnTokenRequest, OnLoanRequest, OnRecall,
	// OnPermitRequest and OnLimitNotice.
	OnLimitNotice func(core.LimitNotice)
	Log           logrus.FieldLogger
}

// Transport sends and receives the datagrams of a host. It is safe for
// concurrent use.
type Transport struct {
	cfg    Config
	socket *net.UDPConn

	mu          sync.Mutex
	lastRequest uint64                // number of the last request for tokens or a permit
	pending     map[uint64]chan reply // requests without a reply yet, by number
}

// Listen opens the UDP socket of a beacon. The caller starts Run to receive
// datagrams, and closes the beacon when done.
func Listen(cfg Config) (*Transport, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(cfg.Address), Port: cfg.Port})
	if err != nil {
		return nil, errors.Wrap(err, "beacon: cannot open UDP socket")
	}
	// Numbers start at random, so that late replies to an earlier process of this host
	// match none.
	return &Transport{cfg: cfg, socket: socket, lastRequest: rand.Uint64(), pending: make(map[uint64]chan reply)}, nil
}

// Run receives and handles datagrams until the beacon is closed.
func (b *Transport) Run() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := b.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A datagram to a host that is down can be rejected by ICMP,
			// which appears as an error of the next read.
			continue
		}
		if err := b.handleDatagram(buffer[:n], from); err != nil {
			b.cfg.Log.WithError(err).WithField("from", from).Warn("beacon: dropping a datagram that cannot be handled")
		}
	}
}

// handleDatagram handles a datagram by its kind. A panic becomes an error, so that a
// datagram cannot end the process.
func (b *Transport) handleDatagram(raw []byte, from *net.UDPAddr) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = codes.New(codes.Internal, "beacon: handling a datagram panicked: %v; %s", p, debug.Stack())
		}
	}()
	if len(raw) == 0 {
		return codes.New(codes.PeerFrame, "beacon: datagram is empty, expected a kind byte")
	}
	switch kind := raw[0]; kind {
	case kindDigest:
		return b.handleDigest(raw[1:])
	case kindNews:
		return b.handleNews(raw[1:])
	case kindTokenRequest, kindTokenReply:
		return b.handleToken(kind, raw[1:], from)
	case kindLoanRequest, kindLoanReply:
		return b.handleLoan(kind, raw[1:], from)
	case kindRecall, kindRecallReply:
		return b.handleRecall(kind, raw[1:], from)
	case kindPermitRequest, kindPermitReply, kindLimitNotice:
		return b.handlePermit(kind, raw[1:], from)
	default:
		return codes.New(codes.PeerKind, "beacon: datagram of unknown kind %d", kind)
	}
}

func (b *Transport) handleDigest(raw []byte) error {
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
		b.cfg.Log.WithError(err).Debug("beacon: digest could not be forwarded to all hosts of the domain")
	}
	return nil
}

// Send sends a digest to the hosts with the given IP addresses. It returns
// the last error, after trying all of them, or an error with the code
// PeerFrame if the digest is too large. Datagrams may be lost, in which case
// the next heartbeat replaces them.
func (b *Transport) Send(d gossip.Digest, addresses []string) error {
	raw, err := EncodeDigest(d)
	if err != nil {
		return err
	}
	return b.sendAll(append([]byte{kindDigest}, raw...), addresses)
}

// Close closes the socket and ends Run.
func (b *Transport) Close() error {
	return errors.Wrap(b.socket.Close(), "beacon: cannot close UDP socket")
}
