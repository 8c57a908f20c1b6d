package verbs

import (
	"bytes"
	"fmt"
	"html/template"
	"math"
	"slices"
	"strconv"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"azurering/core/codes"
)

// The metrics that a report reads.
const (
	latencyMetric = "azurering_request_seconds"
	refusedMetric = "azurering_refused_total"
)

// latencyKey identifies one latency histogram.
type latencyKey struct {
	workspace string
	class     string
}

// histogram is the sum of the histograms of several hosts.
type histogram struct {
	count      uint64
	sumSeconds float64
	cumulative map[float64]uint64 // counts by upper bound in seconds
}

// metricTotals adds up the metrics of several hosts.
type metricTotals struct {
	latency map[latencyKey]*histogram
	refused map[string]map[string]float64 // by code and workspace
}

type latencyRow struct {
	Workspace string
	Class     string
	Count     uint64
	Mean      string // ms
	P50       string // ms, upper bound of the bucket with the quantile
	P99       string // as P50
	Plot      template.HTML
}

type refusalRow struct {
	Code  string
	Area  string
	Count string
	By    string
}

func newMetricTotals() *metricTotals {
	return &metricTotals{latency: make(map[latencyKey]*histogram), refused: make(map[string]map[string]float64)}
}

// add reads metrics in the Prometheus text format. Its error carries
// PeerRefused.
func (s *metricTotals) add(raw []byte) error {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(raw))
	if err != nil {
		return codes.Wrap(err, codes.PeerRefused, "verbs: metrics cannot be read")
	}
	for _, m := range families[latencyMetric].GetMetric() {
		s.addLatency(latencyKey{label(m, "workspace"), label(m, "class")}, m.GetHistogram())
	}
	for _, m := range families[refusedMetric].GetMetric() {
		code := label(m, "code")
		if s.refused[code] == nil {
			s.refused[code] = make(map[string]float64)
		}
		s.refused[code][label(m, "workspace")] += m.GetCounter().GetValue()
	}
	return nil
}

func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

func (s *metricTotals) addLatency(k latencyKey, from *dto.Histogram) {
	h := s.latency[k]
	if h == nil {
		h = &histogram{cumulative: make(map[float64]uint64)}
		s.latency[k] = h
	}
	h.count += from.GetSampleCount()
	h.sumSeconds += from.GetSampleSum()
	for _, b := range from.GetBucket() {
		h.cumulative[b.GetUpperBound()] += b.GetCumulativeCount()
	}
}

func (h *histogram) bounds() []float64 {
	out := make([]float64, 0, len(h.cumulative))
	for b := range h.cumulative {
		out = append(out, b)
	}
	slices.Sort(out)
	return out
}

// buckets returns the upper bound in seconds and the count of each bucket.
func (h *histogram) buckets() ([]float64, []float64) {
	bounds := h.bounds()
	counts := make([]float64, len(bounds))
	previous := uint64(0)
	for i, b := range bounds {
		counts[i] = float64(h.cumulative[b] - previous)
		previous = h.cumulative[b]
	}
	return bounds, counts
}

// quantile returns the upper bound, in seconds, of the bucket that contains the
// quantile.
func (h *histogram) quantile(q float64) float64 {
	for _, b := range h.bounds() {
		if float64(h.cumulative[b]) >= q*float64(h.count) {
			return b
		}
	}
	return math.Inf(1)
}

func formatMillis(seconds float64) string {
	if math.IsInf(seconds, 1) {
		return "over the last bound"
	}
	return strconv.FormatFloat(seconds*1000, 'f', -1, 64)
}

func (s *metricTotals) latencyRows() ([]latencyRow, error) {
	var out []latencyRow
	for k, h := range s.latency {
		if h.count == 0 {
			continue
		}
		plot, err := latencySVG(k, h)
		if err != nil {
			return nil, err
		}
		out = append(out, latencyRow{
			Workspace: k.workspace, Class: k.class, Count: h.count, Mean: fmt.Sprintf("%.2f", h.sumSeconds*1000/float64(h.count)),
			P50: formatMillis(h.quantile(.5)), P99: formatMillis(h.quantile(.99)), Plot: plot,
		})
	}
	slices.SortFunc(out, func(a, b latencyRow) int {
		return strings.Compare(a.Workspace+"\x00"+a.Class, b.Workspace+"\x00"+b.Class)
	})
	return out, nil
}

// codeAreas names the areas of the result codes, by their thousands.
var codeAreas = []string{"", "requests", "keys", "limits", "orders", "routing", "store", "peers", "configuration", "command line"}

func (s *metricTotals) refusalRows() []refusalRow {
	var out []refusalRow
	for code, byWorkspace := range s.refused {
		row := refusalRow{Code: code}
		if n, err := strconv.Atoi(code); err == nil && n/1000 > 0 && n/1000 < len(codeAreas) {
			row.Area = codeAreas[n/1000]
		}
		total := 0.0
		var parts []string
		for workspace, n := range byWorkspace {
			total += n
			parts = append(parts, fmt.Sprintf("%s %.0f", orDash(workspace), n))
		}
		slices.Sort(parts)
		row.Count, row.By = fmt.Sprintf("%.0f", total), strings.Join(parts, ", ")
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b refusalRow) int { return strings.Compare(a.Code, b.Code) })
	return out
}
