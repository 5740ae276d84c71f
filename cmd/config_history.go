package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/internal/broker/transport/storer"
)

const (
	flagLast    = "last"
	defaultLast = 20
)

func configHistoryCommand(d *Dependencies) *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the revisions of the configuration, the current one last",
		Description: `Examples:
  yuccarock config history --store http://192.0.2.1:2379
  yuccarock config history --last 5 --json` + exitCodeHelp,
		Flags: append(storeFlags(),
			&cli.IntFlag{Name: flagLast, Usage: "list the last `N` revisions; 0 lists all", Value: defaultLast}),
		Action: d.listHistory,
	}
}

func (d *Dependencies) listHistory(ctx context.Context, c *cli.Command) error {
	versions := []storer.Version{}
	err := d.withStore(ctx, c, func(ctx context.Context, store Store) (err error) {
		versions, err = store.History(ctx, configKey)
		return err
	})
	if err != nil {
		return classify("list the history", err)
	}
	if last := c.Int(flagLast); last > 0 && len(versions) > last {
		versions = versions[len(versions)-last:]
	}
	if c.Bool(flagJSON) {
		type revision struct {
			Revision uint64    `json:"revision"`
			Time     time.Time `json:"time"`
		}
		revisions := make([]revision, 0, len(versions))
		for _, version := range versions {
			revisions = append(revisions, revision{version.Version, version.Time})
		}
		return writeJSON(output(c), revisions)
	}
	for _, version := range versions {
		line := fmt.Sprintf("%d\t%s\n", version.Version, version.Time.UTC().Format(time.RFC3339))
		if _, err := fmt.Fprint(output(c), line); err != nil {
			return err
		}
	}
	return nil
}
