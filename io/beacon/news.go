package beacon

import (
	"net"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/gossip"
)

// newsWire is the encoded form of news.
type newsWire struct {
	_       struct{} `cbor:",toarray"`
	Domain  string
	Passed  bool
	Tables  map[string]tableNewsWire
	Leaving map[string]int64 // start of each server, in Unix milliseconds
}

// tableNewsWire is the encoded form of the news of one table.
type tableNewsWire struct {
	_      struct{} `cbor:",toarray"`
	Newest versionWire
	Age    int64 // milliseconds
}

// SendNews sends news to the hosts with the given IP addresses. It returns the last
// error, after trying all of them. News may be lost: a host that gets none reads
// the store itself, and asks a server that leaves by a request.
func (b *Transport) SendNews(n gossip.News, addresses []string) error {
	w := newsWire{Domain: string(n.Domain), Passed: n.Forwarded, Tables: make(map[string]tableNewsWire, len(n.Tables)), Leaving: make(map[string]int64, len(n.Leaving))}
	for table, t := range n.Tables {
		w.Tables[string(table)] = tableNewsWire{Newest: versionWire(t.Newest), Age: t.Age.Milliseconds()}
	}
	for id, started := range n.Leaving {
		w.Leaving[string(id)] = started
	}
	raw, err := cbor.Marshal(w)
	if err != nil {
		return codes.Wrap(err, codes.Internal, "beacon: cannot encode news")
	}
	return b.sendAll(append([]byte{kindNews}, raw...), addresses)
}

// sendAll sends a datagram to the hosts with the given IP addresses. It returns the
// last error, after trying all of them.
func (b *Transport) sendAll(raw []byte, addresses []string) error {
	var last error
	for _, a := range addresses {
		if _, err := b.socket.WriteToUDP(raw, &net.UDPAddr{IP: net.ParseIP(a), Port: b.cfg.Port}); err != nil {
			last = errors.Wrap(err, "beacon: cannot send to "+net.JoinHostPort(a, strconv.Itoa(b.cfg.Port)))
		}
	}
	return last
}

// handleNews handles news and forwards them within this host's domain.
func (b *Transport) handleNews(raw []byte) error {
	var w newsWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return codes.Wrap(err, codes.PeerFrame, "beacon: cannot decode news")
	}
	n := gossip.News{
		Domain: core.DomainID(w.Domain), Forwarded: w.Passed,
		Tables: make(map[core.FeedTable]gossip.TableNews, len(w.Tables)), Leaving: make(map[core.ServerID]int64, len(w.Leaving)),
	}
	for table, t := range w.Tables {
		n.Tables[core.FeedTable(table)] = gossip.TableNews{Newest: core.Version(t.Newest), Age: duration(t.Age)}
	}
	for id, started := range w.Leaving {
		n.Leaving[core.ServerID(id)] = started
	}
	addresses := b.cfg.OnNews(n)
	if len(addresses) == 0 {
		return nil
	}
	n.Forwarded = true
	return b.SendNews(n, addresses)
}
