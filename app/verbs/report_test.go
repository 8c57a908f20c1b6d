package verbs_test

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/metric"
)

// Guards against a page that loses a histogram or a code, counts wrongly
// over several hosts, or needs anything from outside.
func TestReport(t *testing.T) {
	t.Setenv("AZURERING_SECRET", credential)
	for name, c := range map[string]struct {
		line string
		want []string
	}{
		"one host": {"report --host HOST --out DIR/report.html", []string{
			"<td>loft-a</td><td>lookup</td><td>200</td><td>10.72</td><td>20</td><td>50</td>",
			"<td>loft-b</td><td>download</td><td>20</td><td>19000.00</td><td>30000</td><td>over the last bound</td>",
			"<td>2002</td><td>keys</td><td>1</td><td>- 1</td>",
			"<td>3001</td><td>limits</td><td>21</td><td>loft-a 1, loft-b 20</td>",
		}},
		"two hosts": {"report --host HOST --host LAGGING --out DIR/report.html", []string{
			"<td>loft-a</td><td>lookup</td><td>400</td><td>10.72</td><td>20</td><td>50</td>",
			"<td>3001</td><td>limits</td><td>42</td>",
		}},
		"silent host": {"report --host 127.0.0.1:1 --host HOST --out DIR/report.html", []string{"No answer from: 127.0.0.1:1"}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLab(t)
			code, out, errs := l.run(context.Background(), c.line)
			require.Zero(t, code, errs)
			require.Contains(t, out, "3 latency histograms and 2 result codes")
			raw, err := os.ReadFile(filepath.Join(l.dir, "report.html"))
			require.NoError(t, err)
			html := string(raw)
			for _, part := range c.want {
				require.Contains(t, html, part)
			}
			require.Equal(t, 3, strings.Count(html, "<svg"))
			require.Equal(t, 3, strings.Count(html, "</svg>"))
			for _, plot := range []string{"loft-a, lookup", "loft-a, order", "loft-b, download"} {
				require.Contains(t, html, ">"+plot+"</text>")
			}
			for _, outside := range []string{"src=", "<link", "@import", "url(", "<?xml"} {
				require.NotContains(t, html, outside)
			}
		})
	}
	l := newLab(t)
	code, _, errs := l.run(context.Background(), "report --host 127.0.0.1:1 --out DIR/report.html")
	require.Equal(t, 1, code)
	require.Contains(t, errs, "error 7001")
	require.NoFileExists(t, filepath.Join(l.dir, "report.html"))
	code, _, _ = l.run(context.Background(), "report --host HOST")
	require.Equal(t, 2, code)
}

// Guards against a committed sample that no longer has the names and labels
// of the metrics that entry hosts export.
func TestSampleIsCurrent(t *testing.T) {
	m, err := metric.New()
	require.NoError(t, err)
	m.RecordRequest("loft-a", core.ClassLookup, time.Millisecond, 1)
	m.CountRefusal("loft-a", codes.RateExceeded)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	sample, err := os.ReadFile("testdata/metrics")
	require.NoError(t, err)
	for row := range strings.Lines(w.Body.String()) {
		series, _, _ := strings.Cut(row, " ")
		for _, metric := range []string{"azurering_request_seconds", "azurering_refused_total"} {
			if strings.HasPrefix(series, metric) {
				require.Contains(t, string(sample), series)
			}
		}
	}
}
