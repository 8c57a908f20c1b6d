package peers

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"azurering/core"
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
	if cfg.VerifyNames {
		transport.DialTLSContext = dialNamed(transport.TLSClientConfig)
	}
	return &http.Client{
		Transport: transport,
		// A redirect would carry the credential to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// nameKey is the key of the dialled host's id in a context.
type nameKey struct{}

func withName(ctx context.Context, host core.HostID) context.Context {
	return context.WithValue(ctx, nameKey{}, string(host))
}

// dialNamed returns a dial function that accepts only a server whose
// certificate holds the id of the dialled host.
func dialNamed(base *tls.Config) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		name, ok := ctx.Value(nameKey{}).(string)
		if !ok {
			return nil, codes.New(codes.Internal, "peers: dial without a host")
		}
		named := base.Clone()
		named.ServerName = name
		return (&tls.Dialer{Config: named}).DialContext(ctx, network, address)
	}
}
