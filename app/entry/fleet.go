package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/member"
	"azurering/io/peers"
	"azurering/io/roster"
	"azurering/io/setup"
)

const (
	// heartbeatPeriod is the time between two rounds of heartbeats. It is a
	// fraction of the freshness bound, because evidence ages by up to one
	// period at each relay.
	heartbeatPeriod = 500 * time.Millisecond
	// rosterPeriod is the time between two reads of the platform's list of
	// hosts.
	rosterPeriod   = 5 * time.Second
	announcePeriod = 10 * time.Second
)

var fleetModule = fx.Module("fleet",
	fx.Provide(newSelf, newView, newDirectory, newTransport, newPeers),
	fx.Invoke(runRoster),
)

// self describes this host as of its start.
type self core.Host

func newSelf(s setup.Settings) self {
	return self{
		Name: s.Host, Domain: s.Domain, CallerAddress: s.Caller.AdvertiseOr(), PeerAddress: s.Peer.AdvertiseOr(), State: core.HostLive,
		// A restarted host must have a higher incarnation than before. Hosts
		// store nothing, so it is taken from the wall clock. If the clock was
		// set back, membership raises the incarnation.
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

func newView(s self, t core.Timer) *member.View {
	return member.New(member.Config{Self: core.Host(s), Timer: t, Interval: heartbeatPeriod})
}

// directory looks up hosts by name without a lock. It is rebuilt from the
// membership at each round of heartbeats.
type directory struct {
	view  *member.View
	hosts atomic.Pointer[map[core.HostID]core.Host]
}

func newDirectory(g *member.View) *directory {
	d := &directory{view: g}
	d.refresh()
	return d
}

func (d *directory) refresh() {
	members := d.view.Hosts()
	hosts := make(map[core.HostID]core.Host, len(members))
	for _, h := range members {
		hosts[h.Name] = h
	}
	d.hosts.Store(&hosts)
}

func (d *directory) lookUp(id core.HostID) (core.Host, bool) {
	h, ok := (*d.hosts.Load())[id]
	return h, ok
}

// isRunning reports whether a host is known, is not dead, and has the given or
// a later incarnation.
func (d *directory) isRunning(id core.HostID, incarnation uint64) bool {
	h, ok := d.lookUp(id)
	return ok && h.State != core.HostDead && h.Incarnation >= incarnation
}

func (d *directory) domainOf(id core.HostID) (core.DomainID, bool) {
	h, ok := d.lookUp(id)
	return h.Domain, ok
}

// hostNames returns the names of hosts.
func hostNames(hosts []core.Host) []core.HostID {
	out := make([]core.HostID, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return out
}

func newTransport(lc fx.Lifecycle, s setup.Settings, d *directory, log logrus.FieldLogger) (*peers.Peers, error) {
	config, err := mutualTLS(s.Peer)
	if err != nil {
		return nil, err
	}
	p, err := peers.New(peers.Config{
		Host: s.Host, TLS: config, SharedSecret: s.Peer.Secret, AllowPlaintext: s.Peer.Plain, Log: log,
		CallTimeout: s.Freshness, DialTimeout: s.Freshness / 2,
		ResolveAddress: func(id core.HostID) (string, bool) {
			h, ok := d.lookUp(id)
			return h.PeerAddress, ok
		},
	})
	if err == nil {
		lc.Append(fx.StopHook(p.Close))
	}
	return p, err
}

// mutualTLS returns the TLS configuration of a listener, or nil if it has no
// certificate. If it names certificate authorities, both sides must present a
// certificate of one of them.
func mutualTLS(l setup.Listener) (*tls.Config, error) {
	if l.Cert == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(l.Cert, l.Key)
	if err != nil {
		return nil, codes.Wrap(err, codes.SettingsInvalid, "entry: certificate cannot be loaded")
	}
	config := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	if l.CA == "" {
		return config, nil
	}
	pem, err := os.ReadFile(l.CA)
	if err != nil {
		return nil, codes.Wrap(err, codes.SettingsInvalid, "entry: CA file cannot be read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, codes.New(codes.SettingsInvalid, "entry: CA file contains no certificate")
	}
	config.RootCAs, config.ClientCAs = pool, pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

func newPeers(cfg Config, p *peers.Peers) core.Peers {
	if cfg.WrapPeers != nil {
		return cfg.WrapPeers(p)
	}
	return p
}

// runRoster adds the tasks that read the platform's list of hosts and keep
// this host in it.
func runRoster(d *tasks, r *roster.Roster, g *member.View, t core.Timer) {
	d.addPeriodic("roster", rosterPeriod, func(ctx context.Context) error {
		hosts, err := r.Hosts(ctx)
		if err == nil {
			g.AddCandidates(t.Now(), hosts)
		}
		return err
	})
	d.add(func(ctx context.Context) {
		ticks := t.NewTicker("announce", announcePeriod)
		defer ticks.Stop()
		r.RunAnnouncer(ctx, ticks, g.Self)
	})
}
