package estimator

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// WriteTable writes a Markdown table with one line for each series that has enough sizes for a fit.
func WriteTable(to io.Writer, list []Series) error {
	var out strings.Builder
	out.WriteString("| benchmark | unit | sizes | slope ± error | at size 0 ± error | R² |\n|---|---|---|---|---|---|\n")
	for i := range list {
		s := &list[i]
		line, err := Fit(s.Points)
		if err != nil {
			continue
		}
		fmt.Fprintf(&out, "| %s | %s | %s %s | %s ± %s | %s ± %s | %.3f |\n", s.Name, s.Unit, s.Variable,
			sizesOf(s.Points), number(line.Slope), number(line.SlopeError), number(line.Intercept),
			number(line.InterceptError), line.Determination)
	}
	if _, err := io.WriteString(to, out.String()); err != nil {
		return &Error{Op: "write the table", Kind: KindWrite, Err: errors.WithStack(err)}
	}
	return nil
}

// number prints three significant digits, or all those of a whole number, without an exponent.
func number(value float64) string {
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

func sizesOf(points []Point) string {
	var sizes []float64
	for _, p := range points {
		if !slices.Contains(sizes, p.Size) {
			sizes = append(sizes, p.Size)
		}
	}
	slices.Sort(sizes)
	texts := make([]string, len(sizes))
	for i, size := range sizes {
		texts[i] = number(size)
	}
	return strings.Join(texts, ", ")
}
