package picker

import (
	"time"

	"azurering/core"
)

// LeaveNotice is the news that a server leaves, which it told in an answer to this
// host or to another one. It holds for one start of the server, whatever its
// entry in the store says.
type LeaveNotice struct {
	Server    core.ServerID
	StartedMs int64
	Source    string // failure domain of the host that passed the notice on; empty for an answer of the server
}

// startID names one start of a server.
type startID struct {
	server    core.ServerID
	startedMs int64
}

// leave is a notice that has been heard.
type leave struct {
	heardAt time.Duration
	untold  bool // TakeUntoldLeaves has not returned it
}

// RecordLeave records what an answer says about whether its server leaves. The server
// gets no new requests from then on. Answers without a notice change nothing.
func (v *Picker) RecordLeave(i core.Instance, m core.ReplyMeta) {
	if !m.Leaving || m.Instance != "" && m.Instance != i.Name {
		return // another server may have answered
	}
	v.recordLeave(LeaveNotice{Server: i.Name, StartedMs: i.StartedMs}, true)
}

// MergeLeave records a notice that another host has heard.
func (v *Picker) MergeLeave(n LeaveNotice) { v.recordLeave(n, false) }

func (v *Picker) recordLeave(n LeaveNotice, untold bool) {
	now := v.cfg.Timer.Now()
	start := startID{n.Server, n.StartedMs}
	v.mu.Lock()
	if _, ok := v.leaves[start]; ok {
		v.mu.Unlock()
		return
	}
	v.leaves[start] = leave{heardAt: now, untold: untold}
	v.servicesStale = true
	v.mu.Unlock()
	if v.cfg.OnLeave != nil {
		v.cfg.OnLeave(n)
	}
}

// TakeUntoldLeaves returns the notices that servers have sent to this host since the
// last call: the start of each server.
func (v *Picker) TakeUntoldLeaves() map[core.ServerID]int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list map[core.ServerID]int64
	for start, l := range v.leaves {
		if !l.untold {
			continue
		}
		if list == nil {
			list = make(map[core.ServerID]int64)
		}
		list[start.server] = start.startedMs
		l.untold = false
		v.leaves[start] = l
	}
	return list
}

// saysItLeaves reports whether a server has said that it leaves.
func (v *Picker) saysItLeaves(s *server) bool {
	_, ok := v.leaves[startID{s.Name, s.StartedMs}]
	return ok
}

// dropOldLeaves forgets the notices of starts of servers that are not listed any
// more, once no late report of them is to be expected.
func (v *Picker) dropOldLeaves(now time.Duration) {
	for start, l := range v.leaves {
		s := v.servers[start.server]
		listed := s != nil && s.listed && s.StartedMs == start.startedMs
		if !listed && now >= l.heardAt+lateReportTime {
			delete(v.leaves, start)
		}
	}
}
