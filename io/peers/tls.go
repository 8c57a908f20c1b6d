package peers

import (
	"crypto/tls"
	"net/http"

	"azurering/core/codes"
)

// checkTLS refuses settings with which a certificate would go unverified.
func checkTLS(c *tls.Config) error {
	if len(c.Certificates) == 0 && (c.GetCertificate == nil || c.GetClientCertificate == nil) {
		return codes.New(codes.SettingsInvalid, "peers: TLS needs a certificate")
	}
	if c.RootCAs == nil || c.ClientCAs == nil {
		return codes.New(codes.SettingsInvalid, "peers: TLS needs the CAs of the other hosts")
	}
	if c.InsecureSkipVerify {
		return codes.New(codes.SettingsInvalid, "peers: TLS must verify certificates")
	}
	return nil
}

// ServerTLS returns the settings for the peer listener: clients must show a
// certificate of one of the CAs. It is nil without TLS.
func (p *Peers) ServerTLS() *tls.Config {
	if p.cfg.TLS == nil {
		return nil
	}
	c := p.cfg.TLS.Clone()
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c
}

// newClient returns the HTTP client that dials. It ignores the proxy
// settings of the environment, which do not apply between hosts.
func newClient(cfg Config) *http.Client {
	transport := &http.Transport{TLSHandshakeTimeout: cfg.DialTimeout}
	if cfg.TLS != nil {
		transport.TLSClientConfig = cfg.TLS.Clone()
		// WebSocket needs HTTP/1.1.
		transport.TLSClientConfig.NextProtos = []string{"http/1.1"}
	}
	return &http.Client{
		Transport: transport,
		// A redirect would carry the credential to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
