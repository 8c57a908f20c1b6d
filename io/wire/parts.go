package wire

import (
	"time"

	"github.com/pkg/errors"

	"azurering/core"
)

// The parts that occur both in sheets and in changes.

type workspaceWire struct {
	_     struct{} `cbor:",toarray"`
	Name  core.WorkspaceID
	Rate  int64
	Burst int64
}

type keyWire struct {
	_         struct{} `cbor:",toarray"`
	Name      core.KeyID
	Workspace core.WorkspaceID
	Hash      []byte
}

type shiftWire struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	From  core.RegionID
	To    core.RegionID
	Share int
	Cap   int64
}

type drainWire struct {
	_      struct{} `cbor:",toarray"`
	Kind   uint64
	Target string
	Mode   uint64
	Within time.Duration
}

func packWorkspace(s core.Workspace) workspaceWire {
	return workspaceWire{Name: s.Name, Rate: s.Rate, Burst: s.Burst}
}

func (w workspaceWire) workspace() core.Workspace {
	return core.Workspace{Name: w.Name, Rate: w.Rate, Burst: w.Burst}
}

func packKey(k core.Key) keyWire {
	return keyWire{Name: k.Name, Workspace: k.Workspace, Hash: k.Hash[:]}
}

func (w keyWire) key() (core.Key, error) {
	k := core.Key{Name: w.Name, Workspace: w.Workspace}
	if len(w.Hash) != len(k.Hash) {
		return k, errors.Errorf("hash of a key has %d bytes, not %d", len(w.Hash), len(k.Hash))
	}
	copy(k.Hash[:], w.Hash)
	return k, nil
}

func packShift(s core.Shift) shiftWire {
	return shiftWire{Name: s.Name, From: s.From, To: s.To, Share: s.SharePerMille, Cap: s.Cap}
}

func (w shiftWire) shift() core.Shift {
	return core.Shift{Name: w.Name, From: w.From, To: w.To, SharePerMille: w.Share, Cap: w.Cap}
}

func packDrain(d core.Drain) (drainWire, error) {
	kind, err := drainKinds.number(string(d.Kind))
	if err != nil {
		return drainWire{}, err
	}
	mode, err := drainModes.number(string(d.Mode))
	return drainWire{Kind: kind, Target: d.Target, Mode: mode, Within: d.Timeout}, err
}

func (w drainWire) drain() (core.Drain, error) {
	kind, err := drainKinds.value(w.Kind)
	if err != nil {
		return core.Drain{}, err
	}
	mode, err := drainModes.value(w.Mode)
	return core.Drain{
		Kind: core.DrainKind(kind), Target: w.Target, Mode: core.DrainMode(mode), Timeout: w.Within,
	}, err
}
