package demo

import (
	"io"
	"sync"
)

// syncWriter serializes writes to w. The run and the fault injector print
// lines concurrently.
type syncWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (s *syncWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.w.Write(p)
}
