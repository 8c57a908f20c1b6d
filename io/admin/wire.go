// Package admin serves the HTTP interface of operators and holds its
// client.
package admin

import (
	"time"

	"azurering/core"
)

// HostStatus is one entry host as it answered, or as membership sees it.
type HostStatus struct {
	Host    core.Host
	Reached bool
	Version uint64
	Fresh   bool
}

// DomainStatus is one failure domain.
type DomainStatus struct {
	Region  core.RegionID
	Domain  core.DomainID
	Holder  core.HostID // holder of the seat, empty if not known
	Epoch   uint64
	Version uint64 // lowest version of its reached hosts
	Hosts   int
	Reached int
	Free    int64 // free slots
	Total   int64 // slots
}

// DrainStatus is one planned drain or stop.
type DrainStatus struct {
	Kind   core.DrainKind
	Target string
	Mode   core.DrainMode
	Phase  string
	Left   int64 // requests in flight
	Within time.Duration
}

// ShareStatus is one workspace's rate as this host's domain holds it.
type ShareStatus struct {
	Workspace core.WorkspaceID
	Limit     core.Amount
	Domain    core.Amount
	Host      core.Amount
}

// Status is what one host knows of the system.
type Status struct {
	Host    core.HostID
	Version uint64
	Domains []DomainStatus
	Hosts   []HostStatus
	Drains  []DrainStatus
	Shares  []ShareStatus
	Shifts  []core.Shift
	Servers int
}

// WithdrawResult reports a withdrawal of a key.
type WithdrawResult struct {
	Key      core.KeyID
	Durable  bool // the table has it
	Accepted bool // it stops everywhere within the freshness bound
	InForce  []core.DomainID
	Pending  []core.DomainID
}

// PublishResult reports a published version.
type PublishResult struct {
	Version   uint64
	Withdrawn []WithdrawResult // keys that the new sheet dropped
}

type hostJSON struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
	Caller  string `json:"caller"`
	Reached bool   `json:"reached"`
	Version uint64 `json:"version"`
	Fresh   bool   `json:"fresh"`
}

type domainJSON struct {
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Holder  string `json:"holder"`
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
	Hosts   int    `json:"hosts"`
	Reached int    `json:"reached"`
	Free    int64  `json:"free"`
	Total   int64  `json:"total"`
}

type drainJSON struct {
	Kind   string `json:"kind"`
	Target string `json:"target"`
	Mode   string `json:"mode"`
	Phase  string `json:"phase"`
	Left   int64  `json:"left"`
	Within string `json:"within"`
}

type shareJSON struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate"`
	Burst     float64 `json:"burst"`
	Domain    float64 `json:"domain"`
	Host      float64 `json:"host"`
}

type shiftJSON struct {
	Name  string  `json:"name"`
	From  string  `json:"from"`
	To    string  `json:"to"`
	Share float64 `json:"share"`
	Cap   float64 `json:"cap"`
}

type statusJSON struct {
	Host    string       `json:"host"`
	Version uint64       `json:"version"`
	Domains []domainJSON `json:"domains"`
	Hosts   []hostJSON   `json:"hosts"`
	Drains  []drainJSON  `json:"drains"`
	Shares  []shareJSON  `json:"shares"`
	Shifts  []shiftJSON  `json:"shifts"`
	Servers int          `json:"servers"`
}

type withdrawnJSON struct {
	Key      string   `json:"key"`
	Durable  bool     `json:"durable"`
	Accepted bool     `json:"accepted"`
	InForce  []string `json:"inforce"`
	Pending  []string `json:"pending"`
}

type publishedJSON struct {
	Version   uint64          `json:"version"`
	Withdrawn []withdrawnJSON `json:"withdrawn,omitempty"`
}

type grantJSON struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
	Hash      string `json:"hash"`
}

type keyJSON struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
	Withdrawn bool   `json:"withdrawn"`
}

type withdrawJSON struct {
	Name string `json:"name"`
}

type drainRequestJSON struct {
	Kind   string `json:"kind"`
	Target string `json:"target"`
	Mode   string `json:"mode"`
	Within string `json:"within,omitempty"`
}

type resumeJSON struct {
	Target string `json:"target"`
}

type errorJSON struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

const thousandths = 1000

func decimal(milli int64) float64 { return float64(milli) / thousandths }
