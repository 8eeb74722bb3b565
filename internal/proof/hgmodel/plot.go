package hgmodel

import (
	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Plot draws the worth after charges over the arrival rate, one line per policy. The extension of path selects the file
// format.
func Plot(path string, means []Mean) (err error) {
	defer func() { err = trace.Wrap(err, "plot") }()
	p := plot.New()
	p.X.Label.Text = "rate of arrivals"
	p.Y.Label.Text = "worth after charges"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top, p.Legend.Left = true, false
	var lines []any
	for _, policy := range lo.Uniq(lo.Map(means, func(m Mean, _ int) string { return m.Policy })) {
		of := lo.Filter(means, func(m Mean, _ int) bool { return m.Policy == policy })
		lines = append(lines, policy, plotter.XYs(lo.Map(of, func(m Mean, _ int) plotter.XY { return plotter.XY{X: m.Rate, Y: m.Net} })))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
