package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const flagAllowAllZonesOut = "allow-all-zones-out"

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
		Description: `Changes the state of the zone in the current configuration and keeps concurrent changes by others. The zone
stops receiving new work within 3 s after the change is accepted. Warns about shards that are left without a
server in service.

Examples:
  yuccarock zone out b --store http://192.0.2.1:2379
  yuccarock zone out b --wait 5s --entry 192.0.2.10:8080` + exitCodeHelp,
		Flags: append(append(storeFlags(), waitFlags()...),
			&cli.BoolFlag{Name: flagAllowAllZonesOut, Usage: "allow the last zone in service to be taken out"}),
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
		Description: `Changes the state of the zone in the current configuration and keeps concurrent changes by others. Servers that
became cold in the meantime receive little work until they are warm.

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
	return d.runEdit(ctx, c, "zone "+name+" "+string(state), func(config *configurator.Config) (bool, error) {
		changed, err := configurator.SetZone(config, name, state)
		if changed {
			allowed := config.AllowAllZonesOut || c.Bool(flagAllowAllZonesOut)
			config.AllowAllZonesOut = state == configurator.ZoneOut && allowed
		}
		return changed, err
	})
}

// runEdit makes a one-field change, which subject describes in messages, and prints the result.
func (d *Dependencies) runEdit(ctx context.Context, c *cli.Command, subject string,
	edit func(*configurator.Config) (bool, error)) error {
	if err := checkWait(c); err != nil {
		return err
	}
	var result changeResult
	err := d.withStore(ctx, c, func(ctx context.Context, store Store) (err error) {
		result, err = d.applyEdit(ctx, store, edit)
		return err
	})
	if err != nil {
		return classify("set "+subject, err)
	}
	return d.printResult(ctx, c, subject, result)
}
