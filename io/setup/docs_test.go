package setup

import (
	"os"
	"reflect"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// names collects the settings of a wire struct.
func names(t reflect.Type, prefix string, into map[string]bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Tag.Get("toml")
		if f.Type.Kind() == reflect.Struct {
			names(f.Type, name+".", into)
			continue
		}
		into[name] = true
	}
}

// Guards against the operators' list of settings and the code drifting
// apart.
func TestPageListsAllSettings(t *testing.T) {
	declared := make(map[string]bool)
	names(reflect.TypeFor[file](), "", declared)
	page, err := os.ReadFile("../../docs/OPERATE.md")
	require.NoError(t, err)
	section := regexp.MustCompile(`(?s)## Settings\n(.*?)\n## `).FindSubmatch(page)
	require.NotNil(t, section)
	listed := make(map[string]bool)
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z.]+)` \\|").FindAllSubmatch(section[1], -1) {
		listed[string(m[1])] = true
	}
	require.Equal(t, declared, listed)
}
