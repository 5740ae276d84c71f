package cmd

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/internal/modeler"
)

// NewModel returns the command that simulates a day in virtual time and compares dispatch policies.
func NewModel() *cli.Command {
	return &cli.Command{
		Name:      "model",
		Usage:     "simulate a day in virtual time and compare policies",
		ArgsUsage: "SCENARIO",
		Description: "Simulates seeded arrivals at hosts and backend servers with pauses, long requests and faults, using the\n" +
			"decision code of hosts, and prints what callers get under each policy. SCENARIO is a JSON file or one of\n" +
			strings.Join(modeler.Names(), ", ") + ". Policies: plain sends no hedges or retries, direct is what hosts do,\n" +
			"owner sends through the host that owns a server, ceiling knows in advance when each server will answer.\n\n" +
			"Example: yuccarock model load --policies direct,ceiling --seeds 5 --report load.html",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "policies", Usage: "`NAMES`, separated by commas", Value: "plain,direct,owner,ceiling"},
			&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of seeds", Value: 3},
			&cli.Uint64Flag{Name: "first", Usage: "first `SEED`", Value: 1},
			&cli.StringFlag{Name: "report", Usage: "write an HTML page with plots to `FILE`"},
		},
		Commands: []*cli.Command{newModelLimits()},
		Action:   runModel,
	}
}

func runModel(_ context.Context, command *cli.Command) error {
	if command.Args().Len() != 1 {
		return usage("model takes one scenario: a file, or one of %s", strings.Join(modeler.Names(), ", "))
	}
	seeds := command.Int("seeds")
	if seeds < 1 {
		return usage("--seeds: must be above 0, got %d", seeds)
	}
	scenario, err := modeler.Load(command.Args().First())
	if err != nil {
		return &Error{Op: "run the model", Kind: KindInvalid, Err: err}
	}
	policies, err := modeler.Select(command.String("policies"))
	if err != nil {
		return &Error{Op: "run the model", Kind: KindInvalid, Err: err}
	}
	results := modeler.Compare(scenario, policies, command.Uint64("first"), seeds)
	if err := modeler.WriteTable(command.Root().Writer, scenario, results); err != nil {
		return err
	}
	if path := command.String("report"); path != "" {
		return writeFile(path, func(w io.Writer) error { return modeler.WriteReport(w, scenario, results) })
	}
	return nil
}

// writeFile creates a file with what write writes.
func writeFile(path string, write func(w io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.WithStack(file.Close())
}
