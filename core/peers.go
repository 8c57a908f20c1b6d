package core

import (
	"context"
	"time"
)

// MessageKind names the kind of a peer message.
type MessageKind string

// The kinds of peer messages.
const (
	KindHeartbeat           MessageKind = "beat"
	KindConfigPull          MessageKind = "config-pull"
	KindConfigPush          MessageKind = "config-push"
	KindObjectPull          MessageKind = "object-pull"
	KindObjectBody          MessageKind = "object-body"
	KindWithdrawPush        MessageKind = "withdraw-push"
	KindWithdrawAck         MessageKind = "withdraw-ack"
	KindWithdrawPull        MessageKind = "withdraw-pull"
	KindAttest              MessageKind = "attest"
	KindAttested            MessageKind = "attested"
	KindSeatPromise         MessageKind = "seat-promise"
	KindSeatPromised        MessageKind = "seat-promised"
	KindLoanRequest         MessageKind = "loan-ask"
	KindLoanResponse        MessageKind = "loan-grant"
	KindReserve             MessageKind = "reserve"
	KindReserved            MessageKind = "reserved"
	KindOrderStatusRequest  MessageKind = "order-peek"
	KindOrderStatusResponse MessageKind = "order-peeked"
	KindOrderMirror         MessageKind = "order-mirror"
	KindOrderMirrored       MessageKind = "order-mirrored"
	KindErrorResponse       MessageKind = "refused"
)

// Message is one message between entry hosts.
type Message interface {
	Kind() MessageKind
}

// MessageHandler answers a message of another entry host. It is called from
// several goroutines. An error reaches the sender as a Refused message.
type MessageHandler func(ctx context.Context, from HostID, m Message) (Message, error)

// Peers carries messages between entry hosts: each call is one request and
// one answer. Errors carry PeerDown (the message may or may not have been
// handled), PeerUnknown (no such host) or the code of the refusal. It is
// safe for concurrent use.
type Peers interface {
	Call(ctx context.Context, to HostID, m Message) (Message, error)
	// Handle sets the handler of a kind. It is called before the first
	// message arrives.
	Handle(kind MessageKind, h MessageHandler)
}

// EvidenceAge is how old the newest evidence about a failure domain is.
type EvidenceAge struct {
	Domain DomainID
	Age    time.Duration
}

// DomainLoad is one host's view of the load of a failure domain.
type DomainLoad struct {
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
	Reporter    HostID
}

// ProbeResult is the result of a probe that a host made for its failure domain.
type ProbeResult struct {
	Server ServerID
	Age    time.Duration // since the probe's answer
	Failed bool          // there was no answer; Health does not count
	Health Health
}

// DrainProgress is what a host still has to do for a drain.
type DrainProgress struct {
	Kind     DrainKind
	Target   string
	InFlight int64
	Age      time.Duration // since the host learned of the drain
}

// Heartbeat is a heartbeat, and the answer to one.
type Heartbeat struct {
	Host    Host
	Members []Host // recent changes of membership
	// Suspects holds the sender's own suspicions. In a beat to a suspect it
	// also holds those of others about it, so that it can refute them.
	Suspects []Suspicion
	// Joining asks the receiver for its whole view, a part in each beat.
	Joining bool
	// ConfigVersion and Withdrawn let the receiver notice that it lags.
	ConfigVersion    uint64
	WithdrawalDigest uint64 // order-independent digest of the withdrawal set
	// WithdrawalRows is the number of rows of the table's log of withdrawals that
	// the sender has. A receiver that has fewer pulls the rest.
	WithdrawalRows uint64
	// EvidenceAge is the age of the sender's evidence, be it a store read or a
	// majority of attestations.
	EvidenceAge   time.Duration
	EvidenceFresh bool // false if the sender is not fresh; StoreAge does not count
	DomainAges    []EvidenceAge
	Loads         []DomainLoad
	ProbeResults  []ProbeResult // of the sender, for hosts of its domain
	DrainProgress []DrainProgress
}

// ConfigPull asks for the entries after a version.
type ConfigPull struct{ After uint64 }

// ConfigPush carries entries in order of version.
type ConfigPush struct{ Entries []LogEntry }

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
	LogRows     uint64
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

// AttestRequest asks a seat holder for an attestation.
type AttestRequest struct{}

// Attestation is the answer of a host to Attest. It counts as evidence only
// if Acting or Seen is set, and only after the asker has merged the
// withdrawals and reached Version.
type Attestation struct {
	Domain           DomainID
	Host             HostID
	Epoch            uint64
	Acting           bool
	ConfigVersion    uint64
	WithdrawalDigest uint64
	// Holder and Candidates say who has the seat of the domain as far as
	// the answering host knows, so that the asker finds the holder.
	Holder     HostID
	Candidates []HostID
	// Age is the age of the answering host's evidence; it counts if Seen is
	// set.
	Fresh       bool
	EvidenceAge time.Duration
}

// SeatPromiseRequest asks a candidate to promise that it will not take the seat.
type SeatPromiseRequest struct {
	Domain DomainID
	Epoch  uint64
}

// SeatPromiseResponse answers SeatPromise.
type SeatPromiseResponse struct {
	Granted bool
	Epoch   uint64 // newest epoch that the candidate knows
}

// LoanItem is one resource in a loan request or answer.
type LoanItem struct {
	Resource Resource
	Held     Amount // what the host holds now
	Demand   Amount // what the host could use
	// ShareMoved passes on Loan.Moved to the seat holder of the host's domain.
	ShareMoved bool
	// TokenDeficit is how many tokens, in thousandths of a request, waiting
	// requests lack.
	TokenDeficit int64
}

// LoanRequest asks the seat holder for loans and reports those held from the
// holder's domain.
type LoanRequest struct {
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
	// ShareMoved says that a part of the resource was lately transferred to the
	// domain of the host; its seat holder reads the row when it hears of it.
	ShareMoved bool
}

// LoanResponse answers LoanAsk. Each loan replaces what the host held; a
// resource that is not named keeps its old expiry.
type LoanResponse struct {
	Epoch uint64
	TTL   time.Duration // counted from when the request was sent
	Loans []Loan
}

// ReserveRequest asks a host of another failure domain for one slot.
type ReserveRequest struct {
	Service ServiceID
	Class   Class
	From    RegionID
}

// ReserveResponse answers Reserve.
type ReserveResponse struct {
	Granted bool
	Ticket  string // names the reservation in the forwarded request
	TTL     time.Duration
}

// OrderStatusRequest asks the claiming host about an order.
type OrderStatusRequest struct {
	Workspace WorkspaceID
	Key       string
	Token     string
}

// OrderStatusResponse answers OrderPeek.
type OrderStatusResponse struct{ Running bool }

// OrderReplicateRequest records a claim at another candidate of the order's home
// domain, before the order is sent.
type OrderReplicateRequest struct {
	Domain    DomainID
	Epoch     uint64
	Workspace WorkspaceID
	Key       string
	Token     string
	Record    []byte
}

// OrderReplicateResponse answers OrderMirror.
type OrderReplicateResponse struct {
	Stored bool
	Record []byte // the earlier record, if there was one
}

// ErrorResponse is the answer to a message that could not be handled.
type ErrorResponse struct {
	Code int
	Text string
}

// Kind implements Message.
func (Heartbeat) Kind() MessageKind { return KindHeartbeat }

// Kind implements Message.
func (ConfigPull) Kind() MessageKind { return KindConfigPull }

// Kind implements Message.
func (ConfigPush) Kind() MessageKind { return KindConfigPush }

// Kind implements Message.
func (ObjectPull) Kind() MessageKind { return KindObjectPull }

// Kind implements Message.
func (ObjectBody) Kind() MessageKind { return KindObjectBody }

// Kind implements Message.
func (WithdrawPush) Kind() MessageKind { return KindWithdrawPush }

// Kind implements Message.
func (WithdrawAck) Kind() MessageKind { return KindWithdrawAck }

// Kind implements Message.
func (WithdrawPull) Kind() MessageKind { return KindWithdrawPull }

// Kind implements Message.
func (AttestRequest) Kind() MessageKind { return KindAttest }

// Kind implements Message.
func (Attestation) Kind() MessageKind { return KindAttested }

// Kind implements Message.
func (SeatPromiseRequest) Kind() MessageKind { return KindSeatPromise }

// Kind implements Message.
func (SeatPromiseResponse) Kind() MessageKind { return KindSeatPromised }

// Kind implements Message.
func (LoanRequest) Kind() MessageKind { return KindLoanRequest }

// Kind implements Message.
func (LoanResponse) Kind() MessageKind { return KindLoanResponse }

// Kind implements Message.
func (ReserveRequest) Kind() MessageKind { return KindReserve }

// Kind implements Message.
func (ReserveResponse) Kind() MessageKind { return KindReserved }

// Kind implements Message.
func (OrderStatusRequest) Kind() MessageKind { return KindOrderStatusRequest }

// Kind implements Message.
func (OrderStatusResponse) Kind() MessageKind { return KindOrderStatusResponse }

// Kind implements Message.
func (OrderReplicateRequest) Kind() MessageKind { return KindOrderMirror }

// Kind implements Message.
func (OrderReplicateResponse) Kind() MessageKind { return KindOrderMirrored }

// Kind implements Message.
func (ErrorResponse) Kind() MessageKind { return KindErrorResponse }
