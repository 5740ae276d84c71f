package cmd

import (
	"context"
	"log/slog"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/internal/broker/transport/linker"
	"github.com/yuccarock/yuccarock/internal/loader"
	"github.com/yuccarock/yuccarock/internal/server"
	"github.com/yuccarock/yuccarock/internal/signaler"
	"github.com/yuccarock/yuccarock/internal/tracer"
)

// NewServe returns the command that runs the daemon of an entry host.
func NewServe() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the daemon of an entry host",
		Description: "Reads the settings file, joins the cell and serves callers. SIGTERM or SIGINT starts a planned stop:\n" +
			"the node is removed from the entries that callers resolve, hands over its backend servers, finishes requests\n" +
			"in progress and exits with 0. Further signals change nothing, except that a second SIGINT, as from a terminal,\n" +
			"makes it exit at once.\n\nExample: yuccarock serve --settings a1.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "JSON settings `FILE`", Required: true},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return serve(ctx, command.String("settings"))
		},
	}
}

func serve(ctx context.Context, path string) error {
	settings, err := loader.Load(path)
	if err != nil {
		return &Error{Op: "start the daemon", Kind: KindInvalid, Err: err}
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(settings.LogLevel)); err != nil {
		return &Error{Op: "start the daemon", Kind: KindInvalid, Err: err}
	}
	logger := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	credentials, err := linker.NewFileCredentials(settings.TLS.Certificate, settings.TLS.Key, settings.TLS.CA)
	if err != nil {
		return err
	}
	traces, err := tracer.New(ctx, settings.Trace, settings.Node, os.Stdout)
	if err != nil {
		return err
	}
	defer func() { _ = traces.Shutdown(context.WithoutCancel(ctx)) }()
	set := metrics.NewSet()
	store, err := server.OpenStore(settings.Store, set)
	if err != nil {
		return err
	}
	daemon, err := server.New(server.Dependencies{
		Settings: settings, Store: store, Credentials: credentials, Tracer: traces, Metrics: set, Logger: logger,
	})
	if err != nil {
		return err
	}
	stop, force, release := signaler.Stops(ctx, logger)
	defer release()
	return daemon.Run(stop, force)
}
