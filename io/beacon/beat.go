package beacon

import (
	"time"

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
	Lost     bool
	Age      int64  // milliseconds
	Operator uint64 // newest change of the operators' table
	Servers  uint64 // newest change of the servers' table
	Demand   map[string]float32
	InFlight map[string]uint16
	Spare    map[string]uint16
}

// digestWire is a datagram.
type digestWire struct {
	_        struct{} `cbor:",toarray"`
	Domain   string
	Passed   bool
	Beats    []beatWire
	Demand   map[string]float32 // of the domain
	InFlight map[string]uint16  // of the domain
}

// EncodeHeartbeat returns the entry of a host in the store's list.
func EncodeHeartbeat(b gossip.Heartbeat) ([]byte, error) {
	raw, err := cbor.Marshal(toWire(b))
	return raw, codes.Wrap(err, codes.Internal, "beacon: beat cannot be encoded")
}

// DecodeHeartbeat decodes the entry of a host. Errors carry PeerFrame.
func DecodeHeartbeat(raw []byte) (gossip.Heartbeat, error) {
	var w beatWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return gossip.Heartbeat{}, codes.Wrap(err, codes.PeerFrame, "beacon: beat cannot be decoded")
	}
	return fromWire(w), nil
}

// EncodeDigest returns the datagram of a digest. Errors carry PeerFrame if it
// does not fit.
func EncodeDigest(d gossip.Digest) ([]byte, error) {
	w := digestWire{
		Domain: string(d.Domain), Passed: d.Forwarded, Beats: make([]beatWire, 0, len(d.Heartbeats)),
		Demand: demandWire(d.Demand), InFlight: workWire(d.InFlight),
	}
	for _, b := range d.Heartbeats {
		w.Beats = append(w.Beats, toWire(b))
	}
	raw, err := cbor.Marshal(w)
	if err == nil && len(raw) > maxDigest {
		return nil, codes.New(codes.PeerFrame, "beacon: digest of %d bytes is over %d", len(raw), maxDigest)
	}
	return raw, codes.Wrap(err, codes.Internal, "beacon: digest cannot be encoded")
}

// DecodeDigest decodes a datagram. Errors carry PeerFrame.
func DecodeDigest(raw []byte) (gossip.Digest, error) {
	var w digestWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return gossip.Digest{}, codes.Wrap(err, codes.PeerFrame, "beacon: digest cannot be decoded")
	}
	d := gossip.Digest{
		Domain: core.DomainID(w.Domain), Forwarded: w.Passed, Heartbeats: make([]gossip.Heartbeat, 0, len(w.Beats)),
		Demand: demandFrom(w.Demand), InFlight: workFrom(w.InFlight),
	}
	for _, b := range w.Beats {
		d.Heartbeats = append(d.Heartbeats, fromWire(b))
	}
	return d, nil
}

func toWire(b gossip.Heartbeat) beatWire {
	w := beatWire{
		Host: string(b.Host), Domain: string(b.Domain), Address: b.Address, Boot: b.StartedMs, Count: b.Seq, Ready: b.Ready,
		Lost: b.StoreDown, Age: b.Age.Milliseconds(),
		Operator: b.Versions[core.FeedOperator], Servers: b.Versions[core.FeedServers],
		Demand: demandWire(b.Demand), InFlight: workWire(b.InFlight), Spare: make(map[string]uint16, len(b.SpareTokens)),
	}
	for name, n := range b.SpareTokens {
		w.Spare[string(name)] = uint16(min(n, 1<<16-1))
	}
	return w
}

func fromWire(w beatWire) gossip.Heartbeat {
	b := gossip.Heartbeat{
		Host: core.HostID(w.Host), Domain: core.DomainID(w.Domain), Address: w.Address, StartedMs: w.Boot, Seq: w.Count, Ready: w.Ready,
		StoreDown: w.Lost, Age: time.Duration(max(w.Age, 0)) * time.Millisecond,
		Versions: map[core.FeedTable]uint64{core.FeedOperator: w.Operator, core.FeedServers: w.Servers},
		Demand:   demandFrom(w.Demand), InFlight: workFrom(w.InFlight), SpareTokens: make(map[core.WorkspaceID]int, len(w.Spare)),
	}
	for name, n := range w.Spare {
		b.SpareTokens[core.WorkspaceID(name)] = int(n)
	}
	return b
}

func demandWire(demand map[core.WorkspaceID]float64) map[string]float32 {
	w := make(map[string]float32, len(demand))
	for name, d := range demand {
		w[string(name)] = float32(d)
	}
	return w
}

func demandFrom(w map[string]float32) map[core.WorkspaceID]float64 {
	demand := make(map[core.WorkspaceID]float64, len(w))
	for name, d := range w {
		demand[core.WorkspaceID(name)] = float64(d)
	}
	return demand
}

func workWire(work map[core.ServerID]int) map[string]uint16 {
	w := make(map[string]uint16, len(work))
	for id, n := range work {
		w[string(id)] = uint16(min(n, 1<<16-1))
	}
	return w
}

func workFrom(w map[string]uint16) map[core.ServerID]int {
	work := make(map[core.ServerID]int, len(w))
	for id, n := range w {
		work[core.ServerID(id)] = int(n)
	}
	return work
}
