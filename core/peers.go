package core

import (
	"context"
	"time"
)

// MessageKind is the type of a peer message, as it is named on the wire.
type MessageKind string

// The values of Kind.
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

// Message is a request or an answer between entry hosts.
type Message interface {
	Kind() MessageKind
}

// MessageHandler answers a message of another entry host. It may be called
// concurrently. The sender receives an error as a Refused message.
type MessageHandler func(ctx context.Context, from HostID, m Message) (Message, error)

// Peers exchanges messages between entry hosts: each call is one request and
// one answer. Errors carry the code PeerDown (the message may or may not have
// been handled), PeerUnknown (no such host) or the code of the Refused answer.
// It is safe for concurrent use.
type Peers interface {
	Call(ctx context.Context, to HostID, m Message) (Message, error)
	// Handle sets the handler of a kind. It must be called before the first
	// message arrives.
	Handle(kind MessageKind, h MessageHandler)
}

// EvidenceAge is the age of the newest attestation from a failure domain.
type EvidenceAge struct {
	Domain DomainID
	Age    time.Duration
}

// DomainLoad is the load of a failure domain as one host sees it.
type DomainLoad struct {
	Domain DomainID
	Free   int64 // free slots
	Total  int64 // all slots of the servers that accept new requests
}

// Suspicion states that the host By has not heard from a host and suspects
// that it failed. The suspect refutes it by announcing a higher incarnation.
type Suspicion struct {
	Host        HostID
	Incarnation uint64
	Reporter    HostID
}

// ProbeResult is the result of a health probe that one host made for all hosts of
// its failure domain.
type ProbeResult struct {
	Server ServerID
	Age    time.Duration // time since the probe ended
	Failed bool          // the probe got no answer; ignore Health
	Health Health
}

// DrainProgress is the progress of a drain on one host.
type DrainProgress struct {
	Kind     DrainKind
	Target   string
	InFlight int64         // requests still in flight on the host
	Age      time.Duration // time since the host learned of the drain
}

// Heartbeat is a heartbeat. The answer to a Heartbeat is a Heartbeat.
type Heartbeat struct {
	Host    Host
	Members []Host // recent membership changes
	// Suspects holds the sender's own suspicions. A heartbeat to a suspected host
	// also holds the suspicions of others about it, so that it can refute
	// them.
	Suspects []Suspicion
	// Joining asks the receiver for its complete member list, sent in parts
	// over several heartbeats.
	Joining bool
	// ConfigVersion and Withdrawn let the receiver detect that it lags behind.
	ConfigVersion    uint64 // of the configuration
	WithdrawalDigest uint64 // order-independent digest of the withdrawal set
	// WithdrawalRows is the number of rows that the sender has read of the withdrawal
	// log in the table. A receiver that has fewer pulls the rest.
	WithdrawalRows uint64
	// EvidenceAge is the age of the sender's evidence that it has applied all
	// configuration versions and withdrawals accepted before a point in time.
	// The evidence is a store read or a majority of attestations.
	EvidenceAge   time.Duration
	EvidenceFresh bool // whether the sender's evidence is fresh; if false, ignore EvidenceAge
	DomainAges    []EvidenceAge
	Loads         []DomainLoad
	ProbeResults  []ProbeResult // the sender's own probes, for the hosts of its domain
	DrainProgress []DrainProgress
}

// ConfigPull requests the configuration entries after a version.
type ConfigPull struct{ After uint64 }

// ConfigPush carries configuration entries in order of version.
type ConfigPush struct{ Entries []LogEntry }

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
	LogRows     uint64
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

// AttestRequest requests an attestation from a seat holder.
type AttestRequest struct{}

// Attestation answers AttestRequest. It counts as evidence only if Acting or
// Fresh is set, and only once the requester has merged the withdrawals and
// reached ConfigVersion.
type Attestation struct {
	Domain           DomainID
	Host             HostID
	Epoch            uint64
	Acting           bool
	ConfigVersion    uint64
	WithdrawalDigest uint64
	// Holder and Candidates are the holder of and the candidates for the
	// domain's seat as the answering host knows them. They lead the requester
	// to the holder.
	Holder     HostID
	Candidates []HostID
	// EvidenceAge is the age of the answering host's evidence. It is valid
	// only if Fresh is set.
	Fresh       bool
	EvidenceAge time.Duration
}

// SeatPromiseRequest asks a candidate to promise not to take the seat.
type SeatPromiseRequest struct {
	Domain DomainID
	Epoch  uint64
}

// SeatPromiseResponse answers SeatPromise.
type SeatPromiseResponse struct {
	Granted bool   // whether the candidate promised
	Epoch   uint64 // newest epoch that the candidate knows
}

// LoanItem is one resource in a LoanRequest.
type LoanItem struct {
	Resource Resource
	Held     Amount // amount that the host holds now
	Demand   Amount // amount that the host could use
	// ShareMoved forwards Loan.ShareMoved to the seat holder of the host's own domain.
	ShareMoved bool
	// TokenDeficit is the number of tokens that waiting requests lack, in
	// thousandths of a request.
	TokenDeficit int64
}

// LoanRequest requests loans from the seat holder of a domain and reports the
// loans that the host holds from that domain.
type LoanRequest struct {
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
	// ShareMoved means that a part of the resource was recently transferred to the
	// domain of the host. The host reports it to the seat holder of its
	// domain, which then reads the row.
	ShareMoved bool
}

// LoanResponse answers LoanRequest. Each loan replaces the one that the host held of
// its resource; the loans of other resources keep their expiry.
type LoanResponse struct {
	Epoch uint64
	TTL   time.Duration // lifetime of the loans, counted from when the request was sent
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
	Granted bool          // whether a slot was reserved
	Ticket  string        // identifies the reservation in the forwarded request
	TTL     time.Duration // lifetime of the reservation
}

// OrderStatusRequest asks the host that claimed an order whether it is still running.
type OrderStatusRequest struct {
	Workspace WorkspaceID
	Key       string
	Token     string // token of the claim
}

// OrderStatusResponse answers OrderStatusRequest.
type OrderStatusResponse struct{ Running bool }

// OrderReplicateRequest replicates the claim of an order to another candidate of the
// order's home domain before the order is sent.
type OrderReplicateRequest struct {
	Domain    DomainID
	Epoch     uint64
	Workspace WorkspaceID
	Key       string
	Token     string
	Record    []byte
}

// OrderReplicateResponse answers OrderReplicateRequest.
type OrderReplicateResponse struct {
	Stored bool
	Record []byte // the existing record, if there was one
}

// ErrorResponse answers a message whose handler returned an error. Code is a result
// code of package codes.
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
