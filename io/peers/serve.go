package peers

import (
	"crypto/subtle"
	"fmt"
	"net/http"

	"github.com/coder/websocket"

	"azurering/core"
	"azurering/core/codes"
)

// Handler returns the HTTP handler that accepts connections of other hosts;
// it must be mounted at Path. It refuses a request with wrong credentials, or
// for another host, before the WebSocket handshake.
func (p *Peers) Handler() http.Handler { return http.HandlerFunc(p.serve) }

func (p *Peers) serve(w http.ResponseWriter, r *http.Request) {
	host := core.HostID(r.Header.Get(headerFrom))
	if status, err := p.checkHandshake(r, host); err != nil {
		p.refusedConns.Add(1)
		p.cfg.Log.WithError(err).WithField("remote", r.RemoteAddr).Warn("peers: connection refused")
		http.Error(w, err.Error(), status)
		return
	}
	// The goroutine of the request reads the connection, so Close must wait
	// for it.
	if !p.addGoroutine() {
		http.Error(w, fmt.Sprintf("peers: host has closed its peer connections (code %d)", codes.PeerDown), http.StatusServiceUnavailable)
		return
	}
	defer p.wg.Done()
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		p.refusedConns.Add(1)
		p.cfg.Log.WithError(err).WithField("remote", r.RemoteAddr).Warn("peers: handshake failed")
		return
	}
	c, err := p.addConn(host, ws, false)
	if err != nil {
		_ = ws.Close(websocket.StatusTryAgainLater, closeReason(err))
		return
	}
	c.readLoop()
}

// addGoroutine adds the calling goroutine to those that Close waits for. It
// returns false if Close has been called.
func (p *Peers) addGoroutine() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.wg.Add(1)
	return true
}

// checkHandshake checks the transport, the credential and the host ids of a
// connection request. It returns the HTTP status for the answer.
func (p *Peers) checkHandshake(r *http.Request, host core.HostID) (int, error) {
	if err := p.checkTransport(r, host); err != nil {
		return http.StatusForbidden, err
	}
	want := "Bearer " + p.cfg.SharedSecret
	got := r.Header.Get("Authorization")
	if p.cfg.SharedSecret != "" && subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
		return http.StatusUnauthorized, codes.New(codes.PeerRefused, "peers: credential is missing or wrong")
	}
	if host == "" || host == p.cfg.Host {
		return http.StatusBadRequest, codes.New(codes.PeerRefused, "peers: header %s does not name another host", headerFrom)
	}
	if to := r.Header.Get(headerTo); to != string(p.cfg.Host) {
		return http.StatusMisdirectedRequest, codes.New(codes.PeerDown, "peers: this is host %s, not %q", p.cfg.Host, to)
	}
	return http.StatusOK, nil
}

// checkTransport requires a verified client certificate or, without TLS, a
// loopback address unless AllowPlain is set.
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
