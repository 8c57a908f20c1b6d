// Package pacer keeps the requests to a backend server within the limit that the
// server names: the requests per second that it accepts from all entry hosts
// together. The proxy asks it before it sends a request to such a server.
//
// One host, the coordinator of the server, grants the requests of all hosts, so
// that their sum stays within the limit however small it is and however many
// hosts there are. Hosts tell the coordinator what they know of the limit with each
// request for a permit and when it changes, and the coordinator tells all of them.
package pacer

import (
	"context"
	"time"

	"azurering/core"
	"azurering/core/picker"
)

const (
	// silentCoordinatorWait is how long a host does not ask for permits for a
	// server after the coordinator did not reply.
	silentCoordinatorWait = 250 * time.Millisecond
	// otherViewWait is the same after a reply of a host that knows another
	// coordinator, or another start of the server: a part of the time until the
	// next heartbeats.
	otherViewWait = 100 * time.Millisecond
	// maxTransit is the time that a message may take: the timeout of a request. News
	// in it count as older by that much, so that they never get younger on their way
	// and cannot replace newer answers of the server.
	maxTransit = 60 * time.Millisecond
)

// Result is the result of asking for a permit.
type Result string

// The values of Result.
const (
	ResultGranted    Result = "granted"
	ResultDenied     Result = "denied"
	ResultUnanswered Result = "unanswered" // the coordinator did not reply
)

// Config configures a Pacer. All fields are required.
type Config struct {
	Timer  core.Timer
	Host   core.HostID
	Picker *picker.Picker
	// Coordinator returns the coordinator of a server. Hosts that know the same
	// hosts must choose the same one.
	Coordinator func(core.Instance) core.Coordinator
	// Request asks the host with an address for a permit.
	Request func(ctx context.Context, address string, r core.PermitRequest) (core.PermitReply, error)
	// OnResult is called with the result of each permit that this host asks for.
	OnResult func(core.Instance, Result)
	// OnCoordination is called when this host begins or ends to coordinate a server,
	// and when Contested changes meanwhile.
	OnCoordination func(Coordination)
}

// Coordination says whether this host grants the requests of all hosts to a server.
type Coordination struct {
	Server    core.ServerID
	Active    bool
	Contested bool // as in core.Coordinator; only a part of the limit is granted
}

// Pacer asks for permits and grants those of the servers that this host
// coordinates. It is safe for concurrent use.
type Pacer struct {
	cfg     Config
	buckets *buckets
}

// New returns a pacer that coordinates no server.
func New(cfg Config) *Pacer {
	return &Pacer{cfg: cfg, buckets: &buckets{timer: cfg.Timer, onChange: cfg.OnCoordination, servers: make(map[core.ServerID]*bucket)}}
}

// Permit decides whether one request may be sent to a server. It asks the
// coordinator if the server names a limit.
func (p *Pacer) Permit(ctx context.Context, i core.Instance) core.Permit {
	limit := p.cfg.Picker.Limit(i)
	if !limit.Named {
		return core.Permit{Granted: true, By: p.cfg.Host}
	}
	permit, result := p.ask(ctx, i, limit)
	p.cfg.OnResult(i, result)
	return permit
}

// ask gets a permit from the coordinator, which may be this host.
func (p *Pacer) ask(ctx context.Context, i core.Instance, limit picker.Limit) (core.Permit, Result) {
	by := p.cfg.Coordinator(i)
	permit := core.Permit{By: by.Host}
	if by.Host == p.cfg.Host {
		permit.Wait, permit.Granted = p.buckets.take(i, limit.PerSecond, by.Contested)
	} else {
		request := core.PermitRequest{Host: p.cfg.Host, Server: i.Name, StartedMs: i.StartedMs, Limit: p.toMessage(limit)}
		reply, err := p.cfg.Request(ctx, by.Address, request)
		if err != nil {
			permit.Wait = silentCoordinatorWait
			return permit, ResultUnanswered
		}
		p.cfg.Picker.MergeLimit(i.Name, i.StartedMs, p.fromMessage(reply.Limit), by.Host)
		permit.Wait, permit.Granted = reply.Wait, reply.Granted
	}
	if !permit.Granted {
		return permit, ResultDenied
	}
	return permit, ResultGranted
}

// Grant replies to a host that asks for a permit.
func (p *Pacer) Grant(r core.PermitRequest) core.PermitReply {
	i, ok := p.cfg.Picker.MergeLimit(r.Server, r.StartedMs, p.fromMessage(r.Limit), r.Host)
	if !ok {
		return core.PermitReply{Wait: otherViewWait}
	}
	limit := p.cfg.Picker.Limit(i)
	reply := core.PermitReply{Limit: p.toMessage(limit)}
	switch by := p.cfg.Coordinator(i); {
	case !limit.Named:
		reply.Granted = true
	case by.Host != p.cfg.Host:
		reply.Wait = otherViewWait
	default:
		reply.Wait, reply.Granted = p.buckets.take(i, limit.PerSecond, by.Contested)
	}
	return reply
}

// Message is a notice and its receiver.
type Message struct {
	Notice core.LimitNotice
	To     string // address of a host; empty for all other hosts
}

// Refresh gives up the servers that are no longer listed or that another host
// coordinates now. It returns what to tell the other hosts: of the servers that
// this host coordinates all of them, and of others whose answers it has had their
// coordinators. Call it with each heartbeat.
func (p *Pacer) Refresh() []Message {
	listed := p.cfg.Picker.Servers()
	p.buckets.retain(func(i core.Instance) bool {
		return listed[i.Name] && p.cfg.Coordinator(i).Host == p.cfg.Host
	})
	var messages []Message
	for _, i := range p.cfg.Picker.TakeUntoldLimits() {
		if by := p.cfg.Coordinator(i); by.Host != p.cfg.Host {
			messages = append(messages, Message{Notice: p.notice(i), To: by.Address})
		}
	}
	for _, i := range p.buckets.due(p.cfg.Picker.Limit) {
		messages = append(messages, Message{Notice: p.notice(i)})
	}
	return messages
}

func (p *Pacer) notice(i core.Instance) core.LimitNotice {
	return core.LimitNotice{Host: p.cfg.Host, Server: i.Name, StartedMs: i.StartedMs, Limit: p.toMessage(p.cfg.Picker.Limit(i))}
}

// Notice applies what another host tells about a server's limit.
func (p *Pacer) Notice(n core.LimitNotice) {
	p.cfg.Picker.MergeLimit(n.Server, n.StartedMs, p.fromMessage(n.Limit), n.Host)
}

// NumCoordinated returns how many servers this host coordinates.
func (p *Pacer) NumCoordinated() int { return p.buckets.count() }

// toMessage and fromMessage convert between a time of this host and an age, which
// other hosts understand.
func (p *Pacer) toMessage(l picker.Limit) core.ServerLimit {
	if l.HeardAt == 0 {
		return core.ServerLimit{}
	}
	return core.ServerLimit{Known: true, Named: l.Named, PerSecond: l.PerSecond, Age: p.cfg.Timer.Now() - l.HeardAt}
}

func (p *Pacer) fromMessage(l core.ServerLimit) picker.Limit {
	if !l.Known {
		return picker.Limit{}
	}
	return picker.Limit{Named: l.Named, PerSecond: l.PerSecond, HeardAt: max(p.cfg.Timer.Now()-l.Age-maxTransit, 1)}
}
