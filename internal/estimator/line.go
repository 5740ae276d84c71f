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
	KindTooFewSizes Kind = "tooFew" // fewer sizes than a fit with a standard error needs
	KindRead        Kind = "read"
	KindWrite       Kind = "write"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation that failed, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// minSizes is the minimum number of different sizes for a fit: two determine the line, and two more estimate its error.
const minSizes = 4

// Point is one measured value at one size.
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
	Determination  float64 // R², the share of the variance that the line explains
	Sizes          int     // number of different sizes

	meanSize         float64
	sizeSumOfSquares float64 // sum of squared distances of the sizes from their mean
	residualStdDev   float64 // standard deviation of the measurements from the line
	points           int
}

// Fit returns the least-squares line through the points; it fails with an *Error of KindTooFewSizes for fewer than four
// different sizes.
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
		return line, &Error{Op: "fit a line", Kind: KindTooFewSizes, Err: errors.Errorf("%d sizes, need %d", line.Sizes, minSizes)}
	}
	crossProduct, totalSumOfSquares := 0.0, 0.0
	for _, p := range points {
		dx, dy := p.Size-line.meanSize, p.Value-meanValue
		line.sizeSumOfSquares += dx * dx
		crossProduct += dx * dy
		totalSumOfSquares += dy * dy
	}
	line.Slope = crossProduct / line.sizeSumOfSquares
	line.Intercept = meanValue - line.Slope*line.meanSize
	residualSumOfSquares := 0.0
	for _, p := range points {
		residualSumOfSquares += math.Pow(p.Value-line.valueAt(p.Size), 2)
	}
	line.Determination = 1
	if totalSumOfSquares > 0 {
		line.Determination = 1 - residualSumOfSquares/totalSumOfSquares
	}
	line.residualStdDev = math.Sqrt(residualSumOfSquares / float64(len(points)-2))
	line.SlopeError = line.residualStdDev / math.Sqrt(line.sizeSumOfSquares)
	_, line.InterceptError = line.At(0)
	return line, nil
}

func (l *Line) valueAt(size float64) float64 { return l.Intercept + l.Slope*size }

// At returns the value of the line at a size and its standard error, which grows with the distance from the mean of
// the measured sizes.
func (l *Line) At(size float64) (value, standardError float64) {
	distance := size - l.meanSize
	return l.valueAt(size), l.residualStdDev * math.Sqrt(1/float64(l.points)+distance*distance/l.sizeSumOfSquares)
}
