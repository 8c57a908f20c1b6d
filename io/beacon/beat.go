package beacon

import (
	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/gossip"
)

// beatWire is a beat as an array, to keep datagrams small.
type beatWire struct {
	_        struct{} `cbor:",toarray"`
	Host     string
	Domain   string
	Address  string
	Boot     uint64
	Count    uint64
	Ready    bool
	Operator uint64 // newest change of the operators' table
	Servers  uint64 // newest change of the servers' table
	Demand   map[string]float32
	InFlight map[string]uint16
}

// EncodeBeat returns the datagram of a beat.
func EncodeBeat(b gossip.Beat) ([]byte, error) {
	w := beatWire{
		Host: string(b.Host), Domain: string(b.Domain), Address: b.Address, Boot: b.Boot, Count: b.Count, Ready: b.Ready,
		Operator: b.Changes[core.FeedOperator], Servers: b.Changes[core.FeedServers],
		Demand: make(map[string]float32, len(b.Demand)), InFlight: make(map[string]uint16, len(b.InFlight)),
	}
	for name, d := range b.Demand {
		w.Demand[string(name)] = float32(d)
	}
	for id, n := range b.InFlight {
		w.InFlight[string(id)] = uint16(min(n, 1<<16-1))
	}
	raw, err := cbor.Marshal(w)
	return raw, codes.Wrap(err, codes.Internal, "beacon: beat cannot be encoded")
}

// DecodeBeat decodes a datagram. Errors carry PeerFrame.
func DecodeBeat(raw []byte) (gossip.Beat, error) {
	var w beatWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return gossip.Beat{}, codes.Wrap(err, codes.PeerFrame, "beacon: beat cannot be decoded")
	}
	b := gossip.Beat{
		Host: core.HostID(w.Host), Domain: core.DomainID(w.Domain), Address: w.Address, Boot: w.Boot, Count: w.Count, Ready: w.Ready,
		Changes:  map[core.FeedTable]uint64{core.FeedOperator: w.Operator, core.FeedServers: w.Servers},
		Demand:   make(map[core.WorkspaceID]float64, len(w.Demand)),
		InFlight: make(map[core.ServerID]int, len(w.InFlight)),
	}
	for name, d := range w.Demand {
		b.Demand[core.WorkspaceID(name)] = float64(d)
	}
	for id, n := range w.InFlight {
		b.InFlight[core.ServerID(id)] = int(n)
	}
	return b, nil
}
