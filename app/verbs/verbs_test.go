package verbs_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"encoding/pem"
	"io"
	stdlog "log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"azurering/app/verbs"
	"azurering/core"
	"azurering/core/codes"
	"azurering/io/admin"
	"azurering/io/sheets"
)

const (
	credential   = "operators-secret"
	invalidSheet = `name = "x"
[[server]]
name = "s"
service = "none"`
)

// fakeControl is a scripted entry host behind the real admin handler.
type fakeControl struct {
	mu      sync.Mutex
	sheet   core.Sheet
	status  admin.Status
	left    []int64 // requests left of the drain, one for each status request
	drains  int     // drains published
	change  core.Change
	refusal error
	lost    bool // the change takes effect although refusal is returned
}

func (c *fakeControl) Status(context.Context) (admin.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.status
	s.Drains = append([]admin.DrainStatus(nil), s.Drains...)
	if len(s.Drains) > 0 && len(c.left) > 0 {
		s.Drains[0].Left, c.left = c.left[0], c.left[1:]
	}
	return s, nil
}

func (c *fakeControl) Sheet() (core.Sheet, uint64) { return c.sheet, 7 }

func (c *fakeControl) PublishSheet(_ context.Context, _ core.Sheet, base uint64) (admin.PublishResult, error) {
	if base != 0 && base != 7 {
		return admin.PublishResult{}, codes.New(codes.VersionConflict, "fake: version 7 is in force")
	}
	return admin.PublishResult{Version: 8, Withdrawn: []admin.WithdrawResult{{Key: "old", Accepted: true}}}, nil
}

func (c *fakeControl) PublishChange(_ context.Context, ch core.Change) (admin.PublishResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.change = ch
	if c.refusal != nil && !c.lost {
		return admin.PublishResult{}, c.refusal
	}
	if ch.Kind == core.ChangeDrain {
		c.drains++
		d := ch.Drain
		c.status.Drains = append(c.status.Drains, admin.DrainStatus{Kind: d.Kind, Target: d.Target, Mode: d.Mode, Within: d.Timeout})
	}
	return admin.PublishResult{Version: 8}, c.refusal
}

func (c *fakeControl) Withdraw(_ context.Context, key core.KeyID) (admin.WithdrawResult, error) {
	return admin.WithdrawResult{Key: key, Durable: true, InForce: []core.DomainID{"kushiro"}, Pending: []core.DomainID{"rumoi"}}, c.refusal
}

func (c *fakeControl) Withdrawn(key core.KeyID) bool { return key == "gone" }

func newFakeControl() *fakeControl {
	return &fakeControl{
		sheet: core.Sheet{Name: "association", Keys: []core.Key{{Name: "k1", Workspace: "loft-a"}, {Name: "gone", Workspace: "loft-a"}}},
		status: admin.Status{
			Host: "h1", Version: 7, Servers: 2,
			Domains: []admin.DomainStatus{
				{Region: "doto", Domain: "kushiro", Holder: "h1", Epoch: 3, Version: 7, Hosts: 1, Reached: 1, Free: 4, Total: 6},
				{Region: "dohoku", Domain: "rumoi", Version: 6, Hosts: 2, Reached: 1},
			},
			Hosts: []admin.HostStatus{
				{Host: core.Host{Name: "h1", Domain: "kushiro", State: core.HostLive, CallerAddress: "127.0.0.1:80"}, Reached: true, Version: 7, Fresh: true},
				{Host: core.Host{Name: "h2", Domain: "rumoi", State: core.HostLive}, Reached: true, Version: 6},
				{Host: core.Host{Name: "h3", Domain: "rumoi", State: core.HostSuspect}},
			},
			Shares: []admin.ShareStatus{{Workspace: "loft-a", Limit: core.Amount{Rate: 12500, Burst: 20000}, Domain: core.Amount{Rate: 6000}}},
			Shifts: []core.Shift{{Name: "s1", From: "doto", To: "dohoku", SharePerMille: 250, Cap: 40000}},
		},
	}
}

type fixture struct {
	control *fakeControl
	addr    string
	lagging string // admin listener of a second host, which gets no changes
	dir     string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{control: newFakeControl(), dir: t.TempDir()}
	f.addr, f.lagging = serve(t, f.control), serve(t, newFakeControl())
	good, err := sheets.Format(core.Sheet{Name: "association", Regions: []core.Region{{Name: "doto", Domains: []core.DomainID{"kushiro"}}}})
	require.NoError(t, err)
	f.writeFile(t, "good.toml", string(good))
	f.writeFile(t, "bad.toml", invalidSheet)
	f.writeFile(t, "secret", credential+"\n")
	f.writeFile(t, "wrong", "guess")
	return f
}

// serve starts an admin listener and returns its address.
func serve(t *testing.T, c *fakeControl) string {
	log := logrus.New()
	log.SetOutput(io.Discard)
	metrics := http.FileServer(http.Dir("testdata"))
	s := httptest.NewServer(admin.New(admin.Config{Control: c, Secret: credential, Metrics: metrics, Log: log}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func (f *fixture) writeFile(t *testing.T, name, content string) {
	t.Helper()
	require.NoError(t, os.WriteFile(filepath.Join(f.dir, name), []byte(content), 0o600))
}

// run runs a command line, in which HOST and LAGGING stand for the addresses of
// the admin listeners and DIR/ for the fixture's directory.
func (f *fixture) run(ctx context.Context, line string) (code int, out, errs string) {
	var o, e bytes.Buffer
	args := append([]string{"azurering"}, strings.Fields(strings.NewReplacer("HOST", f.addr, "LAGGING", f.lagging, "DIR/", f.dir+"/").Replace(line))...)
	code = verbs.Run(ctx, args, verbs.Config{Stdout: &o, Stderr: &e, PollInterval: time.Millisecond})
	return code, o.String(), e.String()
}

// Guards against a command that calls the wrong operation, exits with 0 after a
// refusal or omits the result code.
func TestCommands(t *testing.T) {
	for _, c := range []struct {
		line string
		code int
		out  []string // parts of the standard output
		err  []string // parts of the error output
	}{
		{"sheet check DIR/good.toml", 0, []string{`Sheet "association" is valid: 1 failure domains`}, nil},
		{"sheet check DIR/good.toml --host HOST", 0, []string{"version 7 is in force there"}, nil},
		{"sheet check DIR/bad.toml", 1, nil, []string{"error 8001", "none"}},
		{"sheet check DIR/absent.toml", 2, nil, []string{"error 9001"}},
		{"sheet check", 2, nil, []string{"takes FILE"}},
		{"sheet apply DIR/good.toml --host HOST --base 7", 0, []string{"Version 8 is published", "key old is accepted"}, nil},
		{"sheet apply DIR/good.toml --host HOST --base 6", 1, nil, []string{"error 8002", "version 7 is in force"}},
		{"sheet apply DIR/good.toml --host HOST --base x", 2, nil, []string{"error 9001"}},
		{"sheet apply DIR/bad.toml --host HOST", 1, nil, []string{"error 8001"}},
		{"sheet show --host HOST", 0, []string{"# version 7\n", "association"}, nil},
		{"sheet status --host HOST", 0, []string{"Newest version in force: 7", "rumoi    6        1 of 2         h2 (6)   h3"}, nil},
		{"key list --host HOST", 0, []string{"k1    loft-a     no", "gone  loft-a     yes"}, nil},
		{"key grant --host HOST --name gone --workspace loft-a", 1, nil, []string{"error 8003", "not used again"}},
		{"key grant --host HOST --name k2", 2, nil, []string{`Required flag "workspace"`}},
		{"key withdraw --host HOST --name k1", 0, []string{"is pending", "in force in:  kushiro", "pending in:   rumoi"}, nil},
		{"shift --host HOST --name s2 --from doto --to dohoku --share 0.5 --cap 20", 0, []string{"Version 8"}, nil},
		{"shift --host HOST --name s2 --from doto --to dohoku --share 1.5 --cap 20", 2, nil, []string{"error 9001"}},
		{"resume s1 --host HOST", 0, []string{"Version 8"}, nil},
		{"resume --host HOST", 2, nil, []string{"takes NAME"}},
		{"hosts --host HOST", 0, []string{"h3    rumoi    suspect  no       -"}, nil},
		{"status --host HOST", 0, []string{"4 of 6", "12.5", "s1     doto  dohoku  0.25   40", "h1    3      7"}, nil},
		{"status --host HOST --secret-file DIR/wrong", 1, nil, []string{"error 9002"}},
		{"status --host HOST --secret-file DIR/secret", 0, []string{"kushiro"}, nil},
		{"status --host 127.0.0.1:1", 1, nil, []string{"error 7001"}},
		{"status --host 127.0.0.1:1 --host HOST", 0, []string{"kushiro"}, nil},
		{"status", 2, nil, []string{`Required flag "host"`}},
		{"status --host HOST --output yaml", 2, nil, []string{"must be one of text, json"}},
		{"status --host HOST --cert DIR/secret", 2, nil, []string{"--cert and --key go together"}},
		{"status --host HOST --ca DIR/secret", 2, nil, []string{"holds no certificate"}},
		{"status extra --host HOST", 2, nil, []string{"takes no argument"}},
		{"drain s --host HOST --kind rack", 2, nil, []string{"--kind"}},
		{"sheet", 2, nil, []string{"needs one of check, apply, show, status"}},
		{"bogus", 2, nil, []string{"needs one of entry"}},
		{"entry --settings DIR/bad.toml --check", 1, nil, []string{"error 8004"}},
		{"demo --deployment moon", 2, nil, []string{"association, atlas"}},
		{"demo --seconds 0", 2, nil, []string{"must be above 0"}},
		{"ask --entry 127.0.0.1:1 --service desk --path x", 2, nil, []string{"must start with /"}},
		{"ask --entry 127.0.0.1:1 --service desk --idempotency-key k", 2, nil, []string{"needs --order"}},
	} {
		t.Run(c.line, func(t *testing.T) {
			t.Setenv("AZURERING_SECRET", credential)
			code, out, errs := newFixture(t).run(context.Background(), c.line)
			require.Equal(t, c.code, code, "%s%s", out, errs)
			for _, part := range c.out {
				require.Contains(t, out, part)
			}
			for _, part := range c.err {
				require.Contains(t, errs, part)
			}
			require.Equal(t, c.code == 0, out != "", "results and errors must not mix: %q", out)
		})
	}
}

// Guards against output that is not valid JSON, against a credential in the
// output, and against a granted key that reaches the host other than as a hash.
func TestJSON(t *testing.T) {
	t.Setenv("AZURERING_SECRET", credential)
	f := newFixture(t)
	for _, line := range []string{
		"sheet check DIR/good.toml", "sheet apply DIR/good.toml --host HOST", "sheet show --host HOST", "sheet status --host HOST",
		"key list --host HOST", "key withdraw --name k1 --host HOST", "hosts --host HOST", "status --host HOST",
		"shift --host HOST --name s2 --from doto --to dohoku --share 0.5 --cap 20", "resume s1 --host HOST", "drain desk-1 --host HOST",
	} {
		code, out, errs := f.run(context.Background(), line+" --output json")
		require.Zero(t, code, errs)
		require.True(t, json.Valid([]byte(out)), "%s: %s", line, out)
		require.NotContains(t, out+errs, credential)
	}
	_, _, errs := f.run(context.Background(), "status --host 127.0.0.1:1 --output json")
	var refusal struct{ Code int }
	require.NoError(t, json.Unmarshal([]byte(errs), &refusal))
	require.Equal(t, int(codes.PeerDown), refusal.Code)

	code, out, _ := f.run(context.Background(), "key grant --host HOST --name k2 --workspace loft-a --output json")
	require.Zero(t, code)
	var granted struct{ Key string }
	require.NoError(t, json.Unmarshal([]byte(out), &granted))
	require.Len(t, granted.Key, 52)
	require.Equal(t, sha256.Sum256([]byte(granted.Key)), f.control.change.Key.Hash)
}

// Guards against drains and stops that end while requests are left, fail when
// the command is repeated, or exit with 0 after the wait limit.
func TestDrainAndStop(t *testing.T) {
	inForce := admin.DrainStatus{Kind: core.DrainServer, Target: "desk-1", Mode: core.ModeDrain}
	conflict := codes.New(codes.VersionConflict, "fake: another change was first")
	for name, c := range map[string]struct {
		line   string
		set    func(*fakeControl)
		code   int
		drains int
		want   string // part of the output or errors
	}{
		"waits":          {"drain desk-1 --host HOST", func(c *fakeControl) { c.left = []int64{3, 1, 0} }, 0, 1, "is done"},
		"shows progress": {"drain desk-1 --host HOST", func(c *fakeControl) { c.left = []int64{3, 1, 0} }, 0, 1, "3 requests left"},
		"repeated": {"drain desk-1 --host HOST", func(c *fakeControl) {
			c.status.Drains = []admin.DrainStatus{inForce}
			c.left = []int64{2, 2, 0}
		}, 0, 0, "under way already"},
		"no wait":       {"drain desk-1 --host HOST --no-wait", func(c *fakeControl) { c.left = []int64{3, 3} }, 0, 1, "is under way"},
		"two hosts":     {"drain desk-1 --host HOST --host HOST", func(c *fakeControl) { c.left = []int64{0, 5, 0, 0} }, 0, 1, "5 requests left on 2 hosts"},
		"silent host":   {"drain desk-1 --host HOST --host 127.0.0.1:1 --wait-limit 50ms", func(*fakeControl) {}, 1, 1, "was not done yet"},
		"lagging host":  {"drain desk-1 --host HOST --host LAGGING --wait-limit 50ms", func(*fakeControl) {}, 1, 1, "was not done yet"},
		"gives up":      {"drain desk-1 --host HOST --wait-limit 50ms", func(c *fakeControl) { c.left = repeated(1 << 16) }, 1, 1, "run the command again"},
		"refused":       {"drain desk-1 --host HOST", func(c *fakeControl) { c.refusal = conflict }, 1, 0, "error 8002"},
		"answer lost":   {"drain desk-1 --host HOST", func(c *fakeControl) { c.refusal, c.lost = conflict, true }, 0, 1, "by another attempt"},
		"stop of host":  {"stop h3 --kind host --host HOST --wait-limit 50ms", func(*fakeControl) {}, 1, 1, "the host has not ended"},
		"host ended":    {"stop h9 --kind host --host HOST", func(*fakeControl) {}, 0, 1, "is done"},
		"stop of drain": {"stop desk-1 --host HOST", func(c *fakeControl) { c.status.Drains = []admin.DrainStatus{inForce} }, 0, 1, "stop of server desk-1 is done"},
		"bad limit":     {"drain desk-1 --host HOST --wait-limit 0s", func(*fakeControl) {}, 2, 0, "--wait-limit"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv("AZURERING_SECRET", credential)
			f := newFixture(t)
			c.set(f.control)
			code, out, errs := f.run(context.Background(), c.line)
			require.Equal(t, c.code, code, "%s%s", out, errs)
			require.Equal(t, c.drains, f.control.drains, "drains published")
			require.Contains(t, out+errs, c.want)
		})
	}
}

func repeated(n int) []int64 {
	out := make([]int64, n)
	for i := range out {
		out[i] = 2
	}
	return out
}

// Guards against a command without help and a flag without a help text.
func TestHelp(t *testing.T) {
	f := newFixture(t)
	for _, line := range []string{
		"", "entry", "demo", "sheet", "sheet check", "sheet apply", "sheet show", "sheet status", "key", "key grant", "key withdraw",
		"key list", "shift", "drain", "stop", "resume", "hosts", "status", "ask", "report",
	} {
		code, out, errs := f.run(context.Background(), line+" --help")
		require.Zero(t, code, errs)
		for row := range strings.Lines(out) {
			flag, text, _ := strings.Cut(strings.TrimSpace(row), "  ")
			if strings.HasPrefix(flag, "--") && flag != "--help, -h" {
				require.Contains(t, text, ".", "%s: %s", line, row)
			}
		}
	}
}

// Guards against a credential that is sent to a host with an unverified
// certificate, and against certificate flags that have no effect.
func TestTLS(t *testing.T) {
	t.Setenv("AZURERING_SECRET", credential)
	f := newFixture(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := admin.New(admin.Config{Control: f.control, Secret: credential, Metrics: http.NotFoundHandler(), Log: log})
	s := httptest.NewTLSServer(h)
	s.Config.ErrorLog = stdlog.New(io.Discard, "", 0)
	t.Cleanup(s.Close)
	f.addr = s.Listener.Addr().String()
	f.writeFile(t, "ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw})))
	for _, c := range []struct {
		line string
		code int
		want string
	}{
		{"status --host HOST --ca DIR/ca.pem", 0, "kushiro"},
		{"status --host https://HOST --ca DIR/ca.pem", 0, "kushiro"},
		{"status --host https://HOST", 1, "error 7001"},
		{"status --host HOST", 1, "error 7"},
	} {
		code, out, errs := f.run(context.Background(), c.line)
		require.Equal(t, c.code, code, "%s: %s%s", c.line, out, errs)
		require.Contains(t, out+errs, c.want)
	}
}
