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
	// beatPeriod is the time between two rounds of heartbeats. Evidence ages
	// by up to one period at each relay, so it is a fraction of the
	// freshness bound.
	beatPeriod = 500 * time.Millisecond
	// rosterPeriod is the time between two reads of the platform's list.
	rosterPeriod   = 5 * time.Second
	announcePeriod = 10 * time.Second
)

var fleetModule = fx.Module("fleet",
	fx.Provide(newSelf, newGroup, newDirectory, newTransport, newPeers),
	fx.Invoke(watchRoster),
)

// self is this host as it started.
type self core.Host

func newSelf(s setup.Settings) self {
	return self{
		Name: s.Host, Domain: s.Domain, CallerAddress: s.Caller.AdvertiseOr(), PeerAddress: s.Peer.AdvertiseOr(), State: core.HostLive,
		// A restarted host must have a higher incarnation than before; hosts
		// keep nothing, so it comes from the wall clock. If that went back,
		// membership raises it.
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

func newGroup(s self, t core.Timer) *member.View {
	return member.New(member.Config{Self: core.Host(s), Timer: t, Interval: beatPeriod})
}

// directory finds hosts by name without a lock. It is renewed with each
// round of heartbeats.
type directory struct {
	group *member.View
	hosts atomic.Pointer[map[core.HostID]core.Host]
}

func newDirectory(g *member.View) *directory {
	d := &directory{group: g}
	d.renew()
	return d
}

func (d *directory) renew() {
	list := d.group.Hosts()
	hosts := make(map[core.HostID]core.Host, len(list))
	for _, h := range list {
		hosts[h.Name] = h
	}
	d.hosts.Store(&hosts)
}

func (d *directory) find(id core.HostID) (core.Host, bool) {
	h, ok := (*d.hosts.Load())[id]
	return h, ok
}

// alive reports whether a host runs in the given or a later incarnation.
func (d *directory) alive(id core.HostID, incarnation uint64) bool {
	h, ok := d.find(id)
	return ok && h.State != core.HostDead && h.Incarnation >= incarnation
}

func (d *directory) domainOf(id core.HostID) (core.DomainID, bool) {
	h, ok := d.find(id)
	return h.Domain, ok
}

// names returns the names of hosts.
func names(hosts []core.Host) []core.HostID {
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
			h, ok := d.find(id)
			return h.PeerAddress, ok
		},
	})
	if err == nil {
		lc.Append(fx.StopHook(p.Close))
	}
	return p, err
}

// mutualTLS reads the certificates of a listener whose users show
// certificates too. It returns nil without a certificate.
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
		return nil, codes.Wrap(err, codes.SettingsInvalid, "entry: authorities cannot be read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, codes.New(codes.SettingsInvalid, "entry: file of the authorities holds no certificate")
	}
	config.RootCAs, config.ClientCAs = pool, pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

func newPeers(cfg Config, p *peers.Peers) core.Peers {
	if cfg.Wrap != nil {
		return cfg.Wrap(p)
	}
	return p
}

// watchRoster reads the platform's list of hosts and keeps this host in it.
func watchRoster(d *duties, r *roster.Roster, g *member.View, t core.Timer) {
	d.every("roster", rosterPeriod, func(ctx context.Context) error {
		hosts, err := r.Hosts(ctx)
		if err == nil {
			g.AddCandidates(t.Now(), hosts)
		}
		return err
	})
	d.add(func(ctx context.Context) {
		ticks := t.NewTicker("announce", announcePeriod)
		defer ticks.Stop()
		r.Run(ctx, ticks, g.Self)
	})
}
