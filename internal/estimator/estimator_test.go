package estimator

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// TestFit guards against a wrong slope, a wrong standard error and a fit of too few sizes. The expected numbers of the
// scattered case were calculated by hand.
func TestFit(t *testing.T) {
	tests := []struct {
		name                       string
		points                     []Point
		slope, slopeErr, intercept float64
		kind                       Kind
	}{
		{"exact", []Point{{1, 5}, {2, 7}, {3, 9}, {10, 23}}, 2, 0, 3, ""},
		{"scattered", []Point{{0, 1}, {1, 0}, {2, 1}, {3, 4}}, 1, math.Sqrt(0.4), 0, ""},
		{"repeated sizes count once", []Point{{1, 1}, {1, 2}, {2, 2}, {3, 3}}, 0, 0, 0, KindTooFewSizes},
	}
	for _, test := range tests {
		got, err := Fit(test.points)
		var failure *Error
		if errors.As(err, &failure) != (test.kind != "") || failure != nil && failure.Kind != test.kind {
			t.Errorf("%s: got error %v, want kind %q", test.name, err, test.kind)
		}
		if err != nil {
			continue
		}
		for _, pair := range [][2]float64{
			{got.Slope, test.slope}, {got.SlopeError, test.slopeErr}, {got.Intercept, test.intercept},
		} {
			if math.Abs(pair[0]-pair[1]) > 1e-9 {
				t.Errorf("%s: got %v, want %v in %+v", test.name, pair[0], pair[1], got)
			}
		}
	}
}

// TestReadBenchmarks guards against sizes or units read from the wrong part of a line, and against results accepted
// from a failed run.
func TestReadBenchmarks(t *testing.T) {
	const lines = "goos: linux\nBenchmarkSlopeX/a=b/servers=60-10 \t 100\t 1.5 ns/op\t 7 B/op\t 3 allocs/op\n" +
		"BenchmarkSlopeX/a=b/servers=240 \t 100\t 2.5 ns/op\t 9 B/op\nBenchmarkOther-10 100 3 ns/op\nPASS\n"
	got, err := ReadBenchmarks(strings.NewReader(lines))
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != 2 || got[0].Name != "SlopeX/a=b" || got[0].Variable != "servers" || got[0].Unit != "ns/op" ||
		len(got[0].Points) != 2 || got[0].Points[1] != (Point{240, 2.5}) || got[1].Points[0] != (Point{60, 7}) {
		t.Errorf("got %+v", got)
	}
	if _, err := ReadBenchmarks(strings.NewReader(lines + "FAIL\tpackage\n")); err == nil {
		t.Error("got no error for the output of a failed run")
	}
}
