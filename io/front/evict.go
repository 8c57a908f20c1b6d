package front

import (
	"time"

	"azurering/io/socket"
)

// phase is what a connection does that does not wait for a server.
type phase string

const (
	phaseNew       phase = "new"       // no request has begun
	phaseIdle      phase = "idle"      // all requests that began have been read
	phaseReading   phase = "reading"   // a request is being read
	phaseStreaming phase = "streaming" // the rest of a body is read while its request is served
)

// rank orders the connections that may be evicted: lower ranks come first. Callers that
// come back on a kept connection come last.
type rank int

const (
	rankEnding  rank = iota // the last response was written; the caller has not closed yet
	rankStalled             // the caller does not read its response
	rankPartial             // no request, or a part of one, has arrived, and no more does
	rankIdle                // requests were served, and none is going on
	rankBusy                // something has moved just before, or a server is at work; not evicted
)

const (
	// stallTime is how long a caller may neither send nor read before its connection may be
	// evicted: a few retransmissions of a lost packet. It bounds how often connections of a
	// host that is full are replaced, too.
	stallTime = time.Second
	// progressBytes is how many bytes of a body count as progress, so that a byte now and
	// then does not.
	progressBytes = 1 << 10
	// evictWait bounds the wait for evicted connections to give their memory back, and is
	// the shortest time between two such evictions.
	evictWait = 50 * time.Millisecond
	// overflowShare is the part of Config.MaxConns that may be open in addition while
	// evicted connections end: one in this many.
	overflowShare = 8
)

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseSince = p, time.Now()
}

// recordBodyProgress records that progressBytes of a body have arrived.
func (c *conn) recordBodyProgress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phaseSince = time.Now()
}

// rank returns the rank of the connection and since when it has it.
func (c *conn) rank(now time.Time) (rank, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := now.Sub(c.phaseSince)
	hasStopped := since > stallTime
	switch {
	case c.writeEnded || c.evicted:
		if since > evictLinger {
			return rankEnding, c.phaseSince
		}
	case c.isStalled(now):
		return rankStalled, c.writingSince
	case c.phase == phaseStreaming, c.phase == phaseReading && c.inFlight == 1, c.phase == phaseNew:
		if hasStopped {
			return rankPartial, c.phaseSince
		}
	case c.inFlight == 0 && hasStopped:
		return rankIdle, c.phaseSince
	}
	return rankBusy, now
}

// isStalled reports whether a write is blocked. The caller holds c.mu.
func (c *conn) isStalled(now time.Time) bool {
	return !c.writingSince.IsZero() && now.Sub(c.writingSince) > stallTime
}

// evict ends the connection. A request of which only a part has arrived is rejected first,
// if the caller reads.
func (c *conn) evict() {
	c.setEnd(EndEvicted)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.isStalled(now) {
		c.cutsWrites = true
		_ = c.SetWriteDeadline(time.Unix(0, 0))
		socket.AbortOnClose(c.Conn)
	}
	c.evicted, c.phaseSince = true, now
	_ = c.SetReadDeadline(time.Unix(0, 0))
}

func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// victim returns the connection to evict next with a rank from lowest to highest, or nil.
// The caller holds s.mu.
func (s *Server) victim(lowest, highest rank) *conn {
	now := time.Now()
	var found *conn
	foundRank, foundSince := highest+1, now
	for c := range s.conns {
		r, since := c.rank(now)
		if r < lowest || r > highest {
			continue
		}
		if r < foundRank || r == foundRank && since.Before(foundSince) {
			found, foundRank, foundSince = c, r, since
		}
	}
	return found
}

// makeRoom makes room for a new connection, and returns false if there is none. The
// caller holds s.mu.
func (s *Server) makeRoom() bool {
	limit := s.cfg.MaxConns
	if limit <= 0 || len(s.conns) < limit {
		return true
	}
	overflow := max(limit/overflowShare, 1)
	if len(s.conns) < limit+overflow {
		if c := s.victim(rankStalled, rankIdle); c != nil {
			c.evict()
		}
		return true
	}
	for range overflow {
		c := s.victim(rankEnding, rankIdle)
		if c == nil {
			break
		}
		c.evict()
		socket.Abort(c.Conn) // it counts until its goroutines have ended
	}
	return false
}

// ReclaimRequests evicts the connections of which a part of a request is in memory whose
// rest does not come, and those whose callers do not read. It waits a little for their
// memory, and returns false if there are none.
func (s *Server) ReclaimRequests() bool { return s.reclaim(rankPartial) }

// ReclaimResponses evicts the connections whose callers do not read their responses. It
// waits a little for their memory, and returns false if there are none.
func (s *Server) ReclaimResponses() bool { return s.reclaim(rankStalled) }

func (s *Server) reclaim(highest rank) bool {
	victims := s.evictUpTo(highest)
	timeout := s.cfg.Timer.After(evictWait)
	for _, c := range victims {
		select {
		case <-c.served:
		case <-timeout:
			return true
		}
	}
	return len(victims) > 0
}

// evictUpTo evicts the connections that wait for their callers, up to a rank. It does
// nothing if it did so just before.
func (s *Server) evictUpTo(highest rank) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.reclaimed[highest]) < evictWait {
		return nil
	}
	s.reclaimed[highest] = now
	var victims []*conn
	for c := range s.conns {
		if r, _ := c.rank(now); r >= rankStalled && r <= highest {
			c.evict()
			victims = append(victims, c)
		}
	}
	return victims
}
