package modeler

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteTable prints the results for a terminal.
func WriteTable(w io.Writer, scenario *Scenario, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "%s\tworth\tworst windows\textra attempts\tkind\tin target\tlate\tfailed\tcoverage\tmedian\tp99\n", scenario.Name)
	for i := range results {
		r := &results[i]
		head := fmt.Sprintf("%s\t%.3f\t%.3f\t%.3f", r.Policy, r.Worth, r.Worst, r.Extra)
		for k := range r.Kinds {
			kind := &r.Kinds[k]
			_, _ = fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%s\n", head, kind.Name, kind.InTarget, kind.Late,
				kind.Failed, kind.Coverage, kind.Median.Round(100*time.Microsecond), kind.P99.Round(100*time.Microsecond))
			head = "\t\t\t"
		}
	}
	return errors.WithStack(table.Flush())
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<meta charset="utf-8">
<title>{{.Name}}</title>
<h1>{{.Name}}</h1>
<pre>{{.Table}}</pre>
{{range .Plots}}{{.}}
{{end}}`))

// WriteReport writes the results as one HTML page with plots of worth over time and of the times of answers.
func WriteReport(w io.Writer, scenario *Scenario, results []Result) error {
	var table bytes.Buffer
	if err := WriteTable(&table, scenario, results); err != nil {
		return err
	}
	plots := []template.HTML{}
	add := func(p *plot.Plot, err error) error {
		if err != nil {
			return &Error{Op: "draw a plot", Kind: KindInvalid, Err: errors.WithStack(err)}
		}
		drawn, err := drawSVG(p)
		plots = append(plots, drawn)
		return err
	}
	if err := add(plotWindows(results)); err != nil {
		return err
	}
	for i := range scenario.Kinds {
		if err := add(plotTimes(&scenario.Kinds[i], i, results)); err != nil {
			return err
		}
	}
	return errors.WithStack(page.Execute(w, map[string]any{
		"Name": scenario.Name, "Table": table.String(), "Plots": plots,
	}))
}

func drawSVG(p *plot.Plot) (template.HTML, error) {
	writer, err := p.WriterTo(20*vg.Centimeter, 9*vg.Centimeter, "svg")
	if err != nil {
		return "", errors.WithStack(err)
	}
	var drawn bytes.Buffer
	if _, err := writer.WriteTo(&drawn); err != nil {
		return "", errors.WithStack(err)
	}
	_, svg, _ := bytes.Cut(drawn.Bytes(), []byte("?>")) // the page has no XML declaration
	return template.HTML(svg), nil                      //nolint:gosec // drawn by this program
}

func plotWindows(results []Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Worth by time, first seed", "seconds", "share of what could be earned"
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	for i := range results {
		points := make(plotter.XYs, len(results[i].Windows))
		for k, worth := range results[i].Windows {
			points[k].X, points[k].Y = float64(k)*window.Seconds(), worth
		}
		lines = append(lines, results[i].Policy, points)
	}
	return p, plotutil.AddLines(p, lines...)
}

// plotTimes draws which share of the answers is there after which time.
func plotTimes(kind *Kind, index int, results []Result) (*plot.Plot, error) {
	const steps = 200
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Times of "+kind.Name, "milliseconds", "share of answers"
	p.X.Min, p.X.Max = 0, 3*float64(time.Duration(kind.Target).Milliseconds())
	var lines []any
	for i := range results {
		times := results[i].Times[index]
		if len(times) == 0 {
			continue
		}
		points := make(plotter.XYs, steps)
		for k := range points {
			points[k].X = float64(times[len(times)*k/steps].Microseconds()) / 1000
			points[k].Y = float64(k) / steps
		}
		lines = append(lines, results[i].Policy, points)
	}
	return p, plotutil.AddLines(p, lines...)
}
