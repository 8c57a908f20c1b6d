package wire

import (
	"time"

	"azurering/core"
)

type amountWire struct {
	_     struct{} `cbor:",toarray"`
	Rate  int64
	Burst int64
	Slots int64
}

type loanItemWire struct {
	_        struct{} `cbor:",toarray"`
	Resource core.Resource
	Held     amountWire
	Want     amountWire
	Moved    bool
	Short    int64
}

type loanRequestWire struct {
	_           struct{} `cbor:",toarray"`
	Host        core.HostID
	Incarnation uint64
	Seq         uint64
	Epoch       uint64
	Items       []loanItemWire
}

type loanWire struct {
	_        struct{} `cbor:",toarray"`
	Resource core.Resource
	Amount   amountWire
	Tokens   int64
	Moved    bool
}

type loanResponseWire struct {
	_      struct{} `cbor:",toarray"`
	Epoch  uint64
	Length time.Duration
	Loans  []loanWire
}

func packAmount(a core.Amount) amountWire {
	return amountWire{Rate: a.Rate, Burst: a.Burst, Slots: a.Slots}
}

func (w amountWire) amount() core.Amount {
	return core.Amount{Rate: w.Rate, Burst: w.Burst, Slots: w.Slots}
}

func packLoanRequest(m core.LoanRequest) body {
	w := &loanRequestWire{Host: m.Host, Incarnation: m.Incarnation, Seq: m.Seq, Epoch: m.Epoch}
	for _, i := range m.Items {
		w.Items = append(w.Items, loanItemWire{Resource: i.Resource, Held: packAmount(i.Held), Want: packAmount(i.Demand), Moved: i.ShareMoved, Short: i.TokenDeficit})
	}
	return w
}

func (w *loanRequestWire) message() (core.Message, error) {
	m := core.LoanRequest{Host: w.Host, Incarnation: w.Incarnation, Seq: w.Seq, Epoch: w.Epoch}
	for _, i := range w.Items {
		m.Items = append(m.Items, core.LoanItem{Resource: i.Resource, Held: i.Held.amount(), Demand: i.Want.amount(), ShareMoved: i.Moved, TokenDeficit: i.Short})
	}
	return m, nil
}

func packLoanResponse(m core.LoanResponse) (body, error) {
	w := &loanResponseWire{Epoch: m.Epoch, Length: m.TTL}
	for _, l := range m.Loans {
		w.Loans = append(w.Loans, loanWire{Resource: l.Resource, Amount: packAmount(l.Amount), Tokens: l.Tokens, Moved: l.ShareMoved})
	}
	return w, notNegative("loan length", m.TTL)
}

func (w *loanResponseWire) message() (core.Message, error) {
	m := core.LoanResponse{Epoch: w.Epoch, TTL: w.Length}
	for _, l := range w.Loans {
		m.Loans = append(m.Loans, core.Loan{Resource: l.Resource, Amount: l.Amount.amount(), Tokens: l.Tokens, ShareMoved: l.Moved})
	}
	return m, notNegative("loan length", w.Length)
}
