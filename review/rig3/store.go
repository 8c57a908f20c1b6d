package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeLatency is the time for an answer of the store.
const storeLatency = 4 * time.Millisecond

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// content is what the store holds.
type content struct {
	rows    map[string]row
	history []row  // all changes, oldest first
	ver     uint64 // rises by one with each transaction
}

func (c content) clone() content {
	return content{rows: maps.Clone(c.rows), history: slices.Clone(c.history), ver: c.ver}
}

// store is a stand-in of the platform's store with the form "table". It implements
// http.Handler.
type store struct {
	mu      sync.Mutex
	content content
	era     int
	away    bool
	changed chan struct{} // closed at the next change, and when the store goes away
}

func newStore() *store {
	return &store{content: content{rows: make(map[string]row)}, era: 1, changed: make(chan struct{})}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// commit makes one transaction. The caller holds s.mu.
func (s *store) commit(put, remove []row) {
	c := &s.content
	c.ver++
	for _, r := range put {
		r.Ver, r.Removed = c.ver, false
		c.rows[r.id()] = r
		c.history = append(c.history, r)
	}
	for _, r := range remove {
		if _, ok := c.rows[r.id()]; ok {
			delete(c.rows, r.id())
			c.history = append(c.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: c.ver, Removed: true})
		}
	}
	s.wake()
}

// put writes a row for the operator or a server, and returns its version. It fails while
// the store is away.
func (s *store) put(table, key string, value []byte) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	s.commit([]row{{Table: table, Key: key, Value: value}}, nil)
	return s.content.ver, true
}

// putHeartbeat writes the entry of a server. The entry only changes if more than its
// sequence does, but the write is a transaction in any case.
func (s *store) putHeartbeat(key string, value []byte, changes bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	r := row{Table: "servers", Key: key, Value: value}
	old, ok := s.content.rows[r.id()]
	if !ok || changes {
		s.commit([]row{r}, nil)
		return true
	}
	old.Value = value
	s.content.rows[r.id()] = old
	s.content.ver++
	return true
}

// version returns the newest version.
func (s *store) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.ver
}

// copy returns a copy of what the store holds now.
func (s *store) copy() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.clone()
}

// leave makes the store go away: connections break, and nothing is done.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// comeBack makes the store come back with a copy.
func (s *store) comeBack(c content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content, s.away = c, false
	s.era++
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.transact(w, r)
	case "/v1/rows-get":
		s.list(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

type storeAnswer struct {
	Rows    []row   `json:"rows"`
	HasMore bool    `json:"hasMore"`
	Ver     uint64  `json:"ver"`
	NowS    float64 `json:"nowS"`
}

// answer writes an answer. The caller holds s.mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	if s.away {
		panic(http.ErrAbortHandler) // breaks the connection
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(storeAnswer{Rows: append([]row{}, rows...), Ver: s.content.ver, NowS: time.Since(processStart).Seconds()})
}

var processStart = time.Now()

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct{ Precondition, Put, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range slices.Concat(call.Put, call.Remove) {
		if x.Table == "op" || x.Table == "servers" {
			s.answer(w, http.StatusForbidden, nil)
			return
		}
	}
	var current []row
	conflict := false
	for _, p := range call.Precondition {
		now := s.content.rows[p.id()]
		current = append(current, now)
		conflict = conflict || now.Ver != p.Ver
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	if !s.away {
		s.commit(call.Put, call.Remove)
	}
	s.answer(w, http.StatusOK, nil)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, x := range s.content.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		var rows []row
		for _, x := range s.content.history {
			if x.Table == q.Get("table") && x.Ver > after {
				rows = append(rows, x)
			}
		}
		switch {
		case s.away, ended, len(rows) > 0:
			defer s.mu.Unlock()
			s.answer(w, http.StatusOK, rows)
			return
		case after > s.content.ver:
			defer s.mu.Unlock()
			s.answer(w, http.StatusGone, nil)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-expired:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// drill makes the store go away for a time and come back from a copy, and returns when it
// is back. Without trouble the time passes all the same.
func (w *world) drill(older content, away time.Duration, trouble bool) time.Time {
	if trouble {
		w.note("store", "away, ver=%d era=%d", w.store.version(), w.store.era)
		w.store.leave()
	}
	time.Sleep(away)
	if trouble {
		w.store.comeBack(older)
		w.note("store", "back, ver=%d era=%d", w.store.version(), w.store.era)
	}
	return time.Now()
}
