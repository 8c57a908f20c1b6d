package core

import "time"

// Permit is the decision about one request to a server that limits its rate of
// requests.
type Permit struct {
	Granted bool
	Wait    time.Duration // if not granted: time until another request may be granted
	By      HostID        // host that decided
}

// Coordinator is the host that grants the requests of all hosts to a server.
type Coordinator struct {
	Host    HostID
	Address string // IP address
	// Contested is set if a host that comes before this one has fallen silent. It may
	// only be cut off, and still grant the requests of the hosts that it reaches.
	Contested bool
}

// ServerLimit is what a host tells another about a server's limit of requests per
// second.
type ServerLimit struct {
	Known     bool // a host has had an answer of the server
	Named     bool // the latest one named a limit
	PerSecond float64
	Age       time.Duration // time since that answer
}

// PermitRequest asks the coordinator of a server whether one request may be sent to
// the server.
type PermitRequest struct {
	Host      HostID // that asks
	Server    ServerID
	StartedMs int64       // start of the server, as in Instance
	Limit     ServerLimit // what the host that asks knows
}

// PermitReply is the reply to a PermitRequest.
type PermitReply struct {
	Granted bool
	Wait    time.Duration // if not granted: time until another request may be granted
	Limit   ServerLimit   // what the coordinator knows
}

// LimitNotice tells a host what another one knows of a server's limit.
type LimitNotice struct {
	Host      HostID // that tells it
	Server    ServerID
	StartedMs int64
	Limit     ServerLimit
}
