// Package stand emulates the platform's services for tests and for the demo: a
// subset of the DynamoDB JSON API, a subset of the S3 API, and the host list,
// whose updates are delayed. It listens on loopback only, keeps all data in
// memory and can inject faults.
//
// It rejects requests outside these subsets, so that a client which the real
// services would reject fails here too.
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

// The base paths of the services, and the path that Control handles.
const (
	TablePath   = "/dynamo"
	ObjectsPath = "/s3"
	HostsPath   = "/hosts"
	ControlPath = "/control/faults"
)

// TableSchema is the key schema of a table.
type TableSchema struct {
	Name         string
	PartitionKey string // name of the partition key, which is of type string
	SortKey      string // name of the sort key, which is of type string
}

// Config configures a Stand. The zero value is valid.
type Config struct {
	// Tables are the tables to create. Empty means one table, "azurering", with
	// the partition key "space" and the sort key "key".
	Tables []TableSchema
	// Buckets are the buckets to create. Empty means one, "azurering".
	Buckets []string
	// HostListDelay is the delay until GET /hosts shows an announcement.
	HostListDelay time.Duration
	// HostTTL is how long a host stays in the list after its last
	// announcement. Zero means 30 s.
	HostTTL time.Duration
	// MaxPageBytes limits the page size of a query. Zero means 1 MiB, as in
	// DynamoDB. The item that exceeds it is still included.
	MaxPageBytes int
	Timer        core.Timer // nil means real time
}

// Stand emulates the platform's services. It is safe for concurrent use.
type Stand struct {
	cfg     Config
	mux     *http.ServeMux
	tables  tableStore
	objects objectStore
	hosts   hostRegistry
	faults  faultSet

	mu        sync.Mutex
	address   string
	server    *http.Server // nil while down
	closing   chan struct{}
	closeOnce sync.Once
	serveWG   sync.WaitGroup
}

// New returns a Stand that doesn't listen yet.
func New(cfg Config) *Stand {
	if len(cfg.Tables) == 0 {
		cfg.Tables = []TableSchema{{Name: "azurering", PartitionKey: "space", SortKey: "key"}}
	}
	if len(cfg.Buckets) == 0 {
		cfg.Buckets = []string{"azurering"}
	}
	if cfg.HostTTL <= 0 {
		cfg.HostTTL = 30 * time.Second
	}
	if cfg.MaxPageBytes <= 0 {
		cfg.MaxPageBytes = 1 << 20
	}
	if cfg.Timer == nil {
		cfg.Timer = timer.NewReal()
	}
	s := &Stand{cfg: cfg, mux: http.NewServeMux(), closing: make(chan struct{})}
	s.tables.init(cfg)
	s.objects.init(cfg)
	s.hosts.init(cfg)
	s.mux.HandleFunc(TablePath, s.serveTable)
	s.mux.HandleFunc(TablePath+"/", s.serveTable)
	s.mux.HandleFunc(ObjectsPath+"/", s.serveObject)
	s.mux.HandleFunc("GET "+HostsPath, s.serveHosts)
	s.mux.HandleFunc("PUT "+HostsPath+"/{id}", s.serveAnnouncement)
	return s
}

// Handler returns the handler for all services. It doesn't include the control
// path.
func (s *Stand) Handler() http.Handler { return s.mux }

// Listen starts serving at a loopback address of the form IP:port. Port 0 selects
// a free port. Errors have the code SettingsInvalid. Listen does nothing if the
// Stand is already serving.
func (s *Stand) Listen(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return codes.Wrap(err, codes.SettingsInvalid, "stand: address %s is not of the form IP:port", address)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return codes.New(codes.SettingsInvalid, "stand: address %s is not a loopback IP address", address)
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
		return codes.Wrap(err, codes.SettingsInvalid, "stand: cannot open the listener")
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s.mux}
	s.server = server
	s.serveWG.Go(func() { _ = server.Serve(listener) })
	return nil
}

// SetDown simulates an outage: true closes the listener and all connections,
// false opens the listener again at the same address. Stored data is kept.
// Call it only after Listen, which chooses the address.
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

// URL returns the base URL of the services, without a trailing slash.
func (s *Stand) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "http://" + s.address
}

// Close stops serving. Requests that FaultSlow is delaying get no response.
func (s *Stand) Close() error {
	s.closeOnce.Do(func() { close(s.closing) })
	err := s.SetDown(true)
	s.serveWG.Wait()
	return err
}

// callerID identifies the client of a request by its bearer token or by the
// access key ID of its AWS signature. It is empty if the request has neither.
// The signature isn't verified.
func callerID(r *http.Request) string {
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
