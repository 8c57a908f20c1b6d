package wire

import (
	"time"

	"azurering/core"
)

type attestWire struct {
	_ struct{} `cbor:",toarray"`
}

type attestedWire struct {
	_          struct{} `cbor:",toarray"`
	Domain     core.DomainID
	Host       core.HostID
	Epoch      uint64
	Acting     bool
	Version    uint64
	Withdrawn  uint64
	Holder     core.HostID
	Candidates []core.HostID
	Seen       bool
	Age        time.Duration
}

type seatPromiseWire struct {
	_      struct{} `cbor:",toarray"`
	Domain core.DomainID
	Epoch  uint64
}

type seatPromisedWire struct {
	_     struct{} `cbor:",toarray"`
	Given bool
	Epoch uint64
}

func (w *attestWire) message() (core.Message, error) { return core.AttestRequest{}, nil }

func (w *attestedWire) message() (core.Message, error) {
	if len(w.Candidates) == 0 {
		w.Candidates = nil
	}
	return core.Attestation{
		Domain: w.Domain, Host: w.Host, Epoch: w.Epoch, Acting: w.Acting,
		ConfigVersion: w.Version, WithdrawalDigest: w.Withdrawn,
		Holder: w.Holder, Candidates: w.Candidates, Fresh: w.Seen, EvidenceAge: w.Age,
	}, notNegative("age", w.Age)
}

func (w *seatPromiseWire) message() (core.Message, error) {
	return core.SeatPromiseRequest{Domain: w.Domain, Epoch: w.Epoch}, nil
}

func (w *seatPromisedWire) message() (core.Message, error) {
	return core.SeatPromiseResponse{Granted: w.Given, Epoch: w.Epoch}, nil
}
