package cmd

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const (
	flagRevision      = "revision"
	flagKeepStates    = "keep-states"
	flagReplaceStates = "replace-states"
)

func configSubmitCommand(d *Dependencies) *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit a configuration file to the store",
		ArgsUsage: "FILE",
		Description: `Checks a file, or standard input if FILE is "-", and writes it to the store unless the configuration changes
in the meantime. If the store's reply is lost, the command reads the configuration back to find the outcome.

A file that would change the state of a zone or the draining of a server is refused, because "zone" and
"server" commands may have set them after the file was printed; choose --keep-states or --replace-states.

Examples:
  yuccarock config submit vestland.json --store http://192.0.2.1:2379
  yuccarock config submit vestland.json --keep-states --wait 5s --entry 192.0.2.10:8080
  yuccarock config submit vestland.json --revision 41` + exitCodeHelp,
		Flags: append(append(storeFlags(), waitFlags()...),
			&cli.Uint64Flag{Name: flagRevision, Usage: "submit only if `N` is the current revision"}),
		MutuallyExclusiveFlags: []cli.MutuallyExclusiveFlags{{Flags: [][]cli.Flag{
			{&cli.BoolFlag{Name: flagKeepStates, Usage: "keep the current states of zones and servers"}},
			{&cli.BoolFlag{Name: flagReplaceStates, Usage: "take the states of zones and servers from the file"}},
		}}},
		Action: d.submitConfig,
	}
}

func (d *Dependencies) submitConfig(ctx context.Context, c *cli.Command) error {
	const op = "submit the configuration"
	name, err := argument(c, "FILE")
	if err != nil {
		return err
	}
	if err := checkWait(c); err != nil {
		return err
	}
	data, err := readFile(c, name)
	if err != nil {
		return err
	}
	config, err := configurator.Parse(data)
	if err != nil {
		return classify(op, err)
	}
	var result changeResult
	err = d.withStore(ctx, c, func(ctx context.Context, store Store) error {
		current, err := store.Get(ctx, configKey)
		if err != nil {
			return err
		}
		if err := reconcile(c, config, current); err != nil {
			return err
		}
		result = changeResult{Revision: current.Version, Unserved: configurator.Unserved(config)}
		if sameConfig(config, current.Value) {
			return nil
		}
		result.Changed = true
		result.Revision, err = d.put(ctx, store, config, current.Version)
		return err
	})
	if err != nil {
		return classify(op, err)
	}
	return d.printResult(ctx, c, "configuration "+config.Name, result)
}

// reconcile checks that the file is based on the current revision, if --revision is set. A file that would change
// states is refused, unless the flags say to keep the current states or to replace them.
func reconcile(c *cli.Command, config *configurator.Config, current broker.Object) error {
	if expected := c.Uint64(flagRevision); c.IsSet(flagRevision) && expected != current.Version {
		return &Error{Op: "submit the configuration", Kind: KindConflict,
			Err: errors.Errorf("revision %d is current, not %d", current.Version, expected)}
	}
	if current.Version == 0 || c.Bool(flagReplaceStates) {
		return nil
	}
	stored, err := configurator.Parse(current.Value)
	if err != nil {
		// An invalid configuration is in force at no node and has no states to keep.
		return nil
	}
	differences := mergeStates(config, stored, c.Bool(flagKeepStates))
	if len(differences) == 0 || c.Bool(flagKeepStates) {
		return nil
	}
	return &Error{Op: "submit the configuration", Kind: KindConflict, Details: differences,
		Err: errors.Errorf("it would change states: %s; use --%s or --%s",
			strings.Join(differences, ", "), flagKeepStates, flagReplaceStates)}
}

// mergeStates returns how states in config differ from the stored ones; if keep is set, it copies the stored states
// into config.
func mergeStates(config, stored *configurator.Config, keep bool) []string {
	var differences []string
	for i := range config.Zones {
		zone := &config.Zones[i]
		index := slices.IndexFunc(stored.Zones, func(z configurator.Zone) bool { return z.Name == zone.Name })
		if index < 0 || stored.Zones[index].State == zone.State {
			continue
		}
		differences = append(differences,
			fmt.Sprintf("zone %s from %s to %s", zone.Name, stored.Zones[index].State, zone.State))
		if keep {
			zone.State = stored.Zones[index].State
		}
	}
	draining := make(map[string]bool, len(stored.Servers))
	for i := range stored.Servers {
		draining[stored.Servers[i].Name] = stored.Servers[i].Draining
	}
	for i := range config.Servers {
		server := &config.Servers[i]
		previous, found := draining[server.Name]
		if !found || previous == server.Draining {
			continue
		}
		differences = append(differences,
			fmt.Sprintf("server %s draining from %v to %v", server.Name, previous, server.Draining))
		if keep {
			server.Draining = previous
		}
	}
	if keep && stored.AllowAllZonesOut {
		config.AllowAllZonesOut = true
	}
	return differences
}

// sameConfig returns whether config and the stored configuration are equal apart from their submission IDs.
func sameConfig(config *configurator.Config, value []byte) bool {
	stored, err := configurator.Parse(value)
	if err != nil {
		return false
	}
	compared := *config
	compared.SubmissionID = stored.SubmissionID
	a, errA := configurator.Canonical(&compared)
	b, errB := configurator.Canonical(stored)
	return errA == nil && errB == nil && bytes.Equal(a, b)
}
