// Package roster implements core.Roster over the platform's list of hosts
// (HTTP with JSON), and the announcements that put a host into the list.
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

// Op names one kind of operation.
type Op string

// The values of Op.
const (
	OpList     Op = "list"
	OpAnnounce Op = "announce"
)

// maxList bounds the answer in bytes. The 5,700 hosts of the design size
// take about 1 MB.
const maxList = 16 << 20

// Config configures a Roster. URL is required.
type Config struct {
	URL string // of the platform; the list is at /hosts below it
	// Token is sent as the bearer token, if set.
	Token string
	// Timeout bounds one request. Zero means 3 s.
	Timeout time.Duration
	// Count is called after each request with the number of hosts read or
	// announced and the result. It is called from several goroutines.
	Count func(op Op, hosts int, code codes.Code)
	// Transport replaces the transport to the platform, for TLS settings.
	Transport http.RoundTripper
	Log       logrus.FieldLogger // nil means no log
}

// Roster implements core.Roster. It is safe for concurrent use.
type Roster struct {
	cfg    Config
	base   string
	client *http.Client
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

// New returns a roster. Errors carry SettingsInvalid.
func New(cfg Config) (*Roster, error) {
	if u, err := url.Parse(cfg.URL); err != nil || u.Host == "" {
		return nil, codes.New(codes.SettingsInvalid, "roster: %q is not a URL", cfg.URL)
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = 3 * time.Second
	}
	if cfg.Count == nil {
		cfg.Count = func(Op, int, codes.Code) {}
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	}
	if cfg.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		cfg.Log = silent
	}
	client := &http.Client{Transport: cfg.Transport, CheckRedirect: noRedirect}
	return &Roster{cfg: cfg, base: strings.TrimSuffix(cfg.URL, "/") + "/hosts", client: client}, nil
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Hosts implements core.Roster. Errors carry StoreDown or StoreLimit. A
// list with a malformed host is refused as a whole.
func (r *Roster) Hosts(ctx context.Context) ([]core.Host, error) {
	hosts, err := r.list(ctx)
	r.cfg.Count(OpList, len(hosts), codes.Of(err))
	return hosts, err
}

func (r *Roster) list(ctx context.Context) ([]core.Host, error) {
	body, err := r.send(ctx, http.MethodGet, r.base, nil)
	if err != nil {
		return nil, err
	}
	var list listJSON
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, codes.Wrap(err, codes.StoreDown, "roster: malformed list")
	}
	if list.Hosts == nil {
		return nil, codes.New(codes.StoreDown, "roster: answer holds no list")
	}
	hosts := make([]core.Host, 0, len(*list.Hosts))
	for _, h := range *list.Hosts {
		host, err := h.host()
		if err != nil {
			return nil, codes.Wrap(err, codes.StoreDown, "roster: malformed host %q", h.Name)
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}

func (h hostJSON) host() (core.Host, error) {
	if h.Name == "" || h.Domain == "" {
		return core.Host{}, errors.New("name or domain is missing")
	}
	if h.State != string(core.HostLive) && h.State != string(core.HostLeaving) {
		return core.Host{}, errors.Errorf("unknown state %q", h.State)
	}
	for _, address := range []string{h.Caller, h.Peer} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return core.Host{}, err
		}
	}
	return core.Host{
		Name: core.HostID(h.Name), Domain: core.DomainID(h.Domain), Incarnation: h.Incarnation,
		CallerAddress: h.Caller, PeerAddress: h.Peer, State: core.HostState(h.State),
	}, nil
}

// Announce puts a host into the list or renews it. Errors carry StoreDown,
// StoreLimit or, for a host that the list cannot hold, RequestBad.
func (r *Roster) Announce(ctx context.Context, host core.Host) error {
	err := r.announce(ctx, host)
	r.cfg.Count(OpAnnounce, 1, codes.Of(err))
	return err
}

func (r *Roster) announce(ctx context.Context, host core.Host) error {
	h := hostJSON{
		Name: string(host.Name), Domain: string(host.Domain), Incarnation: host.Incarnation,
		Caller: host.CallerAddress, Peer: host.PeerAddress, State: string(host.State),
	}
	if _, err := h.host(); err != nil {
		return codes.Wrap(err, codes.RequestBad, "roster: host %q cannot be announced", host.Name)
	}
	body, err := json.Marshal(h)
	if err != nil {
		return codes.Wrap(err, codes.RequestBad, "roster: host %q cannot be announced", host.Name)
	}
	_, err = r.send(ctx, http.MethodPut, r.base+"/"+url.PathEscape(h.Name), body)
	return err
}

// Run announces a host now and at each tick until the context ends. The
// function returns the host as it is at that time. It is meant to be the
// duty of one goroutine.
func (r *Roster) Run(ctx context.Context, ticks core.Ticker, host func() core.Host) {
	defer ticks.Stop()
	for {
		if err := r.Announce(ctx, host()); err != nil && ctx.Err() == nil {
			r.cfg.Log.WithError(err).Warn("roster: announcement failed")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

// send sends one request and returns the body of a good answer.
func (r *Roster) send(ctx context.Context, method, target string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, codes.Wrap(err, codes.SettingsInvalid, "roster: request")
	}
	if r.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+r.cfg.Token)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, codes.Wrap(err, codes.StoreDown, "roster: platform was not reached")
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxList+1))
	if err != nil || len(answer) > maxList {
		return nil, codes.New(codes.StoreDown, "roster: answer is not whole or over the bound of %d bytes", maxList)
	}
	return answer, statusError(resp.StatusCode)
}

func statusError(status int) error {
	switch {
	case status == http.StatusOK || status == http.StatusNoContent:
		return nil
	case status == http.StatusTooManyRequests:
		return codes.New(codes.StoreLimit, "roster: throttled")
	case status == http.StatusBadRequest:
		return codes.New(codes.RequestBad, "roster: request was refused")
	default:
		return codes.New(codes.StoreDown, "roster: platform answered %d", status)
	}
}
