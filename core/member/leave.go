package member

import (
	"time"

	"azurering/core"
)

// Return takes Leave back. The mark spreads with the next heartbeats.
func (g *Group) Return(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.State != core.HostLeaving {
		return
	}
	g.self.State = core.HostLive
	g.self.Incarnation++
	g.enqueue(now, g.self.Name, 0)
}
