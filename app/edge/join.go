package edge

import (
	"sync/atomic"
	"time"

	"azurering/core"
	"azurering/core/gossip"
)

const (
	// listTimeout is how long after its start a host waits for the store's list of hosts
	// before it uses the store's table of operators.
	listTimeout = time.Second
	// answerTimeout is how long after it has read the list a host waits for a heartbeat of
	// another one that has the table. Hosts answer with their next heartbeat.
	answerTimeout = 2 * heartbeatInterval
	// joinTimeout is how long after it has read the list a host waits for a copy that
	// another one has.
	joinTimeout = answerTimeout + tableTimeout
)

// joining decides whether a host that has just started waits for the copy of the
// operators' table of another host. A store that has come back from an older copy may lack
// what the hosts that were running then still have in force. It is safe for concurrent use.
type joining struct {
	timer   core.Timer
	members *gossip.Members
	started time.Duration
	listed  atomic.Int64 // when the list of hosts was read, in nanoseconds of timer; 0 before
}

func newJoining(t core.Timer, members *gossip.Members) *joining {
	return &joining{timer: t, members: members, started: t.Now()}
}

// setListed records that this host knows the other hosts of the store's list.
func (j *joining) setListed() { j.listed.CompareAndSwap(0, max(int64(j.timer.Now()), 1)) }

// awaitsCopy reports whether the copy of another host may still come.
func (j *joining) awaitsCopy() bool {
	now, listed := j.timer.Now(), time.Duration(j.listed.Load())
	switch {
	case listed == 0:
		return now < j.started+listTimeout
	case j.members.NewestSource(core.FeedOperator) != "":
		return now < listed+joinTimeout
	case j.members.HasHeardAll(): // nobody has the table
		return false
	}
	return now < listed+answerTimeout
}
