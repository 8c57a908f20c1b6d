package stand

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// attr is an attribute value: a string, a number that is a whole number
// from 0, or bytes.
type attr struct {
	kind  string // S, N or B
	text  string // of S and N
	bytes []byte // of B
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
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(b, &parts); err != nil {
		return err
	}
	if len(parts) != 1 {
		return errors.New("an attribute value has exactly one type")
	}
	for kind, raw := range parts {
		a.kind = kind
		if kind == "B" {
			a.bytes = []byte{}
			return json.Unmarshal(raw, &a.bytes)
		}
		if kind != "S" && kind != "N" {
			return errors.Errorf("attribute type %s is outside the subset", kind)
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
	return errors.Wrap(err, "number is outside the subset")
}

func (a attr) equal(b attr) bool {
	return a.kind == b.kind && a.text == b.text && string(a.bytes) == string(b.bytes)
}

type item map[string]attr

// size returns the bytes that DynamoDB counts for an item, nearly.
func (i item) size() int {
	n := 0
	for name, a := range i {
		n += len(name) + len(a.text) + len(a.bytes)
	}
	return n
}
