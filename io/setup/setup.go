// Package setup reads the settings file of an entry host.
package setup

import (
	"time"

	"azurering/core"
)

// Settings is what one entry host is told at its start. A process learns
// its addresses and its failure domain only from here.
type Settings struct {
	Host      core.HostID
	Domain    core.DomainID
	Caller    Listener
	Peer      Listener
	Admin     Listener
	Platform  Platform
	Limits    Limits
	Freshness time.Duration // bound on the age of evidence for keyed routes
	Loan      time.Duration // length of a loan
	Retention time.Duration // how long order records are kept
	Lifetime  time.Duration // how long callers may cache a look-up
	Stop      time.Duration // bound on a graceful shutdown
	Level     string        // log level
}

// Listener is one listening address and how it is protected.
type Listener struct {
	Listen    string // IP address and port
	Advertise string // address that others use; empty means Listen
	Plain     bool   // no TLS although the address is not loopback
	Cert      string // certificate file
	Key       string // private key file
	CA        string // file of the authorities that sign the other side's certificates
	Secret    string // shared credential of this listener's users
}

// Platform says how to reach the platform's services.
type Platform struct {
	Table   string // URL of the DynamoDB API
	Name    string // name of the table
	Objects string // URL of the S3 API
	Bucket  string
	Hosts   string // URL of the host list
	Region  string // region name that requests are signed for
	Access  string // access key id
	Secret  string // secret access key
	Timeout time.Duration
}

// Limits bounds what callers may use of one host.
type Limits struct {
	Header int           // bytes of request headers
	Body   int64         // bytes of a request body
	Conns  int           // open connections of callers
	Slow   time.Duration // time to send the headers, or to make progress on a body
}

// AdvertiseOr returns the address that others use.
func (l Listener) AdvertiseOr() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Listen
}
