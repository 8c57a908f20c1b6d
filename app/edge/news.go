package edge

import (
	"context"
	"sync"
	"time"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/picker"
)

// minNewsStep is how much later the time up to which a copy is complete must be
// before other hosts are told again.
const minNewsStep = 300 * time.Millisecond

// announcements holds, for each table, the time up to which other hosts know that
// copies are complete. It is safe for concurrent use.
type announcements struct {
	mu   sync.Mutex
	upTo map[core.FeedTable]time.Duration
}

// advance records a time and reports whether it is later than the last one by at
// least a step.
func (a *announcements) advance(t core.FeedTable, to, step time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if to < a.upTo[t]+step {
		return false
	}
	a.upTo[t] = to
	return true
}

// runNews tells the other hosts how complete the copies of this host are, each time
// that it has read the store and they do not know yet, and which servers have told
// it that they leave.
func (h *host) runNews(ctx context.Context) {
	for {
		n := gossip.News{Domain: h.cfg.Place.Domain}
		select {
		case <-ctx.Done():
			return
		case <-h.state.leaves:
			n.Leaving = h.view.TakeUntoldLeaves()
		case <-h.state.confirmed:
			n.Tables = h.untoldConfirmations()
		}
		if len(n.Leaving) > 0 || len(n.Tables) > 0 {
			h.sendNews(n)
		}
	}
}

// untoldConfirmations returns the news of all tables, or nil if other hosts know
// them or hear them from another host.
func (h *host) untoldConfirmations() map[core.FeedTable]gossip.TableNews {
	if !h.members.FollowsStore() {
		return nil
	}
	tables, late := make(map[core.FeedTable]gossip.TableNews), false
	for table, m := range h.state.mirrors {
		age := m.Age() // before the version, which may grow meanwhile
		_, newest := m.Versions()
		tables[table] = gossip.TableNews{Newest: newest, Age: age}
		late = h.announced.advance(table, h.timer.Now()-age, minNewsStep) || late
	}
	if !late {
		return nil
	}
	return tables
}

func (h *host) sendNews(n gossip.News) {
	if err := h.beacon.SendNews(n, h.members.NewsTargets()); err != nil {
		// Hosts that are down refuse datagrams.
		h.cfg.Log.WithError(err).Debug("edge: news was not sent to all hosts")
	}
}

// receiveNews applies news from another host and returns the addresses to forward
// them to.
func (h *host) receiveNews(n gossip.News) []string {
	now := h.timer.Now()
	for table, t := range n.Tables {
		m := h.state.mirrors[table]
		if m == nil {
			continue
		}
		m.Confirm(t.Newest, t.Age)
		h.announced.advance(table, now-t.Age, 0)
	}
	for id, started := range n.Leaving {
		h.view.MergeLeave(picker.LeaveNotice{Server: id, StartedMs: started, Source: string(n.Domain)})
	}
	return h.members.ForwardTargets(n)
}
