package edge

import (
	"golang.org/x/sys/unix"

	"azurering/core/space"
)

// The parts of a host's memory that callers together may make it hold. Each part is for one
// kind of thing, so that none of them takes the place of another; what they leave is for the
// program, its tables, and memory that waits to be collected.
const (
	connShare     = 0.15 // open connections
	requestShare  = 0.1  // requests apart from their bodies
	reserveShare  = 0.02 // the same of callers that send one request at a time on a kept connection
	bodyShare     = 0.1  // bodies of requests
	responseShare = 0.08 // bodies of responses
	streamShare   = 0.06 // long bodies of responses, in the kernel
	unreadShare   = 0.12 // what callers have sent and the host has not read, in the kernel
)

// connBytes is the memory of an idle connection of a caller in bytes: its buffer, two
// goroutines and the socket.
const connBytes = 20 << 10

// The parts of a host's file descriptors. The rest is for files, the store and other hosts.
const (
	callerFileShare = 0.6
	serverFileShare = 0.2
	portFileShare   = 0.03 // each of the ports for look-ups, readiness, other hosts and metrics
)

// At most one in queueShare connections of callers waits to be accepted, or minQueue, which
// is more than arrive while the process waits for the processor.
const (
	queueShare = 8
	minQueue   = 128
)

// minPortConns is the least number of connections on such a port.
const minPortConns = 16

// resources bounds what callers may make a host hold.
type resources struct {
	requests, bodies, responses, streams, unread *space.Pool

	maxCallers int   // open connections of callers; 0 means no bound
	maxQueue   int   // connections of callers that wait to be accepted
	maxServers int   // open connections to backend servers; 0 means no bound
	maxPort    int   // open connections on each other port
	host       *host // reclaims memory; set before there are callers
}

func newResources(cfg Config) *resources {
	memory, files := float64(cfg.Place.MemoryBytes), float64(maxFiles(cfg.Place.MaxFiles))
	r := &resources{
		streams: space.New(space.Config{Bytes: int64(streamShare * memory)}),
		unread:  space.New(space.Config{Bytes: int64(unreadShare * memory)}),

		maxCallers: int(callerFileShare * files), maxServers: int(serverFileShare * files),
		maxPort: max(int(portFileShare*files), minPortConns),
	}
	if memory > 0 {
		r.maxCallers = min(r.maxCallers, int(connShare*memory/connBytes))
	}
	r.maxQueue = max(r.maxCallers/queueShare, minQueue)
	r.requests = space.New(space.Config{
		Bytes: int64((requestShare + reserveShare) * memory), Reserve: int64(reserveShare * memory),
		Reclaim: func() bool { return r.host.front.ReclaimRequests() },
	})
	r.bodies = space.New(space.Config{Bytes: int64(bodyShare * memory), Reclaim: func() bool { return r.host.front.ReclaimRequests() }})
	r.responses = space.New(space.Config{Bytes: int64(responseShare * memory), Reclaim: func() bool { return r.host.front.ReclaimResponses() }})
	return r
}

// maxFiles returns the limit of open file descriptors: that of the platform, or a lower one
// of the process.
func maxFiles(platform int) int {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil {
		return platform
	}
	if platform == 0 {
		return int(own.Cur)
	}
	return min(platform, int(own.Cur))
}
