package estimator

import (
	"fmt"
	"math"

	"github.com/pkg/errors"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindTooFew Kind = "tooFew" // fewer sizes than a fit with an error needs
	KindRead   Kind = "read"
	KindWrite  Kind = "write"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// minSizes is the fewest different sizes of a fit: two parameters leave two of them to estimate the error from.
const minSizes = 4

// Point is one measurement.
type Point struct {
	Size  float64
	Value float64
}

// Line is a least-squares fit of value = Intercept + Slope*size.
type Line struct {
	Intercept      float64
	InterceptError float64 // standard error
	Slope          float64
	SlopeError     float64 // standard error
	Determination  float64 // share of the variance that the line explains, the R² of statistics
	Sizes          int     // different sizes

	meanSize float64
	spread   float64 // sum of squared distances of the sizes from their mean
	residual float64 // standard deviation of the measurements from the line
	points   int
}

// Fit returns the line with the least sum of squared distances; it fails with an *Error of KindTooFew for fewer
// than four different sizes.
func Fit(points []Point) (Line, error) {
	line := Line{points: len(points)}
	sizes := make(map[float64]struct{}, len(points))
	meanValue := 0.0
	for _, p := range points {
		sizes[p.Size] = struct{}{}
		line.meanSize += p.Size / float64(len(points))
		meanValue += p.Value / float64(len(points))
	}
	line.Sizes = len(sizes)
	if line.Sizes < minSizes {
		return line, &Error{Op: "fit a line", Kind: KindTooFew, Err: errors.Errorf("%d sizes, need %d", line.Sizes, minSizes)}
	}
	product, total := 0.0, 0.0
	for _, p := range points {
		dx, dy := p.Size-line.meanSize, p.Value-meanValue
		line.spread += dx * dx
		product += dx * dy
		total += dy * dy
	}
	line.Slope = product / line.spread
	line.Intercept = meanValue - line.Slope*line.meanSize
	missed := 0.0
	for _, p := range points {
		missed += math.Pow(p.Value-line.at(p.Size), 2)
	}
	line.Determination = 1
	if total > 0 {
		line.Determination = 1 - missed/total
	}
	line.residual = math.Sqrt(missed / float64(len(points)-2))
	line.SlopeError = line.residual / math.Sqrt(line.spread)
	_, line.InterceptError = line.At(0)
	return line, nil
}

func (l *Line) at(size float64) float64 { return l.Intercept + l.Slope*size }

// At returns the value of the line at a size and the standard error of that value, which grows with the distance
// from the measured sizes.
func (l *Line) At(size float64) (value, standardError float64) {
	distance := size - l.meanSize
	return l.at(size), l.residual * math.Sqrt(1/float64(l.points)+distance*distance/l.spread)
}
