package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/io/admin"
	"azurering/io/setup"
	"azurering/io/sheets"
)

// logTail bounds the log lines shown for a failed test, in bytes.
const logTail = 8 << 10

const processSettings = `
host = "%s"
domain = "%s"
freshness = "%s"
lifetime = "3s"
stop = "20s"
[caller]
listen = "%s"
[peer]
listen = "%s"
secret = "demo-peers"
[admin]
listen = "%s"
secret = "demo-operators"
[platform]
table = "%s"
name = "azurering"
objects = "%s"
bucket = "azurering"
hosts = "%s"
access = "%s"
secret = "demo"
`

// process is an entry host that runs as a process of its own.
type process struct {
	settings setup.Settings
	path     string // of the settings file
	binary   string
	logs     *os.File
	cmd      *exec.Cmd
}

func (p *process) start(t *testing.T) {
	t.Helper()
	p.cmd = exec.Command(p.binary, "entry", "--settings", p.path)
	p.cmd.Stderr = p.logs
	require.NoError(t, p.cmd.Start())
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

func (p *process) admin() *admin.Client {
	return admin.NewClient(admin.ClientConfig{URL: "http://" + p.settings.Admin.Listen, Secret: "demo-operators"})
}

func writeSheet(t *testing.T, s core.Sheet) []byte {
	t.Helper()
	raw, err := sheets.Format(s)
	require.NoError(t, err)
	return raw
}

// processAddress returns an address of the n-th host that nothing else uses:
// an address of the loopback range per test process and host, with a port
// below those that the system gives out by itself.
func processAddress(n, listener int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 60+os.Getpid()%100, os.Getpid()/100%250, n+1, 21000+listener)
}

// openLogs returns a file for log lines, whose end is shown if the test
// fails.
func openLogs(t *testing.T, path string) *os.File {
	t.Helper()
	f, err := os.Create(path)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = f.Close()
		raw, _ := os.ReadFile(path)
		if t.Failed() {
			t.Logf("last log lines:\n%s", raw[max(0, len(raw)-logTail):])
		}
	})
	return f
}

// startProcesses starts the entry hosts of a world as processes.
func startProcesses(t *testing.T, w *world, binary string) []*process {
	t.Helper()
	dir := t.TempDir()
	logs := openLogs(t, filepath.Join(dir, "log"))
	var out []*process
	for _, r := range w.plan.regions {
		for _, d := range r.Domains {
			require.NoError(t, w.startBackends(d))
			for n := range hostsPerDomain {
				s := w.settings(d, n+1, [3]string{processAddress(len(out), 0), processAddress(len(out), 1), processAddress(len(out), 2)})
				p := &process{settings: s, path: filepath.Join(dir, string(s.Host)+".toml"), binary: binary, logs: logs}
				text := fmt.Sprintf(processSettings, s.Host, d, freshness, s.Caller.Listen, s.Peer.Listen, s.Admin.Listen,
					s.Platform.Table, s.Platform.Objects, s.Platform.Hosts, d)
				require.NoError(t, os.WriteFile(p.path, []byte(text), 0o600))
				p.start(t)
				t.Cleanup(func() {
					_ = p.cmd.Process.Kill()
					_ = p.cmd.Wait()
				})
				out = append(out, p)
				// The load finds its entry hosts here.
				w.hosts = append(w.hosts, &host{settings: s})
			}
		}
	}
	return out
}

// publishTo publishes the sheet at one process and waits until all are fresh
// on its version.
func publishTo(t *testing.T, list []*process, sheet []byte) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for {
		_, err := list[0].admin().ApplySheet(ctx, sheet, 0)
		if err == nil {
			break
		}
		require.NoError(t, ctx.Err(), "%v", err)
		time.Sleep(200 * time.Millisecond)
	}
	awaitReady(ctx, t, list)
}

func awaitReady(ctx context.Context, t *testing.T, list []*process) {
	t.Helper()
	for {
		s, err := list[0].admin().Status(ctx)
		ready := 0
		for _, h := range s.Hosts {
			if h.Reached && h.Fresh && h.Version == s.Version {
				ready++
			}
		}
		if err == nil && s.Version > 0 && ready == len(list) {
			return
		}
		require.NoError(t, ctx.Err(), "%d of %d hosts are ready, version %d, last error %v, hosts %+v", ready, len(list), s.Version, err, s.Hosts)
		time.Sleep(200 * time.Millisecond)
	}
}

// Guards against violations that only real processes show: a killed host,
// one that is frozen for longer than its loans and wakes with old state,
// one that restarts empty, and one that stops gracefully, under traffic.
func TestProcessesKilledFrozenAndStopped(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "azurering")
	build := exec.Command("go", "build", "-o", binary, "azurering/cmd/azurering")
	text, err := build.CombinedOutput()
	require.NoError(t, err, "%s", text)

	p, err := planOf(Association)
	require.NoError(t, err)
	p.stall = true
	w, err := newWorld(p, tenants(Association), io.Discard)
	require.NoError(t, err)
	defer w.close()
	list := startProcesses(t, w, binary)
	sheet := sheetOf(Association, p, w.tenants, w.servers())
	publishTo(t, list, writeSheet(t, sheet))

	l, err := newLoad(w, 7)
	require.NoError(t, err)
	traffic, cancel := context.WithTimeout(context.Background(), 24*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(traffic)
	}()
	killed, frozen, stopped := list[3], list[6], list[11]
	time.Sleep(3 * time.Second)
	frozen.signal(t, syscall.SIGSTOP)
	killed.signal(t, syscall.SIGKILL)
	_ = killed.cmd.Wait()
	stopped.signal(t, syscall.SIGTERM)
	time.Sleep(4 * time.Second)
	killed.start(t)
	time.Sleep(10 * time.Second)
	frozen.signal(t, syscall.SIGCONT)
	<-done
	require.NoError(t, stopped.cmd.Wait(), "the stopped host must end by itself with status 0")
	require.Empty(t, w.audit.check(w.tenants, l.notRun))
	served := 0
	for _, c := range l.tallies {
		served += c.done
	}
	require.Greater(t, served, 500, "hardly anything was served")
	ctx, cancelReady := context.WithTimeout(context.Background(), readyTimeout)
	defer cancelReady()
	awaitReady(ctx, t, list[:11])
}
