package setup

import (
	"os"
	"reflect"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// addSettings adds the dotted TOML names of all settings of a struct to a set.
func addSettings(t reflect.Type, prefix string, set map[string]bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Tag.Get("toml")
		if f.Type.Kind() == reflect.Struct {
			addSettings(f.Type, name+".", set)
			continue
		}
		set[name] = true
	}
}

// Guards against a setting that is added, renamed or removed in the code but
// not in the list of settings for operators.
func TestPageListsAllSettings(t *testing.T) {
	declared := make(map[string]bool)
	addSettings(reflect.TypeFor[file](), "", declared)
	operatorsPage, err := os.ReadFile("../../docs/OPERATE.md")
	require.NoError(t, err)
	section := regexp.MustCompile(`(?s)## Settings\n(.*?)\n## `).FindSubmatch(operatorsPage)
	require.NotNil(t, section)
	listed := make(map[string]bool)
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z.]+)` \\|").FindAllSubmatch(section[1], -1) {
		listed[string(m[1])] = true
	}
	require.Equal(t, declared, listed)
}
