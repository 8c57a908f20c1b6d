package setup_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core/codes"
	"azurering/io/setup"
)

const sample = `
host = "kushiro-1"
domain = "kushiro"

[caller]
listen = "127.0.0.1:8080"

[peer]
listen = "127.0.0.1:8081"
secret = "peers"

[admin]
listen = "127.0.0.1:8082"
secret = "operators"

[platform]
table = "http://127.0.0.1:9000"
name = "azurering"
objects = "http://127.0.0.1:9001"
bucket = "azurering"
hosts = "http://127.0.0.1:9002"
access = "kushiro"
secret = "s"
`

// Guards against settings that are read with another meaning than the
// documented defaults.
func TestDefaults(t *testing.T) {
	s, err := setup.Parse([]byte(sample))
	require.NoError(t, err)
	require.Equal(t, setup.DefaultFreshness, s.Freshness)
	require.Equal(t, setup.DefaultLoan, s.Loan)
	require.Equal(t, int64(setup.DefaultBody), s.Limits.Body)
	require.Equal(t, 2*time.Second, s.Platform.Timeout)
	require.Equal(t, "127.0.0.1:8080", s.Caller.AdvertiseOr())
}

// Guards against a host that starts with settings it should have refused.
func TestFaultySettings(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown key", `domain = "kushiro"`, "domain = \"kushiro\"\nzone = \"x\"", "line 4 column 1: unknown key zone"},
		{"no host", `host = "kushiro-1"`, ``, "host is missing"},
		{"host name instead of address", `listen = "127.0.0.1:8080"`, `listen = "localhost:8080"`, "not an IP address"},
		{"peer in clear on a network address", `listen = "127.0.0.1:8081"`, `listen = "10.0.0.1:8081"`, "plain must be true"},
		{"admin without a credential", `secret = "operators"`, ``, "admin: needs a secret"},
		{"half a certificate", `secret = "peers"`, "secret = \"peers\"\ncert = \"/nonexistent\"", "cert and key go together"},
		{"missing certificate", `secret = "peers"`, "secret = \"peers\"\ncert = \"/nonexistent\"\nkey = \"/nonexistent\"", "file cannot be opened"},
		{"freshness out of range", `domain = "kushiro"`, "domain = \"kushiro\"\nfreshness = \"10ms\"", "out of range"},
		{"platform URL", `table = "http://127.0.0.1:9000"`, `table = "127.0.0.1:9000"`, "not an http or https URL"},
		{"log level", `domain = "kushiro"`, "domain = \"kushiro\"\nlevel = \"loud\"", "not a log level"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := setup.Parse([]byte(strings.Replace(sample, c.old, c.new, 1)))
			require.Equal(t, codes.SettingsInvalid, codes.Of(err))
			require.Contains(t, err.Error(), c.want)
		})
	}
	_, err := setup.Parse([]byte(strings.NewReplacer(`host = "kushiro-1"`, ``, `bucket = "azurering"`, ``).Replace(sample)))
	require.ErrorContains(t, err, "2 faults", "all faults are reported at once")
}

// FuzzRead guards against settings files that crash the reader.
func FuzzRead(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("freshness = \"1h\"\n[limits]\nheader=-1"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, err := setup.Parse(raw)
		if err != nil && codes.Of(err) != codes.SettingsInvalid {
			t.Fatalf("error has code %d: %v", codes.Of(err), err)
		}
	})
}
