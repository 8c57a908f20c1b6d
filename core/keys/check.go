package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"hash/maphash"
	"sync/atomic"

	"azurering/core"
	"azurering/core/codes"
)

// maxKeyBytes is the length above which a bearer key is refused without
// hashing it. Operators grant no longer keys.
const maxKeyBytes = 256

// The errors of a check are shared values, so that a refusal allocates
// nothing.
var (
	errMissing   = codes.New(codes.KeyMissing, "keys: request has no key")
	errUnknown   = codes.New(codes.KeyUnknown, "keys: key is not known")
	errWithdrawn = codes.New(codes.KeyWithdrawn, "keys: key was withdrawn")
	errUnproven  = codes.New(codes.KeyUnproven, "keys: host cannot prove that the key is still valid")
)

// The states of an entry. A state never changes to a lower one.
const (
	stateValid int32 = iota
	stateRemoved
	stateWithdrawn
)

// entry is one key of the configuration. Successive indexes share the entries
// of unchanged keys, so that a check which still uses an old index sees a
// later withdrawal.
type entry struct {
	key   core.Key
	state atomic.Int32
}

// err returns nil if the key is valid, and the error of a check otherwise.
func (e *entry) err() error {
	switch e.state.Load() {
	case stateValid:
		return nil
	case stateRemoved:
		return errUnknown
	default:
		return errWithdrawn
	}
}

// index finds keys by their hash. It is immutable except for the states of its
// entries. Buckets are chosen by a hash with a random seed, so that the time
// of a lookup reveals nothing about the stored hashes; the hashes themselves
// are compared in constant time.
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

// equals reports whether the index holds exactly the given keys.
func (x *index) equals(list []core.Key) bool {
	for _, key := range list {
		if e := x.byName[key.Name]; e == nil || e.key != key {
			return false
		}
	}
	return len(list) == len(x.byName)
}

// SetKeys replaces the keys of the configuration. The watch of a key that is
// missing from list, or has another hash or workspace in it, ends with
// KeyUnknown. An unchanged list is cheap, because most configuration versions
// do not change the keys.
func (k *Keys) SetKeys(list []core.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.index.Load()
	if old.equals(list) {
		return
	}
	next := newIndex()
	for _, key := range list {
		e := old.byName[key.Name]
		if e == nil || e.key != key {
			e = &entry{key: key}
		}
		if _, ok := k.withdrawn[key.Name]; ok {
			e.state.Store(stateWithdrawn)
		}
		next.add(e)
	}
	k.index.Store(next)
	for id, e := range old.byName {
		if next.byName[id] != e {
			e.state.CompareAndSwap(stateValid, stateRemoved)
			k.endWatch(id, errUnknown)
		}
	}
}

// Check returns the id and the workspace of a bearer key. Its error has the
// code KeyMissing, KeyUnknown, KeyWithdrawn or KeyUnproven. A host that is not
// fresh returns KeyUnproven even for a key that it does not know, because the
// key may have been granted since; a withdrawal that it knows is final and
// returned as such. Check takes no lock and is safe for concurrent use.
func (k *Keys) Check(bearer string) (core.KeyID, core.WorkspaceID, error) {
	if bearer == "" {
		return "", "", errMissing
	}
	var found *entry
	if len(bearer) <= maxKeyBytes {
		var buf [maxKeyBytes]byte
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
	// A withdrawal that was merged after the first look at the state may be what
	// made this host fresh, so the state is read again after the freshness check.
	if err := found.err(); err != nil {
		return "", "", err
	}
	return found.key.Name, found.key.Workspace, nil
}

// Watch tells the running streams of one key when they must end. All streams
// of a key share one Watch, so a stream needs no state here. It is safe for
// concurrent use.
type Watch struct {
	keys *Keys
	done chan struct{}
	err  error // set before done is closed
}

// Done returns a channel that is closed when the key is withdrawn or leaves
// the configuration, or when EndStaleWatches finds that the host is not
// fresh.
func (w *Watch) Done() <-chan struct{} { return w.done }

// Err returns nil while the key may be used, and otherwise an error with the
// code KeyWithdrawn, KeyUnknown or KeyUnproven. Unlike Done it reports the
// loss of freshness at once, so a stream calls it before it forwards data.
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

// Watch returns the watch of a key for a stream that was admitted with the
// key. If the key is not valid now, the watch is already done. It need not be
// released.
func (k *Keys) Watch(id core.KeyID) *Watch {
	k.mu.Lock()
	defer k.mu.Unlock()
	if w := k.watches[id]; w != nil {
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
		k.watches[id] = w
		return w
	}
	close(w.done)
	return w
}

// endWatch ends the watch of a key, if there is one. The caller holds mu.
func (k *Keys) endWatch(id core.KeyID, err error) {
	w := k.watches[id]
	if w == nil {
		return
	}
	delete(k.watches, id)
	w.err = err
	close(w.done)
}

// EndStaleWatches ends all watches if the host is not fresh. It is cheap while the host
// is fresh. The period of the calls bounds how late streams notice the loss of
// freshness by Done.
func (k *Keys) EndStaleWatches() {
	if k.cfg.Evidence.Fresh(k.cfg.Timer.Now()) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range k.watches {
		k.endWatch(id, errUnproven)
	}
}
