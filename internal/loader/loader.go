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
	KindUnreadable ErrorKind = "unreadable"
	KindInvalid    ErrorKind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns what could not be done and why.
func (e *Error) Error() string { return fmt.Sprintf("could not %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Load reads settings from the file at path; the error lists every fault with its path in the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "read the settings", Kind: KindUnreadable, Err: errors.WithStack(err)}
	}
	return Parse(data)
}

// Parse reads settings from JSON over the defaults and checks them. The error lists every fault: unknown fields and
// values of the wrong form as well as values that are refused.
func Parse(data []byte) (Settings, error) {
	settings := Defaults()
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return Settings{}, &Error{Op: "decode the settings", Kind: KindInvalid, Err: errors.Wrap(err, "not one JSON object")}
	}
	faults := unknown(data, reflect.TypeFor[Settings](), "")
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		// Each field for itself, because decoding ends at the first value of a wrong form.
		one, err := json.Marshal(map[string]json.RawMessage{name: fields[name]})
		if err == nil {
			err = json.Unmarshal(one, &settings)
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", name, err))
		}
	}
	if err := stderrors.Join(append(faults, check(&settings))...); err != nil {
		return Settings{}, &Error{Op: "accept the settings", Kind: KindInvalid, Err: err}
	}
	return settings, nil
}

// unknown returns a fault for each field of a JSON object that a type does not have, also within its fields.
func unknown(data json.RawMessage, of reflect.Type, path string) []error {
	var fields map[string]json.RawMessage
	if of.Kind() != reflect.Struct || json.Unmarshal(data, &fields) != nil {
		return nil
	}
	types := make(map[string]reflect.Type, of.NumField())
	for i := range of.NumField() {
		name, _, _ := strings.Cut(of.Field(i).Tag.Get("json"), ",")
		types[name] = of.Field(i).Type
	}
	var faults []error
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if types[name] == nil {
			faults = append(faults, fmt.Errorf("%s%s: unknown field", path, name))
			continue
		}
		faults = append(faults, unknown(fields[name], types[name], path+name+".")...)
	}
	return faults
}

// check joins all faults, so that one run shows everything that has to be corrected.
func check(s *Settings) error {
	var faults []error
	fault := func(path, format string, args ...any) {
		faults = append(faults, fmt.Errorf("%s: %s", path, fmt.Sprintf(format, args...)))
	}
	names := []struct{ path, value string }{{"node", s.Node}, {"zone", s.Zone}, {"cell", s.Cell}}
	for _, name := range names {
		if !namePattern.MatchString(name.value) {
			fault(name.path, "must be 1 to 63 lower-case letters, digits or hyphens, got %q", name.value)
		}
	}
	addresses := []struct {
		path  string
		value netip.AddrPort
	}{{"entry", s.Entry}, {"peer", s.Peer}}
	for _, address := range addresses {
		if !address.value.IsValid() || address.value.Addr().IsUnspecified() {
			fault(address.path, "must be an IP address and port that others can reach, got %q", address.value)
		}
	}
	for name, address := range s.Seeds {
		if !namePattern.MatchString(name) || !address.IsValid() || address.Addr().IsUnspecified() {
			fault("seeds."+name, "must be a node name with an IP address and port, got %q", address)
		}
	}
	base, err := url.Parse(s.Store)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		fault("store", "must be an http or https URL, got %q", s.Store)
	}
	files := []struct{ path, value string }{
		{"tls.ca", s.TLS.CA}, {"tls.certificate", s.TLS.Certificate}, {"tls.key", s.TLS.Key},
	}
	for _, file := range files {
		if file.value == "" {
			fault(file.path, "is missing; peer links need mutual TLS")
		}
	}
	checkRanges(s, fault)
	return stderrors.Join(faults...)
}

func checkRanges(s *Settings, fault func(path, format string, args ...any)) {
	if time.Duration(s.StopDeadline) <= 0 {
		fault("stopDeadline", "must be positive")
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		fault("logLevel", "must be debug, info, warn or error, got %q", s.LogLevel)
	}
	switch s.Trace.Exporter {
	case ExporterNone, ExporterStdout:
	case ExporterOTLP:
		if s.Trace.Endpoint == "" {
			fault("trace.endpoint", "is missing for the exporter \"otlp\"")
		}
	default:
		fault("trace.exporter", "must be none, stdout or otlp, got %q", s.Trace.Exporter)
	}
	if s.Trace.Sample < 0 || s.Trace.Sample > 1 {
		fault("trace.sample", "must be between 0 and 1, got %v", s.Trace.Sample)
	}
	if s.Limits.MaxBody <= 0 {
		fault("limits.maxBody", "must be positive")
	}
	if s.Limits.MaxConcurrent <= 0 {
		fault("limits.maxConcurrent", "must be positive")
	}
	if time.Duration(s.Limits.MaxQueryTime) <= 0 {
		fault("limits.maxQueryTime", "must be positive")
	}
}
