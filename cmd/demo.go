package cmd

import (
	"context"
	"log/slog"

	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/internal/demonstrator"
)

// NewDemo returns the command that runs a whole system in one process and checks every answer.
func NewDemo() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole system on this machine and check every answer",
		Description: "Starts a stand-in of the platform's store, 48 stand-ins of backend servers and 6 daemons in\n" +
			"3 availability zones in this process, over loopback sockets. Queries run through the caller's client while\n" +
			"a zone is taken out and brought back, a replica is killed, the index snapshot changes, a request crashes servers\n" +
			"and a node is replaced. Exits with 0 only if every answer was correct and every limit was kept.\n\n" +
			"Example: yuccarock demo",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "verbose", Usage: "print the daemons' log lines to standard error"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			level := slog.LevelError + 1
			if command.Bool("verbose") {
				level = slog.LevelInfo
			}
			logger := slog.New(slog.NewTextHandler(command.Root().ErrWriter, &slog.HandlerOptions{Level: level}))
			system := demonstrator.New(command.Root().Writer, logger)
			return system.Run(ctx, demonstrator.Steps())
		},
		Commands: newDemoCommands(),
	}
}
