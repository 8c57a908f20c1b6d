package demo

import (
	"io"
	"sync"
)

// output passes on the lines of the run and of the faults, which are caused
// meanwhile by goroutines of their own.
type output struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.out.Write(p)
}
