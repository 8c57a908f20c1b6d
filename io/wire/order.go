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

type reservedWire struct {
	_      struct{} `cbor:",toarray"`
	Given  bool
	Ticket string
	Length time.Duration
}

type orderPeekWire struct {
	_         struct{} `cbor:",toarray"`
	Workspace core.WorkspaceID
	Key       string
	Token     string
}

type orderPeekedWire struct {
	_       struct{} `cbor:",toarray"`
	Running bool
}

type orderMirrorWire struct {
	_         struct{} `cbor:",toarray"`
	Domain    core.DomainID
	Epoch     uint64
	Workspace core.WorkspaceID
	Key       string
	Token     string
	Record    []byte
}

type orderMirroredWire struct {
	_      struct{} `cbor:",toarray"`
	Stored bool
	Record []byte
}

type refusedWire struct {
	_    struct{} `cbor:",toarray"`
	Code int
	Text string
}

func packReserve(m core.Reserve) (body, error) {
	class, err := classes.requiredNumber(string(m.Class))
	return &reserveWire{Service: m.Service, Class: class, From: m.From}, err
}

func (w *reserveWire) message() (core.Message, error) {
	class, err := classes.requiredValue(w.Class)
	return core.Reserve{Service: w.Service, Class: core.Class(class), From: w.From}, err
}

func packReserved(m core.Reserved) (body, error) {
	w := &reservedWire{Given: m.Given, Ticket: m.Ticket, Length: m.Length}
	return w, notNegative("reservation length", m.Length)
}

func (w *reservedWire) message() (core.Message, error) {
	m := core.Reserved{Given: w.Given, Ticket: w.Ticket, Length: w.Length}
	return m, notNegative("reservation length", w.Length)
}

func (w *orderPeekWire) message() (core.Message, error) {
	return core.OrderPeek{Workspace: w.Workspace, Key: w.Key, Token: w.Token}, nil
}

func (w *orderPeekedWire) message() (core.Message, error) {
	return core.OrderPeeked{Running: w.Running}, nil
}

func (w *orderMirrorWire) message() (core.Message, error) {
	return core.OrderMirror{
		Domain: w.Domain, Epoch: w.Epoch, Workspace: w.Workspace,
		Key: w.Key, Token: w.Token, Record: nilIfEmpty(w.Record),
	}, nil
}

func (w *orderMirroredWire) message() (core.Message, error) {
	return core.OrderMirrored{Stored: w.Stored, Record: nilIfEmpty(w.Record)}, nil
}

func (w *refusedWire) message() (core.Message, error) {
	return core.Refused{Code: w.Code, Text: w.Text}, nil
}
