package peers

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"azurering/core"
	"azurering/core/codes"
)

// checkTLS refuses settings that lack a certificate or would leave the
// certificates of other hosts unverified.
func checkTLS(c *tls.Config) error {
	if len(c.Certificates) == 0 && (c.GetCertificate == nil || c.GetClientCertificate == nil) {
		return codes.New(codes.SettingsInvalid, "peers: TLS needs a certificate")
	}
	if c.RootCAs == nil || c.ClientCAs == nil {
		return codes.New(codes.SettingsInvalid, "peers: TLS needs RootCAs and ClientCAs for the other hosts")
	}
	if c.InsecureSkipVerify {
		return codes.New(codes.SettingsInvalid, "peers: TLS must not skip the verification of certificates")
	}
	return nil
}

// ServerTLS returns the TLS settings for the peer listener, which require a
// client certificate of one of the CAs. It returns nil without TLS.
func (p *Peers) ServerTLS() *tls.Config {
	if p.cfg.TLS == nil {
		return nil
	}
	c := p.cfg.TLS.Clone()
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c
}

// newClient returns the HTTP client for dialling. It ignores the proxy
// settings of the environment, which do not apply between hosts.
func newClient(cfg Config) *http.Client {
	transport := &http.Transport{TLSHandshakeTimeout: cfg.DialTimeout}
	if cfg.TLS != nil {
		transport.TLSClientConfig = cfg.TLS.Clone()
		// WebSocket needs HTTP/1.1.
		transport.TLSClientConfig.NextProtos = []string{"http/1.1"}
	}
	if cfg.VerifyNames {
		transport.DialTLSContext = dialWithServerName(transport.TLSClientConfig)
	}
	return &http.Client{
		Transport: transport,
		// Following a redirect would send the credential to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// hostIDKey is the context key of the dialled host's id.
type hostIDKey struct{}

func withHostID(ctx context.Context, host core.HostID) context.Context {
	return context.WithValue(ctx, hostIDKey{}, string(host))
}

// dialWithServerName returns a dial function that requires the dialled
// host's id as a DNS name in the certificate of the other end.
func dialWithServerName(base *tls.Config) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		name, ok := ctx.Value(hostIDKey{}).(string)
		if !ok {
			return nil, codes.New(codes.Internal, "peers: dial context holds no host id")
		}
		cfg := base.Clone()
		cfg.ServerName = name
		return (&tls.Dialer{Config: cfg}).DialContext(ctx, network, address)
	}
}
