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

// readyTimeout bounds the time until all hosts are ready.
const readyTimeout = 60 * time.Second

// cluster is a running deployment: platform, entry hosts and backend servers.
type cluster struct {
	plan       plan
	workspaces []workspace
	checker    *checker
	platform   *stand.Stand
	net        *network
	hosts      []*host
	backends   []*backend
	log        logrus.FieldLogger
}

// host is an entry host.
type host struct {
	settings setup.Settings
	app      *entry.App
	stopped  bool // killed or told to stop by the fault injector
}

// network simulates partitions between failure domains. It is safe for
// concurrent use.
type network struct {
	mu       sync.Mutex
	isolated map[core.DomainID]bool
	domains  map[core.HostID]core.DomainID
}

// wrapPeers returns a function that wraps the peer transport of a host in the
// given domain so that partitions apply to its calls.
func (n *network) wrapPeers(domain core.DomainID) func(core.Peers) core.Peers {
	return func(p core.Peers) core.Peers { return &peerLink{Peers: p, net: n, domain: domain} }
}

func (n *network) setIsolated(d core.DomainID, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[d] = isolated
}

// partitioned reports whether a partition separates two domains.
func (n *network) partitioned(a, b core.DomainID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.isolated[a] || n.isolated[b])
}

func (n *network) domainOf(h core.HostID) core.DomainID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.domains[h]
}

// peerLink is the peer transport of one host. Calls across a partition fail.
type peerLink struct {
	core.Peers
	net    *network
	domain core.DomainID
}

// Call implements core.Peers.
func (l *peerLink) Call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	if l.net.partitioned(l.domain, l.net.domainOf(to)) {
		return nil, codes.New(codes.PeerDown, "demo: host %s is unreachable across a network partition", to)
	}
	return l.Peers.Call(ctx, to, m)
}

func newCluster(p plan, workspaces []workspace, logs io.Writer) (*cluster, error) {
	log := logrus.New()
	log.SetOutput(logs)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	c := &cluster{
		plan: p, workspaces: workspaces, checker: newChecker(workspaces), log: log, platform: stand.New(stand.Config{}),
		net: &network{isolated: make(map[core.DomainID]bool), domains: make(map[core.HostID]core.DomainID)},
	}
	return c, c.platform.Listen("127.0.0.1:0")
}

// start starts the backend servers and entry hosts of all failure domains.
func (c *cluster) start(ctx context.Context) error {
	for _, r := range c.plan.regions {
		for _, d := range r.Domains {
			if err := c.startBackends(d); err != nil {
				return err
			}
			for n := range hostsPerDomain {
				if err := c.startHost(ctx, d, n+1); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (c *cluster) startBackends(d core.DomainID) error {
	for _, sp := range []servicePlan{c.plan.apiService, c.plan.fileService} {
		for n := range sp.serversPerDomain {
			b, err := startBackend(core.Server{
				Name: core.ServerID(fmt.Sprintf("%s-%s-%d", sp.name, d, n+1)), Service: sp.name, Domain: d, Slots: sp.slots, MaxConns: sp.conns,
			}, c.checker, c.plan)
			if err != nil {
				return err
			}
			c.backends = append(c.backends, b)
		}
	}
	return nil
}

func (c *cluster) startHost(ctx context.Context, d core.DomainID, n int) error {
	listeners := make(map[string]net.Listener)
	listen := func() (string, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		listeners[listener.Addr().String()] = listener
		return listener.Addr().String(), nil
	}
	var addresses [3]string
	for i := range addresses {
		address, err := listen()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	s := c.hostSettings(d, n, addresses)
	c.net.mu.Lock()
	c.net.domains[s.Host] = d
	c.net.mu.Unlock()
	app, err := entry.New(entry.Config{
		Settings: s, Log: c.log, WrapPeers: c.net.wrapPeers(d),
		Listen: func(_, address string) (net.Listener, error) { return listeners[address], nil },
	})
	if err != nil {
		return err
	}
	c.hosts = append(c.hosts, &host{settings: s, app: app})
	return app.Start(ctx)
}

func (c *cluster) hostSettings(d core.DomainID, n int, addresses [3]string) setup.Settings {
	url := c.platform.URL()
	return setup.Settings{
		Host: core.HostID(fmt.Sprintf("%s-%d", d, n)), Domain: d,
		Caller: setup.Listener{Listen: addresses[0]},
		Peer:   setup.Listener{Listen: addresses[1], Secret: "demo-peers"},
		Admin:  setup.Listener{Listen: addresses[2], Secret: "demo-operators"},
		Platform: setup.Platform{
			Table: url + stand.TablePath, Name: "azurering", Objects: url + stand.ObjectsPath, Bucket: "azurering",
			// The platform identifies the domain by its access key, so that faults
			// can apply to a single domain.
			Hosts: url, Region: "local", Access: string(d), Secret: "demo", Timeout: setup.DefaultTimeout,
		},
		Limits:    setup.Limits{Header: setup.DefaultHeader, Body: setup.DefaultBody, Bodies: setup.DefaultBodies, Conns: setup.DefaultConns, Slow: setup.DefaultSlow},
		Freshness: freshness, Loan: setup.DefaultLoan, Retention: setup.DefaultRetention,
		Lifetime: 3 * time.Second, Stop: 20 * time.Second, Level: "info",
	}
}

// servers returns the records of the backend servers for the sheet.
func (c *cluster) servers() []core.Server {
	list := make([]core.Server, 0, len(c.backends))
	for _, b := range c.backends {
		list = append(list, b.Server)
	}
	return list
}

// running returns the hosts that were not killed or stopped.
func (c *cluster) running() []*host {
	var list []*host
	for _, h := range c.hosts {
		if !h.stopped {
			list = append(list, h)
		}
	}
	return list
}

// callerAddresses returns the addresses at which the running hosts of a domain
// serve callers; of all domains if d is empty.
func (c *cluster) callerAddresses(d core.DomainID) []string {
	var list []string
	for _, h := range c.running() {
		if d == "" || h.settings.Domain == d {
			list = append(list, h.settings.Caller.Listen)
		}
	}
	return list
}

// publishSheet publishes the sheet and waits until all hosts are ready, for at
// most readyTimeout.
func (c *cluster) publishSheet(ctx context.Context, s core.Sheet) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		_, err := c.hosts[0].app.Parts().Control.PublishSheet(ctx, s, 0)
		if err == nil {
			break
		}
		// On a busy machine the first connection to the platform may exceed the
		// host's timeout, so that publishing is retried.
		if !codes.Is(err, codes.StoreDown) || ctx.Err() != nil {
			return err
		}
	}
	for {
		unready := c.unreadyHost()
		if unready == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return codes.New(codes.CheckFailed, "demo: not all hosts became ready: %s", unready)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// unreadyHost returns the name of a host that cannot serve keyed routes yet and
// the reason; empty if all can.
func (c *cluster) unreadyHost() string {
	for _, h := range c.running() {
		if reason := h.app.Parts().NotReadyReason(); reason != "" {
			return string(h.settings.Host) + ": " + reason
		}
	}
	return ""
}

// close kills the hosts and closes the backend servers and the platform.
func (c *cluster) close() {
	var wg sync.WaitGroup
	for _, h := range c.running() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if h.app != nil {
				h.app.Kill()
			}
		}()
	}
	wg.Wait()
	for _, b := range c.backends {
		_ = b.server.Close()
	}
	_ = c.platform.Close()
}
