package bucket_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/timer"
	"azurering/io/bucket"
	"azurering/io/stand"
)

type world interface {
	objects() core.ObjectStore
	fault(t *testing.T, f fakes.Fault)
}

type fakeWorld struct{ fakes.Objects }

func (w *fakeWorld) objects() core.ObjectStore         { return &w.Objects }
func (w *fakeWorld) fault(_ *testing.T, f fakes.Fault) { w.SetFault(f) }

type standWorld struct {
	stand   *stand.Stand
	client  *bucket.Objects
	variant map[fakes.Fault]stand.FaultKind
}

func newStandWorld(t *testing.T, variant map[fakes.Fault]stand.FaultKind) *standWorld {
	t.Helper()
	s := stand.New(stand.Config{Timer: timer.NewManual()})
	require.NoError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(func() { _ = s.Close() })
	client, err := bucket.New(bucket.Config{Endpoint: s.URL() + stand.ObjectsPath, AccessKey: "host-a", SecretKey: "secret"})
	require.NoError(t, err)
	return &standWorld{s, client, variant}
}

func (w *standWorld) objects() core.ObjectStore { return w.client }

func (w *standWorld) fault(t *testing.T, f fakes.Fault) {
	t.Helper()
	require.NoError(t, w.stand.SetDown(f == fakes.FaultUnavailable))
	switch f {
	case fakes.FaultNone, fakes.FaultUnavailable:
		require.NoError(t, w.stand.SetFaults())
	case fakes.FaultThrottled:
		// One read and one write use up the limits; time stands still.
		require.NoError(t, w.stand.SetFaults(stand.Fault{Kind: stand.FaultLimit, Reads: 1, Writes: 1}))
		require.NoError(t, w.client.Put(t.Context(), "other", nil))
		_, err := w.client.Get(t.Context(), "other")
		require.NoError(t, err)
	default:
		require.NoError(t, w.stand.SetFaults(stand.Fault{Kind: w.variant[f]}))
	}
}

func put(t *testing.T, w world, name, body string) codes.Code {
	t.Helper()
	return codes.Of(w.objects().Put(t.Context(), name, []byte(body)))
}

func requireBody(t *testing.T, w world, name, want string) {
	t.Helper()
	got, err := w.objects().Get(t.Context(), name)
	require.NoError(t, err)
	require.Equal(t, want, string(got))
}

func requireAbsent(t *testing.T, w world, name string) {
	t.Helper()
	_, err := w.objects().Get(t.Context(), name)
	require.Equal(t, codes.StoreAbsent, codes.Of(err))
}

var contract = []struct {
	name string
	run  func(t *testing.T, w world)
}{
	{"put and get", func(t *testing.T, w world) {
		requireAbsent(t, w, "sheet/a b+c")
		require.Equal(t, codes.OK, put(t, w, "sheet/a b+c", "one"))
		requireBody(t, w, "sheet/a b+c", "one")
		require.Equal(t, codes.OK, put(t, w, "sheet/a b+c", "two"))
		requireBody(t, w, "sheet/a b+c", "two")
		requireAbsent(t, w, "sheet/a")
	}},
	{"empty and large bodies", func(t *testing.T, w world) {
		require.Equal(t, codes.OK, put(t, w, "empty", ""))
		requireBody(t, w, "empty", "")
		large := string(bytes.Repeat([]byte("0123456789"), 500_000))
		require.Equal(t, codes.OK, put(t, w, "large", large))
		requireBody(t, w, "large", large)
	}},
	{"down", func(t *testing.T, w world) {
		require.Equal(t, codes.OK, put(t, w, "a", "one"))
		w.fault(t, fakes.FaultUnavailable)
		// The read comes first: a put on the connection that the outage has
		// just closed cannot know whether it was received (StoreUnknown).
		_, err := w.objects().Get(t.Context(), "a")
		require.Equal(t, codes.StoreDown, codes.Of(err))
		require.Equal(t, codes.StoreDown, put(t, w, "a", "two"))
		w.fault(t, fakes.FaultNone)
		requireBody(t, w, "a", "one")
	}},
	{"answer lost", func(t *testing.T, w world) {
		w.fault(t, fakes.FaultLostResponse)
		require.Equal(t, codes.StoreUnknown, put(t, w, "a", "one"))
		w.fault(t, fakes.FaultNone)
		requireBody(t, w, "a", "one")
	}},
	{"put lost", func(t *testing.T, w world) {
		w.fault(t, fakes.FaultLostRequest)
		require.Equal(t, codes.StoreUnknown, put(t, w, "a", "one"))
		w.fault(t, fakes.FaultNone)
		requireAbsent(t, w, "a")
	}},
	{"throttled", func(t *testing.T, w world) {
		w.fault(t, fakes.FaultThrottled)
		require.Equal(t, codes.StoreLimit, put(t, w, "a", "one"))
		_, err := w.objects().Get(t.Context(), "a")
		require.Equal(t, codes.StoreLimit, codes.Of(err))
		w.fault(t, fakes.FaultNone)
		requireAbsent(t, w, "a")
	}},
}

// Guards against the fake store and the real client telling outcomes apart
// differently.
func TestContract(t *testing.T) {
	for _, c := range contract {
		t.Run("fake/"+c.name, func(t *testing.T) { c.run(t, &fakeWorld{}) })
		t.Run("dropped/"+c.name, func(t *testing.T) {
			c.run(t, newStandWorld(t, map[fakes.Fault]stand.FaultKind{
				fakes.FaultLostResponse: stand.FaultDropAfter, fakes.FaultLostRequest: stand.FaultCut,
			}))
		})
		t.Run("failed/"+c.name, func(t *testing.T) {
			c.run(t, newStandWorld(t, map[fakes.Fault]stand.FaultKind{
				fakes.FaultLostResponse: stand.FaultFailAfter, fakes.FaultLostRequest: stand.FaultFailBefore,
			}))
		})
	}
}

// Guards against a body that is cut short being taken for a whole one.
func TestTruncatedBody(t *testing.T) {
	w := newStandWorld(t, nil)
	require.Equal(t, codes.OK, put(t, w, "a", "0123456789"))
	require.NoError(t, w.stand.SetFaults(stand.Fault{Kind: stand.FaultTruncate, Count: 1}))
	body, err := w.client.Get(t.Context(), "a")
	require.Equal(t, codes.StoreDown, codes.Of(err))
	require.Nil(t, body)
	requireBody(t, w, "a", "0123456789")
}

// Guards against bodies over the bound, and against answers of a service
// being classified as safer than they are.
func TestBoundAndClassification(t *testing.T) {
	status, answer, requests := http.StatusOK, "", 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests++
		w.WriteHeader(status)
		_, _ = w.Write([]byte(answer))
	}))
	defer server.Close()
	var counted []codes.Code
	o, err := bucket.New(bucket.Config{
		Endpoint: server.URL, AccessKey: "a", SecretKey: "s", MaxBody: 4,
		Count: func(_ bucket.Op, _ int, code codes.Code) { counted = append(counted, code) },
	})
	require.NoError(t, err)
	require.Equal(t, codes.Internal, codes.Of(o.Put(t.Context(), "a", []byte("12345"))))
	require.Equal(t, codes.Internal, codes.Of(o.Put(t.Context(), "", []byte("1"))))
	require.Empty(t, counted)
	for _, c := range []struct {
		status   int
		answer   string
		put, get codes.Code
	}{
		{http.StatusOK, "1234", codes.OK, codes.OK},
		{http.StatusOK, "12345", codes.OK, codes.StoreDown},
		{http.StatusForbidden, "<Error><Code>AccessDenied</Code></Error>", codes.StoreDown, codes.StoreDown},
		{http.StatusNotFound, "<Error><Code>NoSuchBucket</Code></Error>", codes.StoreDown, codes.StoreDown},
		{http.StatusNotFound, "<Error><Code>NoSuchKey</Code></Error>", codes.StoreDown, codes.StoreAbsent},
		{http.StatusTooManyRequests, "", codes.StoreLimit, codes.StoreLimit},
		{http.StatusServiceUnavailable, "<Error><Code>SlowDown</Code></Error>", codes.StoreLimit, codes.StoreLimit},
		{http.StatusServiceUnavailable, "", codes.StoreUnknown, codes.StoreDown},
		{http.StatusInternalServerError, "", codes.StoreUnknown, codes.StoreDown},
	} {
		status, answer, requests, counted = c.status, c.answer, 0, nil
		require.Equal(t, c.put, codes.Of(o.Put(t.Context(), "a", []byte("1"))), "%+v", c)
		_, err := o.Get(t.Context(), "a")
		require.Equal(t, c.get, codes.Of(err), "%+v: %v", c, err)
		require.Equal(t, []codes.Code{c.put, c.get}, counted)
		require.Equal(t, 2, requests, "a request was repeated")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, codes.StoreDown, codes.Of(o.Put(ctx, "a", []byte("1"))), "not sent")
	for _, cfg := range []bucket.Config{{AccessKey: "a", SecretKey: "s"}, {Endpoint: server.URL, SecretKey: "s"}, {Endpoint: server.URL, AccessKey: "a"}} {
		_, err := bucket.New(cfg)
		require.Equal(t, codes.SettingsInvalid, codes.Of(err))
	}
}
