package cmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/pkg/caller"
)

// Names of flags that several commands share.
const (
	flagJSON    = "json"
	flagStore   = "store"
	flagEntry   = "entry"
	flagTimeout = "timeout"
	flagWait    = "wait"
)

const (
	defaultTimeout = 10 * time.Second
	// defaultPoll is the pause between two looks at the nodes, short against the 5 s in which a revision is in
	// force everywhere.
	defaultPoll = 200 * time.Millisecond
)

// Querier sends one query to the entries at the given addresses.
type Querier func(ctx context.Context, entries []netip.AddrPort, query caller.Query) (caller.Answer, error)

// Dependencies are what commands need from outside.
type Dependencies struct {
	OpenStore StoreOpener
	Nodes     NodeReader
	Query     Querier
	// NewID returns a fresh submission ID.
	NewID func() (string, error)
	// Poll is the pause between two looks at the nodes.
	Poll time.Duration
}

// DefaultDependencies returns those of the program.
func DefaultDependencies() Dependencies {
	return Dependencies{
		OpenStore: openStore,
		Nodes:     &httpNodes{client: &http.Client{Timeout: nodeTimeout}},
		Query:     sendQuery,
		NewID: func() (string, error) {
			id, err := uuid.NewV7()
			return id.String(), err
		},
		Poll: defaultPoll,
	}
}

// New returns the root command with the operators' commands and any others that are given.
func New(version string, dependencies Dependencies, extra ...*cli.Command) *cli.Command {
	d := &dependencies
	root := &cli.Command{
		Name:    "yuccarock",
		Usage:   "query tier over many shards",
		Version: version,
		Description: "Operators check and submit the configuration, take availability zones and backend servers out\n" +
			"of service and look at the nodes." + exitCodeHelp,
		HideHelpCommand: true,
		Commands: append([]*cli.Command{
			configCommand(d), zoneCommand(d), serverCommand(d), statusCommand(d), queryCommand(d),
			versionCommand(version),
		}, extra...),
		Action: unknownCommand,
		// Run prints the error; the library would end the process.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	_ = root.Walk(func(c *cli.Command) error {
		if c.OnUsageError == nil {
			c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
				return &Error{Op: "read the command line", Kind: KindUsage, Err: err}
			}
		}
		return nil
	})
	return root
}

// unknownCommand is the action of a command that only has subcommands.
func unknownCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usage("%s has no command %q; see %s --help", c.FullName(), c.Args().First(), c.FullName())
	}
	if c.Root() == c {
		return cli.ShowRootCommandHelp(c)
	}
	return cli.ShowSubcommandHelp(c)
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagJSON, Usage: "print JSON"}
}

func storeFlags() []cli.Flag {
	return []cli.Flag{
		jsonFlag(),
		&cli.StringFlag{Name: flagStore, Usage: "base `URL` of the platform's store", Required: true,
			Sources: cli.EnvVars("YUCCAROCK_STORE")},
		&cli.DurationFlag{Name: flagTimeout, Usage: "time allowed for the store", Value: defaultTimeout},
	}
}

func entryFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: flagEntry, Usage: "`ADDRESS` and port of any node; may be repeated",
		Sources: cli.EnvVars("YUCCAROCK_ENTRY")}
}

func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.DurationFlag{Name: flagWait,
			Usage: "wait up to this `DURATION` until the revision is in force at every node"},
		entryFlag(),
	}
}

// entries returns the node addresses given on the command line.
func entries(c *cli.Command) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, text := range c.StringSlice(flagEntry) {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, usage("--%s: %v", flagEntry, err)
		}
		addresses = append(addresses, address)
	}
	if len(addresses) == 0 {
		return nil, usage("--%s is needed: the address and port of any node", flagEntry)
	}
	return addresses, nil
}

// argument returns the only positional argument.
func argument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usage("%s takes one %s, got %d arguments", c.FullName(), name, c.Args().Len())
	}
	return c.Args().First(), nil
}

// output returns where results go.
func output(c *cli.Command) io.Writer { return c.Root().Writer }

func writeJSON(out io.Writer, value any) error {
	data, err := marshal(value)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", data)
	return err
}
