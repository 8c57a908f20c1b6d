// Package fanout runs independent calls side by side.
package fanout

import "sync"

// Each runs f for 0 to n-1, at most limit at once, and waits for all. With a
// limit of 1 all calls run in the caller's goroutine, in order.
func Each(limit, n int, f func(i int)) {
	if limit <= 1 {
		for i := range n {
			f(i)
		}
		return
	}
	var all sync.WaitGroup
	slots := make(chan struct{}, limit)
	for i := range n {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			f(i)
		})
	}
	all.Wait()
}
