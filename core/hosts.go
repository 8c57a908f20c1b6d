package core

// HostState is the state of an entry host as members see it.
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
	// Incarnation grows with each restart and with each refuted suspicion.
	Incarnation   uint64
	CallerAddress string // address of the callers' listener
	PeerAddress   string // address of the peer listener
	State         HostState
}

// Amount is a quantity of a resource. A rate resource uses Rate and Burst,
// a slot resource uses Slots.
type Amount struct {
	Rate  int64 // thousandths of a request per second
	Burst int64 // thousandths of a request
	Slots int64 // concurrent requests
}

// Add returns the sum of two amounts.
func (a Amount) Add(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst, Slots: a.Slots + b.Slots}
}

// Sub returns the difference of two amounts.
func (a Amount) Sub(b Amount) Amount {
	return Amount{Rate: a.Rate - b.Rate, Burst: a.Burst - b.Burst, Slots: a.Slots - b.Slots}
}

// Min returns the smaller value of each part.
func (a Amount) Min(b Amount) Amount {
	return Amount{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst), Slots: min(a.Slots, b.Slots)}
}

// Max returns the larger value of each part.
func (a Amount) Max(b Amount) Amount {
	return Amount{Rate: max(a.Rate, b.Rate), Burst: max(a.Burst, b.Burst), Slots: max(a.Slots, b.Slots)}
}

// IsZero reports whether no part is set.
func (a Amount) IsZero() bool { return a == Amount{} }

// Fits reports whether no part of a is greater than that of limit.
func (a Amount) Fits(limit Amount) bool {
	return a.Rate <= limit.Rate && a.Burst <= limit.Burst && a.Slots <= limit.Slots
}
