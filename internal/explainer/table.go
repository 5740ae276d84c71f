package explainer

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes is the maximum length of a log line; hosts write shorter ones.
const maxLineBytes = 1 << 20

// Loss is what one cause took within a window of time.
type Loss struct {
	Requests int
	Worth    float64 // in requests of full worth
}

// Table holds the losses by window and cause.
type Table struct {
	// Window is the length of a window.
	Window time.Duration
	// Losses are by the start of the window.
	Losses map[time.Time]map[Cause]Loss
	// Skipped counts the lines that hosts left out because there were too many.
	Skipped int
}

// Read reads log lines of one or more hosts; a late answer earns lateWorth of its full worth. An error is of type *Error.
func Read(logs io.Reader, window time.Duration, lateWorth float64) (*Table, error) {
	table := &Table{Window: window, Losses: map[time.Time]map[Cause]Loss{}}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		parsed, ok := parse(scanner.Text())
		if !ok {
			continue
		}
		table.Skipped += parsed.SkippedLines
		lost := parsed.lostWorth(lateWorth)
		if lost <= 0 {
			continue
		}
		start := parsed.Time.UTC().Truncate(window)
		if table.Losses[start] == nil {
			table.Losses[start] = map[Cause]Loss{}
		}
		cause := parsed.cause()
		loss := table.Losses[start][cause]
		table.Losses[start][cause] = Loss{Requests: loss.Requests + 1, Worth: loss.Worth + lost}
	}
	if err := scanner.Err(); err != nil {
		return nil, &Error{Op: "read the logs", Kind: KindRead, Err: errors.WithStack(err)}
	}
	return table, nil
}

// Total returns the losses of all windows by cause.
func (t *Table) Total() map[Cause]Loss {
	total := map[Cause]Loss{}
	for _, losses := range t.Losses {
		for cause, loss := range losses {
			sum := total[cause]
			total[cause] = Loss{Requests: sum.Requests + loss.Requests, Worth: sum.Worth + loss.Worth}
		}
	}
	return total
}

// Write prints the causes, the costliest first, for each window and in total.
func (t *Table) Write(to io.Writer) error {
	out := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0) // keeps its errors for Flush
	_, _ = fmt.Fprintln(out, "window\tcause\trequests\tworth lost")
	for _, start := range slices.SortedFunc(maps.Keys(t.Losses), time.Time.Compare) {
		writeLosses(out, start.Format("15:04:05"), t.Losses[start])
	}
	writeLosses(out, "all", t.Total())
	if t.Skipped > 0 {
		_, _ = fmt.Fprintf(out, "lines left out by hosts\t\t%d\t\n", t.Skipped)
	}
	return errors.WithStack(out.Flush())
}

func writeLosses(to io.Writer, window string, losses map[Cause]Loss) {
	causes := slices.SortedFunc(maps.Keys(losses), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(losses[b].Worth, losses[a].Worth), cmp.Compare(a, b))
	})
	for _, cause := range causes {
		_, _ = fmt.Fprintf(to, "%s\t%s\t%d\t%.1f\n", window, cause, losses[cause].Requests, losses[cause].Worth)
	}
}
