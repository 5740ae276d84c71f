package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/pkg/configurator"
)

func configCommand(d *Dependencies) *cli.Command {
	return &cli.Command{
		Name:        "config",
		Usage:       "check, submit and show the configuration",
		Description: "See the help of each command for examples.",
		Commands: []*cli.Command{
			configCheckCommand(), configSubmitCommand(d), configShowCommand(d), configHistoryCommand(d),
		},
		Action: unknownCommand,
	}
}

// readFile reads a configuration file, or standard input if the name is "-".
func readFile(c *cli.Command, name string) ([]byte, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(io.LimitReader(c.Root().Reader, configurator.MaxSize+1))
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, &Error{Op: "read the configuration", Kind: KindFailed, Err: err}
	}
	return data, nil
}

// withStore opens the store at --store and runs action with the timeout of --timeout.
func (d *Dependencies) withStore(ctx context.Context, c *cli.Command,
	action func(ctx context.Context, store Store) error) error {
	store, err := d.OpenStore(c.String(flagStore))
	if err != nil {
		return classify("open the store", err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	return action(ctx, store)
}

// printResult prints the result of a change; with --wait it first waits until the revision is in force at every node.
func (d *Dependencies) printResult(ctx context.Context, c *cli.Command, subject string, result changeResult) error {
	if wait := c.Duration(flagWait); wait > 0 {
		addresses, err := entryAddresses(c)
		if err != nil {
			return err
		}
		if err := d.waitUntilInForce(ctx, addresses, result.Revision, wait); err != nil {
			return err
		}
	}
	out := output(c)
	if c.Bool(flagJSON) {
		return writeJSON(out, result)
	}
	state := "accepted"
	if !result.Changed {
		state = "unchanged"
	}
	if c.Duration(flagWait) > 0 {
		state += ", in force at every node"
	}
	if _, err := fmt.Fprintf(out, "%s: revision %d, %s\n", subject, result.Revision, state); err != nil {
		return err
	}
	return warn(c, riskUnserved, result.Unserved)
}

// warn prints a warning that lists the shards at risk.
func warn(c *cli.Command, risk string, shards []string) error {
	if len(shards) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(c.Root().ErrWriter, "warning: %d shard(s) have %s: %s\n",
		len(shards), risk, strings.Join(shards, ", "))
	return err
}

const (
	riskUnserved   = "no server in service"
	riskSingleZone = "all their servers in one zone"
)

// checkWait validates --wait, and --entry if it is needed, so that a usage error is found before anything is changed.
func checkWait(c *cli.Command) error {
	if c.Duration(flagWait) < 0 {
		return usage("--%s must not be negative", flagWait)
	}
	if c.Duration(flagWait) == 0 {
		return nil
	}
	_, err := entryAddresses(c)
	return err
}
