package configurator

import (
	"errors"
	"fmt"
	"strings"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of error.
const (
	// KindTooLarge means that the encoded configuration exceeds MaxSize.
	KindTooLarge Kind = "tooLarge"
	// KindSyntax means that the input is not well-formed JSON or repeats a field.
	KindSyntax Kind = "syntax"
	// KindStructure means that a field is unknown, missing, of the wrong type or out of range, which the JSON Schema
	// states as well.
	KindStructure Kind = "structure"
	// KindRule means that fields contradict each other or that a reference has no target.
	KindRule Kind = "rule"
	// KindUnknownName means that an editor was given a name that the configuration does not contain.
	KindUnknownName Kind = "unknownName"
)

// Error is the error of every operation of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the operation and what was wrong.
func (e *Error) Error() string { return fmt.Sprintf("could not %s configuration: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Problem is one fault of a configuration and its JSON path.
type Problem struct {
	Path    string `json:"path"`
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
}

// Problems are all faults found in a configuration, in the order of their fields.
type Problems []Problem

// Error lists every problem on a line of its own.
func (p Problems) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d problem(s)", len(p))
	for _, problem := range p {
		fmt.Fprintf(&text, "\n  %s: %s", problem.Path, problem.Message)
	}
	return text.String()
}

// ProblemsOf returns the problems that err carries, or nil.
func ProblemsOf(err error) Problems {
	var problems Problems
	if errors.As(err, &problems) {
		return problems
	}
	return nil
}

func (p Problems) asError(op string) error {
	if len(p) == 0 {
		return nil
	}
	return &Error{Op: op, Kind: p[0].Kind, Err: p}
}
