package stand

import (
	"slices"
	"sync"
	"time"
)

// tableStore holds all tables. mu is held for a whole operation, which makes it
// atomic.
type tableStore struct {
	mu        sync.Mutex
	tables    map[string]*memTable
	completed map[string]completedTransaction // by client request token
}

// completedTransaction is a transaction that must not be applied again when it
// is retried with the same client request token.
type completedTransaction struct {
	request string        // transaction items, encoded as JSON
	at      time.Duration // time of Config.Timer when it was applied
}

// requestTokenTTL is how long DynamoDB remembers a client request token.
const requestTokenTTL = 10 * time.Minute

type memTable struct {
	TableSchema
	partitions map[string]*partition
}

type partition struct {
	items map[string]item
	keys  []string // sorted
}

func (t *tableStore) init(cfg Config) {
	t.tables = make(map[string]*memTable)
	t.completed = make(map[string]completedTransaction)
	for _, schema := range cfg.Tables {
		t.tables[schema.Name] = &memTable{TableSchema: schema, partitions: make(map[string]*partition)}
	}
}

// pruneCompleted removes the transactions whose client request token expired.
func (t *tableStore) pruneCompleted(now time.Duration) {
	for token, tx := range t.completed {
		if now-tx.at > requestTokenTTL {
			delete(t.completed, token)
		}
	}
}

type rowID struct{ table, partition, sort string }

// rowID returns the primary key of an item. With keyOnly, the item must not have
// other attributes.
func (m *memTable) rowID(i item, keyOnly bool) (rowID, *apiError) {
	p, s := i[m.PartitionKey], i[m.SortKey]
	if p.kind != "S" || s.kind != "S" || p.text == "" || s.text == "" {
		return rowID{}, validationError("key attributes %s and %s must be non-empty strings", m.PartitionKey, m.SortKey)
	}
	if keyOnly && len(i) != 2 {
		return rowID{}, validationError("key must contain only the attributes %s and %s", m.PartitionKey, m.SortKey)
	}
	return rowID{m.Name, p.text, s.text}, nil
}

func (m *memTable) get(id rowID) item {
	if p := m.partitions[id.partition]; p != nil {
		return p.items[id.sort]
	}
	return nil
}

func (m *memTable) put(id rowID, i item) {
	p := m.partitions[id.partition]
	if p == nil {
		p = &partition{items: make(map[string]item)}
		m.partitions[id.partition] = p
	}
	if at, found := slices.BinarySearch(p.keys, id.sort); !found {
		p.keys = slices.Insert(p.keys, at, id.sort)
	}
	p.items[id.sort] = i
}

func (m *memTable) remove(id rowID) {
	p := m.partitions[id.partition]
	if p == nil {
		return
	}
	if at, found := slices.BinarySearch(p.keys, id.sort); found {
		p.keys = slices.Delete(p.keys, at, at+1)
	}
	delete(p.items, id.sort)
}

// scanAfter returns up to limit items of a partition with sort keys greater
// than sortKey, and whether there are more. A limit of zero means no limit. The
// page ends with the item that reaches pageBytes.
func (m *memTable) scanAfter(partitionKey, sortKey string, limit, pageBytes int) ([]item, bool) {
	p := m.partitions[partitionKey]
	if p == nil {
		return nil, false
	}
	start, found := slices.BinarySearch(p.keys, sortKey)
	if found {
		start++
	}
	var items []item
	size := 0
	for _, k := range p.keys[start:] {
		if (limit > 0 && len(items) == limit) || size >= pageBytes {
			return items, true
		}
		items = append(items, p.items[k])
		size += p.items[k].size()
	}
	return items, false
}
