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

// pollSize is the number of rows in one read of the log.
const pollSize = 1000

// logWire is the encoding of a row of the log of withdrawals.
type logWire struct {
	_         struct{} `cbor:",toarray"`
	Key       string
	Workspace string
}

// logKey returns the key of a row of the log. The zeros keep the order of
// the keys equal to the order of the numbers.
func logKey(n uint64) string { return fmt.Sprintf("%020d", n) }

// Tick does one round of work: it ends watches if the host is not fresh,
// polls the table if this host is a reader, pulls from peers that know more,
// forwards news and writes what is not in the table yet. Each call to the
// table or a peer has its own deadline. The error is for the log only; the
// next tick tries again.
func (k *Keys) Tick(ctx context.Context) error {
	k.EndStaleWatches()
	// News goes first, because a slow store must not delay it.
	k.spread(ctx)
	k.pulls(ctx)
	var err error
	if now := k.cfg.Timer.Now(); k.cfg.Seat.ShouldPoll() && now >= k.pollAt {
		period := k.cfg.Evidence.Bound() / 4
		k.pollAt = now + period - period/10
		err = k.Poll(ctx)
	}
	if k.writeDue() {
		err = k.writeLoose(ctx)
	}
	k.spread(ctx)
	k.EndStaleWatches()
	return err
}

// spread forwards news once to the neighbours. A neighbour that misses it
// notices the difference in the next heartbeat.
func (k *Keys) spread(ctx context.Context) {
	k.mu.Lock()
	news := k.news
	k.news = nil
	k.mu.Unlock()
	if len(news) == 0 {
		return
	}
	hosts := k.cfg.Neighbours()
	for len(news) > 0 {
		part := news[:min(len(news), pullSize)]
		news = news[len(part):]
		fanout.Each(k.cfg.MaxConcurrentCalls, len(hosts), func(i int) {
			// The error is of no use here: heartbeats repair what is lost.
			_, _ = k.call(ctx, hosts[i], core.WithdrawPush{Withdrawals: part})
		})
	}
}

func (k *Keys) pulls(ctx context.Context) {
	k.mu.Lock()
	hosts := k.behind
	k.behind = nil
	k.mu.Unlock()
	fanout.Each(k.cfg.MaxConcurrentCalls, len(hosts), func(i int) {
		// The error is of no use here: the next heartbeat asks again.
		_ = k.Pull(ctx, hosts[i])
	})
}

// Poll reads the rows of the log of withdrawals that this host lacks and
// records the read as evidence. Its error carries the code of the table.
func (k *Keys) Poll(ctx context.Context) error {
	started := k.cfg.Timer.Now()
	for {
		k.mu.Lock()
		after := uint64(len(k.log))
		k.mu.Unlock()
		rows, err := k.list(ctx, after)
		if err != nil {
			return codes.Wrap(err, codes.Of(err), "keys: log of withdrawals cannot be read")
		}
		// Rows before a gap count, but a read with a gap is no evidence: the
		// missing row may be a withdrawal.
		list, err := decodeLog(after, rows)
		k.mu.Lock()
		k.extend(after, list)
		k.mu.Unlock()
		if err != nil {
			return err
		}
		if len(rows) < pollSize {
			k.cfg.Evidence.RecordStoreRead(core.SpaceWithdrawn, started)
			return nil
		}
	}
}

func (k *Keys) list(ctx context.Context, after uint64) ([]core.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	return k.cfg.Table.List(ctx, core.SpaceWithdrawn, logKey(after), pollSize)
}

// decodeLog returns the withdrawals of rows up to the first that is out of
// place or malformed.
func decodeLog(after uint64, rows []core.Row) ([]core.Withdrawal, error) {
	out := make([]core.Withdrawal, 0, len(rows))
	for i, r := range rows {
		n, err := strconv.ParseUint(r.Key, 10, 64)
		if err != nil || n != after+uint64(i)+1 {
			return out, codes.New(codes.Internal, "keys: log of withdrawals has row %q where row %d belongs", r.Key, after+uint64(i)+1)
		}
		var w logWire
		if err := cbor.Unmarshal(r.Value, &w); err != nil {
			return out, codes.Wrap(err, codes.Internal, "keys: row %d of the log of withdrawals cannot be decoded", n)
		}
		out = append(out, core.Withdrawal{Key: core.KeyID(w.Key), Workspace: core.WorkspaceID(w.Workspace)})
	}
	return out, nil
}

func (k *Keys) writeDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.loose) > 0 && k.cfg.Timer.Now() >= k.writeAt
}

// writeLoose tries to write all withdrawals that are not known to be in the
// table, and sets the time of the next try. The pause doubles up to two
// freshness bounds on a reader of the table, and up to sixteen, about a
// minute, on the many other hosts.
func (k *Keys) writeLoose(ctx context.Context) error {
	err := k.Poll(ctx)
	if err == nil {
		err = k.append(ctx)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.loose) == 0 {
		return err
	}
	k.writeAt = k.cfg.Timer.Now() + k.retry + k.jitter(k.retry/4+time.Millisecond)
	limit := 16 * k.cfg.Evidence.Bound()
	if k.cfg.Seat.ShouldPoll() {
		limit = 2 * k.cfg.Evidence.Bound()
	}
	k.retry = min(2*k.retry, limit)
	return err
}

// append writes loose withdrawals behind the last row that this host has, in
// one commit. It takes effect only if no other host has appended since, so
// the log holds no withdrawal twice. After an unknown outcome the log is
// read back: a row that names the withdrawal makes it durable whichever
// host's token it has, and a late copy of the commit cannot take effect once
// another row has the place.
func (k *Keys) append(ctx context.Context) error {
	k.mu.Lock()
	after := uint64(len(k.log))
	var list []core.Withdrawal
	for id := range k.loose {
		list = append(list, k.set[id])
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
	bound, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	err := k.cfg.Table.Commit(bound, writes)
	switch codes.Of(err) {
	case codes.OK:
		k.mu.Lock()
		defer k.mu.Unlock()
		k.extend(after, list)
		return nil
	case codes.StoreDown, codes.StoreLimit:
	default:
		if back := k.Poll(ctx); back != nil {
			return back
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		if len(k.loose) == 0 {
			return nil
		}
	}
	return codes.Wrap(err, codes.Of(err), "keys: withdrawals were not written")
}
