package loader

import (
	"encoding/json"
	stderrors "errors"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	// KindUnreadable means that the settings file could not be read.
	KindUnreadable ErrorKind = "unreadable"
	// KindInvalid means that the settings are not a JSON object or have invalid fields.
	KindInvalid ErrorKind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation that failed and the cause.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Load reads settings from the file at path. An error is of type *Error; see Parse for invalid settings.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "read the settings", Kind: KindUnreadable, Err: errors.WithStack(err)}
	}
	return Parse(data)
}

// Parse decodes settings from JSON on top of the defaults and validates them. The error has KindInvalid and lists every
// problem with the path of its field: unknown fields, values of the wrong type and invalid values.
func Parse(data []byte) (Settings, error) {
	settings := Defaults()
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return Settings{}, &Error{Op: "decode the settings", Kind: KindInvalid, Err: errors.Wrap(err, "not one JSON object")}
	}
	fieldErrors := unknownFieldErrors(data, reflect.TypeFor[Settings](), "")
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		// Each field is decoded separately, because json.Unmarshal reports only the first value that it cannot decode.
		object, err := json.Marshal(map[string]json.RawMessage{name: fields[name]})
		if err == nil {
			err = json.Unmarshal(object, &settings)
		}
		if err != nil {
			fieldErrors = append(fieldErrors, fmt.Errorf("%s: %w", name, err))
		}
	}
	if err := stderrors.Join(append(fieldErrors, validate(&settings))...); err != nil {
		return Settings{}, &Error{Op: "validate the settings", Kind: KindInvalid, Err: err}
	}
	return settings, nil
}

// unknownFieldErrors returns an error for each field of a JSON object that the struct type does not have, including
// fields of nested objects.
func unknownFieldErrors(data json.RawMessage, structType reflect.Type, path string) []error {
	var fields map[string]json.RawMessage
	if structType.Kind() != reflect.Struct || json.Unmarshal(data, &fields) != nil {
		return nil
	}
	types := make(map[string]reflect.Type, structType.NumField())
	for i := range structType.NumField() {
		name, _, _ := strings.Cut(structType.Field(i).Tag.Get("json"), ",")
		types[name] = structType.Field(i).Type
	}
	var fieldErrors []error
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if types[name] == nil {
			fieldErrors = append(fieldErrors, fmt.Errorf("%s%s: unknown field", path, name))
			continue
		}
		fieldErrors = append(fieldErrors, unknownFieldErrors(fields[name], types[name], path+name+".")...)
	}
	return fieldErrors
}

// validate joins the errors of all fields, so that one run reports everything that has to be corrected.
func validate(s *Settings) error {
	var fieldErrors []error
	addError := func(path, format string, args ...any) {
		fieldErrors = append(fieldErrors, fmt.Errorf("%s: %s", path, fmt.Sprintf(format, args...)))
	}
	names := []struct{ path, value string }{{"node", s.Node}, {"zone", s.Zone}, {"cell", s.Cell}}
	for _, name := range names {
		if !namePattern.MatchString(name.value) {
			addError(name.path, "must be 1 to 63 lower-case letters, digits or hyphens, got %q", name.value)
		}
	}
	addresses := []struct {
		path  string
		value netip.AddrPort
	}{{"entry", s.Entry}, {"peer", s.Peer}}
	for _, address := range addresses {
		if !address.value.IsValid() || address.value.Addr().IsUnspecified() {
			addError(address.path, "must be an IP address and port that other hosts can reach, got %q", address.value)
		}
	}
	for name, address := range s.Seeds {
		if !namePattern.MatchString(name) || !address.IsValid() || address.Addr().IsUnspecified() {
			addError("seeds."+name, "must be a node name with an IP address and port, got %q", address)
		}
	}
	base, err := url.Parse(s.Store)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		addError("store", "must be an http or https URL, got %q", s.Store)
	}
	files := []struct{ path, value string }{
		{"tls.ca", s.TLS.CA}, {"tls.certificate", s.TLS.Certificate}, {"tls.key", s.TLS.Key},
	}
	for _, file := range files {
		if file.value == "" {
			addError(file.path, "is missing; it is required for mutual TLS on peer links")
		}
	}
	validateRanges(s, addError)
	return stderrors.Join(fieldErrors...)
}

func validateRanges(s *Settings, addError func(path, format string, args ...any)) {
	if time.Duration(s.StopDeadline) <= 0 {
		addError("stopDeadline", "must be positive")
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		addError("logLevel", "must be debug, info, warn or error, got %q", s.LogLevel)
	}
	switch s.Trace.Exporter {
	case ExporterNone, ExporterStdout:
	case ExporterOTLP:
		if s.Trace.Endpoint == "" {
			addError("trace.endpoint", "is missing for the exporter \"otlp\"")
		}
	default:
		addError("trace.exporter", "must be none, stdout or otlp, got %q", s.Trace.Exporter)
	}
	if s.Trace.Sample < 0 || s.Trace.Sample > 1 {
		addError("trace.sample", "must be between 0 and 1, got %v", s.Trace.Sample)
	}
	if s.Limits.MaxBody <= 0 {
		addError("limits.maxBody", "must be positive")
	}
	if s.Limits.MaxConcurrent <= 0 {
		addError("limits.maxConcurrent", "must be positive")
	}
	if time.Duration(s.Limits.MaxQueryTime) <= 0 {
		addError("limits.maxQueryTime", "must be positive")
	}
}
