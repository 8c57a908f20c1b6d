package order

import (
	"context"
	"sync"
	"time"
)

const (
	// putters bounds the answers that are stored at the same time.
	putters = 8
	// putPause is the pause between attempts at a failing object store.
	putPause = 500 * time.Millisecond
)

// runPuts stores large answers and then queues their rows. It is a duty of
// its own, so that a slow object store delays no claim.
func (o *Orders) runPuts(ctx context.Context, wg *sync.WaitGroup) {
	slots := make(chan struct{}, putters)
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wakePuts:
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
	large := o.large
	o.large = nil
	return large
}

// put stores the answer of an op and queues its row. A put with an unknown
// outcome is repeated: the name is derived from the content.
func (o *Orders) put(ctx context.Context, p *op) {
	for !o.putOnce(ctx, p) {
		select {
		case <-ctx.Done():
			return
		case <-o.cfg.Timer.After(putPause):
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	p.body = nil
	o.push(p)
}

func (o *Orders) putOnce(ctx context.Context, p *op) bool {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.CommitTimeout)
	defer cancel()
	return o.cfg.Objects.Put(ctx, p.object, p.body) == nil
}
