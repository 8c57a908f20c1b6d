package stand

import (
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// expression is an expression of the API with its names and values. The
// subset has terms joined by AND; names are always written as #aliases,
// because many plain names are reserved words in DynamoDB.
type expression struct {
	text   string
	names  map[string]string
	values map[string]attr
}

// term is one term of an expression.
type term struct {
	op    string // exists, absent, = or >
	name  string
	value attr
}

var (
	functionTerm = regexp.MustCompile(`^(attribute_exists|attribute_not_exists)\(\s*(#\w+)\s*\)$`)
	compareTerm  = regexp.MustCompile(`^(#\w+)\s*(=|>)\s*(:\w+)$`)
	joinedBy     = regexp.MustCompile(`(?i)\s+AND\s+`)
)

// terms parses an expression. As in DynamoDB, every name and value has to
// be used.
func (e expression) terms() ([]term, error) {
	used := make(map[string]bool)
	var terms []term
	for _, part := range joinedBy.Split(strings.TrimSpace(e.text), -1) {
		t, err := e.term(strings.TrimSpace(part), used)
		if err != nil {
			return nil, err
		}
		terms = append(terms, t)
	}
	for name := range e.names {
		if !used[name] {
			return nil, errors.Errorf("name %s is not used", name)
		}
	}
	for name := range e.values {
		if !used[name] {
			return nil, errors.Errorf("value %s is not used", name)
		}
	}
	return terms, nil
}

func (e expression) term(part string, used map[string]bool) (term, error) {
	if m := functionTerm.FindStringSubmatch(part); m != nil {
		name, err := e.name(m[2], used)
		if m[1] == "attribute_exists" {
			return term{op: "exists", name: name}, err
		}
		return term{op: "absent", name: name}, err
	}
	m := compareTerm.FindStringSubmatch(part)
	if m == nil {
		return term{}, errors.Errorf("expression %q is outside the subset", part)
	}
	name, err := e.name(m[1], used)
	if err != nil {
		return term{}, err
	}
	value, ok := e.values[m[3]]
	if !ok {
		return term{}, errors.Errorf("value %s is not defined", m[3])
	}
	used[m[3]] = true
	return term{op: m[2], name: name, value: value}, nil
}

func (e expression) name(alias string, used map[string]bool) (string, error) {
	name, ok := e.names[alias]
	if !ok {
		return "", errors.Errorf("name %s is not defined", alias)
	}
	used[alias] = true
	return name, nil
}

// holds reports whether all terms of a condition hold for an item, which is
// nil if it does not exist.
func holds(terms []term, i item) (bool, error) {
	for _, t := range terms {
		a, ok := i[t.name]
		switch t.op {
		case "exists":
			if !ok {
				return false, nil
			}
		case "absent":
			if ok {
				return false, nil
			}
		case "=":
			if !ok || !a.equal(t.value) {
				return false, nil
			}
		default:
			return false, errors.Errorf("operator %s is outside the subset of conditions", t.op)
		}
	}
	return true, nil
}
