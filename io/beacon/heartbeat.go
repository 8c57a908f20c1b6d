package beacon

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/gossip"
)

// heartbeatWire is the encoded form of a heartbeat. It is an array, to keep
// datagrams small.
type heartbeatWire struct {
	_        struct{} `cbor:",toarray"`
	Host     string
	Domain   string
	Address  string
	Boot     uint64
	Count    uint64
	Ready    bool
	Lost     bool
	Age      int64       // milliseconds
	Operator versionWire // newest change of the operators' table
	Servers  versionWire // newest change of the servers' table
	Demand   map[string]float32
	InFlight map[string]uint16
	Spare    map[string]uint16
}

// digestWire is the encoded form of a digest.
type digestWire struct {
	_        struct{} `cbor:",toarray"`
	Domain   string
	Passed   bool
	Beats    []heartbeatWire
	Demand   map[string]float32 // total of the domain
	InFlight map[string]uint16  // total of the domain
}

// EncodeHeartbeat encodes a heartbeat for the host's entry in the store's list.
// Errors carry Internal.
func EncodeHeartbeat(b gossip.Heartbeat) ([]byte, error) {
	raw, err := cbor.Marshal(heartbeatToWire(b))
	return raw, codes.Wrap(err, codes.Internal, "beacon: cannot encode heartbeat")
}

// DecodeHeartbeat decodes a host's entry in the store's list. Errors carry
// PeerFrame.
func DecodeHeartbeat(raw []byte) (gossip.Heartbeat, error) {
	var w heartbeatWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return gossip.Heartbeat{}, codes.Wrap(err, codes.PeerFrame, "beacon: cannot decode heartbeat")
	}
	return heartbeatFromWire(w)
}

// EncodeDigest encodes a digest without the datagram's kind byte. Errors carry
// PeerFrame if the digest does not fit into a datagram, or else Internal.
func EncodeDigest(d gossip.Digest) ([]byte, error) {
	w := digestWire{
		Domain: string(d.Domain), Passed: d.Forwarded, Beats: make([]heartbeatWire, 0, len(d.Heartbeats)),
		Demand: demandToWire(d.Demand), InFlight: inFlightToWire(d.InFlight),
	}
	for _, b := range d.Heartbeats {
		w.Beats = append(w.Beats, heartbeatToWire(b))
	}
	raw, err := cbor.Marshal(w)
	if err == nil && len(raw) > maxDigest {
		return nil, codes.New(codes.PeerFrame, "beacon: digest has %d bytes, more than the maximum of %d", len(raw), maxDigest)
	}
	return raw, codes.Wrap(err, codes.Internal, "beacon: cannot encode digest")
}

// DecodeDigest decodes a digest without the datagram's kind byte. Errors carry
// PeerFrame.
func DecodeDigest(raw []byte) (gossip.Digest, error) {
	var w digestWire
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return gossip.Digest{}, codes.Wrap(err, codes.PeerFrame, "beacon: cannot decode digest")
	}
	demand, err := demandFromWire(w.Demand)
	if err != nil {
		return gossip.Digest{}, err
	}
	d := gossip.Digest{
		Domain: core.DomainID(w.Domain), Forwarded: w.Passed, Heartbeats: make([]gossip.Heartbeat, 0, len(w.Beats)),
		Demand: demand, InFlight: inFlightFromWire(w.InFlight),
	}
	for _, b := range w.Beats {
		h, err := heartbeatFromWire(b)
		if err != nil {
			return gossip.Digest{}, err
		}
		d.Heartbeats = append(d.Heartbeats, h)
	}
	return d, nil
}

func heartbeatToWire(b gossip.Heartbeat) heartbeatWire {
	w := heartbeatWire{
		Host: string(b.Host), Domain: string(b.Domain), Address: b.Address, Boot: b.StartedMs, Count: b.Seq, Ready: b.Ready,
		Lost: b.StoreDown, Age: b.Age.Milliseconds(),
		Operator: versionWire(b.Versions[core.FeedOperator]), Servers: versionWire(b.Versions[core.FeedServers]),
		Demand: demandToWire(b.Demand), InFlight: inFlightToWire(b.InFlight), Spare: make(map[string]uint16, len(b.SpareTokens)),
	}
	for name, n := range b.SpareTokens {
		w.Spare[string(name)] = uint16(min(n, 1<<16-1))
	}
	return w
}

func heartbeatFromWire(w heartbeatWire) (gossip.Heartbeat, error) {
	demand, err := demandFromWire(w.Demand)
	if err != nil {
		return gossip.Heartbeat{}, err
	}
	b := gossip.Heartbeat{
		Host: core.HostID(w.Host), Domain: core.DomainID(w.Domain), Address: w.Address, StartedMs: w.Boot, Seq: w.Count, Ready: w.Ready,
		StoreDown: w.Lost, Age: duration(w.Age),
		Versions: map[core.FeedTable]core.Version{core.FeedOperator: core.Version(w.Operator), core.FeedServers: core.Version(w.Servers)},
		Demand:   demand, InFlight: inFlightFromWire(w.InFlight), SpareTokens: make(map[core.WorkspaceID]int, len(w.Spare)),
	}
	for name, n := range w.Spare {
		b.SpareTokens[core.WorkspaceID(name)] = int(n)
	}
	return b, nil
}

func demandToWire(demand map[core.WorkspaceID]float64) map[string]float32 {
	w := make(map[string]float32, len(demand))
	for name, d := range demand {
		w[string(name)] = float32(d)
	}
	return w
}

func demandFromWire(w map[string]float32) (map[core.WorkspaceID]float64, error) {
	demand := make(map[core.WorkspaceID]float64, len(w))
	for name, d := range w {
		if !isAmount(float64(d)) {
			return nil, codes.New(codes.PeerFrame, "beacon: demand of workspace %s is %v, expected a finite number of 0 or more", name, d)
		}
		demand[core.WorkspaceID(name)] = float64(d)
	}
	return demand, nil
}

// isAmount reports whether a number from a message is finite and not negative.
func isAmount(n float64) bool { return n >= 0 && !math.IsInf(n, 1) }

// maxDuration bounds the times in messages, so that they can be added to others.
const maxDuration = 365 * 24 * time.Hour

// duration returns a time from a message, between 0 and maxDuration.
func duration(milliseconds int64) time.Duration {
	return time.Duration(min(max(milliseconds, 0), maxDuration.Milliseconds())) * time.Millisecond
}

func inFlightToWire(inFlight map[core.ServerID]int) map[string]uint16 {
	w := make(map[string]uint16, len(inFlight))
	for id, n := range inFlight {
		w[string(id)] = uint16(min(n, 1<<16-1))
	}
	return w
}

func inFlightFromWire(w map[string]uint16) map[core.ServerID]int {
	inFlight := make(map[core.ServerID]int, len(w))
	for id, n := range w {
		inFlight[core.ServerID(id)] = int(n)
	}
	return inFlight
}
