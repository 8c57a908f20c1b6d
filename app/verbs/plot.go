package verbs

import (
	"bytes"
	"html/template"
	"image/color"
	"math"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"azurering/core/codes"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	barWidth   = 0.5 * vg.Centimeter
)

// latencySVG draws a histogram as an SVG element with one bar for each bucket.
func latencySVG(k latencyKey, h *histogram) (template.HTML, error) {
	bounds, counts := h.buckets()
	p := plot.New()
	p.Title.Text = k.workspace + ", " + k.class
	p.X.Label.Text = "at most ms"
	p.Y.Label.Text = "requests"
	p.Y.Min = 0
	bars, err := plotter.NewBarChart(plotter.Values(counts), barWidth)
	if err != nil {
		return "", codes.Wrap(err, codes.Internal, "verbs: latency plot cannot be drawn")
	}
	bars.Color = color.RGBA{R: 0x1f, G: 0x6f, B: 0xb4, A: 0xff}
	p.Add(bars)
	labels := make([]string, len(bounds))
	for i, b := range bounds {
		labels[i] = strconv.FormatFloat(b*1000, 'f', -1, 64)
		if math.IsInf(b, 1) {
			labels[i] = "more"
		}
	}
	p.NominalX(labels...)
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", codes.Wrap(err, codes.Internal, "verbs: latency plot cannot be drawn")
	}
	// The XML declaration and comments before the element are not allowed
	// inside HTML. vgsvg escapes the texts of the plot.
	text := out.Bytes()
	return template.HTML(text[max(0, bytes.Index(text, []byte("<svg"))):]), nil
}
