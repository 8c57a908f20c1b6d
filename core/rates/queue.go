package rates

import (
	"sort"

	"azurering/core"
)

// FairQueue is a bounded queue that is fair between workspaces: start-time fair
// queueing with equal shares. Requests of one workspace leave in their
// order. A full queue makes room for a workspace by dropping the newest
// request of the workspace with the most weight in it, so that a large
// workspace cannot shut out a small one. The zero value holds 1024 items. It
// is not safe for concurrent use.
type FairQueue struct {
	MaxItems int
	len      int
	time     int64 // virtual time: start tag of the last item that left
	flows    map[core.WorkspaceID]*flow
	order    []*flow // flows with items
}

type flow struct {
	name   core.WorkspaceID
	items  []queued
	weight int64
	finish int64 // finish tag of the last item
}

type queued struct {
	item   any
	weight int64
	start  int64
}

// Len returns the number of items.
func (q *FairQueue) Len() int { return q.len }

// Push adds an item. If the queue is full, it returns the item that was
// dropped, which is the new one if no workspace has more weight waiting.
func (q *FairQueue) Push(w core.WorkspaceID, weight int64, item any) (dropped any) {
	if q.flows == nil {
		q.flows = make(map[core.WorkspaceID]*flow)
	}
	limit := q.MaxItems
	if limit <= 0 {
		limit = 1024
	}
	if q.len >= limit {
		victim := q.heaviest()
		own := q.flows[w]
		if own != nil && own.weight+weight >= victim.weight {
			return item
		}
		dropped = q.dropNewest(victim)
	}
	f := q.flows[w]
	if f == nil {
		f = &flow{name: w}
		q.flows[w] = f
	}
	if len(f.items) == 0 {
		q.order = append(q.order, f)
	}
	start := max(q.time, f.finish)
	f.finish = start + weight
	f.weight += weight
	f.items = append(f.items, queued{item: item, weight: weight, start: start})
	q.len++
	return dropped
}

func (q *FairQueue) heaviest() *flow {
	var victim *flow
	for _, f := range q.order {
		if victim == nil || f.weight > victim.weight {
			victim = f
		}
	}
	return victim
}

func (q *FairQueue) dropNewest(f *flow) any {
	last := f.items[len(f.items)-1]
	f.items = f.items[:len(f.items)-1]
	f.finish = last.start
	q.removed(f, last)
	return last.item
}

func (q *FairQueue) removed(f *flow, it queued) {
	f.weight -= it.weight
	q.len--
	if len(f.items) > 0 {
		return
	}
	for i, other := range q.order {
		if other == f {
			q.order = append(q.order[:i], q.order[i+1:]...)
			break
		}
	}
	q.prune()
}

// prune forgets workspaces without items. A finish tag ahead of the virtual
// time is kept: without it, a workspace that always has one request waiting
// would start at the virtual time again and again and starve the others.
func (q *FairQueue) prune() {
	if len(q.flows) <= 2*len(q.order)+64 {
		return
	}
	for w, f := range q.flows {
		if len(f.items) == 0 && f.finish <= q.time {
			delete(q.flows, w)
		}
	}
}

// Pop removes and returns the first item, in fair order over the heads of
// the workspaces, for which ready reports true. It returns nil if there is
// none.
func (q *FairQueue) Pop(ready func(w core.WorkspaceID, item any) bool) any {
	sort.SliceStable(q.order, func(i, j int) bool { return q.order[i].items[0].start < q.order[j].items[0].start })
	for _, f := range q.order {
		head := f.items[0]
		if !ready(f.name, head.item) {
			continue
		}
		q.time = max(q.time, head.start)
		f.items = f.items[1:]
		q.removed(f, head)
		return head.item
	}
	return nil
}

// Remove removes an item that the caller no longer waits for. It reports
// whether the item was in the queue.
func (q *FairQueue) Remove(w core.WorkspaceID, item any) bool {
	f := q.flows[w]
	if f == nil {
		return false
	}
	for i, it := range f.items {
		if it.item == item {
			f.items = append(f.items[:i:i], f.items[i+1:]...)
			q.removed(f, it)
			return true
		}
	}
	return false
}
