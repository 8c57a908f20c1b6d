package soak

import (
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/platform/stand"
)

const (
	callerPort = 22000 + iota
	readyPort
	lookupPort
	storePort
	linkPort
	peerPort
	backendPort // the servers have this port and those above it
)

// backendIP is the number of the servers' IP address in a cluster's network. It is
// above those of the hosts.
const backendIP = 250

const (
	gracePeriod = 6 * time.Second
	hostName    = "h.example"
	logTail     = 4 << 10 // bytes at the end of a host's log that a failure shows
)

var (
	domains = []string{"kushiro", "nemuro", "wakkanai"}
	regions = map[string]string{"kushiro": "doto", "nemuro": "doto", "wakkanai": "dohoku"}
)

// host is an entry host, which runs as a process. It is safe for concurrent use.
type host struct {
	stand.Machine
	binary     string
	settings   string // path of the settings file
	log        *os.File
	storeLink  *link // from the host to the store
	callerLink *link // from callers to the host

	mu             sync.Mutex
	cmd            *exec.Cmd
	boot           int  // number of starts
	stopExpected   bool // the test has ended the process
	exited         chan struct{}
	unexpectedExit string // how the process ended by itself; empty if it did not
	planned        []disruption
}

// beginStop records that a planned stop begins, and when end is called.
func (h *host) beginStop() (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.planned)
	h.planned = append(h.planned, disruption{scope: scopePlanned, from: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.planned[n].to = time.Now()
	}
}

// stops returns the planned stops of the host.
func (h *host) stops() []disruption {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]disruption(nil), h.planned...)
}

// start starts the process unless it runs.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		return nil
	}
	cmd := exec.Command(h.binary, "edge", "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.stopExpected, h.exited = cmd, false, make(chan struct{})
	h.boot++
	go h.wait(cmd, h.exited)
	return nil
}

// wait waits for the end of the process and records an unexpected exit.
func (h *host) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stopExpected {
		h.unexpectedExit = fmt.Sprintf("host %s exited unexpectedly: %v", h.Name, err)
	}
	h.cmd = nil
	close(exited)
}

// terminate sends a signal that ends the process and waits for its exit. After
// gracePeriod it kills the process.
func (h *host) terminate(sig syscall.Signal) {
	h.mu.Lock()
	if h.cmd == nil {
		h.mu.Unlock()
		return
	}
	h.stopExpected = true
	exited := h.exited
	_ = h.cmd.Process.Signal(sig) // an error means that the process has exited already
	h.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		h.signal(syscall.SIGKILL)
		<-exited
	}
}

// signal sends a signal to the process if it runs.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Signal(sig)
}

func (h *host) currentBoot() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.boot
}

// backend is a backend server behind a link.
type backend struct {
	*stand.Server
	id, service, domain string
	link                *link
	linkDegraded        atomic.Bool // its link was degraded at some time, which bunches requests
}

// cluster is the deployment under test: store, hosts and backend servers.
type cluster struct {
	t      *testing.T
	store  *stand.Store
	ledger *stand.RequestLog
	hosts  []*host
	limits hostLimits
	start  time.Time

	mu            sync.Mutex
	backends      []*backend          // running
	allBackends   map[string]*backend // by ID, including stopped ones
	lastBackendID int
	rules         stand.Rules
	lastKey       int // number of the newest API keys
	disruptions   []disruption
	drainedAt     map[string]time.Time // by server ID, when the server reported the drain
	// keyValidity holds, by key number, the time from the publication of the
	// keys to their withdrawal.
	keyValidity map[int]interval
}

// interval is a time interval; it has no end if to is zero.
type interval struct{ from, to time.Time }

// buildBinary compiles the program once for all seeds of a run.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "azurering")
	args := []string{"build", "-o", binary}
	if os.Getenv("SOAK_RACE") != "" {
		args = append(args, "-race")
	}
	text, err := exec.Command("go", append(args, "azurering/cmd/azurering")...).CombinedOutput()
	require.NoError(t, err, "%s", text)
	return binary
}

// clusters counts the clusters of this process and gives each its own IP
// addresses.
var clusters int

// hostLimits bounds what the process of a host may use.
type hostLimits struct {
	memory float64 // MiB
	files  int     // open file descriptors; 0 means that the settings do not say
}

func newCluster(t *testing.T, binary string, hosts int) *cluster {
	t.Helper()
	return newLimitedCluster(t, binary, hosts, hostLimits{memory: memoryLimit})
}

func newLimitedCluster(t *testing.T, binary string, hosts int, limits hostLimits) *cluster {
	t.Helper()
	clusters++
	c := &cluster{t: t, store: stand.NewStore(), ledger: &stand.RequestLog{}, limits: limits, start: time.Now()}
	c.drainedAt, c.keyValidity, c.allBackends = make(map[string]time.Time), make(map[int]interval), make(map[string]*backend)
	storeServer := httptest.NewServer(c.store)
	t.Cleanup(storeServer.CloseClientConnections)
	t.Cleanup(c.store.Close)
	c.rules = initialRules()
	c.rotateKeys(false)
	for _, d := range domains {
		for range 2 {
			c.addBackend("desk", d, "")
		}
		c.addBackend("vault", d, "")
	}
	t.Cleanup(func() {
		for _, b := range c.runningBackends() {
			b.Crash()
			b.link.close()
		}
	})
	dir := t.TempDir()
	for n := range hosts {
		h := c.newHost(dir, n, binary, strings.TrimPrefix(storeServer.URL, "http://"))
		c.hosts = append(c.hosts, h)
		require.NoError(t, h.start())
	}
	return c
}

// clusterIP returns an IP address of the latest cluster.
func clusterIP(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, clusters%250, n)
}

func (c *cluster) newHost(dir string, index int, binary, store string) *host {
	t := c.t
	ip := clusterIP(index + 1)
	d := domains[index%len(domains)]
	h := &host{binary: binary, settings: filepath.Join(dir, fmt.Sprint("host-", index, ".json")), Machine: stand.Machine{
		Name: fmt.Sprintf("edge-%s-%d", d, index), IP: ip, Domain: d, Region: regions[d], Regions: regions,
		Caller: callerPort, Ready: readyPort, Lookup: lookupPort, Peer: peerPort, Memory: c.limits.memory, Files: c.limits.files,
		Bounds: core.PlatformLimits{
			ShutdownGrace: gracePeriod, MaxLookupTTL: 5 * time.Second, RetryRatio: retryRatio, MinRetries: retryAllowance, RetryWindow: retryWindow,
			RateSlack: rateSlack, DrainTimeout: drainDelay, ContactTime: recoveryTime,
		},
	}}
	var err error
	h.storeLink, err = newLink(h.Address(storePort), ip, store)
	require.NoError(t, err)
	h.callerLink, err = newLink(h.Address(linkPort), "", h.Address(callerPort))
	require.NoError(t, err)
	h.Store = h.storeLink.address()
	require.NoError(t, os.WriteFile(h.settings, h.Settings(), 0o600))
	path := filepath.Join(dir, fmt.Sprint("host-", index, ".log"))
	h.log, err = os.Create(path)
	require.NoError(t, err)
	t.Cleanup(func() {
		h.signal(syscall.SIGCONT)
		h.terminate(syscall.SIGKILL)
		h.storeLink.close()
		h.callerLink.close()
		_ = h.log.Close()
		c.saveLog(h, path)
	})
	return h
}

// saveLog writes the log of a host to the folder SOAK_LOGS if the test failed.
// Without SOAK_LOGS it shows the end of the log of a host that exited
// unexpectedly.
func (c *cluster) saveLog(h *host, path string) {
	raw, err := os.ReadFile(path)
	if err != nil || !c.t.Failed() {
		return
	}
	if dir := os.Getenv("SOAK_LOGS"); dir != "" {
		name := strings.ReplaceAll(c.t.Name(), "/", "-") + "-" + h.Name + ".log"
		if err := os.WriteFile(filepath.Join(dir, name), raw, 0o600); err != nil {
			c.t.Log(err)
		}
		return
	}
	if h.unexpectedExit != "" {
		c.t.Logf("%s:\n%s", h.Name, raw[max(0, len(raw)-logTail):])
	}
}

func (c *cluster) runningBackends() []*backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*backend(nil), c.backends...)
}

// addBackend starts a server, which registers in the store. Its link listens on
// an address that no other server has had if listen is empty.
func (c *cluster) addBackend(service, domain, listen string) *backend {
	c.mu.Lock()
	c.lastBackendID++
	b := &backend{id: fmt.Sprintf("i-%d", c.lastBackendID), service: service, domain: domain}
	c.allBackends[b.id] = b
	if listen == "" {
		listen = fmt.Sprintf("%s:%d", clusterIP(backendIP), backendPort+c.lastBackendID)
	}
	c.mu.Unlock()
	serviceTime := 20 * time.Millisecond
	if service == "vault" {
		serviceTime = 300 * time.Millisecond // so that host stops overlap with requests in flight
	}
	server, err := stand.StartServer(stand.ServerConfig{
		ID: b.id, Service: service, Domain: domain, Capacity: 4, Queue: 8, ProcessingTime: serviceTime, Store: c.store, Ledger: c.ledger,
		AdvertiseAddress: func(address string) string {
			link, err := newLink(listen, "", address)
			if err != nil {
				panic(err) // an address is used again only after its earlier link has been closed
			}
			b.link = link
			return b.link.address()
		},
	})
	require.NoError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	b.Server = server
	c.backends = append(c.backends, b)
	return b
}

// removeBackend stops a server without removing its entry from the store.
func (c *cluster) removeBackend(b *backend) {
	c.mu.Lock()
	for i, x := range c.backends {
		if x == b {
			c.backends = append(c.backends[:i:i], c.backends[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	b.Crash()
	b.link.close()
}

// initialRules returns the first configuration, without API keys.
func initialRules() stand.Rules {
	route := func(name, kind, service string, homes ...string) stand.Route {
		return stand.Route{
			Name: name, Host: hostName, Prefix: "/" + name + "/", Kind: kind, Service: service, Timeout: 4 * time.Second,
			LatencyTarget: 500 * time.Millisecond, MaxAttempts: 2, Sticky: true, HomeRegions: homes,
		}
	}
	service := func(name string) stand.Service {
		return stand.Service{Name: name, HealthPath: "/health", MaxConns: 200, ColdFor: time.Second, ColdRate: 20}
	}
	return stand.Rules{
		Routes: []stand.Route{
			route("lookup", "idempotent", "desk"), route("order", "non_idempotent", "desk"), route("fetch", "download", "vault"),
			route("home", "idempotent", "desk", "dohoku"),
		},
		Services:   []stand.Service{service("desk"), service("vault")},
		Workspaces: []stand.Workspace{{Name: "large"}, {Name: "small", Rate: smallRate, Burst: smallBurst}},
	}
}

// apiKey returns the nth API key of a workspace.
func apiKey(workspace string, n int) string { return fmt.Sprintf("key-%s-%d", workspace, n) }

// rotateKeys publishes a version with a new key for each workspace. It keeps the
// previous key valid unless withdraw is set.
func (c *cluster) rotateKeys(withdraw bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastKey++
	c.rules.Version += 3
	for i := range c.rules.Workspaces {
		t := &c.rules.Workspaces[i]
		t.Keys = []string{apiKey(t.Name, c.lastKey)}
		if !withdraw && c.lastKey > 1 {
			t.Keys = append(t.Keys, apiKey(t.Name, c.lastKey-1))
		}
	}
	now := time.Now()
	c.keyValidity[c.lastKey] = interval{from: now}
	for n, s := range c.keyValidity {
		if s.to.IsZero() && (n < c.lastKey-1 || withdraw && n < c.lastKey) {
			c.keyValidity[n] = interval{from: s.from, to: now}
		}
	}
	c.store.Publish(c.rules)
}

func (c *cluster) newestKey() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastKey
}
