package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const flagUndo = "undo"

func serverCommand(d *Dependencies) *cli.Command {
	return &cli.Command{
		Name:        "server",
		Usage:       "stop and resume new work for a backend server",
		Description: "See the help of each command for examples.",
		Commands:    []*cli.Command{serverDrainCommand(d)},
		Action:      unknownCommand,
	}
}

func serverDrainCommand(d *Dependencies) *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "send no new work to a backend server; requests in flight finish",
		ArgsUsage: "NAME",
		Description: `Changes the draining of the server in the current configuration and keeps concurrent changes by others. Warns
about shards that are left without a server in service.

Examples:
  yuccarock server drain search-07-a --store http://192.0.2.1:2379
  yuccarock server drain search-07-a --undo --wait 5s --entry 192.0.2.10:8080` + exitCodeHelp,
		Flags: append(append(storeFlags(), waitFlags()...),
			&cli.BoolFlag{Name: flagUndo, Usage: "let the server receive new work again"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := argument(c, "NAME")
			if err != nil {
				return err
			}
			subject := "server " + name + " draining"
			if c.Bool(flagUndo) {
				subject = "server " + name + " not draining"
			}
			return d.runEdit(ctx, c, subject, func(config *configurator.Config) (bool, error) {
				return configurator.SetDraining(config, name, !c.Bool(flagUndo))
			})
		},
	}
}
