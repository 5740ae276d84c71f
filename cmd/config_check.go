package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/pkg/configurator"
)

func configCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration file and report every problem",
		ArgsUsage: "FILE",
		Description: `Checks a file, or standard input if FILE is "-", without a store or node.

Examples:
  yuccarock config check vestland.json
  go run ./examples/vestland | yuccarock config check -` + exitCodeHelp,
		Flags:  []cli.Flag{jsonFlag()},
		Action: checkConfig,
	}
}

func checkConfig(_ context.Context, c *cli.Command) error {
	name, err := argument(c, "FILE")
	if err != nil {
		return err
	}
	data, err := readFile(c, name)
	if err != nil {
		return err
	}
	config, err := configurator.Parse(data)
	if err != nil {
		return classify("accept the configuration", err)
	}
	canonical, err := configurator.Canonical(config)
	if err != nil {
		return classify("accept the configuration", err)
	}
	unserved := configurator.Unserved(config)
	singleZone := configurator.SingleZone(config)
	if c.Bool(flagJSON) {
		return writeJSON(output(c), struct {
			Valid      bool     `json:"valid"`
			Bytes      int      `json:"bytes"`
			MaxBytes   int      `json:"maxBytes"`
			Unserved   []string `json:"unserved,omitempty"`
			SingleZone []string `json:"singleZone,omitempty"`
		}{true, len(canonical), configurator.MaxSize, unserved, singleZone})
	}
	_, err = fmt.Fprintf(output(c), "%s: valid, %d zones, %d services, %d servers, %d of %d bytes\n", config.Name,
		len(config.Zones), len(config.Services), len(config.Servers), len(canonical), configurator.MaxSize)
	if err != nil {
		return err
	}
	if err := warn(c, riskUnserved, unserved); err != nil {
		return err
	}
	return warn(c, riskSingleZone, singleZone)
}
