package estimator

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// WriteTable writes a Markdown table with one row for each series that has enough sizes for a fit; it omits the others.
func WriteTable(output io.Writer, list []Series) error {
	var table strings.Builder
	table.WriteString("| benchmark | unit | sizes | slope ± error | at size 0 ± error | R² |\n|---|---|---|---|---|---|\n")
	for i := range list {
		s := &list[i]
		line, err := Fit(s.Points)
		if err != nil {
			continue
		}
		fmt.Fprintf(&table, "| %s | %s | %s %s | %s ± %s | %s ± %s | %.3f |\n", s.Name, s.Unit, s.Variable,
			formatSizes(s.Points), formatNumber(line.Slope), formatNumber(line.SlopeError), formatNumber(line.Intercept),
			formatNumber(line.InterceptError), line.Determination)
	}
	if _, err := io.WriteString(output, table.String()); err != nil {
		return &Error{Op: "write the table", Kind: KindWrite, Err: errors.WithStack(err)}
	}
	return nil
}

// formatNumber formats a value without an exponent: with three significant digits, as a whole number from 1000 on, and
// as 0 below 0.0001.
func formatNumber(value float64) string {
	text := fmt.Sprintf("%.3g", value)
	switch {
	case !strings.ContainsRune(text, 'e'):
		return text
	case math.Abs(value) < 1:
		return "0"
	default:
		return fmt.Sprintf("%.0f", value)
	}
}

func formatSizes(points []Point) string {
	var sizes []float64
	for _, p := range points {
		if !slices.Contains(sizes, p.Size) {
			sizes = append(sizes, p.Size)
		}
	}
	slices.Sort(sizes)
	texts := make([]string, len(sizes))
	for i, size := range sizes {
		texts[i] = formatNumber(size)
	}
	return strings.Join(texts, ", ")
}
