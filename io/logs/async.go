package logs

import (
	"fmt"
	"io"
	"time"

	"azurering/core/rings"
)

// bufferedLines is the number of lines that are buffered for a slow output.
const bufferedLines = 4096

// flushTimeout bounds Flush, which runs at the end of a process, shortly
// before the platform kills it.
const flushTimeout = 200 * time.Millisecond

// AsyncWriter is a writer that buffers lines for an output that may block. If the
// buffer is full, lines are dropped and counted, so that logging never delays
// a request. It is safe for concurrent use.
type AsyncWriter struct {
	out  io.Writer
	ring *rings.Ring
}

// NewAsyncWriter returns a writer and starts the goroutine that writes to out. The
// goroutine runs until the process ends.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, ring: rings.New(rings.Config{Name: "logs", Size: bufferedLines})}
	go a.writeLines()
	return a
}

// Write implements io.Writer. It buffers or drops the line, never blocks and
// always returns a nil error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	// If the ring is full, it counts the line as dropped. writeLines logs the
	// count.
	_ = a.ring.Offer(append([]byte(nil), line...))
	return len(line), nil
}

// flushMark is the ring item that Flush waits for.
type flushMark struct{ done chan struct{} }

// writeLines writes the buffered lines. Once the buffer is empty, it logs how
// many lines were dropped since the last report.
func (a *AsyncWriter) writeLines() {
	reportedDrops := uint64(0)
	for item := range a.ring.C() {
		switch v := item.(type) {
		case []byte:
			_, _ = a.out.Write(v)
		case flushMark:
			close(v.done)
		}
		if dropped := a.ring.Dropped(); dropped > reportedDrops && a.ring.Len() == 0 {
			_, _ = fmt.Fprintf(a.out, "level=warning msg=\"logs: lines dropped\" dropped=%d\n", dropped-reportedDrops)
			reportedDrops = dropped
		}
	}
}

// Flush waits until all lines that are buffered at the call are written. It
// gives up after 200 ms, and at once if the buffer is full.
func (a *AsyncWriter) Flush() {
	f := flushMark{done: make(chan struct{})}
	if a.ring.Offer(f) != nil {
		return
	}
	select {
	case <-f.done:
	case <-time.After(flushTimeout):
	}
}
