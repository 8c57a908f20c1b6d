package verbs_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/app/verbs"
	"azurering/io/stand"
)

const (
	entrySettings = `
host = "kushiro-1"
domain = "kushiro"
lifetime = "1s"
stop = "10s"
[caller]
listen = "CALLER"
[peer]
listen = "PEER"
secret = "peers"
[admin]
listen = "ADMIN"
secret = "operators-secret"
[platform]
table = "PLATFORM/dynamo"
name = "azurering"
objects = "PLATFORM/s3"
bucket = "azurering"
hosts = "PLATFORM"
region = "local"
access = "kushiro"
secret = "s"
`
	entrySheet = `
name = "small"
[[region]]
name = "doto"
domains = ["kushiro"]
[[workspace]]
name = "loft-a"
rate = 100
burst = 200
[[service]]
name = "desk"
[[service.route]]
path = "/"
access = "keyed"
kind = "idempotent"
class = "lookup"
[[server]]
name = "desk-1"
service = "desk"
domain = "kushiro"
address = "BACKEND"
slots = 3
conns = 10
[[server]]
name = "desk-2"
service = "desk"
domain = "kushiro"
address = "BACKEND"
slots = 3
conns = 10
[[block]]
prefix = "127.0.0.0/8"
domain = "kushiro"
`
)

// hostAddress returns an address that no other process uses: it has a loopback
// IP address per test process, and a port below the ephemeral ports of the
// system.
func hostAddress(listener int) string {
	return fmt.Sprintf("127.%d.%d.1:%d", 160+os.Getpid()%90, os.Getpid()/90%250, 21000+listener)
}

// syncBuffer is a buffer for the logs of an entry host. It is safe for
// concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// Guards against commands that work with the fake control but not with a real
// entry host, and against an entry host that does not stop gracefully on
// SIGTERM or that logs a key.
func TestEntryHost(t *testing.T) {
	t.Setenv("AZURERING_SECRET", credential)
	platform := stand.New(stand.Config{})
	require.NoError(t, platform.Listen("127.0.0.1:0"))
	defer func() { _ = platform.Close() }()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "for "+r.Header.Get("Azurering-Workspace"))
	}))
	defer backend.Close()

	f := &fixture{addr: hostAddress(0), dir: t.TempDir()}
	caller := hostAddress(1)
	fill := strings.NewReplacer("CALLER", caller, "PEER", hostAddress(2), "ADMIN", f.addr, "PLATFORM", platform.URL(),
		"BACKEND", backend.Listener.Addr().String())
	f.writeFile(t, "entry.toml", fill.Replace(entrySettings))
	f.writeFile(t, "sheet.toml", fill.Replace(entrySheet))
	must := func(line string) string {
		t.Helper()
		code, out, errs := f.run(context.Background(), line)
		require.Zero(t, code, "%s: %s%s", line, out, errs)
		return out
	}
	must("entry --settings DIR/entry.toml --check")

	var logs syncBuffer
	ended := make(chan int, 1)
	go func() {
		args := []string{"azurering", "entry", "--settings", filepath.Join(f.dir, "entry.toml")}
		ended <- verbs.Run(context.Background(), args, verbs.Config{Stdout: io.Discard, Stderr: &logs})
	}()
	eventually := func(line, want string) {
		t.Helper()
		var last string
		ok := func() bool {
			_, out, errs := f.run(context.Background(), line)
			last = out + errs
			return strings.Contains(last, want)
		}
		deadline := time.Now().Add(30 * time.Second)
		for !ok() {
			require.True(t, time.Now().Before(deadline), "%s: %s\n%s", line, last, &logs)
			time.Sleep(50 * time.Millisecond)
		}
	}
	eventually("hosts --host HOST", "kushiro-1")
	must("sheet apply DIR/sheet.toml --host HOST")
	granted := must("key grant --name k1 --workspace loft-a --host HOST")
	_, key, _ := strings.Cut(strings.TrimSpace(granted), "only now: ")
	f.writeFile(t, "key", key)
	ask := fmt.Sprintf("ask --entry %s --service desk --path /queue --key-file DIR/key", caller)
	eventually(ask, "for loft-a")
	require.Contains(t, must("status --host HOST"), "loft-a")
	require.Contains(t, must("drain desk-1 --host HOST"), "is done")
	require.Contains(t, must("drain desk-1 --host HOST"), "is done")
	must("resume desk-1 --host HOST")
	must("report --host HOST --out DIR/report.html")
	page, err := os.ReadFile(filepath.Join(f.dir, "report.html"))
	require.NoError(t, err)
	require.Contains(t, string(page), "<td>loft-a</td><td>lookup</td>")
	require.Contains(t, must("key withdraw --name k1 --host HOST"), "is accepted")
	code, _, errs := f.run(context.Background(), ask)
	require.Equal(t, 1, code)
	require.Contains(t, errs, "error 2003")

	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case code := <-ended:
		require.Zero(t, code, logs.String())
	case <-time.After(30 * time.Second):
		require.Fail(t, "the entry host did not stop", logs.String())
	}
	require.Contains(t, logs.String(), "event=stopped")
	require.NotContains(t, logs.String(), key)
}
