package order

import (
	"context"
	"sync"
	"time"
)

const (
	// maxPuts bounds the answers that are stored at the same time.
	maxPuts = 8
	// putRetryInterval is the delay before another attempt at a failing
	// object store.
	putRetryInterval = 500 * time.Millisecond
)

// runPuts stores large answers and then queues their rows. It is separate
// from the commits, so that a slow object store delays no claim.
func (o *Orders) runPuts(ctx context.Context, wg *sync.WaitGroup) {
	slots := make(chan struct{}, maxPuts)
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wakePutter:
		}
		for _, p := range o.takePuts() {
			select {
			case <-ctx.Done():
				return
			case slots <- struct{}{}:
			}
			wg.Go(func() {
				o.put(ctx, p)
				<-slots
			})
		}
	}
}

func (o *Orders) takePuts() []*op {
	o.mu.Lock()
	defer o.mu.Unlock()
	large := o.largeAnswers
	o.largeAnswers = nil
	return large
}

// put stores the answer of an op and queues its row. A put with an unknown
// outcome can be repeated because the name is derived from the content.
func (o *Orders) put(ctx context.Context, p *op) {
	for !o.putOnce(ctx, p) {
		select {
		case <-ctx.Done():
			return
		case <-o.cfg.Timer.After(putRetryInterval):
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	p.body = nil
	o.enqueue(p)
}

func (o *Orders) putOnce(ctx context.Context, p *op) bool {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.CommitTimeout)
	defer cancel()
	return o.cfg.Objects.Put(ctx, p.object, p.body) == nil
}
