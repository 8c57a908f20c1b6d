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

// testCA issues certificates.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &testCA{cert, key, pool}
}

// tlsConfig returns TLS settings with a certificate for the loopback address
// and for a host id.
func (a *testCA) tlsConfig(t *testing.T, name string) *tls.Config {
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
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      a.pool, ClientCAs: a.pool, MinVersion: tls.VersionTLS13,
	}
}

// Guards against accepting a certificate of another CA, from a host that
// dials or from a host that is dialled.
func TestForeignCertificates(t *testing.T) {
	trustedCA, otherCA := newTestCA(t), newTestCA(t)
	n := &loopbackNetwork{configure: func(cfg *peers.Config) {
		cfg.SharedSecret = ""
		switch cfg.Host {
		case "foreign":
			cfg.TLS = otherCA.tlsConfig(t, "foreign")
			cfg.TLS.RootCAs = trustedCA.pool // trusts trustedCA, but has a certificate of otherCA
		default:
			cfg.TLS = trustedCA.tlsConfig(t, string(cfg.Host))
		}
	}}
	a, foreign := n.startPeers(t, "a"), n.startPeers(t, "foreign")
	handleAttest(a)
	handleAttest(foreign)
	_, err := foreign.Call(t.Context(), "a", core.AttestRequest{})
	require.Equal(t, codes.PeerDown, codes.Of(err))
	_, err = a.Call(t.Context(), "foreign", core.AttestRequest{})
	require.Equal(t, codes.PeerDown, codes.Of(err))
	b := n.startPeers(t, "b")
	_, err = b.Call(t.Context(), "a", core.AttestRequest{})
	require.NoError(t, err)
}

// Guards against a host that claims the id of another host, when it dials or
// when it is dialled.
func TestVerifyNames(t *testing.T) {
	ca := newTestCA(t)
	n := &loopbackNetwork{configure: func(cfg *peers.Config) {
		cfg.SharedSecret, cfg.VerifyNames = "", true
		name := string(cfg.Host)
		if name == "b" {
			name = "impostor"
		}
		cfg.TLS = ca.tlsConfig(t, name)
	}}
	a, b, c := n.startPeers(t, "a"), n.startPeers(t, "b"), n.startPeers(t, "c")
	handleAttest(a)
	handleAttest(b)
	require.NoError(t, callAttest(t, c, "a"))
	require.Equal(t, codes.PeerRefused, codes.Of(callAttest(t, b, "a")))
	require.Equal(t, codes.PeerDown, codes.Of(callAttest(t, c, "b")))
}

// Guards against accepting a connection without a verified client
// certificate.
func TestHandlerDemandsCertificate(t *testing.T) {
	n := &loopbackNetwork{configure: func(cfg *peers.Config) { cfg.TLS = newTestCA(t).tlsConfig(t, "a") }}
	a := n.startPeers(t, "a")
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

// Guards against settings without a host id, address function, credential or
// certificate, and against settings that leave certificates unverified.
func TestSettingsRefused(t *testing.T) {
	ca := newTestCA(t)
	address := func(core.HostID) (string, bool) { return "", false }
	noCA, insecure, noCert := ca.tlsConfig(t, "a"), ca.tlsConfig(t, "a"), ca.tlsConfig(t, "a")
	noCA.ClientCAs = nil
	insecure.InsecureSkipVerify = true
	noCert.Certificates = nil
	for name, cfg := range map[string]peers.Config{
		"no host":       {ResolveAddress: address, SharedSecret: "s"},
		"no address":    {Host: "a", SharedSecret: "s"},
		"no credential": {Host: "a", ResolveAddress: address},
		"no CA":         {Host: "a", ResolveAddress: address, TLS: noCA},
		"unverified":    {Host: "a", ResolveAddress: address, TLS: insecure},
		"no cert":       {Host: "a", ResolveAddress: address, TLS: noCert},
		"plain names":   {Host: "a", ResolveAddress: address, SharedSecret: "s", VerifyNames: true},
	} {
		_, err := peers.New(cfg)
		require.Equal(t, codes.SettingsInvalid, codes.Of(err), name)
	}
}
