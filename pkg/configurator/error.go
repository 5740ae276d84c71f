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
	// KindSyntax means that the input is not well-formed JSON in UTF-8, is nested too deeply or repeats a field.
	KindSyntax Kind = "syntax"
	// KindStructure means that a field is unknown, missing, of the wrong type or out of range; the JSON Schema rejects
	// the same inputs.
	KindStructure Kind = "structure"
	// KindRule means that a configuration with a valid structure breaks a rule that the JSON Schema does not express:
	// fields contradict each other, or a reference names nothing that exists.
	KindRule Kind = "rule"
	// KindUnknownName means that SetZone or SetDraining was called with a name that the configuration does not contain.
	KindUnknownName Kind = "unknownName"
)

// Error is the type of all errors of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the failed operation and its cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s configuration: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Problem is one error in a configuration, with its JSON path.
type Problem struct {
	Path    string `json:"path"`
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
}

// Problems holds all errors found in a configuration, those of decoding before those of validation.
type Problems []Problem

// Error returns the number of problems and lists one per line.
func (p Problems) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d problem(s)", len(p))
	for _, problem := range p {
		fmt.Fprintf(&text, "\n  %s: %s", problem.Path, problem.Message)
	}
	return text.String()
}

// ProblemsOf returns the problems wrapped by err, or nil.
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
