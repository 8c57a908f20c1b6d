// Package tomls decodes TOML files, rejects unknown keys and reports errors
// with line and column. Packages sheets and setup use it.
package tomls

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"azurering/core/codes"
)

// Decode decodes raw into the struct that into points to. Its errors have the
// given code. Syntax errors, values of the wrong type and unknown keys are
// reported with line and column, unknown keys all at once.
func Decode(raw []byte, into any, code codes.Code) error {
	err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(into)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return codes.New(code, "tomls: %s", unknownKeys(strict))
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		row, col := syntax.Position()
		return codes.New(code, "tomls: line %d column %d: %s", row, col, syntax.Error())
	}
	return codes.Wrap(err, code, "tomls: file cannot be decoded")
}

func unknownKeys(strict *toml.StrictMissingError) string {
	var lines []string
	for _, e := range strict.Errors {
		row, col := e.Position()
		lines = append(lines, fmt.Sprintf("line %d column %d: unknown key %s", row, col, strings.Join(e.Key(), ".")))
	}
	return strings.Join(lines, "\n")
}
