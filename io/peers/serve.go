package peers

import (
	"crypto/subtle"
	"fmt"
	"net/http"

	"github.com/coder/websocket"

	"azurering/core"
	"azurering/core/codes"
)

// Handler returns the HTTP handler to mount at Path. A request with wrong
// credentials, or for another host, is refused before the connection opens.
func (p *Peers) Handler() http.Handler { return http.HandlerFunc(p.serve) }

func (p *Peers) serve(w http.ResponseWriter, r *http.Request) {
	host := core.HostID(r.Header.Get(headerFrom))
	if status, err := p.admit(r, host); err != nil {
		p.refused.Add(1)
		p.cfg.Log.WithError(err).WithField("remote", r.RemoteAddr).Warn("peers: connection refused")
		http.Error(w, err.Error(), status)
		return
	}
	// The goroutine of the request reads the connection, so Close must know
	// of it before the connection opens.
	if !p.enter() {
		http.Error(w, fmt.Sprintf("peers: closed (code %d)", codes.PeerDown), http.StatusServiceUnavailable)
		return
	}
	defer p.done.Done()
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		p.refused.Add(1)
		p.cfg.Log.WithError(err).WithField("remote", r.RemoteAddr).Warn("peers: handshake failed")
		return
	}
	c, err := p.adopt(host, ws, false)
	if err != nil {
		_ = ws.Close(websocket.StatusTryAgainLater, closeReason(err))
		return
	}
	c.read()
}

// enter adds one to the goroutines that Close waits for, unless Close has
// been called.
func (p *Peers) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.done.Add(1)
	return true
}

// admit checks who asks for a connection.
func (p *Peers) admit(r *http.Request, host core.HostID) (int, error) {
	if err := p.checkTransport(r, host); err != nil {
		return http.StatusForbidden, err
	}
	want := "Bearer " + p.cfg.SharedSecret
	got := r.Header.Get("Authorization")
	if p.cfg.SharedSecret != "" && subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
		return http.StatusUnauthorized, codes.New(codes.PeerRefused, "peers: wrong credential")
	}
	if host == "" || host == p.cfg.Host {
		return http.StatusBadRequest, codes.New(codes.PeerRefused, "peers: header %s does not name another host", headerFrom)
	}
	if to := r.Header.Get(headerTo); to != string(p.cfg.Host) {
		return http.StatusMisdirectedRequest, codes.New(codes.PeerDown, "peers: this is host %s, not %q", p.cfg.Host, to)
	}
	return http.StatusOK, nil
}

func (p *Peers) checkTransport(r *http.Request, host core.HostID) error {
	if p.cfg.TLS == nil {
		if p.cfg.AllowPlaintext || isLoopback(r.RemoteAddr) {
			return nil
		}
		return codes.New(codes.PeerRefused, "peers: unencrypted connections are limited to loopback")
	}
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return codes.New(codes.PeerRefused, "peers: no verified client certificate")
	}
	if p.cfg.VerifyNames {
		err := r.TLS.PeerCertificates[0].VerifyHostname(string(host))
		return codes.Wrap(err, codes.PeerRefused, "peers: certificate does not name host %s", host)
	}
	return nil
}
