package core

import (
	"context"
	"time"
)

// Kind is the type of a peer message, as it is named on the wire.
type Kind string

// The values of Kind.
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

// Message is a request or an answer between entry hosts.
type Message interface {
	Kind() Kind
}

// Handler answers a message of another entry host. It may be called
// concurrently. The sender receives an error as a Refused message.
type Handler func(ctx context.Context, from HostID, m Message) (Message, error)

// Peers exchanges messages between entry hosts: each call is one request and
// one answer. Errors carry the code PeerDown (the message may or may not have
// been handled), PeerUnknown (no such host) or the code of the Refused answer.
// It is safe for concurrent use.
type Peers interface {
	Call(ctx context.Context, to HostID, m Message) (Message, error)
	// Handle sets the handler of a kind. It must be called before the first
	// message arrives.
	Handle(kind Kind, h Handler)
}

// Age is the age of the newest evidence about a failure domain.
type Age struct {
	Domain DomainID
	Age    time.Duration
}

// Load is the load of a failure domain as one host sees it.
type Load struct {
	Domain DomainID
	Free   int64 // free slots
	Total  int64 // all slots of the servers that accept new requests
}

// Suspicion states that the host By has not heard from a host and suspects
// that it failed. The suspect refutes it by announcing a higher incarnation.
type Suspicion struct {
	Host        HostID
	Incarnation uint64
	By          HostID
}

// Probed is the result of a health probe that one host made for all hosts of
// its failure domain.
type Probed struct {
	Server ServerID
	Age    time.Duration // time since the probe ended
	Failed bool          // the probe got no answer; ignore Health
	Health Health
}

// DrainCount is the progress of a drain on one host.
type DrainCount struct {
	Kind     DrainKind
	Target   string
	InFlight int64         // requests still in flight on the host
	Age      time.Duration // time since the host learned of the drain
}

// Beat is a heartbeat. The answer to a Beat is a Beat.
type Beat struct {
	Host    Host
	Members []Host // recent membership changes
	// Suspects holds the sender's own suspicions. A beat to a suspected host
	// also holds the suspicions of others about it, so that it can refute
	// them.
	Suspects []Suspicion
	// Joining asks the receiver for its complete member list, sent in parts
	// over several beats.
	Joining bool
	// Version and Withdrawn let the receiver detect that it lags behind.
	Version   uint64 // of the configuration
	Withdrawn uint64 // order-independent digest of the withdrawal set
	// Logged is the number of rows that the sender has read of the withdrawal
	// log in the table. A receiver that has fewer pulls the rest.
	Logged uint64
	// StoreAge is the age of the sender's evidence, which is a store read or
	// a majority of attestations.
	StoreAge  time.Duration
	StoreSeen bool // whether the sender's evidence is fresh; if false, ignore StoreAge
	Ages      []Age
	Loads     []Load
	Probes    []Probed // the sender's own probes, for the hosts of its domain
	Drains    []DrainCount
}

// ConfigPull requests the configuration entries after a version.
type ConfigPull struct{ After uint64 }

// ConfigPush carries configuration entries in order of version.
type ConfigPush struct{ Entries []Entry }

// ObjectPull requests the body of an object.
type ObjectPull struct{ Name string }

// ObjectBody answers ObjectPull.
type ObjectBody struct {
	Found bool
	Body  []byte
}

// WithdrawPush carries withdrawals. As the answer to WithdrawPull,
// Withdrawals starts with the Logged rows that follow row After of the log in
// the table, in order; the rest are withdrawals that the sender has not yet
// seen in the log.
type WithdrawPush struct {
	Withdrawals []Withdrawal
	After       uint64
	Logged      uint64
	More        bool   // the answer is truncated; the sender has more log rows
	Digest      uint64 // digest of all withdrawals of the sender; not set if More is
}

// WithdrawAck confirms that the withdrawals are in force on the host. Acting
// means that the host holds the seat of its domain in the given epoch and may
// act on it.
type WithdrawAck struct {
	Domain DomainID
	Host   HostID
	Epoch  uint64
	Acting bool
}

// WithdrawPull requests the withdrawals after a row of the log in the table,
// and those that the receiver has not yet seen in the log.
type WithdrawPull struct{ After uint64 }

// Attest requests an attestation from a seat holder.
type Attest struct{}

// Attested answers Attest. It counts as evidence only if Acting or Seen is
// set, and only once the requester has merged the withdrawals and reached
// Version.
type Attested struct {
	Domain    DomainID
	Host      HostID
	Epoch     uint64
	Acting    bool
	Version   uint64
	Withdrawn uint64
	// Holder and Candidates are the holder of and the candidates for the
	// domain's seat as the answering host knows them. They lead the requester
	// to the holder.
	Holder     HostID
	Candidates []HostID
	// Age is the age of the answering host's evidence. It is valid only if
	// Seen is set.
	Seen bool
	Age  time.Duration
}

// SeatPromise asks a candidate to promise not to take the seat.
type SeatPromise struct {
	Domain DomainID
	Epoch  uint64
}

// SeatPromised answers SeatPromise.
type SeatPromised struct {
	Given bool   // whether the candidate promised
	Epoch uint64 // newest epoch that the candidate knows
}

// LoanItem is one resource in a LoanAsk.
type LoanItem struct {
	Resource Resource
	Held     Amount // amount that the host holds now
	Want     Amount // amount that the host could use
	// Moved forwards Loan.Moved to the seat holder of the host's own domain.
	Moved bool
	// Short is the number of tokens that waiting requests lack, in
	// thousandths of a request.
	Short int64
}

// LoanAsk requests loans from the seat holder of a domain and reports the
// loans that the host holds from that domain.
type LoanAsk struct {
	Host        HostID
	Incarnation uint64
	// Seq increases with each request of an incarnation to one domain. A host
	// abandons a request before it sends the next one, so a request proves
	// that answers to earlier ones will not be used; the seat holder refuses
	// requests that arrive out of order.
	Seq   uint64
	Epoch uint64 // epoch of the seat holder that granted the held loans
	Items []LoanItem
}

// Loan is an amount of one resource that is lent to a host.
type Loan struct {
	Resource Resource
	Amount   Amount
	// Tokens come from the seat holder's own bucket, which fills at the rate
	// that is not lent out. The host adds them to its bucket, up to its burst.
	// They are in thousandths of a request.
	Tokens int64
	// Moved means that a part of the resource was recently transferred to the
	// domain of the host. The host reports it to the seat holder of its
	// domain, which then reads the row.
	Moved bool
}

// LoanGrant answers LoanAsk. Each loan replaces the one that the host held of
// its resource; the loans of other resources keep their expiry.
type LoanGrant struct {
	Epoch  uint64
	Length time.Duration // lifetime of the loans, counted from when the request was sent
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
	Given  bool          // whether a slot was reserved
	Ticket string        // identifies the reservation in the forwarded request
	Length time.Duration // lifetime of the reservation
}

// OrderPeek asks the host that claimed an order whether it is still running.
type OrderPeek struct {
	Workspace WorkspaceID
	Key       string
	Token     string // token of the claim
}

// OrderPeeked answers OrderPeek.
type OrderPeeked struct{ Running bool }

// OrderMirror replicates the claim of an order to another candidate of the
// order's home domain before the order is sent.
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
	Record []byte // the existing record, if there was one
}

// Refused answers a message whose handler returned an error. Code is a result
// code of package codes.
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
