package edge

import (
	"time"

	"azurering/core"
	"azurering/core/mirror"
	"azurering/io/conns"
)

const (
	// sendAllowance is the time within which a request reaches its server after
	// the choice: a new connection, and the way there.
	sendAllowance = conns.DialTimeout + 100*time.Millisecond
	// defaultDrainTimeout and defaultContactTime apply if the platform does not
	// state the bounds.
	defaultDrainTimeout = 2 * time.Second
	defaultContactTime  = 3 * time.Second
	// minExpiryBeats is the fewest missed heartbeats of a server during an outage
	// that let its entry expire. It expires after three, and up to one and a half
	// may pass before the outage, since servers keep the interval only roughly.
	minExpiryBeats = 1.5
	// renewTime is how long after a return of the store from an older copy live servers
	// take to write the entries again that it has lost.
	renewTime = 2 * time.Second
)

// holdLimits returns how long the removed entry of a server may count as
// expired. The server may have left for good, and then no request may reach it
// later than the platform's drain timeout after its removal. That binds this
// host again once it has reached the store for the platform's contact time.
func holdLimits(place core.HostSettings) mirror.HoldLimits {
	drain, contact := place.Bounds.DrainTimeout, place.Bounds.ContactTime
	if drain <= 0 {
		drain = defaultDrainTimeout
	}
	if contact <= 0 {
		contact = defaultContactTime
	}
	return mirror.HoldLimits{
		MinOutage: time.Duration(minExpiryBeats * float64(place.ServerHeartbeat)),
		Removal:   max(drain-sendAllowance, 0),
		Outage:    max(contact-sendAllowance, 0),
		Return:    renewTime,
	}
}
