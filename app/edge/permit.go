package edge

import (
	"context"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/pacer"
)

func (h *host) newPacer() *pacer.Pacer {
	return pacer.New(pacer.Config{
		Timer: h.timer, Host: h.cfg.Place.Name, Picker: h.view, Coordinator: h.coordinator,
		// The beacon is only set once the host starts.
		Request: func(ctx context.Context, address string, r core.PermitRequest) (core.PermitReply, error) {
			return h.beacon.RequestPermit(ctx, address, r)
		},
		OnResult: func(i core.Instance, result pacer.Result) {
			h.metrics.CountPermit(string(result))
			h.cfg.Log.WithFields(logrus.Fields{"event": "permit", "server": i.Name, "result": result}).Debug("edge: asked for a permit")
		},
		OnCoordination: func(c pacer.Coordination) {
			h.cfg.Log.WithFields(logrus.Fields{
				"event": "coordinate", "server": c.Server, "active": c.Active, "contested": c.Contested,
			}).Info("edge: coordination of a server with a limit changed")
		},
	})
}

// coordinator returns the host that grants the requests to a server: one of the
// server's failure domain, where most of its requests come from, else one of its
// region, else any.
func (h *host) coordinator(i core.Instance) core.Coordinator {
	regions := h.cfg.Place.Regions
	return h.members.Coordinator(string(i.Name), func(d core.DomainID) int {
		switch {
		case d == i.Domain:
			return 0
		case regions[d] == regions[i.Domain]:
			return 1
		}
		return 2
	})
}

// sendLimitNotices tells other hosts what is new about the limits of servers.
func (h *host) sendLimitNotices() {
	for _, m := range h.pacer.Refresh() {
		to := []string{m.To}
		if m.To == "" {
			to = h.aliveAddresses()
		}
		if err := h.beacon.SendNotice(m.Notice, to); err != nil {
			h.cfg.Log.WithError(err).Debug("edge: limit of a server was not told to all hosts")
		}
	}
}

// aliveAddresses returns the addresses of the other hosts that are alive.
func (h *host) aliveAddresses() []string {
	var addresses []string
	for _, p := range h.members.Peers() {
		if p.Alive {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}
