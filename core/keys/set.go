package keys

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
	"azurering/core/codes"
)

const (
	// coverSize is the number of digests kept of sets that the own set
	// contains. Hosts that lag differ by a few recent withdrawals.
	coverSize = 256
	// newsSize is the number of new withdrawals above which a message or a
	// read of the table is taken for catching up, which is not forwarded.
	newsSize = 256
	// pullSize is the number of log rows in one answer to withdraw-pull.
	pullSize = 1000
	// maxPulls bounds the pulls of one tick.
	maxPulls = 3
)

// Digest returns the order-independent digest of the withdrawal set: the
// exclusive or of the hashes of its key ids, zero for the empty set.
func (k *Keys) Digest() uint64 { return k.digest.Load() }

// ContainsSet reports whether the own set is known to contain the set with the
// given digest.
func (k *Keys) ContainsSet(digest uint64) bool {
	if digest == 0 || digest == k.digest.Load() {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.covered[digest]
}

// cover notes that the own set contains a set. The caller holds the lock.
func (k *Keys) cover(digest uint64) {
	if k.covered[digest] {
		return
	}
	k.covered[digest] = true
	k.recent = append(k.recent, digest)
	if len(k.recent) > coverSize {
		delete(k.covered, k.recent[0])
		k.recent = append([]uint64(nil), k.recent[1:]...)
	}
}

// FillHeartbeat sets the field of a heartbeat that tells how much of the table's log
// of withdrawals this host has.
func (k *Keys) FillHeartbeat(b *core.Heartbeat) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b.WithdrawalRows = uint64(len(k.log))
}

// ObserveHeartbeat compares the state in a heartbeat, or in the answer to one, with
// the own state. The next tick pulls from the sender if this host lags.
func (k *Keys) ObserveHeartbeat(from core.HostID, b core.Heartbeat) {
	covers := k.ContainsSet(b.WithdrawalDigest)
	k.mu.Lock()
	defer k.mu.Unlock()
	if (covers && b.WithdrawalRows <= uint64(len(k.log))) || len(k.behind) >= maxPulls {
		return
	}
	k.behind = append(k.behind, from)
	k.signal()
}

// CountWithdrawals returns the number of withdrawals and how many of them are not
// known to be in the table.
func (k *Keys) CountWithdrawals() (all, loose int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.set), len(k.loose)
}

// IsWithdrawn reports whether this host knows the withdrawal of a key.
func (k *Keys) IsWithdrawn(id core.KeyID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.set[id]
	return ok
}

// merge adds withdrawals to the set and puts them in force. Nothing is ever
// removed. The caller holds the lock.
func (k *Keys) merge(list []core.Withdrawal) {
	var added []core.Withdrawal
	for _, w := range list {
		if _, ok := k.set[w.Key]; ok || w.Key == "" {
			continue
		}
		added = append(added, w)
		k.set[w.Key] = w
		k.loose[w.Key] = true
		if e := k.index.Load().byName[w.Key]; e != nil {
			e.state.Store(stateWithdrawn)
		}
		k.end(w.Key, errWithdrawn)
	}
	if len(added) == 0 {
		return
	}
	digest := k.digest.Load()
	k.cover(digest)
	for _, w := range added {
		digest ^= xxhash.Sum64String(string(w.Key))
	}
	k.digest.Store(digest)
	if len(added) <= newsSize {
		k.news = append(k.news, added...)
	}
	k.schedule()
}

// schedule sets the time of the next try to write, if none is set. A reader
// of the table writes at once; any other host waits until the readers have
// had time for it, spread so that a recovering store is not flooded. The
// caller holds the lock.
func (k *Keys) schedule() {
	k.signal()
	if k.writeAt != 0 {
		return
	}
	bound := k.cfg.Evidence.Bound()
	k.writeAt, k.retry = k.cfg.Timer.Now(), bound/4
	if !k.cfg.Seat.ShouldPoll() {
		k.writeAt += 3*bound + k.jitter(3*bound)
		k.retry = 4 * bound
	}
}

// jitter returns a duration below d that differs from host to host.
func (k *Keys) jitter(d time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(string(k.cfg.Host.Name)) % uint64(d))
}

// extend takes over rows of the log that follow row after. Rows that this
// host has already are skipped. The caller holds the lock.
func (k *Keys) extend(after uint64, rows []core.Withdrawal) {
	have := uint64(len(k.log))
	if after > have || after+uint64(len(rows)) <= have {
		return
	}
	rows = rows[have-after:]
	k.merge(rows)
	for _, w := range rows {
		k.log = append(k.log, w.Key)
		delete(k.loose, w.Key)
	}
	if len(k.loose) == 0 {
		k.writeAt = 0
	}
}

func (k *Keys) onPush(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
	p, ok := m.(core.WithdrawPush)
	if !ok {
		return nil, codes.New(codes.PeerKind, "keys: message is not a withdraw-push")
	}
	k.mu.Lock()
	k.merge(p.Withdrawals)
	k.mu.Unlock()
	// The right to act is read after the merge: a holder that acknowledges
	// has the withdrawal in force while it acts.
	epoch, acting := k.cfg.Seat.Acting()
	return core.WithdrawAck{Domain: k.cfg.Host.Domain, Host: k.cfg.Host.Name, Epoch: epoch, Acting: acting}, nil
}

func (k *Keys) onPull(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
	q, ok := m.(core.WithdrawPull)
	if !ok {
		return nil, codes.New(codes.PeerKind, "keys: message is not a withdraw-pull")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	after := min(q.After, uint64(len(k.log)))
	rows := k.log[after:]
	out := core.WithdrawPush{After: after, More: len(rows) > pullSize}
	rows = rows[:min(len(rows), pullSize)]
	out.LogRows = uint64(len(rows))
	for _, id := range rows {
		out.Withdrawals = append(out.Withdrawals, k.set[id])
	}
	if out.More {
		return out, nil
	}
	for id := range k.loose {
		out.Withdrawals = append(out.Withdrawals, k.set[id])
	}
	out.Digest = k.digest.Load()
	return out, nil
}

// Pull merges all withdrawals that a peer has. Its error carries the code of
// the peer.
func (k *Keys) Pull(ctx context.Context, from core.HostID) error {
	for {
		k.mu.Lock()
		after := uint64(len(k.log))
		k.mu.Unlock()
		m, err := k.call(ctx, from, core.WithdrawPull{After: after})
		if err != nil {
			return codes.Wrap(err, codes.Of(err), "keys: withdrawals of host %s were not pulled", from)
		}
		p, ok := m.(core.WithdrawPush)
		if !ok || p.LogRows > uint64(len(p.Withdrawals)) || (p.More && p.LogRows == 0) {
			return codes.New(codes.PeerFrame, "keys: host %s answered withdraw-pull with a bad %s", from, m.Kind())
		}
		k.mu.Lock()
		k.extend(p.After, p.Withdrawals[:p.LogRows])
		k.merge(p.Withdrawals[p.LogRows:])
		if !p.More && p.After <= after {
			k.cover(p.Digest)
		}
		k.mu.Unlock()
		if !p.More {
			return nil
		}
	}
}
