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

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// A blocked output must hold up no request, must not use memory without
// bound, and must tell afterwards that lines are missing.
func TestBlockedOutputHoldsUpNothing(t *testing.T) {
	const lines = 20000
	out := &blocked{open: make(chan struct{})}
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
	// Flush found no room either and counts as one more.
	require.InDelta(t, lines-written, dropped, 1)
}

func TestFlushWritesAllLines(t *testing.T) {
	out := &blocked{open: make(chan struct{})}
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
