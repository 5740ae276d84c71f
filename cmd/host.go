package cmd

import (
	"context"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/internal/forwarder"
	"github.com/yuccarock/yuccarock/internal/logger"
	"github.com/yuccarock/yuccarock/internal/signaler"
	"github.com/yuccarock/yuccarock/internal/tracer"
	"github.com/yuccarock/yuccarock/platform"
)

// NewHost returns the command that runs an entry host on the users' platform.
func NewHost() *cli.Command {
	return &cli.Command{
		Name:  "host",
		Usage: "run an entry host on the users' platform",
		Description: "Reads the platform's settings file, follows configuration and backend servers in the platform's store\n" +
			"and forwards callers' requests. SIGTERM or SIGINT starts a planned stop. Further signals change\n" +
			"nothing, except that a second SIGINT, as from a terminal, makes it exit at once. SIGHUP reloads the settings file.\n\n" +
			"Example: yuccarock host --metrics-port 9464",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the platform's JSON settings `FILE`", Required: true,
				Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.Uint16Flag{Name: "metrics-port", Usage: "TCP `PORT` of /metrics on this host's address, 0 for none"},
			&cli.IntFlag{Name: "max-connections", Usage: "maximum `NUMBER` of connections of callers and other hosts, 0 for what memory_mb and\n" +
				"max_fds allow"},
			&cli.Int64Flag{Name: "request-memory", Usage: "memory of all requests in `MIB`, 0 for a quarter of memory_mb"},
			&cli.StringFlag{Name: "log-level", Usage: "`LEVEL` of the log: debug, info, warn or error", Value: "info"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			var level slog.Level
			if err := level.UnmarshalText([]byte(command.String("log-level"))); err != nil {
				return usage("--log-level: %v", err)
			}
			if command.Int("max-connections") < 0 || command.Int64("request-memory") < 0 {
				return usage("--max-connections and --request-memory must not be negative")
			}
			load := func() (platform.Settings, error) {
				settings, err := platform.LoadSettings(command.String("settings"), command.Uint16("metrics-port"))
				settings.MaxInbound, settings.RequestMemory = command.Int("max-connections"), command.Int64("request-memory")<<20
				return settings, err
			}
			settings, err := load()
			if err != nil {
				return &Error{Op: "start the host", Kind: KindInvalid, Err: err}
			}
			return runHost(ctx, settings, load, level)
		},
	}
}

func runHost(
	ctx context.Context, settings platform.Settings, load func() (platform.Settings, error), level slog.Level,
) error {
	if settings.Memory > 0 {
		debug.SetMemoryLimit(settings.Shares().Collected)
	}
	set := metrics.NewSet()
	log := logger.New(os.Stdout, level, set)
	defer log.Close()
	nodeLog := log.With("node", settings.Node)
	store := platform.NewStore(settings.Store, nil, set)
	host := forwarder.New(forwarder.Dependencies{
		Settings: settings.Settings, Sources: platform.NewSources(store, set, nodeLog), Codec: platform.Codec{},
		Directory: platform.NewDirectory, Probe: platform.NewProbe(), Tracer: tracer.Disabled(), Metrics: set, Logger: nodeLog,
	})
	stop, force, release := signaler.Stops(ctx, nodeLog)
	defer release()
	hangups, releaseHangups := signaler.Hangups()
	defer releaseHangups()
	go reload(stop, hangups, load, host.Reload, nodeLog)
	return host.Run(stop, force)
}

// reloadInterval is the pause between two reads of the settings file, which may change without a signal.
const reloadInterval = 5 * time.Second

// reload applies the settings file after each hangup signal and at each reloadInterval; an invalid file changes
// nothing.
func reload(
	ctx context.Context, hangups <-chan os.Signal, load func() (platform.Settings, error),
	apply func(forwarder.Settings) bool, logger *slog.Logger,
) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-hangups:
			signalled = true
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		settings, err := load()
		switch {
		case err != nil:
			logger.Warn("could not reload the settings; keeping the current ones", "error", err)
		case apply(settings.Settings):
			logger.Info("settings reloaded", "signalled", signalled)
		case signalled:
			logger.Info("settings unchanged", "signalled", signalled)
		}
	}
}
