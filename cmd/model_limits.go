package cmd

import (
	"context"
	"io"
	"strconv"
	"strings"
	"sync"

	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/internal/modeler"
)

// newModelLimits returns the command that simulates servers that state a limit.
func newModelLimits() *cli.Command {
	return &cli.Command{
		Name:  "limits",
		Usage: "simulate a server that states a limit, against the number of hosts",
		Description: "Simulates callers' requests at hosts that divide the limit of one server, while hosts are replaced, and prints\n" +
			"how much of the limit is used and the most requests in 4 s.\n\nExample: yuccarock model limits --hosts 7,690",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "hosts", Usage: "`NUMBERS` of hosts, separated by commas", Value: "7,30,300,690"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot of the highest load to `FILE`, as SVG"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the arrivals", Value: 1},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			var hosts []int
			for text := range strings.SplitSeq(command.String("hosts"), ",") {
				count, err := strconv.Atoi(strings.TrimSpace(text))
				if err != nil || count < 1 {
					return usage("--hosts: must be numbers above 0, got %q", text)
				}
				hosts = append(hosts, count)
			}
			cases := modeler.LimitCases(hosts)
			results := make([]modeler.LimitResult, len(cases))
			var running sync.WaitGroup
			for i := range cases {
				running.Go(func() { results[i] = modeler.SimulateLimit(cases[i], command.Uint64("seed")) })
			}
			running.Wait()
			if path := command.String("plot"); path != "" {
				write := func(w io.Writer) error { return modeler.WriteLimitPlot(w, results) }
				if err := writeFile(path, write); err != nil {
					return err
				}
			}
			return modeler.WriteLimits(command.Root().Writer, results)
		},
	}
}
