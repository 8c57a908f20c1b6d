package soak

import (
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
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
)

const (
	gracePeriod = 6 * time.Second
	hostName    = "h.example"
	logTail     = 4 << 10 // bytes of a host's log that a failure shows
)

var (
	domains = []string{"kushiro", "nemuro", "wakkanai"}
	regions = map[string]string{"kushiro": "doto", "nemuro": "doto", "wakkanai": "dohoku"}
)

// host is one process of the system.
type host struct {
	stand.Machine
	binary   string
	settings string // path
	log      *os.File
	store    *link // to the store
	callers  *link // from callers

	mu      sync.Mutex
	cmd     *exec.Cmd
	boot    int
	down    bool // by the soak's own doing
	exited  chan struct{}
	problem string // an end that nobody asked for
}

// start starts the process if it is down.
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
	h.cmd, h.down, h.exited = cmd, false, make(chan struct{})
	h.boot++
	go h.wait(cmd, h.exited)
	return nil
}

func (h *host) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down {
		h.problem = fmt.Sprintf("%s ended by itself: %v", h.Name, err)
	}
	h.cmd = nil
	close(exited)
}

// end sends a signal that ends the process and waits for the end.
func (h *host) end(s syscall.Signal) {
	h.mu.Lock()
	if h.cmd == nil {
		h.mu.Unlock()
		return
	}
	h.down = true
	exited := h.exited
	_ = h.cmd.Process.Signal(s) // it may have ended meanwhile
	h.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		h.signal(syscall.SIGKILL)
		<-exited
	}
}

// signal sends a signal to a process that is up.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Signal(s)
}

func (h *host) currentBoot() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.boot
}

// backend is a server with the link in front of it.
type backend struct {
	*stand.Server
	id, service, domain string
	link                *link
}

// world is the deployment under test.
type world struct {
	t      *testing.T
	store  *stand.Store
	ledger *stand.RequestLog
	hosts  []*host
	start  time.Time

	mu       sync.Mutex
	backends []*backend          // that run
	known    map[string]*backend // all that ever ran
	numbers  int
	rules    stand.Rules
	keys     int // number of the newest key
	troubles []trouble
	drained  map[string]time.Time // servers by the time of their report
	// published holds the time in which all configurations have a key.
	published map[int]span
}

// span is a time that is open if to is zero.
type span struct{ from, to time.Time }

// build compiles the program once for all seeds of a run.
func build(t *testing.T) string {
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

// networks gives each world of this process addresses of its own.
var networks int

func newWorld(t *testing.T, binary string, hosts int) *world {
	t.Helper()
	w := &world{t: t, store: stand.NewStore(), ledger: &stand.RequestLog{}, start: time.Now()}
	w.drained, w.published, w.known = make(map[string]time.Time), make(map[int]span), make(map[string]*backend)
	front := httptest.NewServer(w.store)
	t.Cleanup(front.CloseClientConnections)
	t.Cleanup(w.store.Close)
	w.rules = rules()
	w.rotate(false)
	for _, d := range domains {
		for range 2 {
			w.addBackend("desk", d, "")
		}
		w.addBackend("vault", d, "")
	}
	t.Cleanup(func() {
		for _, b := range w.list() {
			b.Crash()
			b.link.close()
		}
	})
	networks++
	dir := t.TempDir()
	for n := range hosts {
		h := w.newHost(dir, n, binary, strings.TrimPrefix(front.URL, "http://"))
		w.hosts = append(w.hosts, h)
		require.NoError(t, h.start())
	}
	return w
}

func (w *world) newHost(dir string, n int, binary, store string) *host {
	t := w.t
	ip := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, networks%250, n+1)
	d := domains[n%len(domains)]
	h := &host{binary: binary, settings: filepath.Join(dir, fmt.Sprint("host-", n, ".json")), Machine: stand.Machine{
		Name: fmt.Sprintf("edge-%s-%d", d, n), IP: ip, Domain: d, Region: regions[d], Regions: regions,
		Caller: callerPort, Ready: readyPort, Lookup: lookupPort, Peer: peerPort, Memory: 284,
		Bounds: core.PlatformLimits{
			ShutdownGrace: gracePeriod, MaxLookupTTL: 5 * time.Second, RetryRatio: retryRatio, MinRetries: retryExtra, RetryWindow: retryWindow,
			RateSlack: rateSlack,
		},
	}}
	var err error
	h.store, err = newLink(h.Address(storePort), ip, store)
	require.NoError(t, err)
	h.callers, err = newLink(h.Address(linkPort), "", h.Address(callerPort))
	require.NoError(t, err)
	h.Store = h.store.address()
	require.NoError(t, os.WriteFile(h.settings, h.Settings(), 0o600))
	path := filepath.Join(dir, fmt.Sprint("host-", n, ".log"))
	h.log, err = os.Create(path)
	require.NoError(t, err)
	t.Cleanup(func() {
		h.signal(syscall.SIGCONT)
		h.end(syscall.SIGKILL)
		h.store.close()
		h.callers.close()
		_ = h.log.Close()
		w.keepLog(h, path)
	})
	return h
}

// keepLog keeps the log of a host of a run that failed, if SOAK_LOGS names a
// folder.
func (w *world) keepLog(h *host, path string) {
	raw, err := os.ReadFile(path)
	if err != nil || !w.t.Failed() {
		return
	}
	if dir := os.Getenv("SOAK_LOGS"); dir != "" {
		name := strings.ReplaceAll(w.t.Name(), "/", "-") + "-" + h.Name + ".log"
		if err := os.WriteFile(filepath.Join(dir, name), raw, 0o600); err != nil {
			w.t.Log(err)
		}
		return
	}
	if h.problem != "" {
		w.t.Logf("%s:\n%s", h.Name, raw[max(0, len(raw)-logTail):])
	}
}

func (w *world) list() []*backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*backend(nil), w.backends...)
}

// addBackend starts and lists a server. An empty listen takes a free port.
func (w *world) addBackend(service, domain, listen string) *backend {
	w.mu.Lock()
	w.numbers++
	b := &backend{id: fmt.Sprintf("i-%d", w.numbers), service: service, domain: domain}
	w.known[b.id] = b
	w.mu.Unlock()
	work := 20 * time.Millisecond
	if service == "vault" {
		work = 300 * time.Millisecond // long enough for stops to meet it
	}
	var err error
	b.Server, err = stand.StartServer(stand.ServerConfig{
		ID: b.id, Service: service, Domain: domain, Capacity: 4, Queue: 8, ProcessingTime: work, Store: w.store, Ledger: w.ledger,
		AdvertiseAddress: func(address string) string {
			if listen == "" {
				listen = "127.0.0.1:0"
			}
			if b.link, err = newLink(listen, "", address); err != nil {
				panic(err) // the address of a link that was closed before
			}
			return b.link.address()
		},
	})
	require.NoError(w.t, err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends = append(w.backends, b)
	return b
}

// removeBackend ends a server. A crash leaves its entry for a while.
func (w *world) removeBackend(b *backend) {
	w.mu.Lock()
	for i, x := range w.backends {
		if x == b {
			w.backends = append(w.backends[:i:i], w.backends[i+1:]...)
			break
		}
	}
	w.mu.Unlock()
	b.Crash()
	b.link.close()
}

// rules is the first configuration, without keys.
func rules() stand.Rules {
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

// keyOf returns the nth key of a workspace.
func keyOf(workspace string, n int) string { return fmt.Sprintf("key-%s-%d", workspace, n) }

// rotate publishes a version with a new key for each workspace. The key
// before stays valid, or is withdrawn.
func (w *world) rotate(withdraw bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys++
	w.rules.Version += 3
	for i := range w.rules.Workspaces {
		t := &w.rules.Workspaces[i]
		t.Keys = []string{keyOf(t.Name, w.keys)}
		if !withdraw && w.keys > 1 {
			t.Keys = append(t.Keys, keyOf(t.Name, w.keys-1))
		}
	}
	now := time.Now()
	w.published[w.keys] = span{from: now}
	for n, s := range w.published {
		if s.to.IsZero() && (n < w.keys-1 || withdraw && n < w.keys) {
			w.published[n] = span{from: s.from, to: now}
		}
	}
	w.store.Publish(w.rules)
}

func (w *world) newestKey() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys
}
