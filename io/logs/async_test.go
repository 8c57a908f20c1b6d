package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/io/logs"
)

// blockedWriter is an output whose writes block until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Guards against a stalled output (a full disk or pipe) that blocks the
// goroutines that log or lets the memory grow without bound, and against
// dropped lines that are not reported.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	const lines = 20000
	out := &blockedWriter{open: make(chan struct{})}
	a := logs.NewAsyncWriter(out)
	for n := range lines {
		_, err := fmt.Fprintf(a, "line=%d\n", n)
		require.NoError(t, err)
	}
	a.Flush()
	close(out.open)
	require.Eventually(t, func() bool {
		out.mu.Lock()
		defer out.mu.Unlock()
		return strings.Contains(out.text.String(), "lines dropped")
	}, 10*time.Second, time.Millisecond)
	out.mu.Lock()
	defer out.mu.Unlock()
	written := strings.Count(out.text.String(), "line=")
	require.Less(t, written, lines/2)
	var dropped int
	_, err := fmt.Sscanf(out.text.String()[strings.Index(out.text.String(), "dropped="):], "dropped=%d", &dropped)
	require.NoError(t, err)
	// The item of Flush may have been dropped too and counted as a line.
	require.InDelta(t, lines-written, dropped, 1)
}

func TestFlushWritesAllLines(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	close(out.open)
	a := logs.NewAsyncWriter(out)
	for n := range 100 {
		fmt.Fprintf(a, "line=%d\n", n)
	}
	a.Flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	require.Equal(t, 100, strings.Count(out.text.String(), "line="))
}
