package stand

import (
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// expression is a DynamoDB expression with its attribute names and values.
// Only terms joined by AND are supported. Attribute names must be written as
// #placeholders, because many plain names are reserved words in DynamoDB.
type expression struct {
	text   string
	names  map[string]string
	values map[string]attr
}

// term is a single comparison or existence check of an expression.
type term struct {
	op    string // exists, absent, = or >
	name  string
	value attr
}

var (
	functionTerm   = regexp.MustCompile(`^(attribute_exists|attribute_not_exists)\(\s*(#\w+)\s*\)$`)
	comparisonTerm = regexp.MustCompile(`^(#\w+)\s*(=|>)\s*(:\w+)$`)
	andSeparator   = regexp.MustCompile(`(?i)\s+AND\s+`)
)

// parse returns the terms of an expression. As in DynamoDB, it is an error if a
// name or value is defined but not used.
func (e expression) parse() ([]term, error) {
	used := make(map[string]bool)
	var terms []term
	for _, part := range andSeparator.Split(strings.TrimSpace(e.text), -1) {
		t, err := e.parseTerm(strings.TrimSpace(part), used)
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

func (e expression) parseTerm(part string, used map[string]bool) (term, error) {
	if m := functionTerm.FindStringSubmatch(part); m != nil {
		name, err := e.resolveName(m[2], used)
		if m[1] == "attribute_exists" {
			return term{op: "exists", name: name}, err
		}
		return term{op: "absent", name: name}, err
	}
	m := comparisonTerm.FindStringSubmatch(part)
	if m == nil {
		return term{}, errors.Errorf("expression %q is not supported", part)
	}
	name, err := e.resolveName(m[1], used)
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

func (e expression) resolveName(alias string, used map[string]bool) (string, error) {
	name, ok := e.names[alias]
	if !ok {
		return "", errors.Errorf("name %s is not defined", alias)
	}
	used[alias] = true
	return name, nil
}

// matches reports whether an item satisfies all terms of a condition. A nil
// item doesn't exist.
func matches(terms []term, i item) (bool, error) {
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
			return false, errors.Errorf("operator %s is not supported in a condition", t.op)
		}
	}
	return true, nil
}
