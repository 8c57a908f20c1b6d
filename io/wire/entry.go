package wire

import (
	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
)

// entryFormat is the version of the format of a stored entry.
const entryFormat = 1

// maxEntry bounds a stored entry in bytes. It stays below the 400 KB that
// DynamoDB allows for one item.
const maxEntry = 64 * kib

// Each part of a change that is not set is an empty array, so that a change
// takes no more bytes than the parts it uses.
type changeWire struct {
	_         struct{} `cbor:",toarray"`
	Kind      uint64
	Target    string
	Key       []keyWire
	Shift     []shiftWire
	Drain     []drainWire
	Workspace []workspaceWire
}

type entryWire struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Kind    uint64
	Sheet   string
	Change  []changeWire
	Token   string
}

type storedEntry struct {
	_      struct{} `cbor:",toarray"`
	Format uint64
	Entry  entryWire
}

// EncodeEntry returns the stored form of an entry of the configuration log.
// Errors carry ChangeInvalid.
func EncodeEntry(e core.LogEntry) ([]byte, error) {
	w, err := packEntry(e)
	if err != nil {
		return nil, codes.Wrap(err, codes.ChangeInvalid, "wire: cannot encode entry %d", e.Version)
	}
	b, err := encoding.Marshal(storedEntry{Format: entryFormat, Entry: w})
	if err != nil {
		return nil, codes.Wrap(err, codes.ChangeInvalid, "wire: cannot encode entry %d", e.Version)
	}
	if len(b) > maxEntry {
		return nil, codes.New(codes.ChangeInvalid, "wire: entry of %d bytes is over the bound of %d", len(b), maxEntry)
	}
	return b, nil
}

// DecodeEntry returns the entry of a stored form. Errors carry
// ChangeInvalid.
func DecodeEntry(b []byte) (core.LogEntry, error) {
	if len(b) > maxEntry {
		return core.LogEntry{}, codes.New(codes.ChangeInvalid, "wire: entry of %d bytes is over the bound of %d", len(b), maxEntry)
	}
	var w storedEntry
	if err := few.Unmarshal(b, &w); err != nil {
		return core.LogEntry{}, codes.Wrap(err, codes.ChangeInvalid, "wire: malformed entry")
	}
	if w.Format != entryFormat {
		return core.LogEntry{}, codes.New(codes.ChangeInvalid, "wire: entry format %d is not %d", w.Format, entryFormat)
	}
	e, err := w.Entry.entry()
	if err != nil {
		return core.LogEntry{}, codes.Wrap(err, codes.ChangeInvalid, "wire: malformed entry")
	}
	return e, nil
}

func packEntry(e core.LogEntry) (entryWire, error) {
	kind, err := entryKinds.required(string(e.Kind))
	if err != nil {
		return entryWire{}, err
	}
	w := entryWire{Version: e.Version, Kind: kind, Sheet: e.SheetObject, Token: e.Token}
	if e.Kind == core.EntryChange && e.Change.Kind == "" {
		return entryWire{}, errors.New("change kind is missing")
	}
	if e.Change == (core.Change{}) {
		return w, nil
	}
	change, err := packChange(e.Change)
	w.Change = []changeWire{change}
	return w, err
}

func (w entryWire) entry() (core.LogEntry, error) {
	kind, err := entryKinds.requiredValue(w.Kind)
	if err != nil {
		return core.LogEntry{}, err
	}
	e := core.LogEntry{Version: w.Version, Kind: core.LogEntryKind(kind), SheetObject: w.Sheet, Token: w.Token}
	if err := atMostOne(len(w.Change)); err != nil {
		return core.LogEntry{}, err
	}
	for _, c := range w.Change {
		if e.Change, err = c.change(); err != nil {
			return core.LogEntry{}, err
		}
	}
	if e.Kind == core.EntryChange && e.Change.Kind == "" {
		return core.LogEntry{}, errors.New("change kind is missing")
	}
	return e, nil
}

func packChange(c core.Change) (changeWire, error) {
	kind, err := changeKinds.number(string(c.Kind))
	if err != nil {
		return changeWire{}, err
	}
	w := changeWire{Kind: kind, Target: c.Target}
	if c.Key != (core.Key{}) {
		w.Key = []keyWire{packKey(c.Key)}
	}
	if c.Shift != (core.Shift{}) {
		w.Shift = []shiftWire{packShift(c.Shift)}
	}
	if c.Workspace != (core.Workspace{}) {
		w.Workspace = []workspaceWire{packWorkspace(c.Workspace)}
	}
	if c.Drain == (core.Drain{}) {
		return w, nil
	}
	drain, err := packDrain(c.Drain)
	w.Drain = []drainWire{drain}
	return w, err
}

func (w changeWire) change() (core.Change, error) {
	kind, err := changeKinds.value(w.Kind)
	if err != nil {
		return core.Change{}, err
	}
	if err := atMostOne(len(w.Key), len(w.Shift), len(w.Drain), len(w.Workspace)); err != nil {
		return core.Change{}, err
	}
	c := core.Change{Kind: core.ChangeKind(kind), Target: w.Target}
	for _, k := range w.Key {
		if c.Key, err = k.key(); err != nil {
			return core.Change{}, err
		}
	}
	for _, s := range w.Shift {
		c.Shift = s.shift()
	}
	for _, d := range w.Drain {
		if c.Drain, err = d.drain(); err != nil {
			return core.Change{}, err
		}
	}
	for _, s := range w.Workspace {
		c.Workspace = s.workspace()
	}
	return c, nil
}

func atMostOne(counts ...int) error {
	for _, n := range counts {
		if n > 1 {
			return errors.Errorf("%d values where at most one is allowed", n)
		}
	}
	return nil
}
