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
	// minCacheTime and maxCacheTime bound the time for which a lookup is
	// cached, whatever lifetime its response gives.
	minCacheTime = time.Second
	maxCacheTime = time.Hour
	// lookupTimeout bounds the request to one entry host, so that a stalled
	// host does not use up the time of the call.
	lookupTimeout = 2 * time.Second
	maxLookupBody = 1 << 20 // bytes of a lookup response
)

// lookup is the cached lookup of one service.
type lookup struct {
	// refresh is a semaphore: the goroutine that fills it refreshes the
	// lookup.
	refresh chan struct{}
	hosts   []string
	expires time.Time
}

type lookupJSON struct {
	Lifetime float64 `json:"lifetime"` // seconds
	Hosts    []struct {
		Address string `json:"address"`
	} `json:"hosts"`
}

// EntryHosts returns the addresses of the entry hosts for a service, best first,
// from the cache while the last lookup is valid. If no entry host responds, it
// returns the expired lookup, or Config.EntryHosts if there is none. The list is
// never empty, and the caller may change it. Concurrent calls share one
// lookup.
func (c *Client) EntryHosts(ctx context.Context, service string) []string {
	l, hosts, valid := c.cachedLookup(service)
	if valid {
		return hosts
	}
	select {
	case l.refresh <- struct{}{}:
		defer func() { <-l.refresh }()
	case <-ctx.Done():
		return c.fallbackHosts(hosts)
	}
	// Another call may have refreshed the lookup in the meantime.
	if _, hosts, valid = c.cachedLookup(service); valid {
		return hosts
	}
	asked := make(map[string]bool)
	for _, entry := range append(slices.Clone(hosts), c.cfg.EntryHosts...) {
		if asked[entry] || ctx.Err() != nil {
			continue
		}
		asked[entry] = true
		found, lifetime, err := c.requestLookup(ctx, entry, service)
		if err != nil {
			continue
		}
		c.mu.Lock()
		l.hosts, l.expires = found, time.Now().Add(lifetime)
		c.mu.Unlock()
		return slices.Clone(found)
	}
	return c.fallbackHosts(hosts)
}

// fallbackHosts returns the expired hosts, or the configured entries if there
// are none.
func (c *Client) fallbackHosts(hosts []string) []string {
	if len(hosts) > 0 {
		return hosts
	}
	return slices.Clone(c.cfg.EntryHosts)
}

// cachedLookup returns the lookup of a service, a copy of its hosts and
// whether they are still valid. It adds an empty lookup if there is none.
func (c *Client) cachedLookup(service string) (*lookup, []string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.lookups[service]
	if l == nil {
		l = &lookup{refresh: make(chan struct{}, 1)}
		c.lookups[service] = l
	}
	return l, slices.Clone(l.hosts), time.Now().Before(l.expires)
}

// invalidate marks the cached lookup of a service as expired.
func (c *Client) invalidate(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.lookups[service]; l != nil {
		l.expires = time.Time{}
	}
}

// requestLookup requests a lookup from one entry host. It skips malformed
// addresses.
func (c *Client) requestLookup(ctx context.Context, entry, service string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	target := c.cfg.Scheme + "://" + entry + "/v1/hosts?service=" + url.QueryEscape(service)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil, 0, errors.Wrap(err, "client: lookup request cannot be created")
	}
	resp, err := c.cfg.HTTPClient.Do(req)
	if err != nil {
		return nil, 0, errors.Wrap(err, "client: no response to the lookup")
	}
	defer func() { _ = resp.Body.Close() }()
	var result lookupJSON
	err = json.NewDecoder(io.LimitReader(resp.Body, maxLookupBody)).Decode(&result)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, 0, errors.Errorf("client: lookup failed or its response is not valid JSON, status %s", resp.Status)
	}
	var hosts []string
	for _, h := range result.Hosts {
		if _, err := netip.ParseAddrPort(h.Address); err == nil {
			hosts = append(hosts, h.Address)
		}
	}
	if len(hosts) == 0 {
		return nil, 0, errors.New("client: lookup response has no host with an IP address and port")
	}
	lifetime := time.Duration(min(result.Lifetime, maxCacheTime.Seconds()) * float64(time.Second))
	return hosts, max(lifetime, minCacheTime), nil
}
