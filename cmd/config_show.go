package cmd

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/internal/broker"
)

func configShowCommand(d *Dependencies) *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print the configuration in the store",
		Description: `Prints the current configuration, or an earlier revision, as it is stored.

Examples:
  yuccarock config show --store http://192.0.2.1:2379
  yuccarock config show --revision 41 > before.json` + exitCodeHelp,
		Flags:  append(storeFlags(), &cli.Uint64Flag{Name: flagRevision, Usage: "print revision `N`"}),
		Action: d.showConfig,
	}
}

func (d *Dependencies) showConfig(ctx context.Context, c *cli.Command) error {
	const op = "show the configuration"
	var object broker.Object
	err := d.withStore(ctx, c, func(ctx context.Context, store Store) (err error) {
		if c.IsSet(flagRevision) {
			object, err = store.GetVersion(ctx, configKey, c.Uint64(flagRevision))
		} else {
			object, err = store.Get(ctx, configKey)
		}
		return err
	})
	if err != nil {
		return classify(op, err)
	}
	if object.Version == 0 {
		return &Error{Op: op, Kind: KindFailed, Err: errors.New("the store holds no such configuration")}
	}
	if c.Bool(flagJSON) {
		return writeJSON(output(c), struct {
			Revision uint64          `json:"revision"`
			Config   json.RawMessage `json:"config"`
		}{object.Version, object.Value})
	}
	_, err = output(c).Write(object.Value)
	return err
}
