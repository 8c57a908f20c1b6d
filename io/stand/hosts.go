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

// maxAnnouncementBytes limits the body of an announcement.
const maxAnnouncementBytes = 4 << 10

type hostJSON struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
	Caller      string `json:"caller"`
	Peer        string `json:"peer"`
	State       string `json:"state"`
}

type announcement struct {
	at   time.Duration // time of Config.Timer when it was received
	host hostJSON
}

// hostRegistry keeps the announcements of each host that the delayed list may
// still show, oldest first.
type hostRegistry struct {
	mu            sync.Mutex
	lag           time.Duration
	expiry        time.Duration
	announcements map[string][]announcement
}

func (h *hostRegistry) init(cfg Config) {
	h.lag, h.expiry = cfg.HostListDelay, cfg.HostTTL
	h.announcements = make(map[string][]announcement)
}

func (h *hostRegistry) announce(host hostJSON, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.announcements[host.Name] = append(h.announcements[host.Name], announcement{now, host})
	h.prune(now)
}

// prune removes the announcements that the list can't show from now on.
func (h *hostRegistry) prune(now time.Duration) {
	asOf := now - h.lag
	for name, list := range h.announcements {
		for len(list) > 1 && list[1].at <= asOf {
			list = list[1:]
		}
		h.announcements[name] = list
		if asOf-list[len(list)-1].at > h.expiry {
			delete(h.announcements, name)
		}
	}
}

// list returns the hosts as they were announced at the time now minus the lag.
// It omits hosts that had expired by then.
func (h *hostRegistry) list(now time.Duration) []hostJSON {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune(now)
	asOf := now - h.lag
	list := []hostJSON{}
	for _, announced := range h.announcements {
		current := announced[0]
		if current.at <= asOf && asOf-current.at <= h.expiry {
			list = append(list, current.host)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// serveHosts handles GET of the host list.
func (s *Stand) serveHosts(w http.ResponseWriter, r *http.Request) {
	if !s.injectHostFaults(w, operation{service: ServiceHosts, identity: callerID(r), units: 1}) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string][]hostJSON{"hosts": s.hosts.list(s.cfg.Timer.Now())})
}

// serveAnnouncement handles PUT of a host's announcement.
func (s *Stand) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	op := operation{service: ServiceHosts, identity: callerID(r), units: 1, write: true}
	var host hostJSON
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&host)
	if err == nil {
		err = host.validate(r.PathValue("id"))
	}
	if err != nil {
		http.Error(w, codes.Wrap(err, codes.RequestBad, "stand: invalid announcement").Error(), http.StatusBadRequest)
		return
	}
	if !s.injectHostFaults(w, op) {
		return
	}
	s.hosts.announce(host, s.cfg.Timer.Now())
	if s.injectAfter(op) == fail {
		http.Error(w, "stand: internal error", http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// injectHostFaults injects the faults before a host list request and reports
// whether the handler should continue. Otherwise it has written the response.
func (s *Stand) injectHostFaults(w http.ResponseWriter, op operation) bool {
	switch s.injectBefore(op) {
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

func (h hostJSON) validate(id string) error {
	if h.Name == "" || h.Name != id || h.Domain == "" {
		return errors.New("name and domain are required, and the name must equal the one in the path")
	}
	for _, address := range []string{h.Caller, h.Peer} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return err
		}
	}
	if h.State != string(core.HostLive) && h.State != string(core.HostLeaving) {
		return errors.Errorf("host has unknown state %q", h.State)
	}
	return nil
}
