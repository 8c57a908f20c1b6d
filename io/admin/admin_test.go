package admin_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/admin"
	"azurering/io/sheets"
)

// control is a scripted admin.Control.
type control struct {
	sheet    core.Sheet
	version  uint64
	err      error
	base     uint64
	changes  []core.Change
	withdrew core.KeyID
	status   admin.Status
}

func (c *control) Status(context.Context) (admin.Status, error) { return c.status, c.err }

func (c *control) Sheet() (core.Sheet, uint64) { return c.sheet, c.version }

func (c *control) PublishSheet(_ context.Context, s core.Sheet, base uint64) (admin.PublishResult, error) {
	c.base = base
	if c.err != nil {
		return admin.PublishResult{}, c.err
	}
	c.sheet, c.version = s, c.version+1
	return admin.PublishResult{Version: c.version, Withdrawn: []admin.WithdrawResult{{Key: "k0", Pending: []core.DomainID{"d1"}, InForce: []core.DomainID{}}}}, nil
}

func (c *control) PublishChange(_ context.Context, ch core.Change) (admin.PublishResult, error) {
	c.changes = append(c.changes, ch)
	return admin.PublishResult{Version: 9}, c.err
}

func (c *control) Withdraw(_ context.Context, k core.KeyID) (admin.WithdrawResult, error) {
	c.withdrew = k
	return admin.WithdrawResult{Key: k, Durable: true, Accepted: true, InForce: []core.DomainID{"d1"}, Pending: []core.DomainID{}}, c.err
}

func (c *control) Withdrawn(k core.KeyID) bool { return k == "old" }

func start(t *testing.T, c *control, secret string) *admin.Client {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := httptest.NewServer(admin.New(admin.Config{Control: c, Secret: "operators", Metrics: http.NotFoundHandler(), Log: log}))
	t.Cleanup(s.Close)
	return admin.NewClient(admin.ClientConfig{URL: s.URL, Secret: secret})
}

func small() core.Sheet {
	return core.Sheet{
		Name:       "small",
		Regions:    []core.Region{{Name: "r1", Domains: []core.DomainID{"d1"}}},
		Workspaces: []core.Workspace{{Name: "w1", Rate: 1500, Burst: 2000}},
		Keys:       []core.Key{{Name: "k1", Workspace: "w1", Hash: [32]byte{7}}, {Name: "old", Workspace: "w1", Hash: [32]byte{8}}},
	}
}

// Guards against operators' requests that arrive with other values than
// were sent, in either direction.
func TestClientAndHandlerAgree(t *testing.T) {
	ctx := context.Background()
	c := &control{sheet: small(), version: 3, status: admin.Status{
		Host: "h1", Version: 3,
		Domains: []admin.DomainStatus{{Region: "r1", Domain: "d1", Holder: "h1", Epoch: 2, Version: 3, Hosts: 2, Reached: 1, Free: 4, Total: 6}},
		Hosts:   []admin.HostStatus{{Host: core.Host{Name: "h1", Domain: "d1", State: core.HostLive, CallerAddress: "127.0.0.1:1"}, Reached: true, Version: 3, Fresh: true}},
		Drains:  []admin.DrainStatus{{Kind: core.DrainServer, Target: "s1", Mode: core.ModeStop, Phase: "draining", Left: 2, Within: time.Minute}},
		Shares:  []admin.ShareStatus{{Workspace: "w1", Limit: core.Amount{Rate: 1500, Burst: 2000}, Domain: core.Amount{Rate: 500}, Host: core.Amount{Rate: 250}}},
		Shifts:  []core.Shift{{Name: "s", From: "r1", To: "r2", SharePerMille: 250, Cap: 40_500}},
		Servers: 5,
	}}
	client := start(t, c, "operators")

	status, err := client.Status(ctx)
	require.NoError(t, err)
	require.Equal(t, c.status, status)

	raw, version, err := client.Sheet(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 3, version)
	read, err := sheets.Parse(raw)
	require.NoError(t, err)
	require.Equal(t, small(), read)

	published, err := client.ApplySheet(ctx, raw, 3)
	require.NoError(t, err)
	require.EqualValues(t, 3, c.base)
	require.Equal(t, admin.PublishResult{Version: 4, Withdrawn: []admin.WithdrawResult{{Key: "k0", InForce: []core.DomainID{}, Pending: []core.DomainID{"d1"}}}}, published)

	keys, err := client.Keys(ctx)
	require.NoError(t, err)
	require.Equal(t, []admin.KeyStatus{{Name: "k1", Workspace: "w1"}, {Name: "old", Workspace: "w1", Withdrawn: true}}, keys)

	withdrawn, err := client.WithdrawKey(ctx, "k1")
	require.NoError(t, err)
	require.Equal(t, core.KeyID("k1"), c.withdrew)
	require.True(t, withdrawn.Accepted)

	key := core.Key{Name: "k2", Workspace: "w1", Hash: [32]byte{9, 9}}
	shift := core.Shift{Name: "s", From: "r1", To: "r2", SharePerMille: 250, Cap: 40_500}
	drain := core.Drain{Kind: core.DrainHost, Target: "h1", Mode: core.ModeStop, Timeout: 90 * time.Second}
	_, err = client.GrantKey(ctx, key)
	require.NoError(t, err)
	_, err = client.AddShift(ctx, shift)
	require.NoError(t, err)
	_, err = client.AddDrain(ctx, drain)
	require.NoError(t, err)
	_, err = client.Resume(ctx, "h1")
	require.NoError(t, err)
	require.Equal(t, []core.Change{
		{Kind: core.ChangeGrant, Key: key},
		{Kind: core.ChangeShift, Shift: shift},
		{Kind: core.ChangeDrain, Drain: drain},
		{Kind: core.ChangeResume, Target: "h1"},
	}, c.changes)
}

// Guards against refusals that lose their code on the way, and against
// faulty input that reaches the configuration.
func TestRefusals(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name   string
		err    error
		secret string
		call   func(*admin.Client) error
		code   codes.Code
		text   string
	}{
		{"wrong credential", nil, "guess", func(c *admin.Client) error { _, err := c.Status(ctx); return err }, codes.OperatorDenied, "credential"},
		{"no credential", nil, "", func(c *admin.Client) error { _, err := c.Keys(ctx); return err }, codes.OperatorDenied, "credential"},
		{"lost race", codes.New(codes.VersionConflict, "config: version 5 was published first"), "operators", func(c *admin.Client) error {
			raw, _ := sheets.Format(small())
			_, err := c.ApplySheet(ctx, raw, 0)
			return err
		}, codes.VersionConflict, "version 5"},
		{"faulty sheet", nil, "operators", func(c *admin.Client) error {
			_, err := c.ApplySheet(ctx, []byte("name = 1"), 0)
			return err
		}, codes.SheetInvalid, "line 1"},
		{"faulty sheet at a check", nil, "operators", func(c *admin.Client) error {
			_, err := c.CheckSheet(ctx, []byte("[[regions]]"))
			return err
		}, codes.SheetInvalid, "unknown key"},
		{"name of a withdrawn key", nil, "operators", func(c *admin.Client) error {
			_, err := c.GrantKey(ctx, core.Key{Name: "old", Workspace: "w1"})
			return err
		}, codes.ChangeInvalid, "not used again"},
		{"store down", codes.New(codes.StoreDown, "dynamo: no connection"), "operators", func(c *admin.Client) error { _, err := c.Resume(ctx, "x"); return err }, codes.StoreDown, "no connection"},
		{"error without a code", errors.New("plain"), "operators", func(c *admin.Client) error { _, err := c.WithdrawKey(ctx, "x"); return err }, codes.Internal, "plain"},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctl := &control{err: c.err}
			err := c.call(start(t, ctl, c.secret))
			require.Equal(t, c.code, codes.Of(err), "%v", err)
			require.ErrorContains(t, err, c.text)
			require.Zero(t, ctl.version)
		})
	}
}

// Guards against bodies with unknown fields or of the wrong kind, which
// would be half understood.
func TestMalformedBodies(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctl := &control{}
	h := admin.New(admin.Config{Control: ctl, Secret: "s", Metrics: http.NotFoundHandler(), Log: log})
	for _, c := range []struct{ path, body string }{
		{"/v1/keys", `{"name":"k","workspace":"w","hash":"00"}`},
		{"/v1/keys", `{"nome":"k"}`},
		{"/v1/drains", `{"kind":"server","target":"s","mode":"drain","within":"soon"}`},
		{"/v1/drains", `[]`},
		{"/v1/resume", ``},
		{"/v1/sheet?base=x", ``},
	} {
		req := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
		req.Header.Set("Authorization", "Bearer s")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		require.GreaterOrEqual(t, w.Code, 400, c.body)
		require.Less(t, w.Code, 500, c.body)
	}
	require.Empty(t, ctl.changes)
}

// Guards against a client that takes a foreign server's answer for success.
func TestForeignServer(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	_, err := admin.NewClient(admin.ClientConfig{URL: s.URL}).Status(context.Background())
	require.Equal(t, codes.PeerRefused, codes.Of(err))
	s.Close()
	_, err = admin.NewClient(admin.ClientConfig{URL: s.URL}).Status(context.Background())
	require.Equal(t, codes.PeerDown, codes.Of(err))
}
