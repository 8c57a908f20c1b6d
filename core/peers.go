package core

import (
	"context"
	"time"
)

// Kind names the kind of a peer message.
type Kind string

// The kinds of peer messages.
const (
	KindBeat          Kind = "beat"
	KindConfigPull    Kind = "config-pull"
	KindConfigPush    Kind = "config-push"
	KindObjectPull    Kind = "object-pull"
	KindObjectBody    Kind = "object-body"
	KindWithdrawPush  Kind = "withdraw-push"
	KindWithdrawAck   Kind = "withdraw-ack"
	KindWithdrawPull  Kind = "withdraw-pull"
	KindAttest        Kind = "attest"
	KindAttested      Kind = "attested"
	KindSeatPromise   Kind = "seat-promise"
	KindSeatPromised  Kind = "seat-promised"
	KindLoanAsk       Kind = "loan-ask"
	KindLoanGrant     Kind = "loan-grant"
	KindReserve       Kind = "reserve"
	KindReserved      Kind = "reserved"
	KindOrderPeek     Kind = "order-peek"
	KindOrderPeeked   Kind = "order-peeked"
	KindOrderMirror   Kind = "order-mirror"
	KindOrderMirrored Kind = "order-mirrored"
	KindRefused       Kind = "refused"
)

// Message is one message between entry hosts.
type Message interface {
	Kind() Kind
}

// Handler answers a message of another entry host. It is called from
// several goroutines. An error reaches the sender as a Refused message.
type Handler func(ctx context.Context, from HostID, m Message) (Message, error)

// Peers carries messages between entry hosts: each call is one request and
// one answer. Errors carry PeerDown (the message may or may not have been
// handled), PeerUnknown (no such host) or the code of the refusal. It is
// safe for concurrent use.
type Peers interface {
	Call(ctx context.Context, to HostID, m Message) (Message, error)
	// Handle sets the handler of a kind. It is called before the first
	// message arrives.
	Handle(kind Kind, h Handler)
}

// Age is how old the newest evidence about a failure domain is.
type Age struct {
	Domain DomainID
	Age    time.Duration
}

// Load is one host's view of the load of a failure domain.
type Load struct {
	Domain DomainID
	Free   int64 // free slots
	Total  int64 // slots of servers that take new work
}

// Suspicion says that the host By observed silence of another host and
// suspects it. The incarnation is the one that the suspect must exceed to
// refute the suspicion.
type Suspicion struct {
	Host        HostID
	Incarnation uint64
	By          HostID
}

// Probed is the result of a probe that a host made for its failure domain.
type Probed struct {
	Server ServerID
	Age    time.Duration // since the probe's answer
	Failed bool          // there was no answer; Health does not count
	Health Health
}

// DrainCount is what a host still has to do for a drain.
type DrainCount struct {
	Kind     DrainKind
	Target   string
	InFlight int64
	Age      time.Duration // since the host learned of the drain
}

// Beat is a heartbeat, and the answer to one.
type Beat struct {
	Host    Host
	Members []Host // recent changes of membership
	// Suspects holds the sender's own suspicions. In a beat to a suspect it
	// also holds those of others about it, so that it can refute them.
	Suspects []Suspicion
	// Joining asks the receiver for its whole view, a part in each beat.
	Joining bool
	// Version and Withdrawn let the receiver notice that it lags.
	Version   uint64
	Withdrawn uint64 // order-independent digest of the withdrawal set
	// Logged is the number of rows of the table's log of withdrawals that
	// the sender has. A receiver that has fewer pulls the rest.
	Logged uint64
	// StoreAge is the age of the sender's evidence, be it a store read or a
	// majority of attestations.
	StoreAge  time.Duration
	StoreSeen bool // false if the sender is not fresh; StoreAge does not count
	Ages      []Age
	Loads     []Load
	Probes    []Probed // of the sender, for hosts of its domain
	Drains    []DrainCount
}

// ConfigPull asks for the entries after a version.
type ConfigPull struct{ After uint64 }

// ConfigPush carries entries in order of version.
type ConfigPush struct{ Entries []Entry }

// ObjectPull asks for the body of an object.
type ObjectPull struct{ Name string }

// ObjectBody carries the body of an object.
type ObjectBody struct {
	Found bool
	Body  []byte
}

// WithdrawPush carries withdrawals. As an answer to WithdrawPull it starts
// with the Logged rows that follow row After of the table's log, in order;
// the rest are withdrawals that the sender does not know to be in the log.
type WithdrawPush struct {
	Withdrawals []Withdrawal
	After       uint64
	Logged      uint64
	More        bool   // the sender has more rows; the rest is left out
	Digest      uint64 // of all that the sender has, if More is not set
}

// WithdrawAck says that the withdrawals are in force on the host. Acting
// says that the host holds the seat of its domain, of the given epoch, and
// may act in it.
type WithdrawAck struct {
	Domain DomainID
	Host   HostID
	Epoch  uint64
	Acting bool
}

// WithdrawPull asks for the withdrawals after a row of the table's log, and
// for those that are not in the log.
type WithdrawPull struct{ After uint64 }

// Attest asks a seat holder for an attestation.
type Attest struct{}

// Attested is the answer of a host to Attest. It counts as evidence only
// if Acting or Seen is set, and only after the asker has merged the
// withdrawals and reached Version.
type Attested struct {
	Domain    DomainID
	Host      HostID
	Epoch     uint64
	Acting    bool
	Version   uint64
	Withdrawn uint64
	// Holder and Candidates say who has the seat of the domain as far as
	// the answering host knows, so that the asker finds the holder.
	Holder     HostID
	Candidates []HostID
	// Age is the age of the answering host's evidence; it counts if Seen is
	// set.
	Seen bool
	Age  time.Duration
}

// SeatPromise asks a candidate to promise that it will not take the seat.
type SeatPromise struct {
	Domain DomainID
	Epoch  uint64
}

// SeatPromised answers SeatPromise.
type SeatPromised struct {
	Given bool
	Epoch uint64 // newest epoch that the candidate knows
}

// LoanItem is one resource in a loan request or answer.
type LoanItem struct {
	Resource Resource
	Held     Amount // what the host holds now
	Want     Amount // what the host could use
	// Moved passes on Loan.Moved to the seat holder of the host's domain.
	Moved bool
	// Short is how many tokens, in thousandths of a request, waiting
	// requests lack.
	Short int64
}

// LoanAsk asks the seat holder for loans and reports those held from the
// holder's domain.
type LoanAsk struct {
	Host        HostID
	Incarnation uint64
	// Seq grows with each ask of an incarnation to one domain. A host gives
	// up an ask before it sends the next, so an ask shows that no answer to
	// an earlier one will be used; the seat holder refuses late ones.
	Seq   uint64
	Epoch uint64 // epoch of the holder that granted what is held
	Items []LoanItem
}

// Loan is the amount of one resource lent to a host.
type Loan struct {
	Resource Resource
	Amount   Amount
	// Tokens are tokens out of the seat holder's own bucket, which fills with
	// what is not lent. They add to the host's tokens up to its burst.
	Tokens int64
	// Moved says that a part of the resource was lately transferred to the
	// domain of the host; its seat holder reads the row when it hears of it.
	Moved bool
}

// LoanGrant answers LoanAsk. Each loan replaces what the host held; a
// resource that is not named keeps its old expiry.
type LoanGrant struct {
	Epoch  uint64
	Length time.Duration // counted from when the request was sent
	Loans  []Loan
}

// Reserve asks a host of another failure domain for one slot.
type Reserve struct {
	Service ServiceID
	Class   Class
	From    RegionID
}

// Reserved answers Reserve.
type Reserved struct {
	Given  bool
	Ticket string // names the reservation in the forwarded request
	Length time.Duration
}

// OrderPeek asks the claiming host about an order.
type OrderPeek struct {
	Workspace WorkspaceID
	Key       string
	Token     string
}

// OrderPeeked answers OrderPeek.
type OrderPeeked struct{ Running bool }

// OrderMirror records a claim at another candidate of the order's home
// domain, before the order is sent.
type OrderMirror struct {
	Domain    DomainID
	Epoch     uint64
	Workspace WorkspaceID
	Key       string
	Token     string
	Record    []byte
}

// OrderMirrored answers OrderMirror.
type OrderMirrored struct {
	Stored bool
	Record []byte // the earlier record, if there was one
}

// Refused is the answer to a message that could not be handled.
type Refused struct {
	Code int
	Text string
}

// Kind implements Message.
func (Beat) Kind() Kind { return KindBeat }

// Kind implements Message.
func (ConfigPull) Kind() Kind { return KindConfigPull }

// Kind implements Message.
func (ConfigPush) Kind() Kind { return KindConfigPush }

// Kind implements Message.
func (ObjectPull) Kind() Kind { return KindObjectPull }

// Kind implements Message.
func (ObjectBody) Kind() Kind { return KindObjectBody }

// Kind implements Message.
func (WithdrawPush) Kind() Kind { return KindWithdrawPush }

// Kind implements Message.
func (WithdrawAck) Kind() Kind { return KindWithdrawAck }

// Kind implements Message.
func (WithdrawPull) Kind() Kind { return KindWithdrawPull }

// Kind implements Message.
func (Attest) Kind() Kind { return KindAttest }

// Kind implements Message.
func (Attested) Kind() Kind { return KindAttested }

// Kind implements Message.
func (SeatPromise) Kind() Kind { return KindSeatPromise }

// Kind implements Message.
func (SeatPromised) Kind() Kind { return KindSeatPromised }

// Kind implements Message.
func (LoanAsk) Kind() Kind { return KindLoanAsk }

// Kind implements Message.
func (LoanGrant) Kind() Kind { return KindLoanGrant }

// Kind implements Message.
func (Reserve) Kind() Kind { return KindReserve }

// Kind implements Message.
func (Reserved) Kind() Kind { return KindReserved }

// Kind implements Message.
func (OrderPeek) Kind() Kind { return KindOrderPeek }

// Kind implements Message.
func (OrderPeeked) Kind() Kind { return KindOrderPeeked }

// Kind implements Message.
func (OrderMirror) Kind() Kind { return KindOrderMirror }

// Kind implements Message.
func (OrderMirrored) Kind() Kind { return KindOrderMirrored }

// Kind implements Message.
func (Refused) Kind() Kind { return KindRefused }
