package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	pkgerrors "github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/internal/broker/transport/storer"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// Kind classifies an error of a command and determines its exit code.
type Kind string

// Kinds of error.
const (
	KindFailed           Kind = "failed"
	KindUsage            Kind = "usage"
	KindInvalid          Kind = "invalid"
	KindConflict         Kind = "conflict"
	KindUnknownOutcome   Kind = "unknownOutcome"
	KindStoreUnavailable Kind = "storeUnavailable"
	KindNotInForce       Kind = "notInForce"
)

// exitCodes are part of the interface to operators' scripts.
var exitCodes = map[Kind]int{
	KindFailed:           1,
	KindUsage:            2,
	KindInvalid:          3,
	KindConflict:         4,
	KindUnknownOutcome:   5,
	KindStoreUnavailable: 6,
	KindNotInForce:       7,
}

const exitCodeHelp = `

Exit codes:
  0  done
  1  failed for another reason
  2  wrong usage
  3  invalid configuration or query; nothing was changed
  4  conflict with another change; nothing was changed
  5  outcome unknown: the change may or may not have been accepted
  6  store unavailable; nothing was changed
  7  accepted, but not in force at every node in time`

// Error is the error that every command returns.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// Details are printed with --json only.
	Details any
}

// Error returns the operation that failed and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func usage(format string, args ...any) error {
	return &Error{Op: "run the command", Kind: KindUsage, Err: pkgerrors.Errorf(format, args...)}
}

// classify wraps an error of another package in an Error with the kind that determines the exit code.
func classify(op string, err error) error {
	if err == nil {
		return nil
	}
	var commandErr *Error
	if errors.As(err, &commandErr) {
		return err
	}
	kind := KindFailed
	var invalid *configurator.Error
	switch {
	case errors.As(err, &invalid):
		kind = KindInvalid
	case storer.KindOf(err) == storer.KindTooLarge:
		kind = KindInvalid
	case storer.KindOf(err) == storer.KindConflict:
		kind = KindConflict
	case storer.KindOf(err) == storer.KindUnknownOutcome:
		kind = KindUnknownOutcome
	case storer.KindOf(err) == storer.KindUnavailable:
		kind = KindStoreUnavailable
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

// ExitCode returns the exit code of the program for the error of a command.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	var commandErr *Error
	if errors.As(err, &commandErr) {
		return exitCodes[commandErr.Kind]
	}
	return exitCodes[KindFailed]
}

// Run runs a command line, prints its error and returns the exit code.
func Run(ctx context.Context, root *cli.Command, args []string) int {
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	if !slices.Contains(args, "--"+flagJSON) {
		_, _ = fmt.Fprintf(root.ErrWriter, "yuccarock: %v\n", err)
		return ExitCode(err)
	}
	var report struct {
		Error struct {
			Kind     Kind                  `json:"kind"`
			Message  string                `json:"message"`
			Problems configurator.Problems `json:"problems,omitempty"`
			Details  any                   `json:"details,omitempty"`
		} `json:"error"`
	}
	report.Error.Kind, report.Error.Message = KindFailed, err.Error()
	report.Error.Problems = configurator.ProblemsOf(err)
	var commandErr *Error
	if errors.As(err, &commandErr) {
		report.Error.Kind, report.Error.Details = commandErr.Kind, commandErr.Details
	}
	_ = writeJSON(root.Writer, report)
	return ExitCode(err)
}

func marshal(value any) ([]byte, error) { return json.MarshalIndent(value, "", "  ") }
