// Package stand is the stand-in of the platform: subsets of the DynamoDB
// JSON API and of the S3 API and the lagging list of hosts, on loopback and
// with fault injection. It keeps everything in memory.
//
// It refuses what is outside the subsets instead of guessing, so that a
// client that would not work against the real services fails here too.
package stand

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/timer"
)

// The paths below which the services are found.
const (
	TablePath   = "/dynamo"
	ObjectsPath = "/s3"
	HostsPath   = "/hosts"
	ControlPath = "/control/faults"
)

// Schema is the key schema of a table.
type Schema struct {
	Name      string
	Partition string // name of the partition key, a string
	Sort      string // name of the sort key, a string
}

// Config configures a Stand. The zero value is useful.
type Config struct {
	// Tables lists the tables that exist. Empty means one table "azurering"
	// with the keys "space" and "key".
	Tables []Schema
	// Buckets lists the buckets that exist. Empty means one, "azurering".
	Buckets []string
	// Lag is the age of the host list that GET /hosts returns.
	Lag time.Duration
	// Expiry is how long a host stays in the list after its last
	// announcement. Zero means 30 s.
	Expiry time.Duration
	// PageBytes bounds a page of a query. Zero means 1 MiB, as in DynamoDB.
	PageBytes int
	Timer     core.Timer // nil means real time
}

// Stand is a stand-in of the platform. It is safe for concurrent use.
type Stand struct {
	cfg     Config
	mux     *http.ServeMux
	tables  tables
	objects objects
	hosts   hosts
	faults  faults

	mu      sync.Mutex
	address string
	server  *http.Server // nil while down
	ending  chan struct{}
	once    sync.Once
	serving sync.WaitGroup
}

// New returns a stand-in that is not yet listening.
func New(cfg Config) *Stand {
	if len(cfg.Tables) == 0 {
		cfg.Tables = []Schema{{Name: "azurering", Partition: "space", Sort: "key"}}
	}
	if len(cfg.Buckets) == 0 {
		cfg.Buckets = []string{"azurering"}
	}
	if cfg.Expiry <= 0 {
		cfg.Expiry = 30 * time.Second
	}
	if cfg.PageBytes <= 0 {
		cfg.PageBytes = 1 << 20
	}
	if cfg.Timer == nil {
		cfg.Timer = timer.NewReal()
	}
	s := &Stand{cfg: cfg, mux: http.NewServeMux(), ending: make(chan struct{})}
	s.tables.init(cfg)
	s.objects.init(cfg)
	s.hosts.init(cfg)
	s.mux.HandleFunc(TablePath, s.serveTable)
	s.mux.HandleFunc(TablePath+"/", s.serveTable)
	s.mux.HandleFunc(ObjectsPath+"/", s.serveObject)
	s.mux.HandleFunc("GET "+HostsPath, s.serveHosts)
	s.mux.HandleFunc("PUT "+HostsPath+"/{id}", s.serveAnnounce)
	return s
}

// Handler returns the handler of all services, without the control path.
func (s *Stand) Handler() http.Handler { return s.mux }

// Listen starts to serve on a loopback address with a port, which may be 0.
func (s *Stand) Listen(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return codes.Wrap(err, codes.SettingsInvalid, "stand: address %s", address)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return codes.New(codes.SettingsInvalid, "stand: address %s is not on loopback", address)
	}
	return s.serve(address)
}

func (s *Stand) serve(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return codes.Wrap(err, codes.SettingsInvalid, "stand: cannot listen")
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s.mux}
	s.server = server
	s.serving.Go(func() { _ = server.Serve(listener) })
	return nil
}

// SetDown closes the listener and all connections, so that clients cannot
// connect, or opens the listener again at the same address. Nothing that
// was written is lost.
func (s *Stand) SetDown(down bool) error {
	s.mu.Lock()
	address, server := s.address, s.server
	if down {
		s.server = nil
	}
	s.mu.Unlock()
	if !down {
		return s.serve(address)
	}
	if server != nil {
		_ = server.Close()
	}
	return nil
}

// URL returns the base URL. The services are below it.
func (s *Stand) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "http://" + s.address
}

// Close stops to serve. Requests that are being delayed end unanswered.
func (s *Stand) Close() error {
	s.once.Do(func() { close(s.ending) })
	err := s.SetDown(true)
	s.serving.Wait()
	return err
}

// identity returns who sent a request: the access key id of a signed
// request or the bearer token of others.
func identity(r *http.Request) string {
	auth := r.Header.Get("Authorization")
	if token, ok := strings.CutPrefix(auth, "Bearer "); ok {
		return token
	}
	_, rest, ok := strings.Cut(auth, "Credential=")
	if !ok {
		return ""
	}
	id, _, _ := strings.Cut(rest, "/")
	return id
}
