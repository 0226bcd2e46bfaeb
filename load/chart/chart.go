// Package chart renders the report of an experiment as plots and as an HTML page.
package chart

import (
	"encoding/base64"
	"html/template"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"pistachioshore.dev/load"
)

// Dimensions of a plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// DrawLatencies writes a PNG plot of the latency distribution, with one line for each arm's first repeat.
func DrawLatencies(w io.Writer, r load.Report, key load.Stats) error {
	p := plot.New()
	p.Title.Text = r.Scenario.Name + ", " + key.Phase + " " + key.Route
	p.X.Label.Text, p.Y.Label.Text = "latency from the intended start, ms", "answers within this latency, %"
	p.Y.Min, p.Y.Max = 50, 100
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Legend.Left = false
	for i, name := range r.Arms() {
		line, err := plotter.NewLine(latencyPoints(r, name, key))
		if err != nil {
			continue // the arm has no answers
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	c, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return errors.Wrap(err, "draw")
	}
	_, err = c.WriteTo(w)
	return errors.Wrap(err, "write plot")
}

func latencyPoints(r load.Report, arm string, key load.Stats) plotter.XYs {
	var out plotter.XYs
	for _, run := range r.Runs {
		if run.Arm != arm || run.Repeat != 1 {
			continue
		}
		for _, s := range run.Stats {
			if s.Phase != key.Phase || s.Route != key.Route {
				continue
			}
			for _, b := range s.LatencyBuckets {
				if b.ValueAt > 0 && b.Quantile >= 50 {
					out = append(out, plotter.XY{X: float64(b.ValueAt) / 1000, Y: b.Quantile})
				}
			}
		}
	}
	return out
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<h1>{{.Name}}</h1>
<pre>{{.Text}}</pre>
{{range .Images}}<p><img alt="latencies" src="data:image/png;base64,{{.}}"></p>
{{end}}</html>
`))

// WriteHTML writes an HTML page with the text report and a latency plot for each phase.
func WriteHTML(w io.Writer, r load.Report) error {
	var text strings.Builder
	r.Print(&text)
	data := struct {
		Name, Text string
		Images     []string
	}{Name: r.Scenario.Name, Text: text.String()}
	for _, k := range r.PhaseRoutes() {
		if k.Route != "" {
			continue
		}
		var image strings.Builder
		if err := DrawLatencies(&image, r, k); err != nil {
			return err
		}
		data.Images = append(data.Images, base64.StdEncoding.EncodeToString([]byte(image.String())))
	}
	return errors.Wrap(pageTemplate.Execute(w, data), "write page")
}
