package config

import (
	"context"
	"time"

	"github.com/google/uuid"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/sheet"
)

const (
	snapshotKey = "head"
	// publishTries bounds how often a change is validated again after other
	// operators' versions came first.
	publishTries = 10
	unknownPause = 50 * time.Millisecond
	pruneBatch   = core.MaxCommitWrites
)

// Result says what a publication did.
type Result struct {
	Version uint64
	// RemovedKeys lists the keys that the new sheet does not hold any more. The
	// caller withdraws them.
	RemovedKeys []core.Withdrawal
}

// PublishSheet publishes a whole sheet as the version after base. Base zero
// stands for the newest version at the time of the call. If another version
// came first the error carries VersionConflict and names it. Nothing is
// written for a sheet that fails validation.
func (l *Log) PublishSheet(ctx context.Context, s core.Sheet, base uint64) (Result, error) {
	if err := sheet.Check(s); err != nil {
		return Result{}, err
	}
	body, err := l.cfg.Codec.EncodeSheet(s)
	if err != nil {
		return Result{}, err
	}
	name := objectName(body)
	for {
		head, err := l.head(ctx)
		if err != nil {
			return Result{}, err
		}
		if base == 0 {
			base = head.version
		}
		if base != head.version {
			return Result{}, conflict(head.version)
		}
		gone, err := sheet.CheckTransition(l.Current().Sheet, s)
		if err != nil {
			return Result{}, err
		}
		if err := l.putObject(ctx, name, body); err != nil {
			return Result{}, err
		}
		e := core.LogEntry{Version: head.version + 1, Kind: core.EntrySheet, SheetObject: name, Token: uuid.NewString()}
		won, err := l.commit(ctx, e, head)
		if err != nil {
			return Result{}, err
		}
		if won {
			return Result{Version: e.Version, RemovedKeys: gone}, l.published(ctx, e)
		}
	}
}

// PublishChange publishes one change. It is validated against the newest
// version; if another version comes first it is validated again against
// that one. Base, if not zero, must be the newest version.
func (l *Log) PublishChange(ctx context.Context, ch core.Change, base uint64) (Result, error) {
	for range publishTries {
		head, err := l.head(ctx)
		if err != nil {
			return Result{}, err
		}
		current := l.Current()
		if base != 0 && base != head.version {
			return Result{}, conflict(head.version)
		}
		if current.Version != head.version {
			continue
		}
		if current.Version == 0 {
			return Result{}, codes.New(codes.NoConfig, "config: no sheet was published yet")
		}
		if err := l.cfg.AdmitChange(current.Sheet, ch); err != nil {
			return Result{}, err
		}
		if _, err := sheet.Apply(current.Sheet, ch); err != nil {
			return Result{}, err
		}
		e := core.LogEntry{Version: current.Version + 1, Kind: core.EntryChange, Change: ch, Token: uuid.NewString()}
		won, err := l.commit(ctx, e, head)
		if err != nil {
			return Result{}, err
		}
		if won {
			return Result{Version: e.Version}, l.published(ctx, e)
		}
	}
	return Result{}, conflict(l.Current().Version)
}

// logHead is the newest version as the store has it, with the version of
// the snapshot row that was read before.
type logHead struct {
	version  uint64
	snapshot uint64
}

// head reads the newest version from the store. A commit checks that the
// snapshot row is the one read here: otherwise a writer that was paused for
// long could write a version whose row exists no more because it was pruned.
func (l *Log) head(ctx context.Context) (logHead, error) {
	row, err := l.cfg.Table.Get(ctx, core.SpaceSnapshot, snapshotKey)
	if err != nil {
		return logHead{}, err
	}
	if err := l.Poll(ctx); err != nil {
		return logHead{}, err
	}
	return logHead{version: l.Current().Version, snapshot: row.Version}, nil
}

func conflict(version uint64) error {
	return codes.New(codes.VersionConflict, "config: version %d was published first", version)
}

// putObject stores a body. Its name is the hash of the body, so a put with
// an unknown outcome is simply repeated.
func (l *Log) putObject(ctx context.Context, name string, body []byte) error {
	for {
		err := l.cfg.Objects.Put(ctx, name, body)
		if !codes.Is(err, codes.StoreUnknown) || pause(ctx) != nil {
			return err
		}
	}
}

// commit writes one version on condition that it does not exist. It reports
// false if another writer's version stands there or a snapshot was written
// meanwhile. After an unknown outcome
// it reads the row back and compares tokens; a row that is still absent is
// written again under the same token, which is harmless if the first write
// arrives late.
func (l *Log) commit(ctx context.Context, e core.LogEntry, head logHead) (bool, error) {
	value, err := l.cfg.Codec.EncodeEntry(e)
	if err != nil {
		return false, err
	}
	writes := []core.Write{
		{Kind: core.WritePut, Space: core.SpaceConfig, Key: versionKey(e.Version), Token: e.Token, Value: value},
		{Kind: core.WriteCheck, Space: core.SpaceSnapshot, Key: snapshotKey, ExpectVersion: head.snapshot},
	}
	unknown := false
	for {
		err := l.cfg.Table.Commit(ctx, writes)
		switch codes.Of(err) {
		case codes.OK:
			return true, nil
		case codes.StoreConflict:
			return l.ownRow(ctx, e)
		case codes.StoreUnknown:
			unknown = true
		default:
			if !unknown {
				return false, err
			}
		}
		if pause(ctx) != nil {
			return false, codes.New(codes.StoreUnknown, "config: it is not known whether version %d was published", e.Version)
		}
	}
}

// ownRow reports whether the row of a version carries the entry's token.
func (l *Log) ownRow(ctx context.Context, e core.LogEntry) (bool, error) {
	for {
		row, err := l.cfg.Table.Get(ctx, core.SpaceConfig, versionKey(e.Version))
		if err == nil {
			return row.Token == e.Token, nil
		}
		if pause(ctx) != nil {
			return false, codes.Wrap(err, codes.StoreUnknown, "config: it is not known whether version %d was published", e.Version)
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(unknownPause):
		return nil
	}
}

// published applies and spreads an entry that the table holds, and writes a
// snapshot when one is due. The entry is in the table whatever happens here,
// so errors of the snapshot are left to the next one.
func (l *Log) published(ctx context.Context, e core.LogEntry) error {
	applied, err := l.apply(ctx, []core.LogEntry{e}, l.cfg.Objects.Get)
	l.spread(applied, "")
	if err == errGap {
		err = l.Poll(ctx)
	}
	if err == nil && e.Version%l.cfg.SnapshotEvery == 0 {
		_ = l.snapshot(ctx)
	}
	return err
}

// snapshot stores the folded sheet and removes the entries that hosts do
// not need any more: those older than the previous snapshot.
func (l *Log) snapshot(ctx context.Context) error {
	current := l.Current()
	body, err := l.cfg.Codec.EncodeSheet(current.Sheet)
	if err != nil {
		return err
	}
	name := objectName(body)
	if err := l.cfg.Objects.Put(ctx, name, body); err != nil {
		return err
	}
	row, err := l.cfg.Table.Get(ctx, core.SpaceSnapshot, snapshotKey)
	if err != nil {
		return err
	}
	value, err := l.cfg.Codec.EncodeEntry(core.LogEntry{Version: current.Version, Kind: core.EntrySheet, SheetObject: name})
	if err != nil {
		return err
	}
	write := core.Write{Kind: core.WritePut, Space: core.SpaceSnapshot, Key: snapshotKey, ExpectVersion: row.Version, Token: uuid.NewString(), Value: value}
	if err := l.cfg.Table.Commit(ctx, []core.Write{write}); err != nil {
		return err
	}
	if row.Version == 0 {
		return nil
	}
	previous, err := l.cfg.Codec.DecodeEntry(row.Value)
	if err != nil {
		return err
	}
	return l.prune(ctx, previous.Version)
}

// prune deletes the entries up to a version.
func (l *Log) prune(ctx context.Context, upTo uint64) error {
	for {
		rows, err := l.cfg.Table.List(ctx, core.SpaceConfig, "", pruneBatch)
		if err != nil {
			return err
		}
		var writes []core.Write
		for _, row := range rows {
			if row.Key <= versionKey(upTo) {
				writes = append(writes, core.Write{Kind: core.WriteDelete, Space: row.Space, Key: row.Key, ExpectVersion: row.Version})
			}
		}
		if len(writes) == 0 {
			return nil
		}
		if err := l.cfg.Table.Commit(ctx, writes); err != nil {
			return err
		}
	}
}
