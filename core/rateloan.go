package core

// RateLoanRequest asks a host to lend a part of its share of a workspace's rate.
type RateLoanRequest struct {
	Host      HostID // that asks
	Workspace WorkspaceID
	Share     float64 // fraction of the whole rate and burst
}

// RateRecall tells a host that a new process of the sender has started, which does not
// know what earlier ones have lent, so that those loans end.
type RateRecall struct {
	Host      HostID // that lent them
	StartedMs uint64 // start of the new process, as in its heartbeats
}

// RateLoanReply is the reply to a RateLoanRequest.
type RateLoanReply struct {
	Share float64 // granted; 0 if the host needs all of its share itself
}
