package configurator

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Forms of strings, as stated in schema.json.
var (
	durationForm = regexp.MustCompile(
		`^([0-9]{1,9}(\.[0-9]{1,9})?(ns|us|µs|ms)|[0-9]{1,5}(\.[0-9]{1,9})?(s|m|h)){1,4}$`)
	addressForm = regexp.MustCompile(`^([0-9.]{7,15}|\[[0-9A-Fa-f:.]{2,45}\]):[1-9][0-9]{0,4}$`)
)

// maxInteger is the largest integer that every JSON library reads without rounding.
const maxInteger = 1<<53 - 1

// enumerations are the values allowed for each enumerated type.
var enumerations = map[reflect.Type][]string{
	reflect.TypeFor[ZoneState](): {string(ZoneIn), string(ZoneOut)},
	reflect.TypeFor[Routing]():   {string(RoutingScatter), string(RoutingKey), string(RoutingAny)},
	reflect.TypeFor[Canary]():    {string(CanaryNever), string(CanaryUnseen), string(CanaryAlways)},
}

// assigner copies a JSON tree into the model and collects every structural problem.
type assigner struct {
	problems Problems
}

func (a *assigner) problem(path string, kind Kind, format string, args ...any) {
	a.problems = append(a.problems, Problem{Path: path, Kind: kind, Message: fmt.Sprintf(format, args...)})
}

func (a *assigner) assign(node *tree, target reflect.Value, path string) {
	switch pointer := target.Addr().Interface().(type) {
	case *Duration:
		a.assignDuration(node, pointer, path)
		return
	case *netip.AddrPort:
		a.assignAddress(node, pointer, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		a.assignObject(node, target, path)
	case reflect.Slice:
		a.assignArray(node, target, path)
	case reflect.String:
		a.assignString(node, target, path)
	case reflect.Bool:
		if value, ok := node.value.(bool); ok {
			target.SetBool(value)
			return
		}
		a.wrongType(node, "a boolean", path)
	default:
		a.assignNumber(node, target, path)
	}
}

func (a *assigner) assignObject(node *tree, target reflect.Value, path string) {
	if node.value != json.Delim('{') {
		a.wrongType(node, "an object", path)
		return
	}
	known := make([]string, 0, target.NumField())
	for i := range target.NumField() {
		name, options, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		known = append(known, name)
		fieldPath := path + "." + name
		if at := slices.Index(node.names, name); at >= 0 {
			a.assign(node.members[at], target.Field(i), fieldPath)
		} else if options != "omitempty" {
			a.problem(fieldPath, KindStructure, "field is missing")
		}
	}
	for _, name := range node.names {
		if !slices.Contains(known, name) {
			a.problem(path+"."+name, KindStructure, "unknown field; known are %s", strings.Join(known, ", "))
		}
	}
}

func (a *assigner) assignArray(node *tree, target reflect.Value, path string) {
	if node.value != json.Delim('[') {
		a.wrongType(node, "an array", path)
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(node.members), len(node.members)))
	for i, member := range node.members {
		a.assign(member, target.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (a *assigner) assignString(node *tree, target reflect.Value, path string) {
	value, ok := node.value.(string)
	if !ok {
		a.wrongType(node, "a string", path)
		return
	}
	target.SetString(value)
}

func (a *assigner) assignNumber(node *tree, target reflect.Value, path string) {
	literal, ok := node.value.(json.Number)
	if !ok {
		a.wrongType(node, "a number", path)
		return
	}
	value, err := strconv.ParseFloat(literal.String(), 64)
	if err != nil {
		a.problem(path, KindStructure, "%s is out of range", literal)
		return
	}
	if target.Kind() == reflect.Float64 {
		target.SetFloat(value)
		return
	}
	if value != math.Trunc(value) || math.Abs(value) > maxInteger {
		a.problem(path, KindStructure, "%s must be an integer of at most %d", literal, maxInteger)
		return
	}
	if target.Kind() == reflect.Int {
		target.SetInt(int64(value))
		return
	}
	if value < 0 {
		a.problem(path, KindStructure, "%s must not be negative", literal)
		return
	}
	target.SetUint(uint64(value))
}

func (a *assigner) assignDuration(node *tree, target *Duration, path string) {
	text, ok := node.value.(string)
	if !ok || !durationForm.MatchString(text) {
		a.wrongType(node, `a duration such as "6ms"`, path)
		return
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		a.problem(path, KindRule, "could not parse duration: %v", err)
		return
	}
	*target = Duration(value)
}

func (a *assigner) assignAddress(node *tree, target *netip.AddrPort, path string) {
	text, ok := node.value.(string)
	if !ok || !addressForm.MatchString(text) {
		a.wrongType(node, `an IP address and port such as "192.0.2.7:9200"`, path)
		return
	}
	value, err := netip.ParseAddrPort(text)
	if err != nil {
		a.problem(path, KindRule, "could not parse address: %v", err)
		return
	}
	*target = value
}

func (a *assigner) wrongType(node *tree, want, path string) {
	a.problem(path, KindStructure, "must be %s, not %s", want, node.describe())
}

func (n *tree) describe() string {
	switch value := n.value.(type) {
	case json.Delim:
		if value == '{' {
			return "an object"
		}
		return "an array"
	case string:
		return strconv.Quote(shorten(value))
	case json.Number:
		return shorten(value.String())
	case bool:
		return strconv.FormatBool(value)
	default:
		return "null"
	}
}

// shorten limits the part of a wrong value that is repeated in an error message.
func shorten(text string) string {
	const most = 60
	if runes := []rune(text); len(runes) > most {
		return string(runes[:most]) + "…"
	}
	return text
}
