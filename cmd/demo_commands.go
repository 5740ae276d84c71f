package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/internal/demonstrator"
	"github.com/yuccarock/yuccarock/internal/server"
	"github.com/yuccarock/yuccarock/internal/standin/backendserver"
	"github.com/yuccarock/yuccarock/internal/standin/certifier"
	"github.com/yuccarock/yuccarock/internal/standin/storeserver"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

const (
	keyFileMode       = 0o600
	readHeaderTimeout = 5 * time.Second
)

// newDemoCommands returns the subcommands that run single parts of the demo or prepare their files.
func newDemoCommands() []*cli.Command {
	return []*cli.Command{newDemoStore(), newDemoConfig(), newDemoServers(), newDemoKeys()}
}

func newDemoStore() *cli.Command {
	return &cli.Command{
		Name:        "store",
		Usage:       "run the stand-in of the platform's store until interrupted",
		Description: "Example: yuccarock demo store --address 127.0.0.1:7000",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "`ADDRESS` to listen on", Value: "127.0.0.1:7000"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			listener, err := net.Listen("tcp", command.String("address"))
			if err != nil {
				return fmt.Errorf("could not start the store: %w", err)
			}
			httpServer := &http.Server{Handler: storeserver.New(server.Clock{}), ReadHeaderTimeout: readHeaderTimeout}
			ctx, release := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer release()
			stop := context.AfterFunc(ctx, func() { _ = httpServer.Close() })
			defer stop()
			_, _ = fmt.Fprintf(command.Root().Writer, "store at http://%s\n", listener.Addr())
			if err := httpServer.Serve(listener); ctx.Err() == nil {
				return fmt.Errorf("could not serve the store: %w", err)
			}
			return nil
		},
	}
}

func newDemoConfig() *cli.Command {
	return &cli.Command{
		Name:        "config",
		Usage:       "print a configuration whose backend servers are at consecutive loopback ports",
		Description: "Example: yuccarock demo config > config.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "first", Usage: "`ADDRESS` of the first server", Value: "127.0.0.1:21000"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			first, err := netip.ParseAddrPort(command.String("first"))
			if err != nil {
				return usage("--first: %v", err)
			}
			config, err := demonstrator.Config(first)
			if err != nil {
				return err
			}
			data, err := configurator.Canonical(config)
			if err != nil {
				return err
			}
			_, err = command.Root().Writer.Write(data)
			return err
		},
	}
}

func newDemoServers() *cli.Command {
	return &cli.Command{
		Name:        "servers",
		Usage:       "run a stand-in of every backend server of a configuration until interrupted",
		ArgsUsage:   "FILE",
		Description: "Example: yuccarock demo servers config.json",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "service-time", Usage: "mean time that a request runs", Value: 3 * time.Millisecond},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			data, err := os.ReadFile(command.Args().First())
			if err != nil {
				return fmt.Errorf("could not read the configuration: %w", err)
			}
			config, err := configurator.Parse(data)
			if err != nil {
				return err
			}
			ctx, release := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer release()
			servers, err := startServers(config, command.Duration("service-time"))
			defer func() {
				for _, backend := range servers {
					backend.Kill()
				}
			}()
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(command.Root().Writer, "%d backend servers\n", len(servers))
			<-ctx.Done()
			return nil
		},
	}
}

func startServers(config *configurator.Config, serviceTime time.Duration) ([]*backendserver.Server, error) {
	shards := make(map[string][]broker.ShardName)
	partitioning := make(map[string]uint64)
	for _, service := range config.Services {
		for _, shard := range service.Shards {
			for _, name := range shard.Servers {
				shards[name] = append(shards[name], broker.ShardName(shard.Name))
				partitioning[name] = service.Partitioning
			}
		}
	}
	var servers []*backendserver.Server
	for i, spec := range config.Servers {
		backend, err := backendserver.New(spec.Address, backendserver.Settings{
			Name: broker.ServerName(spec.Name), Seed: uint64(i), Shards: shards[spec.Name],
			Faults: backendserver.Faults{
				Slots: spec.Slots, Connections: spec.Connections,
				ServiceTime: configurator.Duration(serviceTime), Jitter: 0.5,
				Snapshots: []broker.Snapshot{1}, Partitioning: partitioning[spec.Name],
			},
		})
		if err != nil {
			return servers, err
		}
		servers = append(servers, backend)
	}
	return servers, nil
}

func newDemoKeys() *cli.Command {
	return &cli.Command{
		Name:        "keys",
		Usage:       "write a certificate authority and a certificate and key for each node",
		ArgsUsage:   "NODE...",
		Description: "For trials only.\n\nExample: yuccarock demo keys --directory keys a1 b1 c1",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "directory", Usage: "`DIRECTORY` to write to", Value: "."}},
		Action: func(_ context.Context, command *cli.Command) error {
			return writeKeys(command.String("directory"), command.Args().Slice())
		},
	}
}

func writeKeys(directory string, nodes []string) error {
	authority, err := certifier.New("trial")
	if err != nil {
		return err
	}
	files := map[string][]byte{"ca.pem": authority.PEM()}
	for _, node := range nodes {
		keys, err := authority.Issue(node)
		if err != nil {
			return err
		}
		files[node+".pem"], files[node+".key"] = keys.CertificatePEM, keys.KeyPEM
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(directory, name), data, keyFileMode); err != nil {
			return fmt.Errorf("could not write a key or certificate: %w", err)
		}
	}
	return nil
}
