package stand

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
)

// maxAnnouncement bounds an announcement in bytes.
const maxAnnouncement = 4 << 10

type hostJSON struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
	Caller      string `json:"caller"`
	Peer        string `json:"peer"`
	State       string `json:"state"`
}

type announcement struct {
	at   time.Duration
	host hostJSON
}

// hosts keeps the announcements of each host that the lagging list may
// still need, oldest first.
type hosts struct {
	mu     sync.Mutex
	lag    time.Duration
	expiry time.Duration
	said   map[string][]announcement
}

func (h *hosts) init(cfg Config) {
	h.lag, h.expiry = cfg.Lag, cfg.Expiry
	h.said = make(map[string][]announcement)
}

func (h *hosts) announce(host hostJSON, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.said[host.Name] = append(h.said[host.Name], announcement{now, host})
	h.trim(now)
}

// trim drops what no list from now on can show.
func (h *hosts) trim(now time.Duration) {
	seen := now - h.lag
	for name, list := range h.said {
		for len(list) > 1 && list[1].at <= seen {
			list = list[1:]
		}
		h.said[name] = list
		if seen-list[len(list)-1].at > h.expiry {
			delete(h.said, name)
		}
	}
}

// list returns the hosts as they were one lag ago.
func (h *hosts) list(now time.Duration) []hostJSON {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trim(now)
	seen := now - h.lag
	list := []hostJSON{}
	for _, said := range h.said {
		first := said[0]
		if first.at <= seen && seen-first.at <= h.expiry {
			list = append(list, first.host)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// serveHosts serves the list of hosts.
func (s *Stand) serveHosts(w http.ResponseWriter, r *http.Request) {
	if !s.admitHosts(w, operation{service: Hosts, identity: identity(r), units: 1}) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string][]hostJSON{"hosts": s.hosts.list(s.cfg.Timer.Now())})
}

// serveAnnounce takes the announcement of a host.
func (s *Stand) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	op := operation{service: Hosts, identity: identity(r), units: 1, write: true}
	var host hostJSON
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&host)
	if err == nil {
		err = host.check(r.PathValue("id"))
	}
	if err != nil {
		http.Error(w, codes.Wrap(err, codes.RequestBad, "stand: announcement").Error(), http.StatusBadRequest)
		return
	}
	if !s.admitHosts(w, op) {
		return
	}
	s.hosts.announce(host, s.cfg.Timer.Now())
	if s.settle(op) == fail {
		http.Error(w, "stand: internal error", http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Stand) admitHosts(w http.ResponseWriter, op operation) bool {
	switch s.admit(op) {
	case throttle:
		http.Error(w, "stand: throttled", http.StatusTooManyRequests)
		return false
	case fail:
		http.Error(w, "stand: internal error", http.StatusInternalServerError)
		return false
	default:
		return true
	}
}

func (h hostJSON) check(id string) error {
	if h.Name == "" || h.Name != id || h.Domain == "" {
		return errors.New("name and domain are required, and the name is that of the path")
	}
	for _, address := range []string{h.Caller, h.Peer} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return err
		}
	}
	if h.State != string(core.HostLive) && h.State != string(core.HostLeaving) {
		return errors.Errorf("unknown state %q", h.State)
	}
	return nil
}
