package config

import (
	"context"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fanout"
)

// Poll reads the versions after the own one from the store, applies them
// and pushes them to the neighbours. Only the few reader hosts of a failure
// domain call it regularly.
func (l *Log) Poll(ctx context.Context) error {
	for {
		more, err := l.pollOnce(ctx)
		if err != nil || !more {
			return err
		}
	}
}

func (l *Log) pollOnce(ctx context.Context) (bool, error) {
	current := l.Current()
	if current.Version == 0 {
		if err := l.loadSnapshot(ctx); err != nil {
			return false, err
		}
		current = l.Current()
	}
	rows, err := l.cfg.Table.List(ctx, core.SpaceConfig, versionKey(current.Version), listLimit)
	if err != nil {
		return false, err
	}
	entries, err := l.decode(rows)
	if err != nil {
		return false, err
	}
	applied, err := l.apply(ctx, entries, l.cfg.Objects.Get)
	l.spread(applied, "")
	if err == errGap {
		return true, l.loadSnapshot(ctx)
	}
	return err == nil && len(rows) == listLimit, err
}

func (l *Log) decode(rows []core.Row) ([]core.LogEntry, error) {
	entries := make([]core.LogEntry, 0, len(rows))
	for _, row := range rows {
		e, err := l.cfg.Codec.DecodeEntry(row.Value)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// loadSnapshot applies the newest snapshot, if there is one.
func (l *Log) loadSnapshot(ctx context.Context) error {
	row, err := l.cfg.Table.Get(ctx, core.SpaceSnapshot, snapshotKey)
	if err != nil || row.Version == 0 {
		return err
	}
	e, err := l.cfg.Codec.DecodeEntry(row.Value)
	if err != nil {
		return err
	}
	applied, err := l.apply(ctx, []core.LogEntry{e}, l.cfg.Objects.Get)
	l.spread(applied, "")
	return err
}

// Pull gets newer versions from another host, for example one whose
// heartbeat carried a higher version.
func (l *Log) Pull(ctx context.Context, from core.HostID) error {
	answer, err := l.cfg.Peers.Call(ctx, from, core.ConfigPull{After: l.Current().Version})
	if err != nil {
		return err
	}
	push, ok := answer.(core.ConfigPush)
	if !ok {
		return codes.New(codes.PeerKind, "config: host %s answered a pull with %s", from, answer.Kind())
	}
	return l.merge(ctx, from, push.Entries)
}

// merge applies entries that came from a host and passes them on. If some
// are missing it asks that host for them.
func (l *Log) merge(ctx context.Context, from core.HostID, entries []core.LogEntry) error {
	if len(entries) > 0 {
		l.ObserveVersion(entries[len(entries)-1].Version)
	}
	applied, err := l.apply(ctx, entries, l.bodyFrom(from))
	l.spread(applied, from)
	return err
}

// bodyFrom reads sheet bodies from a host, and from the object store if the
// host does not have them any more.
func (l *Log) bodyFrom(from core.HostID) bodySource {
	return func(ctx context.Context, name string) ([]byte, error) {
		answer, err := l.cfg.Peers.Call(ctx, from, core.ObjectPull{Name: name})
		if err == nil {
			if body, ok := answer.(core.ObjectBody); ok && body.Found {
				return body.Body, nil
			}
		}
		return l.cfg.Objects.Get(ctx, name)
	}
}

func (l *Log) handlePull(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
	entries, err := l.after(m.(core.ConfigPull).After)
	if err != nil {
		return nil, err
	}
	return core.ConfigPush{Entries: entries}, nil
}

func (l *Log) handlePush(ctx context.Context, from core.HostID, m core.Message) (core.Message, error) {
	err := l.merge(ctx, from, m.(core.ConfigPush).Entries)
	if err == errGap {
		err = l.Pull(ctx, from)
	}
	if err != nil {
		return nil, err
	}
	return core.ConfigPush{}, nil
}

func (l *Log) handleObject(_ context.Context, _ core.HostID, m core.Message) (core.Message, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.encodeBody(l.Current()); err != nil {
		return nil, err
	}
	if l.name != m.(core.ObjectPull).Name {
		return core.ObjectBody{}, nil
	}
	return core.ObjectBody{Found: true, Body: l.body}, nil
}

// outgoing is an item of the outbox.
type outgoing struct {
	entries []core.LogEntry
	except  core.HostID
}

// spread queues entries for the neighbours. A full outbox drops them: the
// neighbours see the higher version in the next heartbeat and pull.
func (l *Log) spread(entries []core.LogEntry, except core.HostID) {
	if len(entries) == 0 {
		return
	}
	_ = l.outbox.Offer(outgoing{entries: entries, except: except})
}

// RunPush pushes queued entries to the neighbours until the context ends.
// It is one goroutine's duty.
func (l *Log) RunPush(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-l.outbox.C():
			l.push(ctx, item.(outgoing))
		}
	}
}

// PushPending pushes what is queued now and returns. Tests use it in place
// of RunPush.
func (l *Log) PushPending(ctx context.Context) {
	for {
		select {
		case item := <-l.outbox.C():
			l.push(ctx, item.(outgoing))
		default:
			return
		}
	}
}

func (l *Log) push(ctx context.Context, out outgoing) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	hosts := l.cfg.PushTargets()
	fanout.Each(len(hosts), len(hosts), func(i int) {
		if hosts[i] != out.except {
			// A failed push is made good by the pull after a heartbeat.
			_, _ = l.cfg.Peers.Call(ctx, hosts[i], core.ConfigPush{Entries: out.entries})
		}
	})
}
