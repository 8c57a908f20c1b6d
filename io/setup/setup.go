// Package setup reads and validates the settings file of an entry host. The
// settings hold for one host; the sheet (core.Sheet) holds for the
// whole system.
package setup

import (
	"time"

	"azurering/core"
)

// Settings are the settings of one entry host. They are the only source of
// its addresses and its failure domain.
type Settings struct {
	Host      core.HostID
	Domain    core.DomainID
	Caller    Listener
	Peer      Listener
	Admin     Listener
	Platform  Platform
	Limits    Limits
	Freshness time.Duration // maximum age of the evidence by which keyed routes are served
	Loan      time.Duration // term of a loan of rate or slots
	Retention time.Duration // how long order records are kept
	Lifetime  time.Duration // how long callers may cache a lookup
	Stop      time.Duration // timeout of a graceful shutdown
	Level     string        // logrus level; empty means info
}

// Listener is a listening address with its TLS files and credential.
type Listener struct {
	Listen    string // IP address and port
	Advertise string // IP address and port that others connect to; empty means Listen
	Plain     bool   // allows an address that is not loopback without TLS
	Cert      string // path of the certificate file
	Key       string // path of the private key file
	CA        string // path of the file with the CA certificates for the other side
	Secret    string // credential shared with the other side
}

// Platform holds the addresses and credentials of the platform's services.
type Platform struct {
	Table   string // URL of the DynamoDB API
	Name    string // name of the table
	Objects string // URL of the S3 API
	Bucket  string
	Hosts   string // URL of the host list
	Region  string // region name in request signatures
	Access  string // access key ID
	Secret  string // secret access key
	Timeout time.Duration
}

// Limits holds the limits for the callers of one entry host.
type Limits struct {
	Header int           // bytes of request headers
	Body   int64         // bytes of a request body
	Bodies int64         // bytes of the bodies of all requests together
	Conns  int           // open connections of callers
	Slow   time.Duration // time for the headers, and for the next bytes of a body
}

// AdvertiseOr returns the address that others connect to: Advertise, or
// Listen if Advertise is empty.
func (l Listener) AdvertiseOr() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Listen
}
