package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// shortLife is how long a look-up is kept whose answer has no lifetime,
	// longLife the longest time.
	shortLife = time.Second
	longLife  = time.Hour
	// lookupTimeout bounds one look-up, so that a paused host does not use
	// up the time of the call.
	lookupTimeout = 2 * time.Second
	maxLookup     = 1 << 20 // bytes of an answer to a look-up
)

// lookup is the cached answer for one service.
type lookup struct {
	// turn holds one token; its owner may ask for a new answer.
	turn  chan struct{}
	hosts []string
	until time.Time
}

type hostsJSON struct {
	Lifetime float64 `json:"lifetime"` // seconds
	Hosts    []struct {
		Address string `json:"address"`
	} `json:"hosts"`
}

// EntryHosts returns the ranked entry hosts for a service as addresses, from the
// cache if the last look-up is still valid. If no entry host answers, an
// expired look-up is used, and the configured entries after that; the list
// is never empty. Concurrent calls share one look-up.
func (c *Client) EntryHosts(ctx context.Context, service string) []string {
	l, hosts, valid := c.cached(service)
	if valid {
		return hosts
	}
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return c.fallback(hosts)
	}
	// Another call may have looked up meanwhile.
	if _, hosts, valid = c.cached(service); valid {
		return hosts
	}
	asked := make(map[string]bool)
	for _, entry := range append(slices.Clone(hosts), c.cfg.EntryHosts...) {
		if asked[entry] || ctx.Err() != nil {
			continue
		}
		asked[entry] = true
		found, life, err := c.ask(ctx, entry, service)
		if err != nil {
			continue
		}
		c.mu.Lock()
		l.hosts, l.until = found, time.Now().Add(life)
		c.mu.Unlock()
		return slices.Clone(found)
	}
	return c.fallback(hosts)
}

func (c *Client) fallback(hosts []string) []string {
	if len(hosts) > 0 {
		return hosts
	}
	return slices.Clone(c.cfg.EntryHosts)
}

// cached returns the entry of a service, a copy of its hosts and whether
// they are still valid.
func (c *Client) cached(service string) (*lookup, []string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.lookups[service]
	if l == nil {
		l = &lookup{turn: make(chan struct{}, 1)}
		c.lookups[service] = l
	}
	return l, slices.Clone(l.hosts), time.Now().Before(l.until)
}

// forget ends the validity of the cached look-up of a service.
func (c *Client) forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.lookups[service]; l != nil {
		l.until = time.Time{}
	}
}

func (c *Client) ask(ctx context.Context, entry, service string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	target := c.cfg.Scheme + "://" + entry + "/v1/hosts?service=" + url.QueryEscape(service)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil, 0, errors.Wrap(err, "client: look-up")
	}
	resp, err := c.cfg.HTTPClient.Do(req)
	if err != nil {
		return nil, 0, errors.Wrap(err, "client: look-up")
	}
	defer func() { _ = resp.Body.Close() }()
	var answer hostsJSON
	err = json.NewDecoder(io.LimitReader(resp.Body, maxLookup)).Decode(&answer)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, 0, errors.Errorf("client: look-up answered %s", resp.Status)
	}
	var found []string
	for _, h := range answer.Hosts {
		if _, err := netip.ParseAddrPort(h.Address); err == nil {
			found = append(found, h.Address)
		}
	}
	if len(found) == 0 {
		return nil, 0, errors.New("client: look-up names no usable host")
	}
	life := time.Duration(min(answer.Lifetime, longLife.Seconds()) * float64(time.Second))
	return found, max(life, shortLife), nil
}
