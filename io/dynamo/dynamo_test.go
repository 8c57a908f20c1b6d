package dynamo_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/dynamo"
	"azurering/io/stand"
)

// Guards against reporting a commit as not written when it still takes effect
// after its caller's context was cancelled.
func TestSlowCommitTakesEffectLater(t *testing.T) {
	h := newEmulatorHarness(t, nil)
	require.NoError(t, h.emulator.SetFaults(stand.Fault{Kind: stand.FaultDelay, Delay: time.Minute, MaxRequests: 1}))
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- h.client.Commit(ctx, []core.Write{put("a", 0, "t1")}) }()
	require.Eventually(t, func() bool { return len(h.emulator.Faults()) == 0 }, 10*time.Second, time.Millisecond)
	cancel()
	err := <-result
	require.Equal(t, codes.StoreUnknown, codes.Of(err))
	require.ErrorIs(t, err, context.Canceled)
	requireRow(t, h.client, core.Row{Space: core.SpaceSeat, Key: "a"})
	require.Eventually(t, func() bool {
		h.clock.Advance(time.Minute)
		r, err := h.client.Get(t.Context(), core.SpaceSeat, "a")
		return err == nil && r.Version == 1
	}, 10*time.Second, time.Millisecond)
}

// Guards against a commit being sent, or reported as unknown, when its context
// had already ended.
func TestEndedContextIsNotSent(t *testing.T) {
	h := newEmulatorHarness(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, codes.StoreDown, codes.Of(h.client.Commit(ctx, []core.Write{put("a", 0, "t1")})))
	requireRow(t, h.client, core.Row{Space: core.SpaceSeat, Key: "a"})
}

// Guards against the emulator's faults for one access key affecting the
// requests of others, which would make tests of network partitions wrong.
func TestPartitionByIdentity(t *testing.T) {
	h := newEmulatorHarness(t, nil)
	other := newTable(t, h.emulator, "host-b")
	require.NoError(t, h.emulator.SetFaults(stand.Fault{Kind: stand.FaultDropBefore, ClientID: "host-a"}))
	require.Equal(t, codes.StoreUnknown, commit(t, h.client, put("a", 0, "t1")))
	_, err := h.client.Get(t.Context(), core.SpaceSeat, "a")
	require.Equal(t, codes.StoreDown, codes.Of(err))
	require.Equal(t, codes.OK, commit(t, other, put("a", 0, "t2")))
	requireRow(t, other, row("a", 1, "t2"))
}

// Guards against a conflict with a concurrent transaction, which a retry can
// solve, being reported as a failed condition.
func TestContentionIsNotAConflict(t *testing.T) {
	h := newEmulatorHarness(t, nil)
	require.NoError(t, h.emulator.SetFaults(stand.Fault{Kind: stand.FaultTransactionConflict, MaxRequests: 1}))
	require.Equal(t, codes.StoreLimit, commit(t, h.client, put("a", 0, "t1")))
	require.Equal(t, codes.OK, commit(t, h.client, put("a", 0, "t1")))
}

// Guards against responses that the emulator doesn't produce being reported as
// not written although the commit may have been applied.
func TestClassification(t *testing.T) {
	const prefix = `{"__type":"com.amazonaws.dynamodb.v20120810#`
	for _, c := range []struct {
		name   string
		status int
		body   string
		commit codes.Code
		read   codes.Code
	}{
		{"failed condition precedes throttling", 400, prefix + `TransactionCanceledException","CancellationReasons":[{"Code":"ThrottlingError"},{"Code":"ConditionalCheckFailed"}]}`, codes.StoreConflict, codes.StoreDown},
		{"throttled in a transaction", 400, prefix + `TransactionCanceledException","CancellationReasons":[{"Code":"None"},{"Code":"ProvisionedThroughputExceeded"}]}`, codes.StoreLimit, codes.StoreDown},
		{"cancelled for another reason", 400, prefix + `TransactionCanceledException","CancellationReasons":[{"Code":"ValidationError"}]}`, codes.StoreDown, codes.StoreDown},
		{"cancelled without reasons", 400, prefix + `TransactionCanceledException"}`, codes.StoreDown, codes.StoreDown},
		{"throttled", 400, prefix + `ThrottlingException","message":"slow"}`, codes.StoreLimit, codes.StoreLimit},
		{"in progress", 400, prefix + `TransactionInProgressException"}`, codes.StoreUnknown, codes.StoreDown},
		{"access denied", 400, prefix + `AccessDeniedException","message":"no"}`, codes.StoreDown, codes.StoreDown},
		{"internal error", 500, prefix + `InternalServerError"}`, codes.StoreUnknown, codes.StoreDown},
		{"unavailable", 503, "", codes.StoreUnknown, codes.StoreDown},
		{"not JSON", 200, "<html>", codes.StoreUnknown, codes.StoreDown},
		{"redirect", 307, "", codes.StoreUnknown, codes.StoreDown},
	} {
		t.Run(c.name, func(t *testing.T) {
			requests := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				requests++
				w.Header().Set("Content-Type", "application/x-amz-json-1.0")
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			table, err := dynamo.New(dynamo.Config{Endpoint: server.URL, AccessKey: "a", SecretKey: "s"})
			require.NoError(t, err)
			require.Equal(t, c.commit, commit(t, table, put("a", 0, "t1")))
			require.Equal(t, 1, requests, "commit was retried")
			_, err = table.Get(t.Context(), core.SpaceSeat, "a")
			require.Equal(t, c.read, codes.Of(err), "%v", err)
		})
	}
}

// Guards against items with missing or invalid attributes being returned as
// rows.
func TestMalformedItems(t *testing.T) {
	for _, item := range []string{
		`{"space":{"S":"seat"}}`,
		`{"space":{"S":"seat"},"key":{"S":"a"},"version":{"S":"1"},"token":{"S":""},"value":{"B":""}}`,
		`{"space":{"S":"seat"},"key":{"S":"a"},"version":{"N":"0"},"token":{"S":""},"value":{"B":""}}`,
		`{"space":{"S":"seat"},"key":{"S":"a"},"version":{"N":"1.5"},"token":{"S":""},"value":{"B":""}}`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"Item":` + item + `,"Items":[` + item + `]}`))
		}))
		table, err := dynamo.New(dynamo.Config{Endpoint: server.URL, AccessKey: "a", SecretKey: "s"})
		require.NoError(t, err)
		_, err = table.Get(t.Context(), core.SpaceSeat, "a")
		require.Equal(t, codes.StoreDown, codes.Of(err))
		_, err = table.List(t.Context(), core.SpaceSeat, "", 0)
		require.Equal(t, codes.StoreDown, codes.Of(err))
		server.Close()
	}
}

// Guards against requests that Config.Count doesn't report, which would be
// missing in the metrics.
func TestCount(t *testing.T) {
	emulator := stand.New(stand.Config{})
	require.NoError(t, emulator.Listen("127.0.0.1:0"))
	defer func() { _ = emulator.Close() }()
	type request struct {
		op   dynamo.Op
		rows int
		code codes.Code
	}
	var requests []request
	table, err := dynamo.New(dynamo.Config{
		Endpoint: emulator.URL() + stand.TablePath, AccessKey: "a", SecretKey: "s",
		OnRequest: func(op dynamo.Op, rows int, code codes.Code) { requests = append(requests, request{op, rows, code}) },
	})
	require.NoError(t, err)
	commit(t, table, put("a", 0, "t1"), put("b", 0, "t1"))
	commit(t, table, put("a", 0, "t1"))
	_, _ = table.Get(t.Context(), core.SpaceSeat, "a")
	_, _ = table.List(t.Context(), core.SpaceSeat, "", 0)
	require.Equal(t, []request{
		{dynamo.OpCommit, 2, codes.OK},
		{dynamo.OpCommit, 1, codes.StoreConflict},
		{dynamo.OpGet, 1, codes.OK},
		{dynamo.OpList, 2, codes.OK},
	}, requests)
}

// Guards against the SDK falling back to an endpoint or credentials from the
// environment when the configuration is incomplete.
func TestSettingsRefused(t *testing.T) {
	for _, cfg := range []dynamo.Config{
		{AccessKey: "a", SecretKey: "s"},
		{Endpoint: "no url", AccessKey: "a", SecretKey: "s"},
		{Endpoint: "http://127.0.0.1:1", SecretKey: "s"},
		{Endpoint: "http://127.0.0.1:1", AccessKey: "a"},
	} {
		_, err := dynamo.New(cfg)
		require.Equal(t, codes.SettingsInvalid, codes.Of(err))
	}
}
