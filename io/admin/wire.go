// Package admin implements the HTTP interface through which operators inspect
// and change the system: the handler that entry hosts serve, and the client
// that the command line uses.
package admin

import (
	"time"

	"azurering/core"
)

// HostStatus is the state of one entry host.
type HostStatus struct {
	Host    core.Host
	Reached bool   // the host responded; otherwise Version and Fresh are unset
	Version uint64 // configuration version of the host
	Fresh   bool   // the host's evidence is within the freshness bound
}

// DomainStatus is the state of one failure domain.
type DomainStatus struct {
	Region  core.RegionID
	Domain  core.DomainID
	Holder  core.HostID // host that holds the domain's seat; empty if unknown
	Epoch   uint64      // epoch of the seat; set only for the domain of the responding host
	Version uint64      // lowest configuration version of the hosts that responded
	Hosts   int         // number of entry hosts that are not dead
	Reached int         // number of entry hosts that responded
	Free    int64       // free slots of backend servers; set only for the domain of the responding host
	Total   int64       // all slots of backend servers; set only for the domain of the responding host
}

// DrainStatus is the progress of one drain or stop.
type DrainStatus struct {
	Kind   core.DrainKind
	Target string
	Mode   core.DrainMode
	Phase  string
	Left   int64         // requests in flight
	Within time.Duration // bound on the time for requests in flight
}

// ShareStatus is the division of one workspace's rate limit as the responding
// host knows it.
type ShareStatus struct {
	Workspace core.WorkspaceID
	Limit     core.Amount // rate and burst of the workspace in the whole system
	Domain    core.Amount // rate that the host's failure domain holds
	Host      core.Amount // rate that the host holds
}

// Status is the state of the system as one entry host sees it.
type Status struct {
	Host    core.HostID // the responding host
	Version uint64      // its configuration version
	Domains []DomainStatus
	Hosts   []HostStatus
	Drains  []DrainStatus
	Shares  []ShareStatus
	Shifts  []core.Shift
	Servers int // number of backend servers in the sheet
}

// WithdrawResult is the progress of the withdrawal of a key.
type WithdrawResult struct {
	Key      core.KeyID
	Durable  bool            // the withdrawal is stored in the table
	Accepted bool            // the key stops working everywhere within the freshness bound
	InForce  []core.DomainID // failure domains that have acknowledged the withdrawal
	Pending  []core.DomainID // the other failure domains
}

// PublishResult is the result of publishing a configuration.
type PublishResult struct {
	Version   uint64
	Withdrawn []WithdrawResult // withdrawals of the keys that the new sheet removed
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

// thousandths is the number of core's units in one request, one request per
// second or a share of 1.
const thousandths = 1000

func fromThousandths(v int64) float64 { return float64(v) / thousandths }
