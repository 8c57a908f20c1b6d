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
	// maxPublishAttempts bounds how often a change is validated and written while
	// other versions keep being published first.
	maxPublishAttempts = 10
	// retryDelay is the pause before a store call with an unknown outcome is
	// retried.
	retryDelay     = 50 * time.Millisecond
	pruneBatchSize = core.MaxCommitWrites
)

// Result is the result of a publication.
type Result struct {
	Version uint64
	// RemovedKeys lists the keys that the new sheet no longer holds. The caller must
	// withdraw them.
	RemovedKeys []core.Withdrawal
}

// PublishSheet publishes a whole sheet as the version after base. Base 0 means
// the newest version at the time of the call. If another version was published
// first, the error carries VersionConflict and names that version. A sheet that
// fails validation is not written. With StoreUnknown the outcome is unknown. An
// error along with a result means that the version is published but could not be
// applied on this host.
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
			return Result{}, conflictError(head.version)
		}
		removedKeys, err := sheet.CheckTransition(l.Current().Sheet, s)
		if err != nil {
			return Result{}, err
		}
		if err := l.putObject(ctx, name, body); err != nil {
			return Result{}, err
		}
		e := core.LogEntry{Version: head.version + 1, Kind: core.EntrySheet, SheetObject: name, Token: uuid.NewString()}
		committed, err := l.commit(ctx, e, head)
		if err != nil {
			return Result{}, err
		}
		if committed {
			return Result{Version: e.Version, RemovedKeys: removedKeys}, l.afterCommit(ctx, e)
		}
	}
}

// PublishChange publishes a change. It is validated against the newest version;
// if another version is published first, it is validated against that one and
// retried, up to 10 attempts in all. Base, if not 0, must be the newest version.
// Errors are as for PublishSheet; without a first sheet the code is NoConfig.
func (l *Log) PublishChange(ctx context.Context, ch core.Change, base uint64) (Result, error) {
	for range maxPublishAttempts {
		head, err := l.head(ctx)
		if err != nil {
			return Result{}, err
		}
		current := l.Current()
		if base != 0 && base != head.version {
			return Result{}, conflictError(head.version)
		}
		if current.Version != head.version {
			continue
		}
		if current.Version == 0 {
			return Result{}, codes.New(codes.NoConfig, "config: a change needs a published sheet, and there is none yet")
		}
		if err := l.cfg.AdmitChange(current.Sheet, ch); err != nil {
			return Result{}, err
		}
		if _, err := sheet.Apply(current.Sheet, ch); err != nil {
			return Result{}, err
		}
		e := core.LogEntry{Version: current.Version + 1, Kind: core.EntryChange, Change: ch, Token: uuid.NewString()}
		committed, err := l.commit(ctx, e, head)
		if err != nil {
			return Result{}, err
		}
		if committed {
			return Result{Version: e.Version}, l.afterCommit(ctx, e)
		}
	}
	return Result{}, conflictError(l.Current().Version)
}

// logHead is the newest version in the store, and the row version of the
// snapshot row, which is read first.
type logHead struct {
	version  uint64 // of the configuration
	snapshot uint64 // of the snapshot row
}

// head reads the newest version from the store. A commit checks that the snapshot
// row has not changed since: otherwise a writer that was paused for a long time
// could write a version again whose row has been pruned.
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

func conflictError(version uint64) error {
	return codes.New(codes.VersionConflict, "config: version %d was published first", version)
}

// putObject stores a body under its hash. This is idempotent, so a put with an
// unknown outcome is retried until the context ends.
func (l *Log) putObject(ctx context.Context, name string, body []byte) error {
	for {
		err := l.cfg.Objects.Put(ctx, name, body)
		if !codes.Is(err, codes.StoreUnknown) || waitRetry(ctx) != nil {
			return err
		}
	}
}

// commit writes a version on condition that its row does not exist. It returns
// false if another writer's version exists or a snapshot was written in the
// meantime. After an unknown outcome it retries the write with the same token,
// which is safe if the first write takes effect late: the retry then conflicts,
// and the token in the row shows whose version it is.
func (l *Log) commit(ctx context.Context, e core.LogEntry, head logHead) (bool, error) {
	value, err := l.cfg.Codec.EncodeEntry(e)
	if err != nil {
		return false, err
	}
	writes := []core.Write{
		{Kind: core.WritePut, Space: core.SpaceConfig, Key: versionKey(e.Version), Token: e.Token, Value: value},
		{Kind: core.WriteCheck, Space: core.SpaceSnapshot, Key: snapshotKey, ExpectVersion: head.snapshot},
	}
	isUnknown := false
	for {
		err := l.cfg.Table.Commit(ctx, writes)
		switch codes.Of(err) {
		case codes.OK:
			return true, nil
		case codes.StoreConflict:
			return l.ownsVersion(ctx, e)
		case codes.StoreUnknown:
			isUnknown = true
		default:
			if !isUnknown {
				return false, err
			}
		}
		if waitRetry(ctx) != nil {
			return false, codes.New(codes.StoreUnknown, "config: outcome of publishing version %d is unknown", e.Version)
		}
	}
}

// ownsVersion reports whether the row of the entry's version carries the entry's
// token. It retries failed reads until the context ends.
func (l *Log) ownsVersion(ctx context.Context, e core.LogEntry) (bool, error) {
	for {
		row, err := l.cfg.Table.Get(ctx, core.SpaceConfig, versionKey(e.Version))
		if err == nil {
			return row.Token == e.Token, nil
		}
		if waitRetry(ctx) != nil {
			return false, codes.Wrap(err, codes.StoreUnknown, "config: outcome of publishing version %d is unknown", e.Version)
		}
	}
}

// waitRetry waits for retryDelay or until the context ends, and then returns its
// error.
func waitRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(retryDelay):
		return nil
	}
}

// afterCommit applies a committed entry, queues it for the neighbours, and writes
// a snapshot if one is due. Errors of the snapshot are ignored: the entry is
// committed, and the next snapshot covers it.
func (l *Log) afterCommit(ctx context.Context, e core.LogEntry) error {
	applied, err := l.apply(ctx, []core.LogEntry{e}, l.cfg.Objects.Get)
	l.enqueuePush(applied, "")
	if err == errGap {
		err = l.Poll(ctx)
	}
	if err == nil && e.Version%l.cfg.SnapshotEvery == 0 {
		_ = l.snapshot(ctx)
	}
	return err
}

// snapshot stores the current sheet as the new snapshot and deletes the entries
// that hosts no longer need: those up to the previous snapshot.
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

// prune deletes the entries up to and including a version.
func (l *Log) prune(ctx context.Context, upTo uint64) error {
	for {
		rows, err := l.cfg.Table.List(ctx, core.SpaceConfig, "", pruneBatchSize)
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
