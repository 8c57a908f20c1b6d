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

// Guards against a commit that takes effect after its caller gave up being
// reported as not written.
func TestSlowCommitTakesEffectLater(t *testing.T) {
	w := newStandWorld(t, nil)
	require.NoError(t, w.stand.SetFaults(stand.Fault{Kind: stand.FaultSlow, Delay: time.Minute, Count: 1}))
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- w.client.Commit(ctx, []core.Write{put("a", 0, "t1")}) }()
	require.Eventually(t, func() bool { return len(w.stand.Faults()) == 0 }, 10*time.Second, time.Millisecond)
	cancel()
	err := <-result
	require.Equal(t, codes.StoreUnknown, codes.Of(err))
	require.ErrorIs(t, err, context.Canceled)
	requireRow(t, w.client, core.Row{Space: core.SpaceSeat, Key: "a"})
	require.Eventually(t, func() bool {
		w.clock.Advance(time.Minute)
		r, err := w.client.Get(t.Context(), core.SpaceSeat, "a")
		return err == nil && r.Version == 1
	}, 10*time.Second, time.Millisecond)
}

// Guards against a commit whose context had ended being sent or being
// reported as unknown.
func TestEndedContextIsNotSent(t *testing.T) {
	w := newStandWorld(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, codes.StoreDown, codes.Of(w.client.Commit(ctx, []core.Write{put("a", 0, "t1")})))
	requireRow(t, w.client, core.Row{Space: core.SpaceSeat, Key: "a"})
}

// Guards against a partition reaching further than one identity.
func TestPartitionByIdentity(t *testing.T) {
	w := newStandWorld(t, nil)
	other := newTable(t, w.stand, "host-b")
	require.NoError(t, w.stand.SetFaults(stand.Fault{Kind: stand.FaultCut, Identity: "host-a"}))
	require.Equal(t, codes.StoreUnknown, commit(t, w.client, put("a", 0, "t1")))
	_, err := w.client.Get(t.Context(), core.SpaceSeat, "a")
	require.Equal(t, codes.StoreDown, codes.Of(err))
	require.Equal(t, codes.OK, commit(t, other, put("a", 0, "t2")))
	requireRow(t, other, row("a", 1, "t2"))
}

// Guards against a row held by another transaction being taken for a
// condition that did not hold.
func TestContentionIsNotAConflict(t *testing.T) {
	w := newStandWorld(t, nil)
	require.NoError(t, w.stand.SetFaults(stand.Fault{Kind: stand.FaultContend, Count: 1}))
	require.Equal(t, codes.StoreLimit, commit(t, w.client, put("a", 0, "t1")))
	require.Equal(t, codes.OK, commit(t, w.client, put("a", 0, "t1")))
}

// Guards against answers of the service that the stand-in does not give
// being classified as safer than they are.
func TestClassification(t *testing.T) {
	const prefix = `{"__type":"com.amazonaws.dynamodb.v20120810#`
	for _, c := range []struct {
		name   string
		status int
		body   string
		commit codes.Code
		read   codes.Code
	}{
		{"conflict beats throttling", 400, prefix + `TransactionCanceledException","CancellationReasons":[{"Code":"ThrottlingError"},{"Code":"ConditionalCheckFailed"}]}`, codes.StoreConflict, codes.StoreDown},
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
			require.Equal(t, 1, requests, "a commit was repeated")
			_, err = table.Get(t.Context(), core.SpaceSeat, "a")
			require.Equal(t, c.read, codes.Of(err), "%v", err)
		})
	}
}

// Guards against items of another shape being taken for rows.
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

// Guards against operations that the metrics miss.
func TestCount(t *testing.T) {
	s := stand.New(stand.Config{})
	require.NoError(t, s.Listen("127.0.0.1:0"))
	defer func() { _ = s.Close() }()
	type event struct {
		op   dynamo.Op
		rows int
		code codes.Code
	}
	var events []event
	table, err := dynamo.New(dynamo.Config{
		Endpoint: s.URL() + stand.TablePath, AccessKey: "a", SecretKey: "s",
		Count: func(op dynamo.Op, rows int, code codes.Code) { events = append(events, event{op, rows, code}) },
	})
	require.NoError(t, err)
	commit(t, table, put("a", 0, "t1"), put("b", 0, "t1"))
	commit(t, table, put("a", 0, "t1"))
	_, _ = table.Get(t.Context(), core.SpaceSeat, "a")
	_, _ = table.List(t.Context(), core.SpaceSeat, "", 0)
	require.Equal(t, []event{
		{dynamo.OpCommit, 2, codes.OK},
		{dynamo.OpCommit, 1, codes.StoreConflict},
		{dynamo.OpGet, 1, codes.OK},
		{dynamo.OpList, 2, codes.OK},
	}, events)
}

// Guards against settings that would make the client look elsewhere for an
// endpoint or for credentials.
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
