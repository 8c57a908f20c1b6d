package codes_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"azurering/core/codes"
)

// The table of codes for operators must list exactly the declared codes. A
// code that is added or renumbered in one place only makes them differ.
func TestTableMatchesCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/CODES.md")
	require.NoError(t, err)
	documented := make(map[string]string)
	for _, m := range regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \|`).FindAllStringSubmatch(string(page), -1) {
		require.NotContains(t, documented, m[2], "code is listed twice")
		documented[m[2]] = m[1]
	}
	file, err := parser.ParseFile(token.NewFileSet(), "codes.go", nil, 0)
	require.NoError(t, err)
	declared := make(map[string]string)
	numbers := make(map[string]bool)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || fmt.Sprint(spec.Type) != "Code" {
			return true
		}
		number := spec.Values[0].(*ast.BasicLit).Value
		require.False(t, numbers[number], "number %s is declared twice", number)
		numbers[number] = true
		declared[spec.Names[0].Name] = number
		return true
	})
	require.NotEmpty(t, declared)
	require.Equal(t, declared, documented)
}

// Wrapping an error must keep its code, and the outermost code must win.
func TestOf(t *testing.T) {
	inner := codes.New(codes.StoreDown, "table is down")
	require.Equal(t, codes.OK, codes.Of(nil))
	require.Equal(t, codes.Internal, codes.Of(errors.New("plain")))
	require.Equal(t, codes.StoreDown, codes.Of(errors.Wrap(inner, "seats")))
	require.Equal(t, codes.NoServer, codes.Of(codes.Wrap(inner, codes.NoServer, "pool")))
	require.NoError(t, codes.Wrap(nil, codes.NoServer, "pool"))
	require.EqualError(t, codes.Wrap(inner, codes.NoServer, "pool: no server"), "pool: no server (code 5001): table is down (code 6001)")
}
