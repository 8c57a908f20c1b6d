package stand

import (
	"slices"
	"sync"
	"time"
)

// tables holds the rows. One lock makes every operation atomic.
type tables struct {
	mu     sync.Mutex
	tables map[string]*rows
	done   map[string]finished // by client request token
}

// finished remembers a transaction for the time in which a repeat of it
// must not run again.
type finished struct {
	request string // canonical form of the request
	at      time.Duration
}

// repeatWindow is how long DynamoDB remembers a client request token.
const repeatWindow = 10 * time.Minute

type rows struct {
	Schema
	parts map[string]*partition
}

type partition struct {
	items map[string]item
	keys  []string // sorted
}

func (t *tables) init(cfg Config) {
	t.tables = make(map[string]*rows)
	t.done = make(map[string]finished)
	for _, schema := range cfg.Tables {
		t.tables[schema.Name] = &rows{Schema: schema, parts: make(map[string]*partition)}
	}
}

// forget drops the transactions that need not be remembered any more.
func (t *tables) forget(now time.Duration) {
	for token, f := range t.done {
		if now-f.at > repeatWindow {
			delete(t.done, token)
		}
	}
}

type rowID struct{ table, partition, sort string }

// id returns the key of an item or of a key map.
func (r *rows) id(i item, keyOnly bool) (rowID, *apiError) {
	p, s := i[r.Partition], i[r.Sort]
	if p.kind != "S" || s.kind != "S" || p.text == "" || s.text == "" {
		return rowID{}, invalid("the keys %s and %s must be strings that are not empty", r.Partition, r.Sort)
	}
	if keyOnly && len(i) != 2 {
		return rowID{}, invalid("the key has attributes besides %s and %s", r.Partition, r.Sort)
	}
	return rowID{r.Name, p.text, s.text}, nil
}

func (r *rows) get(id rowID) item {
	if p := r.parts[id.partition]; p != nil {
		return p.items[id.sort]
	}
	return nil
}

func (r *rows) put(id rowID, i item) {
	p := r.parts[id.partition]
	if p == nil {
		p = &partition{items: make(map[string]item)}
		r.parts[id.partition] = p
	}
	if at, found := slices.BinarySearch(p.keys, id.sort); !found {
		p.keys = slices.Insert(p.keys, at, id.sort)
	}
	p.items[id.sort] = i
}

func (r *rows) remove(id rowID) {
	p := r.parts[id.partition]
	if p == nil {
		return
	}
	if at, found := slices.BinarySearch(p.keys, id.sort); found {
		p.keys = slices.Delete(p.keys, at, at+1)
	}
	delete(p.items, id.sort)
}

// after returns up to limit items with sort keys greater than a key, at
// most pageBytes of them, and whether there are more.
func (r *rows) after(part, key string, limit, pageBytes int) ([]item, bool) {
	p := r.parts[part]
	if p == nil {
		return nil, false
	}
	at, found := slices.BinarySearch(p.keys, key)
	if found {
		at++
	}
	var items []item
	size := 0
	for _, k := range p.keys[at:] {
		if (limit > 0 && len(items) == limit) || size >= pageBytes {
			return items, true
		}
		items = append(items, p.items[k])
		size += p.items[k].size()
	}
	return items, false
}
