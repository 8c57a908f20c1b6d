package core

// HostState is the membership state of an entry host, as other hosts see it.
type HostState string

// The values of HostState, from best to worst.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostSuspect HostState = "suspect"
	HostDead    HostState = "dead"
)

// Host describes one entry host.
type Host struct {
	Name   HostID
	Domain DomainID
	// Incarnation increases with each restart and each refuted suspicion.
	Incarnation   uint64
	CallerAddress string // address of the listener for callers
	PeerAddress   string // address of the listener for other hosts
	State         HostState
}

// Amount is a quantity of a Resource. Rate limits use Rate and Burst, the
// slots of a backend server use Slots.
type Amount struct {
	Rate  int64 // thousandths of a request per second; for a link, kilobits per second
	Burst int64 // thousandths of a request; for a link, kilobits
	Slots int64 // concurrent requests
}

// Add returns the field-wise sum of two amounts.
func (a Amount) Add(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst, Slots: a.Slots + b.Slots}
}

// Sub returns the field-wise difference a - b, which may be negative.
func (a Amount) Sub(b Amount) Amount {
	return Amount{Rate: a.Rate - b.Rate, Burst: a.Burst - b.Burst, Slots: a.Slots - b.Slots}
}

// Min returns the field-wise minimum of two amounts.
func (a Amount) Min(b Amount) Amount {
	return Amount{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst), Slots: min(a.Slots, b.Slots)}
}

// Max returns the field-wise maximum of two amounts.
func (a Amount) Max(b Amount) Amount {
	return Amount{Rate: max(a.Rate, b.Rate), Burst: max(a.Burst, b.Burst), Slots: max(a.Slots, b.Slots)}
}

// IsZero reports whether all fields are zero.
func (a Amount) IsZero() bool { return a == Amount{} }

// Fits reports whether no field of a exceeds that of limit.
func (a Amount) Fits(limit Amount) bool {
	return a.Rate <= limit.Rate && a.Burst <= limit.Burst && a.Slots <= limit.Slots
}
