package peers_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/peers"
)

// authority issues certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &authority{cert, key, pool}
}

// config returns settings with a certificate for the loopback address and
// for a host id.
func (a *authority) config(t *testing.T, name string) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, DNSNames: []string{name},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: key}},
		RootCAs:      a.pool, ClientCAs: a.pool, MinVersion: tls.VersionTLS13,
	}
}

// Guards against a host with a certificate of another CA being let in, or
// being believed when it is dialled.
func TestForeignCertificates(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	w := &loopWorld{configure: func(cfg *peers.Config) {
		cfg.SharedSecret = ""
		switch cfg.Host {
		case "foreign":
			cfg.TLS = theirs.config(t, "foreign")
			cfg.TLS.RootCAs = ours.pool // trusts ours, is not trusted by ours
		default:
			cfg.TLS = ours.config(t, string(cfg.Host))
		}
	}}
	a, foreign := w.start(t, "a"), w.start(t, "foreign")
	answerAttest(a)
	answerAttest(foreign)
	_, err := foreign.Call(t.Context(), "a", core.AttestRequest{})
	require.Equal(t, codes.PeerDown, codes.Of(err))
	_, err = a.Call(t.Context(), "foreign", core.AttestRequest{})
	require.Equal(t, codes.PeerDown, codes.Of(err))
	b := w.start(t, "b")
	_, err = b.Call(t.Context(), "a", core.AttestRequest{})
	require.NoError(t, err)
}

// Guards against a host that claims the id of another one, as a client or
// as a server.
func TestVerifyNames(t *testing.T) {
	ca := newAuthority(t)
	w := &loopWorld{configure: func(cfg *peers.Config) {
		cfg.SharedSecret, cfg.VerifyNames = "", true
		name := string(cfg.Host)
		if name == "b" {
			name = "thief"
		}
		cfg.TLS = ca.config(t, name)
	}}
	a, b, c := w.start(t, "a"), w.start(t, "b"), w.start(t, "c")
	answerAttest(a)
	answerAttest(b)
	require.NoError(t, attest(t, c, "a"))
	require.Equal(t, codes.PeerRefused, codes.Of(attest(t, b, "a")))
	require.Equal(t, codes.PeerDown, codes.Of(attest(t, c, "b")))
}

// Guards against a listener that does not demand client certificates.
func TestHandlerDemandsCertificate(t *testing.T) {
	w := &loopWorld{configure: func(cfg *peers.Config) { cfg.TLS = newAuthority(t).config(t, "a") }}
	a := w.start(t, "a")
	for _, state := range []*tls.ConnectionState{nil, {}} {
		r := httptest.NewRequest(http.MethodGet, peers.Path, nil)
		r.Header.Set("Authorization", "Bearer secret")
		r.Header.Set("Azurering-Host", "b")
		r.Header.Set("Azurering-Peer", "a")
		r.RemoteAddr, r.TLS = "127.0.0.1:999", state
		recorder := httptest.NewRecorder()
		a.Handler().ServeHTTP(recorder, r)
		require.Equal(t, http.StatusForbidden, recorder.Code)
	}
}

// Guards against settings that would leave certificates unverified.
func TestSettingsRefused(t *testing.T) {
	ca := newAuthority(t)
	address := func(core.HostID) (string, bool) { return "", false }
	noCA, unverified, noCert := ca.config(t, "a"), ca.config(t, "a"), ca.config(t, "a")
	noCA.ClientCAs = nil
	unverified.InsecureSkipVerify = true
	noCert.Certificates = nil
	for name, cfg := range map[string]peers.Config{
		"no host":       {ResolveAddress: address, SharedSecret: "s"},
		"no address":    {Host: "a", SharedSecret: "s"},
		"no credential": {Host: "a", ResolveAddress: address},
		"no CA":         {Host: "a", ResolveAddress: address, TLS: noCA},
		"unverified":    {Host: "a", ResolveAddress: address, TLS: unverified},
		"no cert":       {Host: "a", ResolveAddress: address, TLS: noCert},
		"plain names":   {Host: "a", ResolveAddress: address, SharedSecret: "s", VerifyNames: true},
	} {
		_, err := peers.New(cfg)
		require.Equal(t, codes.SettingsInvalid, codes.Of(err), name)
	}
}
