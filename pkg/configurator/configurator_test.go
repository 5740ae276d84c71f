package configurator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// smallConfig returns a valid configuration with every routing.
func smallConfig() *Builder {
	address := netip.MustParseAddrPort
	return New("small").
		Zones(NewZone("a", "west"), NewZone("b", "west").Out()).
		Servers(
			NewServer("s2", address("[2001:db8::1]:9200"), "b").Slots(2).Connections(25, 6*time.Millisecond),
			NewServer("s1", address("192.0.2.1:9200"), "a").Slots(2).Connections(25, 6*time.Millisecond).
				Cold(1, 50, 1).Draining()).
		Services(
			NewService("search", RoutingScatter).Partitioning(3).Shard("1", "s1", "s2").Shard("0", "s2"),
			NewService("intake", RoutingKey).Shard("0", "s1"),
			NewService("viewer", RoutingAny).Shard("0", "s1", "s2")).
		RequestKinds(
			NewRequestKind("search", "search", 200*time.Millisecond).Idempotent().MinCoverage(0.9).
				Hedge(0.95, 0.05).RetryBudget(0.1).Priority(2).Canary(CanaryUnseen),
			NewRequestKind("report", "intake", 2*time.Second),
			NewRequestKind("edit", "viewer", 2*time.Second))
}

// TestCanonicalGolden guards against an encoding that depends on the order of the builder calls, reorders shards (which
// would map keys to other shards) or drops a field, and against SetZone or SetDraining changing other fields.
func TestCanonicalGolden(t *testing.T) {
	var printed bytes.Buffer
	if err := smallConfig().Print(&printed); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/small.json")
	if err != nil {
		t.Fatal(err)
	}
	if got := printed.Bytes(); !bytes.Equal(got, want) {
		t.Fatalf("got %s\nwant %s", got, want)
	}
	config, err := Parse(want)
	if err != nil {
		t.Fatal(err)
	}
	edits := []func() (bool, error){
		func() (bool, error) { return SetZone(config, "b", ZoneIn) },
		func() (bool, error) { return SetZone(config, "a", ZoneOut) },
		func() (bool, error) { return SetDraining(config, "s2", true) },
		func() (bool, error) { return SetDraining(config, "s1", false) },
	}
	for _, edit := range edits {
		if changed, err := edit(); !changed || err != nil {
			t.Errorf("edit: got changed %v, error %v, want changed without an error", changed, err)
		}
	}
	got, _ := Canonical(config)
	replaced := strings.NewReplacer(`"west","state":"out"`, `"west","state":"in"`, `"west","state":"in"`,
		`"west","state":"out"`, `"draining":true,`, ``, `"6ms","cold":{"concurrency":1,"successes":100`,
		`"6ms","draining":true,"cold":{"concurrency":1,"successes":100`).Replace(string(want))
	if string(got) != replaced {
		t.Errorf("configuration after edits: got %s\nwant %s", got, replaced)
	}
	unserved := []string{"intake/0", "search/1", "search/0", "viewer/0"}
	if got := Unserved(config); !slices.Equal(got, unserved) {
		t.Errorf("shards without a usable server: got %v, want %v", got, unserved)
	}
	if got, want := SingleZone(config), []string{"intake/0", "search/0"}; !slices.Equal(got, want) {
		t.Errorf("shards in a single zone: got %v, want %v", got, want)
	}
	if changed, err := SetZone(config, "b", ZoneIn); changed || err != nil {
		t.Errorf("setting the current state again: got changed %v, error %v, want no change", changed, err)
	}
	var unknown *Error
	if _, err := SetDraining(config, "s9", true); !errors.As(err, &unknown) || unknown.Kind != KindUnknownName {
		t.Errorf("unknown server: got %v, want kind %v", err, KindUnknownName)
	}
}

// mutations replace old by new in testdata/small.json; want lists the problems that Parse must report. The schema must
// reject those with a "structure" problem and accept all others.
var mutations = []struct{ old, new, want string }{
	{``, ``, ``},
	{`"deadline":"200ms"`, `"deadline":"0.2s"`, ``},
	{`"priority":2`, `"priority":2.0`, ``},
	{`"state":"out"`, `"stat":"out"`, "$.zones[1].state structure, $.zones[1].stat structure"},
	{`"state":"out"`, `"State":"out"`, "$.zones[1].state structure, $.zones[1].State structure"},
	{`"state":"out"`, `"state":"OUT"`, "$.zones[1].state structure"},
	{`"state":"in"`, `"state":"out"`, "$.zones rule"},
	{`"state":"in"},`, `"state":"out"},`, "$.zones rule"},
	{`"region":"west","state":"in"`, `"region":"","state":"in"`, "$.zones[0].region structure"},
	{`"zones":[`, `"zones":[null,`, "$.zones[0] structure"},
	{`{"name":"b"`, `{"name":"a"`, "$.zones[1].name rule, $.servers[1].zone rule"},
	{`"name":"small"`, `"name":"sm/all"`, "$.name structure"},
	{`"name":"small"`, `"name":7`, "$.name structure"},
	{`"slots":2,"connections":25,"connectionCost":"6ms","draining"`,
		`"slots":0,"connections":25,"connectionCost":"6ms","draining"`,
		"$.servers[0].slots structure"},
	{`"draining":true`, `"draining":"yes"`, "$.servers[0].draining structure"},
	{`"successes":50`, `"successes":1.5`, "$.servers[0].cold.successes structure"},
	{`"successes":50`, `"successes":1e400`, "$.servers[0].cold.successes structure"},
	{`"concurrency":1,"successes":50`, `"concurrency":3,"successes":50`, "$.servers[0].cold.concurrency rule"},
	{`"step":1`, `"step":3`, "$.servers[0].cold.step rule"},
	{`"connections":25`, `"connections":1`, "$.servers[0].connections rule"},
	{`"connectionCost":"6ms"`, `"connectionCost":"6"`, "$.servers[0].connectionCost structure"},
	{`"connectionCost":"6ms"`, `"connectionCost":"99999h"`, "$.servers[0].connectionCost rule"},
	{`192.0.2.1:9200`, `192.0.2.1`, "$.servers[0].address structure"},
	{`192.0.2.1:9200`, `192.0.2.999:9200`, "$.servers[0].address rule"},
	{`192.0.2.1:9200`, `0.0.0.0:9200`, "$.servers[0].address rule"},
	{`192.0.2.1:9200`, `[::ffff:192.0.2.1]:9200`, ``},
	{`[2001:db8::1]:9200`, `[::ffff:192.0.2.1]:9200`, "$.servers[1].address rule"},
	{`"partitioning":3`, `"partitioning":-1`, "$.services[1].partitioning structure"},
	{`"partitioning":3`, `"partitioning":9007199254740992`, "$.services[1].partitioning structure"},
	{`"servers":["s1","s2"]`, `"servers":[]`, "$.services[1].shards[0].servers structure"},
	{`"servers":["s1","s2"]`, `"servers":["s1","s1"]`, "$.services[1].shards[0].servers[1] rule"},
	{`"servers":["s1","s2"]`, `"servers":["s9"]`, "$.services[1].shards[0].servers[0] rule"},
	{`{"name":"0","servers":["s2"]}`, `{"name":"1","servers":["s2"]}`, "$.services[1].shards[1].name rule"},
	{`[{"name":"0","servers":["s1"]}]`, `[]`, "$.services[0].shards structure"},
	{`"routing":"key"`, `"routing":"scatter"`, "$.requestKinds[1].idempotent rule"},
	{`"routing":"any","partitioning":1,"shards":[`,
		`"routing":"any","partitioning":1,"shards":[{"name":"x","servers":["s1"]},`, "$.requestKinds[0].idempotent rule"},
	{`"service":"intake"`, `"service":"outtake"`, "$.requestKinds[1].service rule"},
	{`"deadline":"200ms"`, `"deadline":"30.000000001s"`, "$.requestKinds[2].deadline rule"},
	{`"deadline":"200ms"`, `"deadline":"0s"`, "$.requestKinds[2].deadline rule"},
	{`"minCoverage":0.9`, `"minCoverage":1.1`, "$.requestKinds[2].minCoverage structure"},
	{`"hedgeQuantile":0.95`, `"hedgeQuantile":1`, "$.requestKinds[2].hedgeQuantile structure"},
	{`"hedgeQuantile":0.95`, `"hedgeQuantile":0`, "$.requestKinds[2].hedgeBudget rule"},
	{`"retryBudget":0.1`, `"retryBudget":-0.1`, "$.requestKinds[2].retryBudget structure"},
	{`"idempotent":true`, `"idempotent":false`,
		"$.requestKinds[2].hedgeQuantile rule, $.requestKinds[2].idempotent rule"},
	{`"priority":2`, `"priority":1001`, "$.requestKinds[2].priority structure"},
	{`"canary":"unseen"`, `"canary":""`, "$.requestKinds[2].canary structure"},
}

func compileSchema(t *testing.T) *jsonschema.Schema {
	t.Helper()
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema()))
	if err != nil {
		t.Fatal(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("schema.json", document); err != nil {
		t.Fatal(err)
	}
	return compiler.MustCompile("schema.json")
}

// TestSchemaAgreesOnEveryField guards against a schema that differs from the parser in a field: it removes each value
// of the file in turn and replaces it by values of every type.
func TestSchemaAgreesOnEveryField(t *testing.T) {
	base, err := os.ReadFile("testdata/small.json")
	if err != nil {
		t.Fatal(err)
	}
	compiledSchema := compileSchema(t)
	var root any
	if err := json.Unmarshal(base, &root); err != nil {
		t.Fatal(err)
	}
	compare := func(path string, value any) {
		input, _ := json.Marshal(root)
		_, err := Parse(input)
		structural := slices.ContainsFunc(ProblemsOf(err), func(p Problem) bool { return p.Kind == KindStructure })
		instance, _ := jsonschema.UnmarshalJSON(bytes.NewReader(input))
		if err := compiledSchema.Validate(instance); (err != nil) != structural {
			t.Errorf("%s = %v: parser finds a structural problem: %v, error of the schema: %v", path, value, structural, err)
		}
	}
	replacements := []any{nil, true, -1, 0, 1, 1.5, 1e6, 1e17, "", "x", "1s", "in", "key", "/", []any{}, []any{7},
		map[string]any{}}
	var walk func(node any, path string)
	walk = func(node any, path string) {
		switch node := node.(type) {
		case map[string]any:
			for name, value := range node {
				walk(value, path+"."+name)
				for _, replacement := range replacements {
					node[name] = replacement
					compare(path+"."+name, replacement)
				}
				delete(node, name)
				compare(path+"."+name, "removed")
				node[name] = value
			}
		case []any:
			for i, value := range node {
				walk(value, fmt.Sprintf("%s[%d]", path, i))
				for _, replacement := range replacements {
					node[i] = replacement
					compare(fmt.Sprintf("%s[%d]", path, i), replacement)
				}
				node[i] = value
			}
		}
	}
	walk(root, "$")
}

// TestProblemsAndSchema guards against an error that is not reported, is reported without its path or hides another,
// and against a schema that differs from the parser's structural rules.
func TestProblemsAndSchema(t *testing.T) {
	base, err := os.ReadFile("testdata/small.json")
	if err != nil {
		t.Fatal(err)
	}
	compiledSchema := compileSchema(t)
	for _, mutation := range mutations {
		input := strings.Replace(string(base), mutation.old, mutation.new, 1)
		if input == string(base) && mutation.old != mutation.new {
			t.Fatalf("%s is not in the file", mutation.old)
		}
		_, err := Parse([]byte(input))
		var got []string
		structural := false
		for _, problem := range ProblemsOf(err) {
			got = append(got, problem.Path+" "+string(problem.Kind))
			structural = structural || problem.Kind == KindStructure
		}
		if joined := strings.Join(got, ", "); joined != mutation.want {
			t.Errorf("%s -> %s: got %q, want %q (%v)", mutation.old, mutation.new, joined, mutation.want, err)
		}
		instance, err := jsonschema.UnmarshalJSON(strings.NewReader(input))
		if err != nil {
			t.Fatal(err)
		}
		if err := compiledSchema.Validate(instance); (err != nil) != structural {
			t.Errorf("%s -> %s: parser finds a structural problem: %v, error of the schema: %v",
				mutation.old, mutation.new, structural, err)
		}
	}
}

// TestParseRefusesMalformedInput guards against malformed input that is accepted or rejected without stating the cause.
func TestParseRefusesMalformedInput(t *testing.T) {
	tests := []struct {
		input string
		kind  Kind
		want  string
	}{
		{strings.Repeat(" ", MaxSize+5), KindTooLarge, "1000005 bytes, 5 more than the limit of 1000000"},
		{"{\n  \"name\": }", KindSyntax, "line 2, column 11"},
		{`{} {}`, KindSyntax, "line 1, column 4"},
		{`{"name":"a","name":"b"}`, KindSyntax, "$.name: field is given more than once"},
		{strings.Repeat("[", 5000) + strings.Repeat("]", 5000), KindSyntax, "deeper than 16 levels"},
		{"\"\xff\"", KindSyntax, "not valid UTF-8"},
		{``, KindSyntax, "unexpected end"},
	}
	for _, test := range tests {
		_, err := Parse([]byte(test.input))
		var typed *Error
		if !errors.As(err, &typed) || typed.Kind != test.kind || !strings.Contains(err.Error(), test.want) {
			t.Errorf("got %v, want kind %v and text %q", err, test.kind, test.want)
		}
	}
	oversized := New("many").Zones(NewZone("a", "west"))
	for i := range 8000 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9200)
		oversized.Servers(NewServer(fmt.Sprint("server", i), address, "a"))
	}
	var typed *Error
	if _, err := oversized.Build(); !errors.As(err, &typed) || typed.Kind != KindTooLarge {
		t.Errorf("got %v, want kind %v from the builder", err, KindTooLarge)
	}
}

// FuzzParse guards against input that crashes the parser, and against an accepted configuration whose canonical
// encoding is rejected or changes when parsed and encoded again.
func FuzzParse(f *testing.F) {
	base, err := os.ReadFile("testdata/small.json")
	if err != nil {
		f.Fatal(err)
	}
	for _, mutation := range mutations {
		f.Add([]byte(strings.Replace(string(base), mutation.old, mutation.new, 1)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := Parse(data)
		if err != nil {
			var typed *Error
			if !errors.As(err, &typed) {
				t.Fatalf("got %T, want *Error", err)
			}
			return
		}
		first, err := Canonical(config)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := Parse(first)
		if err != nil {
			t.Fatalf("canonical encoding rejected: %v\n%s", err, first)
		}
		second, err := Canonical(reparsed)
		if err != nil || !bytes.Equal(first, second) || !json.Valid(first) {
			t.Fatalf("got %s\nwant %s (%v)", second, first, err)
		}
	})
}

// encodedConfig returns the canonical encoding of a configuration of one service with two servers for each shard.
func encodedConfig(b *testing.B, servers int) []byte {
	builder := New("planned").Zones(NewZone("a", "west"))
	service := NewService("search", RoutingScatter)
	for i := range servers / 2 {
		var replicas []string
		for replica := range 2 {
			name := fmt.Sprintf("search-%04d-%d", i, replica)
			ip := netip.AddrFrom4([4]byte{10, byte(replica), byte(i >> 8), byte(i)})
			builder.Servers(NewServer(name, netip.AddrPortFrom(ip, 9200), "a").Slots(2).Connections(25, 6*time.Millisecond))
			replicas = append(replicas, name)
		}
		service.Shard(fmt.Sprintf("%04d", i), replicas...)
	}
	config, err := builder.Services(service).Build()
	if err != nil {
		b.Fatal(err)
	}
	data, err := Canonical(config)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// BenchmarkSlopeParse measures decoding and validation for up to 2,800 servers, the planned size.
func BenchmarkSlopeParse(b *testing.B) {
	for _, servers := range []int{60, 240, 960, 2800} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			data := encodedConfig(b, servers)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}
