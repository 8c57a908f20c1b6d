package stand

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// attr is a DynamoDB attribute value: a string, an unsigned 64-bit integer or
// bytes.
type attr struct {
	kind  string // S, N or B
	text  string // for S and N
	bytes []byte // for B
}

// MarshalJSON implements json.Marshaler.
func (a attr) MarshalJSON() ([]byte, error) {
	if a.kind == "B" {
		return json.Marshal(map[string][]byte{"B": a.bytes})
	}
	return json.Marshal(map[string]string{a.kind: a.text})
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *attr) UnmarshalJSON(b []byte) error {
	var typed map[string]json.RawMessage
	if err := json.Unmarshal(b, &typed); err != nil {
		return err
	}
	if len(typed) != 1 {
		return errors.New("attribute value must have exactly one type")
	}
	for kind, raw := range typed {
		a.kind = kind
		if kind == "B" {
			a.bytes = []byte{}
			return json.Unmarshal(raw, &a.bytes)
		}
		if kind != "S" && kind != "N" {
			return errors.Errorf("attribute type %s is not supported", kind)
		}
		if err := json.Unmarshal(raw, &a.text); err != nil {
			return err
		}
	}
	if a.kind != "N" {
		return nil
	}
	n, err := strconv.ParseUint(a.text, 10, 64)
	a.text = strconv.FormatUint(n, 10)
	return errors.Wrap(err, "number is not an unsigned 64-bit integer")
}

func (a attr) equal(b attr) bool {
	return a.kind == b.kind && a.text == b.text && string(a.bytes) == string(b.bytes)
}

type item map[string]attr

// size returns approximately the number of bytes that DynamoDB counts for an
// item.
func (i item) size() int {
	n := 0
	for name, a := range i {
		n += len(name) + len(a.text) + len(a.bytes)
	}
	return n
}
