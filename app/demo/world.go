package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"azurering/app/entry"
	"azurering/core"
	"azurering/core/codes"
	"azurering/io/setup"
	"azurering/io/stand"
)

// freshness is the freshness bound of the demo's hosts.
const freshness = 4 * time.Second

// readyTimeout bounds the time until all hosts serve.
const readyTimeout = 60 * time.Second

// world is a running deployment.
type world struct {
	plan     plan
	tenants  []tenant
	audit    *audit
	platform *stand.Stand
	net      *network
	hosts    []*host
	backends []*backend
	log      logrus.FieldLogger
}

// host is one entry host of the world.
type host struct {
	settings setup.Settings
	app      *entry.App
	ended    bool
}

// network cuts links between hosts of different failure domains.
type network struct {
	mu  sync.Mutex
	cut map[core.DomainID]bool
	of  map[core.HostID]core.DomainID
}

// wrap returns the peer transport of a host on the network.
func (n *network) wrap(own core.DomainID) func(core.Peers) core.Peers {
	return func(p core.Peers) core.Peers { return &link{Peers: p, net: n, own: own} }
}

func (n *network) set(d core.DomainID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[d] = cut
}

// severed reports whether two domains cannot reach each other.
func (n *network) severed(a, b core.DomainID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.cut[a] || n.cut[b])
}

func (n *network) domain(h core.HostID) core.DomainID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.of[h]
}

// link is the peer transport of one host.
type link struct {
	core.Peers
	net *network
	own core.DomainID
}

// Call implements core.Peers.
func (l *link) Call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	if l.net.severed(l.own, l.net.domain(to)) {
		return nil, codes.New(codes.PeerDown, "demo: link to host %s is cut", to)
	}
	return l.Peers.Call(ctx, to, m)
}

func newWorld(p plan, list []tenant, logs io.Writer) (*world, error) {
	log := logrus.New()
	log.SetOutput(logs)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	w := &world{
		plan: p, tenants: list, audit: newAudit(list), log: log, platform: stand.New(stand.Config{}),
		net: &network{cut: make(map[core.DomainID]bool), of: make(map[core.HostID]core.DomainID)},
	}
	return w, w.platform.Listen("127.0.0.1:0")
}

// start starts the backend servers and the entry hosts.
func (w *world) start(ctx context.Context) error {
	for _, r := range w.plan.regions {
		for _, d := range r.Domains {
			if err := w.startBackends(d); err != nil {
				return err
			}
			for n := range hostsPerDomain {
				if err := w.startHost(ctx, d, n+1); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (w *world) startBackends(d core.DomainID) error {
	for _, v := range []servicePlan{w.plan.desk, w.plan.vault} {
		for n := range v.perDomain {
			b, err := startBackend(core.Server{
				Name: core.ServerID(fmt.Sprintf("%s-%s-%d", v.name, d, n+1)), Service: v.name, Domain: d, Slots: v.slots, MaxConns: v.conns,
			}, w.audit, w.plan)
			if err != nil {
				return err
			}
			w.backends = append(w.backends, b)
		}
	}
	return nil
}

func (w *world) startHost(ctx context.Context, d core.DomainID, n int) error {
	opened := make(map[string]net.Listener)
	open := func() (string, error) {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		opened[lis.Addr().String()] = lis
		return lis.Addr().String(), nil
	}
	var addresses [3]string
	for i := range addresses {
		address, err := open()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	s := w.settings(d, n, addresses)
	w.net.mu.Lock()
	w.net.of[s.Host] = d
	w.net.mu.Unlock()
	app, err := entry.New(entry.Config{
		Settings: s, Log: w.log, Wrap: w.net.wrap(d),
		Listen: func(_, address string) (net.Listener, error) { return opened[address], nil },
	})
	if err != nil {
		return err
	}
	w.hosts = append(w.hosts, &host{settings: s, app: app})
	return app.Start(ctx)
}

func (w *world) settings(d core.DomainID, n int, at [3]string) setup.Settings {
	url := w.platform.URL()
	return setup.Settings{
		Host: core.HostID(fmt.Sprintf("%s-%d", d, n)), Domain: d,
		Caller: setup.Listener{Listen: at[0]},
		Peer:   setup.Listener{Listen: at[1], Secret: "demo-peers"},
		Admin:  setup.Listener{Listen: at[2], Secret: "demo-operators"},
		Platform: setup.Platform{
			Table: url + stand.TablePath, Name: "azurering", Objects: url + stand.ObjectsPath, Bucket: "azurering",
			// The access key names the domain, so that a domain can be cut off.
			Hosts: url, Region: "local", Access: string(d), Secret: "demo", Timeout: setup.DefaultTimeout,
		},
		Limits:    setup.Limits{Header: setup.DefaultHeader, Body: setup.DefaultBody, Conns: setup.DefaultConns, Slow: setup.DefaultSlow},
		Freshness: freshness, Loan: setup.DefaultLoan, Retention: setup.DefaultRetention,
		Lifetime: 3 * time.Second, Stop: 20 * time.Second, Level: "info",
	}
}

// servers returns the backend servers for the sheet.
func (w *world) servers() []core.Server {
	out := make([]core.Server, 0, len(w.backends))
	for _, b := range w.backends {
		out = append(out, b.Server)
	}
	return out
}

// running returns the hosts that were not ended.
func (w *world) running() []*host {
	var out []*host
	for _, h := range w.hosts {
		if !h.ended {
			out = append(out, h)
		}
	}
	return out
}

// entries returns the caller addresses of the running hosts of a domain, or
// of all domains if it is empty.
func (w *world) entries(d core.DomainID) []string {
	var out []string
	for _, h := range w.running() {
		if d == "" || h.settings.Domain == d {
			out = append(out, h.settings.Caller.Listen)
		}
	}
	return out
}

// publish publishes the sheet and waits until all hosts can serve.
func (w *world) publish(ctx context.Context, s core.Sheet) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		_, err := w.hosts[0].app.Node().Control.PublishSheet(ctx, s, 0)
		if err == nil {
			break
		}
		// On a busy machine the first connection to the platform may take
		// longer than the host waits for it.
		if !codes.Is(err, codes.StoreDown) || ctx.Err() != nil {
			return err
		}
	}
	for {
		waiting := w.unready()
		if waiting == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return codes.New(codes.CheckFailed, "demo: not all hosts became ready: %s", waiting)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// unready names a host that cannot serve keyed routes yet, and why.
func (w *world) unready() string {
	for _, h := range w.running() {
		if why := h.app.Node().Unready(); why != "" {
			return string(h.settings.Host) + ": " + why
		}
	}
	return ""
}

// close ends everything at once.
func (w *world) close() {
	var all sync.WaitGroup
	for _, h := range w.running() {
		all.Add(1)
		go func() {
			defer all.Done()
			if h.app != nil {
				h.app.Kill()
			}
		}()
	}
	all.Wait()
	for _, b := range w.backends {
		_ = b.server.Close()
	}
	_ = w.platform.Close()
}
