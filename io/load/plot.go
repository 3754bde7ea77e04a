package load

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the latency of the report by percentile and saves it to file. The
// extension, such as .svg or .png, selects the image format.
func Plot(r Report, file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d requests, attainment %.4f", r.Sent, r.Attainment)
	p.X.Label.Text = "share of requests (%)"
	p.Y.Label.Text = "latency from the scheduled start (ms)"
	var points plotter.XYs
	for q := 0.0; q <= 100; q += 0.5 {
		points = append(points, plotter.XY{X: q, Y: float64(r.Latency.ValueAtQuantile(q)) / 1000})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	p.Add(line, plotter.NewGrid())
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
