package verbs

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"azurering/core/codes"
	"azurering/io/admin"
)

const (
	secretVariable = "AZURERING_SECRET"
	callTimeout    = time.Minute
)

// hostFlags returns the flags of all operator commands.
func hostFlags() []cli.Flag {
	return hostFlagsWith(&cli.StringSliceFlag{
		Name: "host", Required: true,
		Usage: "Calls the admin listener at `ADDRESS`, an IP address and port; prefix it with http:// if it is unencrypted and not on loopback. " +
			"If repeated, reads use the first that answers, changes use the first, and drain and stop add up the counts of all.",
	})
}

func hostFlagsWith(host cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		host,
		&cli.StringFlag{Name: "secret-file", Usage: "Reads the operators' credential from `FILE`; the default is the value of AZURERING_SECRET."},
	}, tlsFlags()...)
}

func tlsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "ca", Usage: "Trusts the certificate authorities in the PEM `FILE`; the default is those of the system."},
		&cli.StringFlag{Name: "cert", Usage: "Presents the client certificate in the PEM `FILE`."},
		&cli.StringFlag{Name: "key", Usage: "Reads the private key of --cert from the PEM `FILE`."},
	}
}

// tlsConfig returns the TLS settings of the flags, nil if none is given.
func tlsConfig(c *cli.Command) (*tls.Config, error) {
	ca, cert, key := c.String("ca"), c.String("cert"), c.String("key")
	if (cert == "") != (key == "") {
		return nil, codes.New(codes.UsageBad, "verbs: --cert and --key go together")
	}
	if ca == "" && cert == "" {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if cert != "" {
		pair, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			return nil, codes.Wrap(err, codes.UsageBad, "verbs: certificate cannot be loaded")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	if ca == "" {
		return config, nil
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, codes.Wrap(err, codes.UsageBad, "verbs: file of --ca cannot be read")
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(pem) {
		return nil, codes.New(codes.UsageBad, "verbs: %s holds no certificate", ca)
	}
	return config, nil
}

// transport returns an HTTP client and the TLS settings of the flags, which are
// nil if none is given. A timeout of zero means that only the context bounds a
// call.
func transport(c *cli.Command, timeout time.Duration) (*http.Client, *tls.Config, error) {
	config, err := tlsConfig(c)
	if err != nil {
		return nil, nil, err
	}
	t := &http.Transport{TLSClientConfig: config, Proxy: nil, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return &http.Client{Transport: t, Timeout: timeout}, config, nil
}

// schemeOf returns the URL scheme for an address. By default, only loopback is
// called without TLS, because each call carries the credential.
func schemeOf(address string, encrypted bool) string {
	if encrypted {
		return "https"
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	if ip, err := netip.ParseAddr(host); err == nil && ip.IsLoopback() || host == "localhost" {
		return "http"
	}
	return "https"
}

func baseURL(address string, encrypted bool) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return schemeOf(address, encrypted) + "://" + address
}

// readSecret reads a secret from the file that a flag names or, without the
// flag, from an environment variable. As an argument, it would be visible in
// the list of processes.
func readSecret(c *cli.Command, flag, variable string) (string, error) {
	path := c.String(flag)
	if path == "" {
		return strings.TrimSpace(os.Getenv(variable)), nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", codes.Wrap(err, codes.UsageBad, "verbs: --%s cannot be read", flag)
	}
	text := strings.TrimSpace(string(raw))
	if text == "" {
		return "", codes.New(codes.UsageBad, "verbs: the file of --%s is empty", flag)
	}
	return text, nil
}

// adminClients returns a client for each --host.
func adminClients(c *cli.Command) ([]*admin.Client, error) {
	secret, err := readSecret(c, "secret-file", secretVariable)
	if err != nil {
		return nil, err
	}
	h, config, err := transport(c, callTimeout)
	if err != nil {
		return nil, err
	}
	var out []*admin.Client
	for _, address := range c.StringSlice("host") {
		out = append(out, admin.NewClient(admin.ClientConfig{URL: baseURL(address, config != nil), Secret: secret, HTTP: h}))
	}
	return out, nil
}

// firstReachable calls f with one host after the other until one answers. Use
// it only for reads and idempotent changes: after PeerDown it is unknown whether
// the host made the change.
func firstReachable(list []*admin.Client, f func(*admin.Client) error) error {
	var err error
	for _, h := range list {
		if err = f(h); !codes.Is(err, codes.PeerDown) {
			return err
		}
	}
	return err
}
