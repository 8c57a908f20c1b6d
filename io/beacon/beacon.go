// Package beacon carries beats between entry hosts as datagrams, and copies
// of followed tables over WebSocket.
package beacon

import (
	"net"
	"strconv"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"azurering/core/gossip"
)

// maxDatagram is the largest UDP payload.
const maxDatagram = 65507

// Config configures a Beacon. All fields are required.
type Config struct {
	Address string // IP address of this host
	Port    int    // the same on all hosts
	// Hear takes in a digest and returns the addresses to pass it on to.
	Hear func(gossip.Digest) []string
	Log  logrus.FieldLogger
}

// Beacon sends and receives beats. It is safe for concurrent use.
type Beacon struct {
	cfg    Config
	socket *net.UDPConn
}

// Listen opens the socket of a beacon.
func Listen(cfg Config) (*Beacon, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(cfg.Address), Port: cfg.Port})
	if err != nil {
		return nil, errors.Wrap(err, "beacon: socket")
	}
	return &Beacon{cfg: cfg, socket: socket}, nil
}

// Run receives beats until the beacon is closed.
func (b *Beacon) Run() {
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
		digest, err := DecodeDigest(buffer[:n])
		if err != nil {
			b.cfg.Log.WithError(err).WithField("from", from).Warn("beacon: datagram ignored")
			continue
		}
		if addresses := b.cfg.Hear(digest); len(addresses) > 0 {
			digest.Passed = true
			if err := b.Send(digest, addresses); err != nil {
				b.cfg.Log.WithError(err).Debug("beacon: digest was not passed on to all hosts")
			}
		}
	}
}

// Send sends a digest to hosts by their IP addresses. Datagrams may be lost;
// the next beat makes up for it.
func (b *Beacon) Send(d gossip.Digest, addresses []string) error {
	raw, err := EncodeDigest(d)
	if err != nil {
		return err
	}
	var last error
	for _, a := range addresses {
		if _, err := b.socket.WriteToUDP(raw, &net.UDPAddr{IP: net.ParseIP(a), Port: b.cfg.Port}); err != nil {
			last = errors.Wrap(err, "beacon: beat to "+net.JoinHostPort(a, strconv.Itoa(b.cfg.Port)))
		}
	}
	return last
}

// Close closes the socket and ends Run.
func (b *Beacon) Close() error { return errors.Wrap(b.socket.Close(), "beacon: socket") }
