package wire

import "azurering/core"

type configPullWire struct {
	_     struct{} `cbor:",toarray"`
	After uint64
}

type configPushWire struct {
	_       struct{} `cbor:",toarray"`
	Entries []entryWire
}

type objectPullWire struct {
	_    struct{} `cbor:",toarray"`
	Name string
}

type objectBodyWire struct {
	_     struct{} `cbor:",toarray"`
	Found bool
	Body  []byte
}

func (w *configPullWire) message() (core.Message, error) {
	return core.ConfigPull{After: w.After}, nil
}

func packConfigPush(m core.ConfigPush) (body, error) {
	w := &configPushWire{}
	for _, e := range m.Entries {
		entry, err := packEntry(e)
		if err != nil {
			return nil, err
		}
		w.Entries = append(w.Entries, entry)
	}
	return w, nil
}

func (w *configPushWire) message() (core.Message, error) {
	m := core.ConfigPush{}
	for _, e := range w.Entries {
		entry, err := e.entry()
		if err != nil {
			return nil, err
		}
		m.Entries = append(m.Entries, entry)
	}
	return m, nil
}

func (w *objectPullWire) message() (core.Message, error) {
	return core.ObjectPull{Name: w.Name}, nil
}

func (w *objectBodyWire) message() (core.Message, error) {
	return core.ObjectBody{Found: w.Found, Body: nilIfEmpty(w.Body)}, nil
}
