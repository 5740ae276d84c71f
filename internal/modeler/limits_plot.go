package modeler

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteLimitPlot draws, against the number of hosts, the results with the highest load as an SVG image: the share of
// the limit that is used and the worst window as a share of what is allowed.
func WriteLimitPlot(w io.Writer, results []LimitResult) error {
	p := plot.New()
	p.Title.Text = "A server that states a limit, at a load above it"
	p.X.Label.Text, p.Y.Label.Text = "hosts", "share of the limit used; of the allowed window"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	lines, err := limitLines(results)
	if err == nil {
		err = plotutil.AddLinePoints(p, lines...)
	}
	if err != nil {
		return &Error{Op: "draw a plot", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	return writeSVG(w, p, 10*vg.Centimeter)
}

// limitLines returns two lines for each limit, each a name followed by its points.
func limitLines(results []LimitResult) ([]any, error) {
	highest := 0.0
	for _, r := range results {
		highest = max(highest, r.Load)
	}
	var limits []float64
	used, windows := map[float64]plotter.XYs{}, map[float64]plotter.XYs{}
	for _, r := range results {
		if r.Load != highest {
			continue
		}
		if used[r.Limit] == nil {
			limits = append(limits, r.Limit)
		}
		hosts := float64(r.Hosts)
		used[r.Limit] = append(used[r.Limit], plotter.XY{X: hosts, Y: r.Used})
		windows[r.Limit] = append(windows[r.Limit], plotter.XY{X: hosts, Y: float64(r.WorstWindow) / float64(r.Allowed)})
	}
	if len(limits) == 0 {
		return nil, errors.New("no results")
	}
	var lines []any
	for _, limit := range limits {
		lines = append(lines, fmt.Sprintf("used, %g a second", limit), used[limit])
	}
	for _, limit := range limits {
		lines = append(lines, fmt.Sprintf("window, %g a second", limit), windows[limit])
	}
	return lines, nil
}
