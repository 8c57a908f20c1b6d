// Package metric holds the OpenTelemetry instruments of an entry host and
// their Prometheus endpoint.
package metric

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"azurering/core"
	"azurering/core/codes"
)

// latencyBounds are the histogram bounds in seconds, from a request inside a
// failure domain to an order that waits.
var latencyBounds = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30}

// Metrics holds the instruments. It is safe for concurrent use.
type Metrics struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry
	meter    metric.Meter
	latency  metric.Float64Histogram
	bytes    metric.Int64Counter
	refused  metric.Int64Counter
	lookups  metric.Int64Counter
	store    metric.Int64Counter
}

// New returns metrics with their own registry.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "metric: exporter")
	}
	m := &Metrics{registry: registry, provider: sdk.NewMeterProvider(sdk.WithReader(exporter))}
	m.meter = m.provider.Meter("azurering")
	return m, m.instruments()
}

func (m *Metrics) instruments() error {
	var err error
	if m.latency, err = m.meter.Float64Histogram("azurering_request_seconds", metric.WithUnit("s"),
		metric.WithDescription("Time from the request to the end of its answer."),
		metric.WithExplicitBucketBoundaries(latencyBounds...)); err != nil {
		return errors.Wrap(err, "metric: latency")
	}
	counters := []struct {
		into *metric.Int64Counter
		name string
		text string
	}{
		{&m.bytes, "azurering_answer_bytes", "Bytes of answers sent to callers."},
		{&m.refused, "azurering_refused", "Requests refused, by result code."},
		{&m.lookups, "azurering_lookups", "Look-ups answered."},
		{&m.store, "azurering_store_operations", "Operations on the platform's store, by kind and result code."},
	}
	for _, c := range counters {
		if *c.into, err = m.meter.Int64Counter(c.name, metric.WithDescription(c.text)); err != nil {
			return errors.Wrap(err, "metric: "+c.name)
		}
	}
	return nil
}

// RecordRequest records a request that was answered.
func (m *Metrics) RecordRequest(w core.WorkspaceID, class core.Class, took time.Duration, bytes int64) {
	set := metric.WithAttributes(attribute.String("workspace", string(w)), attribute.String("class", string(class)))
	m.latency.Record(context.Background(), took.Seconds(), set)
	m.bytes.Add(context.Background(), bytes, set)
}

// CountRefusal records a request that was refused.
func (m *Metrics) CountRefusal(w core.WorkspaceID, code codes.Code) {
	m.refused.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("workspace", string(w)), attribute.String("code", strconv.Itoa(int(code)))))
}

// CountLookup records an answered look-up.
func (m *Metrics) CountLookup() { m.lookups.Add(context.Background(), 1) }

// CountStoreOperation records one operation on the platform's store.
func (m *Metrics) CountStoreOperation(operation string, code codes.Code) {
	m.store.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("operation", operation), attribute.String("code", strconv.Itoa(int(code)))))
}

// RegisterGauge registers a value that is read when the metrics are collected.
func (m *Metrics) RegisterGauge(name, text string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(text),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrap(err, "metric: "+name)
}

// Gatherer returns the registry for reports.
func (m *Metrics) Gatherer() prometheus.Gatherer { return m.registry }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Shutdown flushes and stops the instruments.
func (m *Metrics) Shutdown(ctx context.Context) error {
	return errors.Wrap(m.provider.Shutdown(ctx), "metric: shutdown")
}
