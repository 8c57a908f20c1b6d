// Package roster implements core.Roster with the platform's host list, an HTTP
// API with JSON bodies. Entry hosts use it to discover each other and to
// announce themselves.
package roster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
)

// Op is the operation that a request performs, as reported to Config.Count.
type Op string

// The operations.
const (
	OpList     Op = "list"
	OpAnnounce Op = "announce"
)

// maxResponseBytes limits the body of a response. The 5,700 hosts of the design
// size take about 1 MB.
const maxResponseBytes = 16 << 20

// Config configures a Roster. URL is required.
type Config struct {
	URL string // base URL of the platform; the host list is at /hosts below it
	// BearerToken is the bearer token. Empty means that requests have none.
	BearerToken string
	// Timeout limits the duration of one request. Zero means 3 s.
	Timeout time.Duration
	// OnRequest is called after each request with the number of hosts read or
	// announced and the result code. It is also called for an announcement that
	// was not sent because the host is invalid. It must be safe for concurrent
	// use.
	OnRequest func(op Op, hosts int, code codes.Code)
	// Transport replaces the default HTTP transport, for example to set TLS
	// options.
	Transport http.RoundTripper
	Log       logrus.FieldLogger // nil discards log messages
}

// Roster is a client of the host list. It is safe for concurrent use.
type Roster struct {
	cfg      Config
	hostsURL string
	client   *http.Client
}

var _ core.Roster = (*Roster)(nil)

type hostJSON struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
	Caller      string `json:"caller"`
	Peer        string `json:"peer"`
	State       string `json:"state"`
}

type listJSON struct {
	Hosts *[]hostJSON `json:"hosts"`
}

// New returns a Roster without connecting to the platform. Errors have the code
// SettingsInvalid.
func New(cfg Config) (*Roster, error) {
	if u, err := url.Parse(cfg.URL); err != nil || u.Host == "" {
		return nil, codes.New(codes.SettingsInvalid, "roster: platform URL %q has no host or is malformed", cfg.URL)
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = 3 * time.Second
	}
	if cfg.OnRequest == nil {
		cfg.OnRequest = func(Op, int, codes.Code) {}
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	}
	if cfg.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		cfg.Log = discard
	}
	client := &http.Client{Transport: cfg.Transport, CheckRedirect: noRedirect}
	return &Roster{cfg: cfg, hostsURL: strings.TrimSuffix(cfg.URL, "/") + "/hosts", client: client}, nil
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Hosts implements core.Roster. Errors have the code StoreDown or StoreLimit, or
// RequestBad if the platform responds with status 400. If one host of the list
// is malformed, the whole list is rejected with StoreDown.
func (r *Roster) Hosts(ctx context.Context) ([]core.Host, error) {
	hosts, err := r.fetch(ctx)
	r.cfg.OnRequest(OpList, len(hosts), codes.Of(err))
	return hosts, err
}

func (r *Roster) fetch(ctx context.Context) ([]core.Host, error) {
	body, err := r.send(ctx, http.MethodGet, r.hostsURL, nil)
	if err != nil {
		return nil, err
	}
	var list listJSON
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, codes.Wrap(err, codes.StoreDown, "roster: host list is not valid JSON")
	}
	if list.Hosts == nil {
		return nil, codes.New(codes.StoreDown, "roster: response has no hosts field")
	}
	hosts := make([]core.Host, 0, len(*list.Hosts))
	for _, h := range *list.Hosts {
		host, err := h.toHost()
		if err != nil {
			return nil, codes.Wrap(err, codes.StoreDown, "roster: host %q in the list is malformed", h.Name)
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}

func (h hostJSON) toHost() (core.Host, error) {
	if h.Name == "" || h.Domain == "" {
		return core.Host{}, errors.New("host has no name or no domain")
	}
	if h.State != string(core.HostLive) && h.State != string(core.HostLeaving) {
		return core.Host{}, errors.Errorf("host has unknown state %q", h.State)
	}
	for _, addr := range []string{h.Caller, h.Peer} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return core.Host{}, err
		}
	}
	return core.Host{
		Name: core.HostID(h.Name), Domain: core.DomainID(h.Domain), Incarnation: h.Incarnation,
		CallerAddress: h.Caller, PeerAddress: h.Peer, State: core.HostState(h.State),
	}, nil
}

// Announce adds a host to the list or renews its entry. Errors have the code
// StoreDown or StoreLimit, or RequestBad if the host is invalid or the platform
// rejects it.
func (r *Roster) Announce(ctx context.Context, host core.Host) error {
	err := r.announce(ctx, host)
	r.cfg.OnRequest(OpAnnounce, 1, codes.Of(err))
	return err
}

func (r *Roster) announce(ctx context.Context, host core.Host) error {
	h := hostJSON{
		Name: string(host.Name), Domain: string(host.Domain), Incarnation: host.Incarnation,
		Caller: host.CallerAddress, Peer: host.PeerAddress, State: string(host.State),
	}
	if _, err := h.toHost(); err != nil {
		return codes.Wrap(err, codes.RequestBad, "roster: host %q cannot be announced", host.Name)
	}
	body, err := json.Marshal(h)
	if err != nil {
		return codes.Wrap(err, codes.RequestBad, "roster: host %q cannot be announced", host.Name)
	}
	_, err = r.send(ctx, http.MethodPut, r.hostsURL+"/"+url.PathEscape(h.Name), body)
	return err
}

// RunAnnouncer announces the host that currentHost returns, immediately and then at each
// tick, until the context ends. It logs errors and continues at the next tick.
// It stops ticks when it returns.
func (r *Roster) RunAnnouncer(ctx context.Context, ticks core.Ticker, currentHost func() core.Host) {
	defer ticks.Stop()
	for {
		if err := r.Announce(ctx, currentHost()); err != nil && ctx.Err() == nil {
			r.cfg.Log.WithError(err).Warn("roster: host was not announced; retrying at the next tick")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

// send sends one request and returns the response body. The error is set if the
// status is neither 200 nor 204.
func (r *Roster) send(ctx context.Context, method, requestURL string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return nil, codes.Wrap(err, codes.SettingsInvalid, "roster: request cannot be created")
	}
	if r.cfg.BearerToken != "" {
		req.Header.Set("Authorization", "Bearer "+r.cfg.BearerToken)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, codes.Wrap(err, codes.StoreDown, "roster: request to the platform failed")
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil || len(content) > maxResponseBytes {
		return nil, codes.New(codes.StoreDown, "roster: response is incomplete or exceeds %d bytes", maxResponseBytes)
	}
	return content, statusError(resp.StatusCode)
}

func statusError(status int) error {
	switch {
	case status == http.StatusOK || status == http.StatusNoContent:
		return nil
	case status == http.StatusTooManyRequests:
		return codes.New(codes.StoreLimit, "roster: request was throttled by the platform")
	case status == http.StatusBadRequest:
		return codes.New(codes.RequestBad, "roster: request was rejected by the platform")
	default:
		return codes.New(codes.StoreDown, "roster: platform responded with status %d", status)
	}
}
