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
}

type withdrawAckWire struct {
	_      struct{} `cbor:",toarray"`
	Domain core.DomainID
	Host   core.HostID
	Epoch  uint64
	Acting bool
}

type withdrawPullWire struct {
	_ struct{} `cbor:",toarray"`
}

func packWithdrawPush(m core.WithdrawPush) body {
	w := &withdrawPushWire{Withdrawals: make([]withdrawalWire, 0, len(m.Withdrawals))}
	for _, d := range m.Withdrawals {
		w.Withdrawals = append(w.Withdrawals, withdrawalWire{Key: d.Key, Workspace: d.Workspace})
	}
	return w
}

func (w *withdrawPushWire) message() (core.Message, error) {
	m := core.WithdrawPush{}
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

func (w *withdrawPullWire) message() (core.Message, error) { return core.WithdrawPull{}, nil }
