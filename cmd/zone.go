package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const flagAllOut = "allow-all-zones-out"

func zoneCommand(d *Dependencies) *cli.Command {
	return &cli.Command{
		Name:        "zone",
		Usage:       "take an availability zone out of service or bring it back",
		Description: "See the help of each command for examples.",
		Commands:    []*cli.Command{zoneOutCommand(d), zoneInCommand(d)},
		Action:      unknownCommand,
	}
}

func zoneOutCommand(d *Dependencies) *cli.Command {
	return &cli.Command{
		Name:      "out",
		Usage:     "take an availability zone out of service",
		ArgsUsage: "NAME",
		Description: `Merges one change into the current configuration: the zone receives no new work 3 s after the change is
accepted. Warns about shards that then have no server in service.

Examples:
  yuccarock zone out b --store http://192.0.2.1:2379
  yuccarock zone out b --wait 5s --entry 192.0.2.10:8080` + exitCodeHelp,
		Flags: append(append(storeFlags(), waitFlags()...),
			&cli.BoolFlag{Name: flagAllOut, Usage: "permit that no zone is left in service"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			return d.setZone(ctx, c, configurator.ZoneOut)
		},
	}
}

func zoneInCommand(d *Dependencies) *cli.Command {
	return &cli.Command{
		Name:      "in",
		Usage:     "bring an availability zone back into service",
		ArgsUsage: "NAME",
		Description: `Merges one change into the current configuration. Servers that became cold meanwhile receive little work
until they are warm.

Example:
  yuccarock zone in b --wait 5s --entry 192.0.2.10:8080` + exitCodeHelp,
		Flags: append(storeFlags(), waitFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			return d.setZone(ctx, c, configurator.ZoneIn)
		},
	}
}

func (d *Dependencies) setZone(ctx context.Context, c *cli.Command, state configurator.ZoneState) error {
	name, err := argument(c, "NAME")
	if err != nil {
		return err
	}
	return d.edit(ctx, c, "zone "+name+" "+string(state), func(config *configurator.Config) (bool, error) {
		changed, err := configurator.SetZone(config, name, state)
		if changed {
			permitted := config.AllowAllZonesOut || c.Bool(flagAllOut)
			config.AllowAllZonesOut = state == configurator.ZoneOut && permitted
		}
		return changed, err
	})
}

// edit runs a one-field change and reports it.
func (d *Dependencies) edit(ctx context.Context, c *cli.Command, what string,
	edit func(*configurator.Config) (bool, error)) error {
	if err := checkWait(c); err != nil {
		return err
	}
	var result change
	err := d.withStore(ctx, c, func(ctx context.Context, store Store) (err error) {
		result, err = d.revise(ctx, store, edit)
		return err
	})
	if err != nil {
		return classify("set "+what, err)
	}
	return d.report(ctx, c, what, result)
}
