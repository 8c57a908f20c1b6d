package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"hash/maphash"
	"sync/atomic"

	"azurering/core"
	"azurering/core/codes"
)

// maxKey is the length in bytes above which a bearer key is not hashed; no
// key that operators grant is longer.
const maxKey = 256

// The errors of a check are shared, so that a refusal allocates nothing.
var (
	errMissing   = codes.New(codes.KeyMissing, "keys: request has no key")
	errUnknown   = codes.New(codes.KeyUnknown, "keys: key is not known")
	errWithdrawn = codes.New(codes.KeyWithdrawn, "keys: key was withdrawn")
	errUnproven  = codes.New(codes.KeyUnproven, "keys: host cannot prove that the key is still valid")
)

// The states of an entry. They only grow.
const (
	stateValid int32 = iota
	stateDropped
	stateWithdrawn
)

// entry is one key of the configuration. Indexes that follow each other
// share the entries of unchanged keys, so a check that was paused with an
// old index still sees a later withdrawal.
type entry struct {
	key   core.Key
	state atomic.Int32
}

func (e *entry) err() error {
	switch e.state.Load() {
	case stateValid:
		return nil
	case stateDropped:
		return errUnknown
	default:
		return errWithdrawn
	}
}

// index finds keys by their hash. It is not changed after it was built,
// except for the states of its entries. The buckets are chosen by a hash with a
// random seed, so the time of a lookup tells a caller nothing about the
// stored hashes; the hashes themselves are compared in constant time.
type index struct {
	seed   maphash.Seed
	byHash map[uint64][]*entry
	byName map[core.KeyID]*entry
}

func newIndex() *index {
	return &index{seed: maphash.MakeSeed(), byHash: make(map[uint64][]*entry), byName: make(map[core.KeyID]*entry)}
}

func (x *index) add(e *entry) {
	bucket := maphash.Bytes(x.seed, e.key.Hash[:])
	x.byHash[bucket] = append(x.byHash[bucket], e)
	x.byName[e.key.Name] = e
}

func (x *index) find(hash *[32]byte) *entry {
	var found *entry
	for _, e := range x.byHash[maphash.Bytes(x.seed, hash[:])] {
		if subtle.ConstantTimeCompare(e.key.Hash[:], hash[:]) == 1 {
			found = e
		}
	}
	return found
}

// holds reports whether the index holds just the given keys.
func (x *index) holds(list []core.Key) bool {
	for _, key := range list {
		if e := x.byName[key.Name]; e == nil || e.key != key {
			return false
		}
	}
	return len(list) == len(x.byName)
}

// SetKeys replaces the keys of the configuration. Streams of a key that is
// no longer there, or has another hash or workspace, end with KeyUnknown.
// Most versions of the configuration leave the keys alone; then only the
// comparison takes time.
func (k *Keys) SetKeys(list []core.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.index.Load()
	if old.holds(list) {
		return
	}
	next := newIndex()
	for _, key := range list {
		e := old.byName[key.Name]
		if e == nil || e.key != key {
			e = &entry{key: key}
		}
		if _, ok := k.set[key.Name]; ok {
			e.state.Store(stateWithdrawn)
		}
		next.add(e)
	}
	k.index.Store(next)
	for id, e := range old.byName {
		if next.byName[id] != e {
			e.state.CompareAndSwap(stateValid, stateDropped)
			k.end(id, errUnknown)
		}
	}
}

// Check returns the id and the workspace of a bearer key, or an error with
// the code KeyMissing, KeyUnknown, KeyWithdrawn or KeyUnproven. A host that
// is not fresh answers KeyUnproven even for a key that it does not know,
// because the key may have been granted since; a withdrawal it knows is
// final. Check takes no lock.
func (k *Keys) Check(bearer string) (core.KeyID, core.WorkspaceID, error) {
	if bearer == "" {
		return "", "", errMissing
	}
	var found *entry
	if len(bearer) <= maxKey {
		var buf [maxKey]byte
		hash := sha256.Sum256(buf[:copy(buf[:], bearer)])
		found = k.index.Load().find(&hash)
	}
	if found != nil && found.state.Load() == stateWithdrawn {
		return "", "", errWithdrawn
	}
	if !k.cfg.Evidence.Fresh(k.cfg.Timer.Now()) {
		return "", "", errUnproven
	}
	if found == nil {
		return "", "", errUnknown
	}
	// A withdrawal merged between the two checks may be what made this host
	// fresh, so the state is read again after the freshness.
	if err := found.err(); err != nil {
		return "", "", err
	}
	return found.key.Name, found.key.Workspace, nil
}

// Watch tells the running streams of one key when they must end. All streams
// of a key share one Watch, so a stream costs nothing here.
type Watch struct {
	keys *Keys
	done chan struct{}
	err  error // set before done is closed
}

// Done returns a channel that is closed when the key was withdrawn, left the
// configuration, or a sweep found that the host is not fresh.
func (w *Watch) Done() <-chan struct{} { return w.done }

// Err returns nil while the key may be used, and otherwise an error with the
// code KeyWithdrawn, KeyUnknown or KeyUnproven. Unlike Done it notices the
// loss of freshness at once, so a stream calls it before it passes data on.
func (w *Watch) Err() error {
	select {
	case <-w.done:
		return w.err
	default:
	}
	if !w.keys.cfg.Evidence.Fresh(w.keys.cfg.Timer.Now()) {
		return errUnproven
	}
	return nil
}

// Watch returns the watch of a key, for a stream that the key has started.
// If the key is not valid now, the watch is already done. Streams need not
// give it back.
func (k *Keys) Watch(id core.KeyID) *Watch {
	k.mu.Lock()
	defer k.mu.Unlock()
	if w := k.watched[id]; w != nil {
		return w
	}
	w := &Watch{keys: k, done: make(chan struct{})}
	e := k.index.Load().byName[id]
	switch {
	case e == nil:
		w.err = errUnknown
	case e.err() != nil:
		w.err = e.err()
	case !k.cfg.Evidence.Fresh(k.cfg.Timer.Now()):
		w.err = errUnproven
	default:
		k.watched[id] = w
		return w
	}
	close(w.done)
	return w
}

// end ends the watch of a key. The caller holds the lock.
func (k *Keys) end(id core.KeyID, err error) {
	w := k.watched[id]
	if w == nil {
		return
	}
	delete(k.watched, id)
	w.err = err
	close(w.done)
}

// EndStaleWatches ends all watches if the host is not fresh. It is cheap, and the
// streams' reaction is as fast as its caller's period.
func (k *Keys) EndStaleWatches() {
	if k.cfg.Evidence.Fresh(k.cfg.Timer.Now()) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range k.watched {
		k.end(id, errUnproven)
	}
}
