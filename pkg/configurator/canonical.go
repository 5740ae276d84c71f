package configurator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Canonical returns the canonical JSON of a configuration: top-level lists are sorted by name, with one element per
// line; shards and replicas keep their order because keys map to shards by position.
func Canonical(config *Config) ([]byte, error) {
	sorted := *config
	sorted.Zones = sortedByName(config.Zones, func(z Zone) string { return z.Name })
	sorted.Services = sortedByName(config.Services, func(s Service) string { return s.Name })
	sorted.Servers = sortedByName(config.Servers, func(s Server) string { return s.Name })
	sorted.RequestKinds = sortedByName(config.RequestKinds, func(k RequestKind) string { return k.Name })

	var out bytes.Buffer
	value := reflect.ValueOf(sorted)
	separator := "{\n"
	for i := range value.NumField() {
		name, options, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		field := value.Field(i)
		if options == "omitempty" && field.IsZero() {
			continue
		}
		out.WriteString(separator + `"` + name + `":`)
		separator = ",\n"
		if err := writeField(&out, field); err != nil {
			return nil, &Error{Op: "encode", Kind: KindStructure, Err: err}
		}
	}
	out.WriteString("\n}\n")
	if err := CheckSize(out.Bytes()); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func writeField(out *bytes.Buffer, field reflect.Value) error {
	if field.Kind() != reflect.Slice {
		return writeValue(out, field)
	}
	out.WriteString("[")
	for i := range field.Len() {
		if i > 0 {
			out.WriteString(",")
		}
		out.WriteString("\n")
		if err := writeValue(out, field.Index(i)); err != nil {
			return err
		}
	}
	out.WriteString("]")
	return nil
}

func writeValue(out *bytes.Buffer, value reflect.Value) error {
	data, err := json.Marshal(value.Interface())
	if err != nil {
		return errors.Wrap(err, "could not encode value")
	}
	out.Write(data)
	return nil
}

func sortedByName[T any](list []T, name func(T) string) []T {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return sorted
}
