package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"azurering/core"
	"azurering/platform/stand"
)

const (
	gracePeriod = 6 * time.Second
	hostName    = "h.example"
	callerPort  = 8668
	readyPort   = 8666
	lookupPort  = 8665
	peerPort    = 7220
	storePort   = 8669
	metricsPort = "9464" // as in deploy/system.toml
	beatPeriod  = 1500 * time.Millisecond
)

var (
	domains = []string{"kushiro", "nemuro", "wakkanai"}
	regions = map[string]string{"kushiro": "doto", "nemuro": "doto", "wakkanai": "dohoku"}
)

// host is an entry host, which runs as a process.
type host struct {
	stand.Machine
	settings string
	log      *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	cmd := exec.Command("target/azurering", "edge", "--metrics", metricsPort)
	cmd.Env = append(os.Environ(), "AZURERING_NODE_FILE="+h.settings)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// stop sends a signal and waits for the end of the process; after the grace period it
// kills the process, as the platform does.
func (h *host) stop(sig syscall.Signal) {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		_ = cmd.Process.Kill()
		<-exited
	}
}

// world is a small deployment.
type world struct {
	dir     string
	network string // the first three numbers of its IP addresses
	store   *stand.Store
	hosts   []*host
	record  *record
	begin   time.Time
	done    chan struct{}
	// garbling is set while servers break off answers.
	garbling atomic.Bool
}

// newWorld starts a store and prepares hosts in as many failure domains.
func newWorld(r *record, hosts int) (*world, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: stand.NewStore(), record: r, begin: time.Now(), done: make(chan struct{})}
	var l net.Listener
	for range 50 {
		w.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if l, err = net.Listen("tcp", fmt.Sprintf("%s.200:%d", w.network, storePort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	for i := range hosts {
		m := stand.Machine{
			Name: fmt.Sprintf("edge-%s-%d", domains[i%len(domains)], i), IP: fmt.Sprintf("%s.%d", w.network, i+1),
			Domain: domains[i%len(domains)], Region: regions[domains[i%len(domains)]], Regions: regions,
			Caller: callerPort, Ready: readyPort, Lookup: lookupPort, Peer: peerPort, Store: l.Addr().String(), Memory: 284,
			Bounds: core.PlatformLimits{
				ShutdownGrace: gracePeriod, MaxLookupTTL: 5 * time.Second, RetryRatio: 0.2, MinRetries: 64, RetryWindow: 10 * time.Second,
				RateSlack: 20, DrainTimeout: 2 * time.Second, ContactTime: 3 * time.Second,
			},
		}
		h := &host{Machine: m, settings: filepath.Join(dir, m.Name+".json")}
		if err := os.WriteFile(h.settings, m.Settings(), 0o600); err != nil {
			return nil, err
		}
		if h.log, err = os.Create(filepath.Join(dir, m.Name+".log")); err != nil {
			return nil, err
		}
		w.hosts = append(w.hosts, h)
	}
	return w, nil
}

// startHosts starts all hosts and waits until they are ready.
func (w *world) startHosts() error {
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if !w.awaitReady(h) {
			return fmt.Errorf("host %s is not ready after 10 s", h.Name)
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

func (w *world) awaitReady(h *host) bool {
	client := &http.Client{Timeout: time.Second}
	for range 100 {
		if resp, err := client.Get("http://" + h.Address(readyPort) + "/v1/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// close ends all processes and removes the folder.
func (w *world) close() {
	close(w.done)
	for _, h := range w.hosts {
		h.stop(syscall.SIGKILL)
		_ = h.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// since returns the time since the beginning, in seconds.
func (w *world) since(t time.Time) float64 { return t.Sub(w.begin).Seconds() }

// part is a service and its weight in a route.
type part struct {
	service string
	weight  float64
}

// route is a public route of the configuration.
type route struct {
	prefix string
	kind   string
	parts  []part
}

// publish writes a configuration: routes without keys, and the services that they name.
func (w *world) publish(version int, routes ...route) {
	var list []map[string]any
	add := func(kind, name string, spec map[string]any) {
		list = append(list, map[string]any{"resourceType": kind, "metadata": map[string]any{"name": name}, "spec": spec})
	}
	services := make(map[string]bool)
	for i, r := range routes {
		spec := map[string]any{
			"host": hostName, "prefix": r.prefix, "kind": r.kind, "timeoutS": 4, "latencyTargetS": 1, "priority": 1, "maxAttempts": 2, "public": true,
		}
		var split []map[string]any
		for _, p := range r.parts {
			services[p.service] = true
			split = append(split, map[string]any{"service": p.service, "weight": p.weight})
		}
		spec["trafficSplit"] = split
		if len(split) == 1 {
			delete(spec, "trafficSplit")
			spec["service"] = r.parts[0].service
		}
		add("routes", fmt.Sprintf("r-%d", i), spec)
	}
	for name := range services {
		add("services", name, map[string]any{"healthPath": "/health", "maxConns": 390, "coldStartS": 0, "coldPerS": 19})
	}
	add("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15})
	raw, _ := json.Marshal(map[string]any{"version": version, "resources": list}) // strings and numbers always encode
	w.store.Put("op", "config", raw)
}
