package keys

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
	"azurering/core/codes"
)

const (
	// maxCoveredDigests is the number of digests kept of sets that the own set
	// contains. The sets of hosts that lag differ by a few recent withdrawals
	// only.
	maxCoveredDigests = 256
	// maxForwarded is the maximum number of withdrawals new to this host in one
	// merge that are forwarded. More than that means that this host catches up on
	// withdrawals which its neighbours have already.
	maxForwarded = 256
	// pullPageRows is the maximum number of log rows in one answer to
	// withdraw-pull, and of withdrawals in one forwarded message.
	pullPageRows = 1000
	// maxPullsPerTick is the maximum number of hosts that one tick pulls from.
	maxPullsPerTick = 3
)

// Digest returns the order-independent digest of the set of withdrawals: the
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
	return k.coveredDigests[digest]
}

// addCovered records the digest of a set that the own set contains. The caller
// holds mu.
func (k *Keys) addCovered(digest uint64) {
	if k.coveredDigests[digest] {
		return
	}
	k.coveredDigests[digest] = true
	k.coveredOrder = append(k.coveredOrder, digest)
	if len(k.coveredOrder) > maxCoveredDigests {
		delete(k.coveredDigests, k.coveredOrder[0])
		k.coveredOrder = append([]uint64(nil), k.coveredOrder[1:]...)
	}
}

// FillHeartbeat sets b.WithdrawalRows, the number of rows of the table's log of withdrawals
// that this host has.
func (k *Keys) FillHeartbeat(b *core.Heartbeat) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b.WithdrawalRows = uint64(len(k.logged))
}

// ObserveHeartbeat compares the state in a heartbeat of a peer, or in the answer to
// one, with the own state. If this host lags, the next tick pulls from that
// peer.
func (k *Keys) ObserveHeartbeat(from core.HostID, b core.Heartbeat) {
	covers := k.ContainsSet(b.WithdrawalDigest)
	k.mu.Lock()
	defer k.mu.Unlock()
	if (covers && b.WithdrawalRows <= uint64(len(k.logged))) || len(k.pullFrom) >= maxPullsPerTick {
		return
	}
	k.pullFrom = append(k.pullFrom, from)
	k.signalWake()
}

// CountWithdrawals returns the number of known withdrawals and how many of them are
// not known to be in the table.
func (k *Keys) CountWithdrawals() (known, unstored int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.withdrawn), len(k.unstored)
}

// IsWithdrawn reports whether this host knows of the withdrawal of a key.
func (k *Keys) IsWithdrawn(id core.KeyID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.withdrawn[id]
	return ok
}

// merge adds withdrawals to the set and enforces them. Withdrawals are never
// removed. The caller holds mu.
func (k *Keys) merge(list []core.Withdrawal) {
	var added []core.Withdrawal
	for _, w := range list {
		if _, ok := k.withdrawn[w.Key]; ok || w.Key == "" {
			continue
		}
		added = append(added, w)
		k.withdrawn[w.Key] = w
		k.unstored[w.Key] = true
		if e := k.index.Load().byName[w.Key]; e != nil {
			e.state.Store(stateWithdrawn)
		}
		k.endWatch(w.Key, errWithdrawn)
	}
	if len(added) == 0 {
		return
	}
	digest := k.digest.Load()
	k.addCovered(digest)
	for _, w := range added {
		digest ^= xxhash.Sum64String(string(w.Key))
	}
	k.digest.Store(digest)
	if len(added) <= maxForwarded {
		k.toForward = append(k.toForward, added...)
	}
	k.scheduleWrite()
}

// scheduleWrite sets the time of the next write of unstored withdrawals, if
// none is set. A host that polls the table writes at once. Any other host
// waits until those have had time for it, for a time that differs between
// hosts so that a recovering table is not flooded. The caller holds mu.
func (k *Keys) scheduleWrite() {
	k.signalWake()
	if k.nextWriteAt != 0 {
		return
	}
	bound := k.cfg.Evidence.Bound()
	k.nextWriteAt, k.writePause = k.cfg.Timer.Now(), bound/4
	if !k.cfg.Seat.ShouldPoll() {
		k.nextWriteAt += 3*bound + k.jitter(3*bound)
		k.writePause = 4 * bound
	}
}

// jitter returns a duration in [0, d) that is derived from the own name, so it
// differs between hosts.
func (k *Keys) jitter(d time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(string(k.cfg.Host.Name)) % uint64(d))
}

// appendRows records rows of the table's log that follow row number after.
// Rows that this host has already are skipped, and rows behind a gap are
// ignored. The caller holds mu.
func (k *Keys) appendRows(after uint64, rows []core.Withdrawal) {
	have := uint64(len(k.logged))
	if after > have || after+uint64(len(rows)) <= have {
		return
	}
	rows = rows[have-after:]
	k.merge(rows)
	for _, w := range rows {
		k.logged = append(k.logged, w.Key)
		delete(k.unstored, w.Key)
	}
	if len(k.unstored) == 0 {
		k.nextWriteAt = 0
	}
}

func (k *Keys) handlePush(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
	push, ok := m.(core.WithdrawPush)
	if !ok {
		return nil, codes.New(codes.PeerKind, "keys: handler of withdraw-push got a message of another kind")
	}
	k.mu.Lock()
	k.merge(push.Withdrawals)
	k.mu.Unlock()
	// The right to act is read after the merge: a holder that acknowledges has
	// the withdrawal in force while it acts.
	epoch, acting := k.cfg.Seat.Acting()
	return core.WithdrawAck{Domain: k.cfg.Host.Domain, Host: k.cfg.Host.Name, Epoch: epoch, Acting: acting}, nil
}

func (k *Keys) handlePull(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
	request, ok := m.(core.WithdrawPull)
	if !ok {
		return nil, codes.New(codes.PeerKind, "keys: handler of withdraw-pull got a message of another kind")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	after := min(request.After, uint64(len(k.logged)))
	rows := k.logged[after:]
	answer := core.WithdrawPush{After: after, More: len(rows) > pullPageRows}
	rows = rows[:min(len(rows), pullPageRows)]
	answer.LogRows = uint64(len(rows))
	for _, id := range rows {
		answer.Withdrawals = append(answer.Withdrawals, k.withdrawn[id])
	}
	if answer.More {
		return answer, nil
	}
	for id := range k.unstored {
		answer.Withdrawals = append(answer.Withdrawals, k.withdrawn[id])
	}
	answer.Digest = k.digest.Load()
	return answer, nil
}

// Pull merges all withdrawals that a peer has. Its error has the code of the
// peer, or PeerFrame for an inconsistent answer.
func (k *Keys) Pull(ctx context.Context, from core.HostID) error {
	for {
		k.mu.Lock()
		after := uint64(len(k.logged))
		k.mu.Unlock()
		m, err := k.call(ctx, from, core.WithdrawPull{After: after})
		if err != nil {
			return codes.Wrap(err, codes.Of(err), "keys: withdrawals cannot be pulled from host %s", from)
		}
		push, ok := m.(core.WithdrawPush)
		if !ok || push.LogRows > uint64(len(push.Withdrawals)) || (push.More && push.LogRows == 0) {
			return codes.New(codes.PeerFrame, "keys: host %s answered withdraw-pull with an unexpected or inconsistent %s", from, m.Kind())
		}
		k.mu.Lock()
		k.appendRows(push.After, push.Withdrawals[:push.LogRows])
		k.merge(push.Withdrawals[push.LogRows:])
		if !push.More && push.After <= after {
			k.addCovered(push.Digest)
		}
		k.mu.Unlock()
		if !push.More {
			return nil
		}
	}
}
