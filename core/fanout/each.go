// Package fanout runs independent calls concurrently, for example the requests
// to several hosts.
package fanout

import "sync"

// Each calls f with 0 to n-1, at most limit calls at a time, and waits for all
// of them. With a limit of 1 or less, it makes the calls in order in the
// caller's goroutine.
func Each(limit, n int, f func(i int)) {
	if limit <= 1 {
		for i := range n {
			f(i)
		}
		return
	}
	var wg sync.WaitGroup
	sem := make(chan struct{}, limit)
	for i := range n {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			f(i)
		})
	}
	wg.Wait()
}
