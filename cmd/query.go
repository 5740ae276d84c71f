package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	pkgerrors "github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/pkg/caller"
)

const (
	flagKind  = "kind"
	flagKey   = "key"
	flagLimit = "limit"
	flagBody  = "body"
	flagID    = "id"
)

func queryCommand(d *Dependencies) *cli.Command {
	return &cli.Command{
		Name:  "query",
		Usage: "send one query as a caller",
		Description: `Exits with 0 if the answer is complete or partial, and with 1 if the query did not run or covered too few
shards.

Examples:
  yuccarock query --entry 192.0.2.10:8080 --kind inspectorSearch --body '{"text":"oil drum"}'
  yuccarock query --entry 192.0.2.10:8080 --kind report --key case-17 --body @report.json --json` + exitCodeHelp,
		Flags: []cli.Flag{
			jsonFlag(), entryFlag(),
			&cli.StringFlag{Name: flagKind, Usage: "request `KIND` of the configuration", Required: true},
			&cli.StringFlag{Name: flagKey, Usage: "`KEY` that selects the shard"},
			&cli.IntFlag{Name: flagLimit, Usage: "maximum number of hits", Value: 10},
			&cli.StringFlag{Name: flagBody, Usage: "`JSON` passed to the backend servers, or @FILE", Value: "{}"},
			&cli.StringFlag{Name: flagID, Usage: "request `ID` of an earlier query to send again"},
			&cli.DurationFlag{Name: flagTimeout, Usage: "time allowed for the query", Value: defaultTimeout},
		},
		Action: d.query,
	}
}

func sendQuery(ctx context.Context, entries []netip.AddrPort, query caller.Query) (caller.Answer, error) {
	client, err := caller.New(entries, caller.Options{})
	if err != nil {
		return caller.Answer{}, err
	}
	defer client.Close()
	return client.Query(ctx, query)
}

func (d *Dependencies) query(ctx context.Context, c *cli.Command) error {
	addresses, err := entryAddresses(c)
	if err != nil {
		return err
	}
	body := []byte(c.String(flagBody))
	if name, ok := strings.CutPrefix(c.String(flagBody), "@"); ok {
		if body, err = os.ReadFile(name); err != nil {
			return &Error{Op: "read the body", Kind: KindFailed, Err: err}
		}
	}
	if !json.Valid(body) {
		return usage("--%s is not JSON", flagBody)
	}
	answer, err := d.Query(ctx, addresses, caller.Query{
		RequestID: c.String(flagID), Kind: c.String(flagKind), Key: c.String(flagKey), Limit: c.Int(flagLimit),
		Body: body, Timeout: c.Duration(flagTimeout),
	})
	if err != nil {
		return classifyQueryError(err)
	}
	if c.Bool(flagJSON) {
		err = writeJSON(output(c), answer)
	} else {
		err = writeAnswer(output(c), answer)
	}
	if err != nil {
		return err
	}
	return answerError(answer)
}

func classifyQueryError(err error) error {
	kind := KindFailed
	var callerErr *caller.Error
	if errors.As(err, &callerErr) {
		switch callerErr.Kind {
		case caller.KindInvalid:
			kind = KindInvalid
		case caller.KindOutcomeUnknown:
			kind = KindUnknownOutcome
		case caller.KindNotRun:
		}
	}
	return &Error{Op: "run the query", Kind: kind, Err: err}
}

// answerError returns nil for a complete or partial answer, and an error for any other status.
func answerError(answer caller.Answer) error {
	kind := KindFailed
	switch answer.Status {
	case caller.StatusComplete, caller.StatusPartial:
		return nil
	case caller.StatusOutcomeUnknown:
		kind = KindUnknownOutcome
	case caller.StatusNotRun, caller.StatusInsufficientCoverage:
	}
	return &Error{Op: "run the query", Kind: kind,
		Err: pkgerrors.Errorf("status %s, reason %q", answer.Status, answer.Reason)}
}

func writeAnswer(out io.Writer, answer caller.Answer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %d of %d shards, snapshot %d, revision %d, request %s\n", answer.Status,
		answer.Coverage.ShardsAnswered, answer.Coverage.ShardsTotal, answer.Snapshot, answer.Revision, answer.RequestID)
	for _, missing := range answer.Coverage.Missing {
		fmt.Fprintf(&text, "missing %s: %s\n", missing.Shard, missing.Reason)
	}
	for _, hit := range answer.Hits {
		fmt.Fprintf(&text, "%.4f  %s  %s\n", hit.Score, hit.Shard, hit.ID)
	}
	_, err := io.WriteString(out, text.String())
	return err
}
