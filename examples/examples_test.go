package examples_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an example that fails, hangs, or prints something other
// than its committed output, for example after a change of the API.
func TestExamples(t *testing.T) {
	sources, err := filepath.Glob("*/main.go")
	require.NoError(t, err)
	require.Len(t, sources, 6)
	for _, source := range sources {
		name := filepath.Dir(source)
		t.Run(name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join(name, "output.txt"))
			require.NoError(t, err)
			// The timeout only stops an example that hangs; it includes the
			// build.
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			got, err := exec.CommandContext(ctx, "go", "run", "./"+name).CombinedOutput()
			require.NoError(t, err, "%s", got)
			require.Equal(t, string(want), string(got))
		})
	}
}
