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
	// defaultPollInterval is short compared with the 5 s within which an accepted revision is in force at every node.
	defaultPollInterval = 200 * time.Millisecond
)

// Querier sends one query through the entry hosts at the addresses.
type Querier func(ctx context.Context, entries []netip.AddrPort, query caller.Query) (caller.Answer, error)

// Dependencies are the clients and settings that the commands use.
type Dependencies struct {
	OpenStore StoreOpener
	Nodes     NodeReader
	Query     Querier
	// NewID returns a new submission ID.
	NewID func() (string, error)
	// PollInterval is the pause between two reads of the nodes' status while a command waits for a revision.
	PollInterval time.Duration
}

// DefaultDependencies returns the dependencies of the yuccarock program.
func DefaultDependencies() Dependencies {
	return Dependencies{
		OpenStore: openStore,
		Nodes:     &httpNodeReader{client: &http.Client{Timeout: nodeStatusTimeout}},
		Query:     sendQuery,
		NewID: func() (string, error) {
			id, err := uuid.NewV7()
			return id.String(), err
		},
		PollInterval: defaultPollInterval,
	}
}

// New returns the root command with the operators' commands and the extra ones.
func New(version string, dependencies Dependencies, extra ...*cli.Command) *cli.Command {
	d := &dependencies
	root := &cli.Command{
		Name:    "yuccarock",
		Usage:   "query tier over many shards",
		Version: version,
		Description: "Operators check and submit the configuration, take availability zones and backend servers out\n" +
			"of service and inspect the nodes." + exitCodeHelp,
		HideHelpCommand: true,
		Commands: append([]*cli.Command{
			configCommand(d), zoneCommand(d), serverCommand(d), statusCommand(d), queryCommand(d),
			versionCommand(version),
		}, extra...),
		Action: unknownCommand,
		// Run prints the error; the library's default handler would exit the process.
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

// entryAddresses returns the addresses of --entry; there must be at least one.
func entryAddresses(c *cli.Command) ([]netip.AddrPort, error) {
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

// output returns the writer for results.
func output(c *cli.Command) io.Writer { return c.Root().Writer }

func writeJSON(out io.Writer, value any) error {
	data, err := marshal(value)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", data)
	return err
}
