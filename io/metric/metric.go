// Package metric holds the OpenTelemetry instruments of entry hosts and edge
// processes and exports them in the Prometheus format.
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

// latencyBuckets are the histogram buckets in seconds. They range from
// requests inside a failure domain to orders that wait.
var latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30}

// Metrics holds the instruments of one process. It is safe for concurrent use.
type Metrics struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry
	meter    metric.Meter
	latency  metric.Float64Histogram
	bytes    metric.Int64Counter
	refused  metric.Int64Counter
	lookups  metric.Int64Counter
	store    metric.Int64Counter
	lapsed   metric.Int64Counter
	limited  metric.Int64Counter
	invalid  metric.Int64Counter
	permits  metric.Int64Counter
	loans    metric.Int64Counter
	entries  metric.Int64Counter
	late     metric.Int64Counter
	leaves   metric.Int64Counter
	eras     metric.Int64Counter
	ends     metric.Int64Counter
	ports    metric.Int64Counter
}

// New returns metrics with a new Prometheus registry.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "metric: Prometheus exporter cannot be created")
	}
	m := &Metrics{registry: registry, provider: sdk.NewMeterProvider(sdk.WithReader(exporter))}
	m.meter = m.provider.Meter("azurering")
	return m, m.createInstruments()
}

func (m *Metrics) createInstruments() error {
	var err error
	if m.latency, err = m.meter.Float64Histogram("azurering_request_seconds", metric.WithUnit("s"),
		metric.WithDescription("Time from the request to the end of its answer."),
		metric.WithExplicitBucketBoundaries(latencyBuckets...)); err != nil {
		return errors.Wrap(err, "metric: azurering_request_seconds cannot be created")
	}
	counters := []struct {
		counter *metric.Int64Counter
		name    string
		help    string
	}{
		{&m.bytes, "azurering_answer_bytes", "Bytes of answers sent to callers."},
		{&m.refused, "azurering_refused", "Requests refused, by result code."},
		{&m.lookups, "azurering_lookups", "Look-ups answered."},
		{&m.store, "azurering_store_operations", "Operations on the platform's store, by kind and result code."},
		{&m.lapsed, "azurering_lapsed_requests", "Requests sent to servers whose entries had lapsed."},
		{&m.limited, "azurering_limited_requests", "Requests sent to servers that were known to name a limit."},
		{&m.invalid, "azurering_invalid_limits", "Answers whose limit of requests per second cannot be used."},
		{&m.permits, "azurering_permits", "Requests for permits to use servers that name a limit, by result."},
		{&m.loans, "azurering_loans", "Requests to other hosts for a part of a workspace's rate, by result."},
		{&m.late, "azurering_catchup_late", "Changes of the store's tables that reached this host later than a quarter of a second after it had heard of them, by table."},
		{&m.leaves, "azurering_leave_notices", "Backend servers that have said in an answer, to this host or to another one, that they leave."},
		{&m.eras, "azurering_store_eras", "Times that the store was found to have come back from an older copy."},
		{&m.ends, "azurering_caller_connections_ended", "Connections of callers that ended, by reason and by what the kernel still held of them."},
		{&m.ports, "azurering_port_evictions", "Connections to the host's own HTTP servers that were closed in favor of others, or refused, by port."},
		{&m.entries, "azurering_invalid_entries", "Entries of the store's tables that cannot be used, by table."},
	}
	for _, c := range counters {
		if *c.counter, err = m.meter.Int64Counter(c.name, metric.WithDescription(c.help)); err != nil {
			return errors.Wrap(err, "metric: "+c.name)
		}
	}
	return nil
}

// RecordRequest records the duration of a request with a complete response, and the
// bytes of its body.
func (m *Metrics) RecordRequest(workspace core.WorkspaceID, class core.Class, duration time.Duration, bytes int64) {
	attributes := metric.WithAttributes(attribute.String("workspace", string(workspace)), attribute.String("class", string(class)))
	m.latency.Record(context.Background(), duration.Seconds(), attributes)
	m.bytes.Add(context.Background(), bytes, attributes)
}

// CountRefusal counts a request that got an error response. The workspace is empty
// if it is not known.
func (m *Metrics) CountRefusal(workspace core.WorkspaceID, code codes.Code) {
	m.refused.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("workspace", string(workspace)), attribute.String("code", strconv.Itoa(int(code)))))
}

// CountLookup counts a successful lookup.
func (m *Metrics) CountLookup() { m.lookups.Add(context.Background(), 1) }

// CountConnectionEnd counts the end of a caller's connection. pending says what the
// kernel still held of it: none, unread, unacked or unknown.
func (m *Metrics) CountConnectionEnd(reason, pending string) {
	m.ends.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason), attribute.String("pending", pending)))
}

// CountPortEviction counts a connection to one of the host's own HTTP servers that was
// closed in favor of another, or refused.
func (m *Metrics) CountPortEviction(port string) {
	m.ports.Add(context.Background(), 1, metric.WithAttributes(attribute.String("port", port)))
}

// CountLapsedUse counts a request that was sent to a server whose entry had
// lapsed.
func (m *Metrics) CountLapsedUse() { m.lapsed.Add(context.Background(), 1) }

// CountLimitedRequest counts a request that was sent to a server that was known to
// name a limit.
func (m *Metrics) CountLimitedRequest() { m.limited.Add(context.Background(), 1) }

// CountInvalidLimit counts an answer whose limit cannot be used.
func (m *Metrics) CountInvalidLimit() { m.invalid.Add(context.Background(), 1) }

// CountPermit counts a permit that this host asked for, of itself or of another
// host.
func (m *Metrics) CountPermit(result string) {
	m.permits.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

// CountInvalidEntry counts an entry of a table that cannot be used.
func (m *Metrics) CountInvalidEntry(table core.FeedTable) {
	m.entries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("table", string(table))))
}

// CountLateChange counts changes of a table that this host learned late.
func (m *Metrics) CountLateChange(table core.FeedTable) {
	m.late.Add(context.Background(), 1, metric.WithAttributes(attribute.String("table", string(table))))
}

// CountEra counts a return of the store from an older copy.
func (m *Metrics) CountEra() { m.eras.Add(context.Background(), 1) }

// CountLeaveNotice counts a server that has said that it leaves.
func (m *Metrics) CountLeaveNotice() { m.leaves.Add(context.Background(), 1) }

// CountLoan counts a request to another host for a part of a workspace's rate.
func (m *Metrics) CountLoan(result string) {
	m.loans.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

// CountStoreOperation counts an operation on the platform's store.
func (m *Metrics) CountStoreOperation(operation string, code codes.Code) {
	m.store.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("operation", operation), attribute.String("code", strconv.Itoa(int(code)))))
}

// RegisterGauge registers a gauge. At each collection, read is called for its value;
// it must be safe for concurrent use. The help text describes it.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrap(err, "metric: "+name)
}

// Gatherer returns the registry, from which reports read the metrics.
func (m *Metrics) Gatherer() prometheus.Gatherer { return m.registry }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Shutdown flushes and stops the instruments.
func (m *Metrics) Shutdown(ctx context.Context) error {
	return errors.Wrap(m.provider.Shutdown(ctx), "metric: shutdown of the meter provider failed")
}
