package logs

import (
	"fmt"
	"io"
	"time"

	"azurering/core/rings"
)

// asyncLines is how many lines may wait for a slow output.
const asyncLines = 4096

// flushTimeout bounds Flush at the end of a process, which the platform
// kills soon after.
const flushTimeout = 200 * time.Millisecond

// AsyncWriter passes lines on to an output that may block. Lines that find no room
// are dropped and counted, so that logging never holds up a request. It is
// safe for concurrent use.
type AsyncWriter struct {
	out  io.Writer
	ring *rings.Ring
}

// NewAsyncWriter returns a writer and starts the goroutine that writes to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, ring: rings.New(rings.Config{Name: "logs", Size: asyncLines})}
	go a.run()
	return a
}

// Write implements io.Writer. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	// A full ring counts the line as dropped; run reports the count.
	_ = a.ring.Offer(append([]byte(nil), line...))
	return len(line), nil
}

type flush struct{ done chan struct{} }

func (a *AsyncWriter) run() {
	reported := uint64(0)
	for item := range a.ring.C() {
		switch v := item.(type) {
		case []byte:
			_, _ = a.out.Write(v)
		case flush:
			close(v.done)
		}
		if dropped := a.ring.Dropped(); dropped > reported && a.ring.Len() == 0 {
			_, _ = fmt.Fprintf(a.out, "level=warning msg=\"logs: lines dropped\" dropped=%d\n", dropped-reported)
			reported = dropped
		}
	}
}

// Flush waits until the lines written so far are out. It gives up if the
// output is blocked.
func (a *AsyncWriter) Flush() {
	f := flush{done: make(chan struct{})}
	if a.ring.Offer(f) != nil {
		return
	}
	select {
	case <-f.done:
	case <-time.After(flushTimeout):
	}
}
