package rates

import (
	"sort"

	"azurering/core"
)

// FairQueue is a bounded queue with start-time fair queueing and equal shares for
// all workspaces. Requests of one workspace leave in their order. A full queue
// makes room for a new request by dropping the newest request of the workspace
// with the most weight in it, so that a large workspace cannot shut out a
// small one. The zero value holds 1024 items. It is not safe for concurrent
// use.
type FairQueue struct {
	MaxItems    int // largest number of items; zero means 1024
	len         int
	virtualTime int64 // start tag of the last item that left
	flows       map[core.WorkspaceID]*flow
	active      []*flow // flows with items
}

type flow struct {
	workspace core.WorkspaceID
	items     []queueEntry
	weight    int64
	finishTag int64 // finish tag of the last item
}

type queueEntry struct {
	item     any
	weight   int64
	startTag int64
}

// Len returns the number of items.
func (q *FairQueue) Len() int { return q.len }

// Push adds an item. If the queue is full, it returns the item that was
// dropped. That is the new one if its workspace, with the new item, would have
// at least as much weight waiting as the heaviest one. Weights are positive;
// their unit is up to the caller.
func (q *FairQueue) Push(w core.WorkspaceID, weight int64, item any) (dropped any) {
	if q.flows == nil {
		q.flows = make(map[core.WorkspaceID]*flow)
	}
	limit := q.MaxItems
	if limit <= 0 {
		limit = 1024
	}
	if q.len >= limit {
		heaviest := q.heaviest()
		own := q.flows[w]
		if own != nil && own.weight+weight >= heaviest.weight {
			return item
		}
		dropped = q.dropNewest(heaviest)
	}
	f := q.flows[w]
	if f == nil {
		f = &flow{workspace: w}
		q.flows[w] = f
	}
	if len(f.items) == 0 {
		q.active = append(q.active, f)
	}
	start := max(q.virtualTime, f.finishTag)
	f.finishTag = start + weight
	f.weight += weight
	f.items = append(f.items, queueEntry{item: item, weight: weight, startTag: start})
	q.len++
	return dropped
}

func (q *FairQueue) heaviest() *flow {
	var heaviest *flow
	for _, f := range q.active {
		if heaviest == nil || f.weight > heaviest.weight {
			heaviest = f
		}
	}
	return heaviest
}

func (q *FairQueue) dropNewest(f *flow) any {
	newest := f.items[len(f.items)-1]
	f.items = f.items[:len(f.items)-1]
	f.finishTag = newest.startTag
	q.itemRemoved(f, newest)
	return newest.item
}

func (q *FairQueue) itemRemoved(f *flow, it queueEntry) {
	f.weight -= it.weight
	q.len--
	if len(f.items) > 0 {
		return
	}
	for i, other := range q.active {
		if other == f {
			q.active = append(q.active[:i], q.active[i+1:]...)
			break
		}
	}
	q.prune()
}

// prune removes workspaces without items. A finish tag ahead of the virtual
// time is kept: without it, a workspace that always has one request waiting
// would start at the virtual time each time and starve the others.
func (q *FairQueue) prune() {
	if len(q.flows) <= 2*len(q.active)+64 {
		return
	}
	for w, f := range q.flows {
		if len(f.items) == 0 && f.finishTag <= q.virtualTime {
			delete(q.flows, w)
		}
	}
}

// Pop removes and returns the first item for which ready reports true, in fair
// order over the oldest items of all workspaces. It returns nil if there is
// none. ready must not use the queue.
func (q *FairQueue) Pop(ready func(w core.WorkspaceID, item any) bool) any {
	sort.SliceStable(q.active, func(i, j int) bool { return q.active[i].items[0].startTag < q.active[j].items[0].startTag })
	for _, f := range q.active {
		head := f.items[0]
		if !ready(f.workspace, head.item) {
			continue
		}
		q.virtualTime = max(q.virtualTime, head.startTag)
		f.items = f.items[1:]
		q.itemRemoved(f, head)
		return head.item
	}
	return nil
}

// Remove removes an item whose caller stopped waiting. It reports whether the
// item was in the queue.
func (q *FairQueue) Remove(w core.WorkspaceID, item any) bool {
	f := q.flows[w]
	if f == nil {
		return false
	}
	for i, it := range f.items {
		if it.item == item {
			f.items = append(f.items[:i:i], f.items[i+1:]...)
			q.itemRemoved(f, it)
			return true
		}
	}
	return false
}
