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

// Patterns of strings, the same as in schema.json.
var (
	durationPattern = regexp.MustCompile(
		`^([0-9]{1,9}(\.[0-9]{1,9})?(ns|us|µs|ms)|[0-9]{1,5}(\.[0-9]{1,9})?(s|m|h)){1,4}$`)
	addressPattern = regexp.MustCompile(`^([0-9.]{7,15}|\[[0-9A-Fa-f:.]{2,45}\]):[1-9][0-9]{0,4}$`)
)

// maxInteger is the largest integer that every JSON library reads without rounding.
const maxInteger = 1<<53 - 1

// enumerations holds the allowed values of each enumerated type.
var enumerations = map[reflect.Type][]string{
	reflect.TypeFor[ZoneState](): {string(ZoneIn), string(ZoneOut)},
	reflect.TypeFor[Routing]():   {string(RoutingScatter), string(RoutingKey), string(RoutingAny)},
	reflect.TypeFor[Canary]():    {string(CanaryNever), string(CanaryUnseen), string(CanaryAlways)},
}

// assigner copies a JSON tree into the model and collects all structural problems.
type assigner struct {
	problems Problems
}

func (a *assigner) addProblem(path string, kind Kind, format string, args ...any) {
	a.problems = append(a.problems, Problem{Path: path, Kind: kind, Message: fmt.Sprintf(format, args...)})
}

func (a *assigner) assign(node *jsonNode, target reflect.Value, path string) {
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
		a.addWrongType(node, "a boolean", path)
	default:
		a.assignNumber(node, target, path)
	}
}

func (a *assigner) assignObject(node *jsonNode, target reflect.Value, path string) {
	if node.value != json.Delim('{') {
		a.addWrongType(node, "an object", path)
		return
	}
	fieldNames := make([]string, 0, target.NumField())
	for i := range target.NumField() {
		name, options, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		fieldNames = append(fieldNames, name)
		fieldPath := path + "." + name
		if index := slices.Index(node.names, name); index >= 0 {
			a.assign(node.members[index], target.Field(i), fieldPath)
		} else if options != "omitempty" {
			a.addProblem(fieldPath, KindStructure, "field is missing")
		}
	}
	for _, name := range node.names {
		if !slices.Contains(fieldNames, name) {
			a.addProblem(path+"."+name, KindStructure, "unknown field; known are %s", strings.Join(fieldNames, ", "))
		}
	}
}

func (a *assigner) assignArray(node *jsonNode, target reflect.Value, path string) {
	if node.value != json.Delim('[') {
		a.addWrongType(node, "an array", path)
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(node.members), len(node.members)))
	for i, member := range node.members {
		a.assign(member, target.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (a *assigner) assignString(node *jsonNode, target reflect.Value, path string) {
	value, ok := node.value.(string)
	if !ok {
		a.addWrongType(node, "a string", path)
		return
	}
	target.SetString(value)
}

func (a *assigner) assignNumber(node *jsonNode, target reflect.Value, path string) {
	literal, ok := node.value.(json.Number)
	if !ok {
		a.addWrongType(node, "a number", path)
		return
	}
	value, err := strconv.ParseFloat(literal.String(), 64)
	if err != nil {
		a.addProblem(path, KindStructure, "%s is out of range", literal)
		return
	}
	if target.Kind() == reflect.Float64 {
		target.SetFloat(value)
		return
	}
	if value != math.Trunc(value) || math.Abs(value) > maxInteger {
		a.addProblem(path, KindStructure, "%s must be an integer of at most %d", literal, maxInteger)
		return
	}
	if target.Kind() == reflect.Int {
		target.SetInt(int64(value))
		return
	}
	if value < 0 {
		a.addProblem(path, KindStructure, "%s must not be negative", literal)
		return
	}
	target.SetUint(uint64(value))
}

func (a *assigner) assignDuration(node *jsonNode, target *Duration, path string) {
	text, ok := node.value.(string)
	if !ok || !durationPattern.MatchString(text) {
		a.addWrongType(node, `a duration such as "6ms"`, path)
		return
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		a.addProblem(path, KindRule, "could not parse duration: %v", err)
		return
	}
	*target = Duration(value)
}

func (a *assigner) assignAddress(node *jsonNode, target *netip.AddrPort, path string) {
	text, ok := node.value.(string)
	if !ok || !addressPattern.MatchString(text) {
		a.addWrongType(node, `an IP address and port such as "192.0.2.7:9200"`, path)
		return
	}
	value, err := netip.ParseAddrPort(text)
	if err != nil {
		a.addProblem(path, KindRule, "could not parse address: %v", err)
		return
	}
	*target = value
}

func (a *assigner) addWrongType(node *jsonNode, want, path string) {
	a.addProblem(path, KindStructure, "must be %s, not %s", want, node.describe())
}

func (n *jsonNode) describe() string {
	switch value := n.value.(type) {
	case json.Delim:
		if value == '{' {
			return "an object"
		}
		return "an array"
	case string:
		return strconv.Quote(truncate(value))
	case json.Number:
		return truncate(value.String())
	case bool:
		return strconv.FormatBool(value)
	default:
		return "null"
	}
}

// truncate shortens an invalid value for an error message.
func truncate(text string) string {
	const maxRunes = 60
	if runes := []rune(text); len(runes) > maxRunes {
		return string(runes[:maxRunes]) + "…"
	}
	return text
}
