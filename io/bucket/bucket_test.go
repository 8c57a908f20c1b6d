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

// harness provides an object store and injects the faults that package fakes
// defines.
type harness interface {
	objects() core.ObjectStore
	setFault(t *testing.T, f fakes.Fault)
}

type fakeHarness struct{ fakes.Objects }

func (h *fakeHarness) objects() core.ObjectStore            { return &h.Objects }
func (h *fakeHarness) setFault(_ *testing.T, f fakes.Fault) { h.SetFault(f) }

// emulatorHarness uses the real client with the platform emulator. faultKinds
// maps each fault of the fake to the emulator's equivalent.
type emulatorHarness struct {
	emulator   *stand.Stand
	client     *bucket.Objects
	faultKinds map[fakes.Fault]stand.FaultKind
}

func newEmulatorHarness(t *testing.T, faultKinds map[fakes.Fault]stand.FaultKind) *emulatorHarness {
	t.Helper()
	emulator := stand.New(stand.Config{Timer: timer.NewManual()})
	require.NoError(t, emulator.Listen("127.0.0.1:0"))
	t.Cleanup(func() { _ = emulator.Close() })
	client, err := bucket.New(bucket.Config{Endpoint: emulator.URL() + stand.ObjectsPath, AccessKey: "host-a", SecretKey: "secret"})
	require.NoError(t, err)
	return &emulatorHarness{emulator, client, faultKinds}
}

func (h *emulatorHarness) objects() core.ObjectStore { return h.client }

func (h *emulatorHarness) setFault(t *testing.T, f fakes.Fault) {
	t.Helper()
	require.NoError(t, h.emulator.SetDown(f == fakes.FaultUnavailable))
	switch f {
	case fakes.FaultNone, fakes.FaultUnavailable:
		require.NoError(t, h.emulator.SetFaults())
	case fakes.FaultThrottled:
		// One read and one write use up the limits. The manual clock doesn't
		// advance, so they don't refill.
		require.NoError(t, h.emulator.SetFaults(stand.Fault{Kind: stand.FaultThrottle, ReadsPerSecond: 1, WritesPerSecond: 1}))
		require.NoError(t, h.client.Put(t.Context(), "other", nil))
		_, err := h.client.Get(t.Context(), "other")
		require.NoError(t, err)
	default:
		require.NoError(t, h.emulator.SetFaults(stand.Fault{Kind: h.faultKinds[f]}))
	}
}

func put(t *testing.T, h harness, name, body string) codes.Code {
	t.Helper()
	return codes.Of(h.objects().Put(t.Context(), name, []byte(body)))
}

func requireBody(t *testing.T, h harness, name, want string) {
	t.Helper()
	got, err := h.objects().Get(t.Context(), name)
	require.NoError(t, err)
	require.Equal(t, want, string(got))
}

func requireAbsent(t *testing.T, h harness, name string) {
	t.Helper()
	_, err := h.objects().Get(t.Context(), name)
	require.Equal(t, codes.StoreAbsent, codes.Of(err))
}

var contractCases = []struct {
	name string
	run  func(t *testing.T, h harness)
}{
	{"put and get", func(t *testing.T, h harness) {
		requireAbsent(t, h, "sheet/a b+c")
		require.Equal(t, codes.OK, put(t, h, "sheet/a b+c", "one"))
		requireBody(t, h, "sheet/a b+c", "one")
		require.Equal(t, codes.OK, put(t, h, "sheet/a b+c", "two"))
		requireBody(t, h, "sheet/a b+c", "two")
		requireAbsent(t, h, "sheet/a")
	}},
	{"empty and large bodies", func(t *testing.T, h harness) {
		require.Equal(t, codes.OK, put(t, h, "empty", ""))
		requireBody(t, h, "empty", "")
		large := string(bytes.Repeat([]byte("0123456789"), 500_000))
		require.Equal(t, codes.OK, put(t, h, "large", large))
		requireBody(t, h, "large", large)
	}},
	{"store down", func(t *testing.T, h harness) {
		require.Equal(t, codes.OK, put(t, h, "a", "one"))
		h.setFault(t, fakes.FaultUnavailable)
		// Read first, so that the client discards the connection that the
		// outage closed. A put on that connection would have an unknown outcome
		// (StoreUnknown).
		_, err := h.objects().Get(t.Context(), "a")
		require.Equal(t, codes.StoreDown, codes.Of(err))
		require.Equal(t, codes.StoreDown, put(t, h, "a", "two"))
		h.setFault(t, fakes.FaultNone)
		requireBody(t, h, "a", "one")
	}},
	{"response lost", func(t *testing.T, h harness) {
		h.setFault(t, fakes.FaultLostResponse)
		require.Equal(t, codes.StoreUnknown, put(t, h, "a", "one"))
		h.setFault(t, fakes.FaultNone)
		requireBody(t, h, "a", "one")
	}},
	{"request lost", func(t *testing.T, h harness) {
		h.setFault(t, fakes.FaultLostRequest)
		require.Equal(t, codes.StoreUnknown, put(t, h, "a", "one"))
		h.setFault(t, fakes.FaultNone)
		requireAbsent(t, h, "a")
	}},
	{"throttled", func(t *testing.T, h harness) {
		h.setFault(t, fakes.FaultThrottled)
		require.Equal(t, codes.StoreLimit, put(t, h, "a", "one"))
		_, err := h.objects().Get(t.Context(), "a")
		require.Equal(t, codes.StoreLimit, codes.Of(err))
		h.setFault(t, fakes.FaultNone)
		requireAbsent(t, h, "a")
	}},
}

// Guards against the fake store and the real client reporting different result
// codes for the same outcome. The emulator loses a put or its response either by
// closing the connection or by returning an internal error.
func TestContract(t *testing.T) {
	for _, c := range contractCases {
		t.Run("fake/"+c.name, func(t *testing.T) { c.run(t, &fakeHarness{}) })
		t.Run("dropped/"+c.name, func(t *testing.T) {
			c.run(t, newEmulatorHarness(t, map[fakes.Fault]stand.FaultKind{
				fakes.FaultLostResponse: stand.FaultDropAfter, fakes.FaultLostRequest: stand.FaultDropBefore,
			}))
		})
		t.Run("failed/"+c.name, func(t *testing.T) {
			c.run(t, newEmulatorHarness(t, map[fakes.Fault]stand.FaultKind{
				fakes.FaultLostResponse: stand.FaultFailAfter, fakes.FaultLostRequest: stand.FaultFailBefore,
			}))
		})
	}
}

// Guards against returning a body that the service sent only in part.
func TestTruncatedBody(t *testing.T) {
	h := newEmulatorHarness(t, nil)
	require.Equal(t, codes.OK, put(t, h, "a", "0123456789"))
	require.NoError(t, h.emulator.SetFaults(stand.Fault{Kind: stand.FaultTruncate, MaxRequests: 1}))
	body, err := h.client.Get(t.Context(), "a")
	require.Equal(t, codes.StoreDown, codes.Of(err))
	require.Nil(t, body)
	requireBody(t, h, "a", "0123456789")
}

// Guards against sending or accepting bodies above MaxBody, and against
// reporting a put as not written when it may have been applied.
func TestBoundAndClassification(t *testing.T) {
	status, response, requests := http.StatusOK, "", 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests++
		w.WriteHeader(status)
		_, _ = w.Write([]byte(response))
	}))
	defer server.Close()
	var counted []codes.Code
	o, err := bucket.New(bucket.Config{
		Endpoint: server.URL, AccessKey: "a", SecretKey: "s", MaxObjectBytes: 4,
		OnRequest: func(_ bucket.Op, _ int, code codes.Code) { counted = append(counted, code) },
	})
	require.NoError(t, err)
	require.Equal(t, codes.Internal, codes.Of(o.Put(t.Context(), "a", []byte("12345"))))
	require.Equal(t, codes.Internal, codes.Of(o.Put(t.Context(), "", []byte("1"))))
	require.Empty(t, counted)
	for _, c := range []struct {
		status   int
		response string
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
		status, response, requests, counted = c.status, c.response, 0, nil
		require.Equal(t, c.put, codes.Of(o.Put(t.Context(), "a", []byte("1"))), "%+v", c)
		_, err := o.Get(t.Context(), "a")
		require.Equal(t, c.get, codes.Of(err), "%+v: %v", c, err)
		require.Equal(t, []codes.Code{c.put, c.get}, counted)
		require.Equal(t, 2, requests, "request was retried")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, codes.StoreDown, codes.Of(o.Put(ctx, "a", []byte("1"))), "put must not be sent after its context ended")
	for _, cfg := range []bucket.Config{{AccessKey: "a", SecretKey: "s"}, {Endpoint: server.URL, SecretKey: "s"}, {Endpoint: server.URL, AccessKey: "a"}} {
		_, err := bucket.New(cfg)
		require.Equal(t, codes.SettingsInvalid, codes.Of(err))
	}
}
