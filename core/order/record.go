package order

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/codes"
)

type recordState string

const (
	recordClaim recordState = "claim"
	recordDone  recordState = "done"
)

// record is the value of an order's row.
type record struct {
	state       recordState
	host        core.HostID
	incarnation uint64
	hash        [32]byte
	claimed     time.Time
	answer      []byte // encoded answer, if it is kept inline
	object      string // name of the object that holds the encoded answer
}

type wireRecord struct {
	State       string `cbor:"1,keyasint"`
	Host        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Hash        []byte `cbor:"4,keyasint"`
	Claimed     int64  `cbor:"5,keyasint"` // Unix milliseconds
	Answer      []byte `cbor:"6,keyasint,omitempty"`
	Object      string `cbor:"7,keyasint,omitempty"`
}

type wireAnswer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
	Key    string              `cbor:"4,keyasint"`
}

func (r record) encode() []byte {
	b, err := cbor.Marshal(wireRecord{
		State: string(r.state), Host: string(r.host), Incarnation: r.incarnation,
		Hash: r.hash[:], Claimed: r.claimed.UnixMilli(), Answer: r.answer, Object: r.object,
	})
	if err != nil {
		// The wire struct has only strings, bytes and numbers.
		panic("order: " + err.Error())
	}
	return b
}

func decodeRecord(b []byte) (record, error) {
	var w wireRecord
	if err := cbor.Unmarshal(b, &w); err != nil {
		return record{}, codes.Wrap(err, codes.Internal, "order: record is malformed")
	}
	state := recordState(w.State)
	if (state != recordClaim && state != recordDone) || len(w.Hash) != sha256.Size {
		return record{}, codes.New(codes.Internal, "order: record is malformed")
	}
	return record{
		state: state, host: core.HostID(w.Host), incarnation: w.Incarnation, hash: [32]byte(w.Hash),
		claimed: time.UnixMilli(w.Claimed), answer: w.Answer, object: w.Object,
	}, nil
}

// encodeAnswer includes the row key, so that two orders never share an
// object and a crossed object is noticed.
func encodeAnswer(row string, r Result) []byte {
	b, err := cbor.Marshal(wireAnswer{Status: r.Status, Header: r.Header, Body: r.Body, Key: row})
	if err != nil {
		panic("order: " + err.Error())
	}
	return b
}

func decodeAnswer(row string, b []byte) (Result, error) {
	var w wireAnswer
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Result{}, codes.Wrap(err, codes.Internal, "order: answer is malformed")
	}
	if w.Key != row {
		return Result{}, codes.New(codes.Internal, "order: answer belongs to another order")
	}
	return Result{Status: w.Status, Header: w.Header, Body: w.Body, Replayed: true}, nil
}

func objectName(answer []byte) string {
	sum := sha256.Sum256(answer)
	return "order/" + hex.EncodeToString(sum[:])
}

// load returns the recorded answer of a row.
func (o *Orders) load(ctx context.Context, row string, rec record) (Result, error) {
	answer := rec.answer
	if rec.object != "" {
		if o.cfg.Objects == nil {
			return Result{}, codes.New(codes.OrderUnknown, "order: the order ran, but there is no object store to read its answer from")
		}
		body, err := o.cfg.Objects.Get(ctx, rec.object)
		if err != nil {
			return Result{}, codes.Wrap(err, codes.OrderUnknown, "order: the order ran, but its answer cannot be read")
		}
		if objectName(body) != rec.object {
			return Result{}, codes.New(codes.OrderUnknown, "order: the order ran, but its stored answer is damaged")
		}
		answer = body
	}
	result, err := decodeAnswer(row, answer)
	if err != nil {
		return Result{}, codes.Wrap(err, codes.OrderUnknown, "order: the order ran, but its answer cannot be read")
	}
	return result, nil
}
