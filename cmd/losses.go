package cmd

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/internal/explainer"
)

// NewLosses returns the command that reads the logs of hosts and states why requests earned less than their full worth.
func NewLosses() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "state from logs of hosts why requests lost worth",
		ArgsUsage: "FILE...",
		Description: "Reads log lines of hosts from files, or from standard input for -, and prints for each window of time how many\n" +
			"requests were late, partial, refused or failed, by their one main cause, and the worth that this took.\n" +
			"Lines may follow a prefix. What callers see on their way to a host is not in its log.\n\n" +
			"Example: yuccarock losses --window 2s host-a.log host-b.log",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "window", Usage: "`LENGTH` of a window", Value: 2 * time.Second},
			&cli.FloatFlag{Name: "late", Usage: "`SHARE` of its worth that a late answer earns", Value: 0.1},
		},
		Action: runLosses,
	}
}

func runLosses(_ context.Context, command *cli.Command) error {
	if command.Args().Len() == 0 {
		return usage("losses takes one or more files, or - for standard input")
	}
	if command.Duration("window") <= 0 {
		return usage("--window: must be above 0, got %s", command.Duration("window"))
	}
	var logs []io.Reader
	for _, name := range command.Args().Slice() {
		if name == "-" {
			logs = append(logs, command.Root().Reader)
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return &Error{Op: "read the logs", Kind: KindInvalid, Err: errors.WithStack(err)}
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	table, err := explainer.Read(io.MultiReader(logs...), command.Duration("window"), command.Float("late"))
	if err != nil {
		return &Error{Op: "read the logs", Kind: KindInvalid, Err: err}
	}
	return table.Write(command.Root().Writer)
}
