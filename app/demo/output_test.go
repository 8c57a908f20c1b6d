package demo

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a data race: the run and the goroutine that stops a host
// write to the same output concurrently. Without the lock, the race detector
// reports it.
func TestLinesOfRunAndFaultsDoNotMix(t *testing.T) {
	var text bytes.Buffer
	out := &syncWriter{w: &text}
	c := &cluster{checker: newChecker(nil)}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 50 {
				printProgress(out, c, "a line")
			}
		})
	}
	wg.Wait()
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	require.Len(t, lines, 200)
	for _, line := range lines {
		require.True(t, strings.HasSuffix(line, "  a line"), line)
	}
}
