package keys

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fanout"
)

// pollPageRows is the maximum number of rows in one read of the log.
const pollPageRows = 1000

// logWire is the CBOR encoding of a row of the log of withdrawals.
type logWire struct {
	_         struct{} `cbor:",toarray"`
	Key       string
	Workspace string
}

// logKey returns the table key of row n of the log. It is padded with zeros,
// so that the order of the keys is that of the numbers.
func logKey(n uint64) string { return fmt.Sprintf("%020d", n) }

// Tick runs one round: it ends watches if the host is not fresh, forwards new
// withdrawals, pulls from peers that are ahead, polls the table if this host
// is a reader, and writes withdrawals that are not in the table yet. Each call
// to the table or to a peer has its own deadline. The returned error is only
// for logging; the next tick retries.
func (k *Keys) Tick(ctx context.Context) error {
	k.EndStaleWatches()
	// New withdrawals are forwarded first, so that a slow table does not delay
	// them.
	k.forward(ctx)
	k.pullMissing(ctx)
	var err error
	if now := k.cfg.Timer.Now(); k.cfg.Seat.ShouldPoll() && now >= k.nextPollAt {
		period := k.cfg.Evidence.Bound() / 4
		k.nextPollAt = now + period - period/10
		err = k.Poll(ctx)
	}
	if k.isWriteDue() {
		err = k.writeUnstored(ctx)
	}
	k.forward(ctx)
	k.EndStaleWatches()
	return err
}

// forward sends new withdrawals to the neighbours once. A neighbour that
// misses them notices the difference by the next heartbeat.
func (k *Keys) forward(ctx context.Context) {
	k.mu.Lock()
	withdrawals := k.toForward
	k.toForward = nil
	k.mu.Unlock()
	if len(withdrawals) == 0 {
		return
	}
	hosts := k.cfg.Neighbours()
	for len(withdrawals) > 0 {
		batch := withdrawals[:min(len(withdrawals), pullPageRows)]
		withdrawals = withdrawals[len(batch):]
		fanout.Each(k.cfg.MaxConcurrentCalls, len(hosts), func(i int) {
			// The error is ignored: heartbeats make the neighbour pull what it missed.
			_, _ = k.call(ctx, hosts[i], core.WithdrawPush{Withdrawals: batch})
		})
	}
}

// pullMissing pulls from the hosts that ObserveHeartbeat found to be
// ahead.
func (k *Keys) pullMissing(ctx context.Context) {
	k.mu.Lock()
	hosts := k.pullFrom
	k.pullFrom = nil
	k.mu.Unlock()
	fanout.Each(k.cfg.MaxConcurrentCalls, len(hosts), func(i int) {
		// The error is ignored: the next heartbeat triggers another pull.
		_ = k.Pull(ctx, hosts[i])
	})
}

// Poll reads the rows of the log of withdrawals that this host lacks and
// records the read as freshness evidence. Its error has the code of the table,
// or Internal if a row is missing or cannot be decoded.
func (k *Keys) Poll(ctx context.Context) error {
	started := k.cfg.Timer.Now()
	for {
		k.mu.Lock()
		after := uint64(len(k.logged))
		k.mu.Unlock()
		rows, err := k.listLog(ctx, after)
		if err != nil {
			return codes.Wrap(err, codes.Of(err), "keys: log of withdrawals cannot be read from the table")
		}
		// Rows before a gap are used, but a read with a gap is no evidence: the
		// missing row may be a withdrawal.
		list, err := decodeLog(after, rows)
		k.mu.Lock()
		k.appendRows(after, list)
		k.mu.Unlock()
		if err != nil {
			return err
		}
		if len(rows) < pollPageRows {
			k.cfg.Evidence.RecordStoreRead(core.SpaceWithdrawn, started)
			return nil
		}
	}
}

func (k *Keys) listLog(ctx context.Context, after uint64) ([]core.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	return k.cfg.Table.List(ctx, core.SpaceWithdrawn, logKey(after), pollPageRows)
}

// decodeLog returns the withdrawals of the rows that follow row number after,
// up to the first row that is out of place or malformed.
func decodeLog(after uint64, rows []core.Row) ([]core.Withdrawal, error) {
	out := make([]core.Withdrawal, 0, len(rows))
	for i, r := range rows {
		n, err := strconv.ParseUint(r.Key, 10, 64)
		if err != nil || n != after+uint64(i)+1 {
			return out, codes.New(codes.Internal, "keys: log of withdrawals has row %q where row %d is expected", r.Key, after+uint64(i)+1)
		}
		var w logWire
		if err := cbor.Unmarshal(r.Value, &w); err != nil {
			return out, codes.Wrap(err, codes.Internal, "keys: row %d of the log of withdrawals cannot be decoded", n)
		}
		out = append(out, core.Withdrawal{Key: core.KeyID(w.Key), Workspace: core.WorkspaceID(w.Workspace)})
	}
	return out, nil
}

func (k *Keys) isWriteDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.unstored) > 0 && k.cfg.Timer.Now() >= k.nextWriteAt
}

// writeUnstored tries to write the withdrawals that are not known to be in the
// table, and sets the time of the next try. The pause doubles up to two
// freshness bounds on a host that polls the table, and up to 16, about a
// minute, on the many others.
func (k *Keys) writeUnstored(ctx context.Context) error {
	err := k.Poll(ctx)
	if err == nil {
		err = k.appendToLog(ctx)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.unstored) == 0 {
		return err
	}
	k.nextWriteAt = k.cfg.Timer.Now() + k.writePause + k.jitter(k.writePause/4+time.Millisecond)
	limit := 16 * k.cfg.Evidence.Bound()
	if k.cfg.Seat.ShouldPoll() {
		limit = 2 * k.cfg.Evidence.Bound()
	}
	k.writePause = min(2*k.writePause, limit)
	return err
}

// appendToLog writes unstored withdrawals, up to core.MaxCommitWrites of them,
// behind the last row that this host has, in one commit. The commit fails if
// another host has appended rows since, so the log holds no withdrawal twice.
// After an unknown outcome the log is read back. A row with the withdrawal
// makes it durable whichever host wrote it, and a delayed copy of the commit
// cannot take effect once another row is in its place.
func (k *Keys) appendToLog(ctx context.Context) error {
	k.mu.Lock()
	after := uint64(len(k.logged))
	var list []core.Withdrawal
	for id := range k.unstored {
		list = append(list, k.withdrawn[id])
	}
	k.mu.Unlock()
	if len(list) == 0 {
		return nil
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	list = list[:min(len(list), core.MaxCommitWrites)]
	writes := make([]core.Write, len(list))
	token := uuid.NewString()
	for i, w := range list {
		body, err := cbor.Marshal(logWire{Key: string(w.Key), Workspace: string(w.Workspace)})
		if err != nil {
			return codes.Wrap(err, codes.Internal, "keys: withdrawal of key %s cannot be encoded", w.Key)
		}
		writes[i] = core.Write{
			Kind: core.WritePut, Space: core.SpaceWithdrawn, Key: logKey(after + uint64(i) + 1), Token: token, Value: body,
		}
	}
	commitCtx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	err := k.cfg.Table.Commit(commitCtx, writes)
	switch codes.Of(err) {
	case codes.OK:
		k.mu.Lock()
		defer k.mu.Unlock()
		k.appendRows(after, list)
		return nil
	case codes.StoreDown, codes.StoreLimit:
	default:
		if pollErr := k.Poll(ctx); pollErr != nil {
			return pollErr
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		if len(k.unstored) == 0 {
			return nil
		}
	}
	return codes.Wrap(err, codes.Of(err), "keys: withdrawals cannot be written to the log")
}
