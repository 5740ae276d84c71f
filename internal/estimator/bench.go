package estimator

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Series holds the measurements of one benchmark in one unit over the sizes of one variable.
type Series struct {
	Name     string // of the benchmark, without "Benchmark" and without the size
	Variable string
	Unit     string
	Points   []Point
}

// skippedUnits are units for which docs/CAPACITY.md needs no fit.
var skippedUnits = map[string]bool{"allocs/op": true, "MB/s": true}

// ReadBenchmarks parses the lines of "go test -bench" output whose benchmark names end in "variable=size" and returns
// the series in order of appearance; repeated lines of one size are separate points. It fails with an *Error of
// KindRead for unreadable input and for the output of a failed test.
func ReadBenchmarks(source io.Reader) ([]Series, error) {
	const op = "read benchmark results"
	var list []Series
	index := make(map[[3]string]int)
	lines := bufio.NewScanner(source)
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "--- FAIL") || strings.HasPrefix(line, "FAIL") {
			return nil, &Error{Op: op, Kind: KindRead, Err: errors.Errorf("a benchmark failed: %s", line)}
		}
		name, variable, size, rest, ok := parseLine(line)
		if !ok {
			continue
		}
		for i := 0; i+1 < len(rest); i += 2 {
			value, err := strconv.ParseFloat(rest[i], 64)
			if err != nil {
				return nil, &Error{Op: op, Kind: KindRead, Err: errors.Wrap(err, line)}
			}
			unit := rest[i+1]
			if skippedUnits[unit] {
				continue
			}
			key := [3]string{name, variable, unit}
			position, found := index[key]
			if !found {
				position = len(list)
				index[key] = position
				list = append(list, Series{Name: name, Variable: variable, Unit: unit})
			}
			list[position].Points = append(list[position].Points, Point{Size: size, Value: value})
		}
	}
	if err := lines.Err(); err != nil {
		return nil, &Error{Op: op, Kind: KindRead, Err: errors.WithStack(err)}
	}
	return list, nil
}

// parseLine splits "BenchmarkName/variable=size-procs count value unit ..." into its parts.
func parseLine(line string) (name, variable string, size float64, rest []string, ok bool) {
	fields := strings.Fields(line)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return "", "", 0, nil, false
	}
	cut := strings.LastIndexByte(fields[0], '/')
	if cut < 0 {
		return "", "", 0, nil, false
	}
	variable, text, found := strings.Cut(fields[0][cut+1:], "=")
	if !found {
		return "", "", 0, nil, false
	}
	text, _, _ = strings.Cut(text, "-") // the number of processors
	size, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return "", "", 0, nil, false
	}
	return strings.TrimPrefix(fields[0][:cut], "Benchmark"), variable, size, fields[2:], true
}
