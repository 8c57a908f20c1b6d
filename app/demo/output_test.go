package demo

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a data race: the run and a host that stops meanwhile write
// to the same output. Fails under the race detector without the lock.
func TestLinesOfRunAndFaultsDoNotMix(t *testing.T) {
	var text bytes.Buffer
	out := &output{out: &text}
	w := &world{audit: newAudit(nil)}
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 50 {
				say(out, w, "a line")
			}
		})
	}
	group.Wait()
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	require.Len(t, lines, 200)
	for _, line := range lines {
		require.True(t, strings.HasSuffix(line, "  a line"), line)
	}
}
