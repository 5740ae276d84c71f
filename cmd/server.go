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
		Usage:       "keep new work away from a backend server",
		Description: "See the help of each command for examples.",
		Commands:    []*cli.Command{serverDrainCommand(d)},
		Action:      unknownCommand,
	}
}

func serverDrainCommand(d *Dependencies) *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "keep new work away from a backend server; requests in flight finish",
		ArgsUsage: "NAME",
		Description: `Merges one change into the current configuration. Warns about shards that then have no server in service.

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
			what := "server " + name + " draining"
			if c.Bool(flagUndo) {
				what = "server " + name + " not draining"
			}
			return d.edit(ctx, c, what, func(config *configurator.Config) (bool, error) {
				return configurator.SetDraining(config, name, !c.Bool(flagUndo))
			})
		},
	}
}
