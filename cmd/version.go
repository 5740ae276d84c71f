package cmd

import (
	"context"
	"fmt"
	"runtime"

	"github.com/urfave/cli/v3"
)

func versionCommand(version string) *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version",
		Description: "Example:\n  yuccarock version --json",
		Flags:       []cli.Flag{jsonFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool(flagJSON) {
				return writeJSON(output(c), map[string]string{"version": version, "go": runtime.Version()})
			}
			_, err := fmt.Fprintf(output(c), "yuccarock %s (%s)\n", version, runtime.Version())
			return err
		},
	}
}
