package simulate

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // Registers the SVG format for plot.Save.
)

const (
	plotWidth  = 14 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = vg.Length(9)
)

// Plot writes goodput.svg and changes.svg to the directory dir. They show one
// bar for each trace and policy: the mean over the seeds.
func Plot(dir string, all []Measurement) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create the plot directory")
	}
	goodput := func(r Result) float64 { return r.Goodput }
	if err := plotBars(filepath.Join(dir, "goodput.svg"), "Goodput", all, goodput); err != nil {
		return err
	}
	changes := func(r Result) float64 { return float64(r.Changes) }
	return plotBars(filepath.Join(dir, "changes.svg"), "Role changes", all, changes)
}

// plotBars draws one metric of all measurements as grouped bars.
func plotBars(path, title string, all []Measurement, metric func(Result) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.XOffs = vg.Points(-5)
	traces := distinct(all, func(m Measurement) string { return m.Trace })
	policies := distinct(all, func(m Measurement) string { return m.Policy })
	for i, name := range policies {
		values := make(plotter.Values, len(traces))
		for j, t := range traces {
			values[j] = meanOf(all, t, name, metric)
		}
		chart, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return eris.Wrap(err, "draw bars")
		}
		chart.Color = plotutil.Color(i)
		chart.LineStyle.Width = 0
		chart.Offset = barWidth * vg.Length(float64(i)-float64(len(policies)-1)/2)
		p.Add(chart)
		p.Legend.Add(name, chart)
	}
	p.NominalX(traces...)
	p.Y.Max *= 1.35 // Leaves space for the legend.
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "save "+path)
}

// distinct returns the distinct values of key in order of first appearance.
func distinct(all []Measurement, key func(Measurement) string) []string {
	seen := make(map[string]bool)
	var out []string
	for _, m := range all {
		if k := key(m); !seen[k] {
			seen[k] = true
			out = append(out, k)
		}
	}
	return out
}

// meanOf returns the mean of a metric over the seeds.
func meanOf(all []Measurement, trace, policy string, metric func(Result) float64) float64 {
	sum, n := 0.0, 0.0
	for _, m := range all {
		if m.Trace == trace && m.Policy == policy {
			sum += metric(m.Result)
			n++
		}
	}
	return sum / max(1, n)
}
