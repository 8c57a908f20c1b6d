package wire

import (
	"time"

	"azurering/core"
)

type reserveWire struct {
	_       struct{} `cbor:",toarray"`
	Service core.ServiceID
	Class   uint64
	From    core.RegionID
}

type reserveResponseWire struct {
	_      struct{} `cbor:",toarray"`
	Given  bool
	Ticket string
	Length time.Duration
}

type orderStatusRequestWire struct {
	_         struct{} `cbor:",toarray"`
	Workspace core.WorkspaceID
	Key       string
	Token     string
}

type orderStatusResponseWire struct {
	_       struct{} `cbor:",toarray"`
	Running bool
}

type orderReplicateRequestWire struct {
	_         struct{} `cbor:",toarray"`
	Domain    core.DomainID
	Epoch     uint64
	Workspace core.WorkspaceID
	Key       string
	Token     string
	Record    []byte
}

type orderReplicateResponseWire struct {
	_      struct{} `cbor:",toarray"`
	Stored bool
	Record []byte
}

type refusedWire struct {
	_    struct{} `cbor:",toarray"`
	Code int
	Text string
}

func packReserve(m core.ReserveRequest) (body, error) {
	class, err := classes.requiredNumber(string(m.Class))
	return &reserveWire{Service: m.Service, Class: class, From: m.From}, err
}

func (w *reserveWire) message() (core.Message, error) {
	class, err := classes.requiredValue(w.Class)
	return core.ReserveRequest{Service: w.Service, Class: core.Class(class), From: w.From}, err
}

func packReserved(m core.ReserveResponse) (body, error) {
	w := &reserveResponseWire{Given: m.Granted, Ticket: m.Ticket, Length: m.TTL}
	return w, notNegative("reservation length", m.TTL)
}

func (w *reserveResponseWire) message() (core.Message, error) {
	m := core.ReserveResponse{Granted: w.Given, Ticket: w.Ticket, TTL: w.Length}
	return m, notNegative("reservation length", w.Length)
}

func (w *orderStatusRequestWire) message() (core.Message, error) {
	return core.OrderStatusRequest{Workspace: w.Workspace, Key: w.Key, Token: w.Token}, nil
}

func (w *orderStatusResponseWire) message() (core.Message, error) {
	return core.OrderStatusResponse{Running: w.Running}, nil
}

func (w *orderReplicateRequestWire) message() (core.Message, error) {
	return core.OrderReplicateRequest{
		Domain: w.Domain, Epoch: w.Epoch, Workspace: w.Workspace,
		Key: w.Key, Token: w.Token, Record: nilIfEmpty(w.Record),
	}, nil
}

func (w *orderReplicateResponseWire) message() (core.Message, error) {
	return core.OrderReplicateResponse{Stored: w.Stored, Record: nilIfEmpty(w.Record)}, nil
}

func (w *refusedWire) message() (core.Message, error) {
	return core.ErrorResponse{Code: w.Code, Text: w.Text}, nil
}
