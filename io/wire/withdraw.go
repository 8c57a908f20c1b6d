package wire

import "azurering/core"

type withdrawalWire struct {
	_         struct{} `cbor:",toarray"`
	Key       core.KeyID
	Workspace core.WorkspaceID
}

type withdrawPushWire struct {
	_           struct{} `cbor:",toarray"`
	Withdrawals []withdrawalWire
	After       uint64
	Logged      uint64
	More        bool
	Digest      uint64
}

type withdrawAckWire struct {
	_      struct{} `cbor:",toarray"`
	Domain core.DomainID
	Host   core.HostID
	Epoch  uint64
	Acting bool
}

type withdrawPullWire struct {
	_     struct{} `cbor:",toarray"`
	After uint64
}

func packWithdrawPush(m core.WithdrawPush) body {
	w := &withdrawPushWire{
		Withdrawals: make([]withdrawalWire, 0, len(m.Withdrawals)),
		After:       m.After, Logged: m.LogRows, More: m.More, Digest: m.Digest,
	}
	for _, d := range m.Withdrawals {
		w.Withdrawals = append(w.Withdrawals, withdrawalWire{Key: d.Key, Workspace: d.Workspace})
	}
	return w
}

func (w *withdrawPushWire) message() (core.Message, error) {
	m := core.WithdrawPush{After: w.After, LogRows: w.Logged, More: w.More, Digest: w.Digest}
	if len(w.Withdrawals) > 0 {
		m.Withdrawals = make([]core.Withdrawal, 0, len(w.Withdrawals))
	}
	for _, d := range w.Withdrawals {
		m.Withdrawals = append(m.Withdrawals, core.Withdrawal{Key: d.Key, Workspace: d.Workspace})
	}
	return m, nil
}

func (w *withdrawAckWire) message() (core.Message, error) {
	return core.WithdrawAck{Domain: w.Domain, Host: w.Host, Epoch: w.Epoch, Acting: w.Acting}, nil
}

func (w *withdrawPullWire) message() (core.Message, error) {
	return core.WithdrawPull{After: w.After}, nil
}
