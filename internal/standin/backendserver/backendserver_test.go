package backendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/yuccarock/yuccarock/internal/broker"
	"github.com/yuccarock/yuccarock/pkg/configurator"
)

// testTimeout ends a test that hangs.
const testTimeout = 20 * time.Second

func startServer(t *testing.T, faults Faults) *Server {
	t.Helper()
	faults.Snapshots, faults.Partitioning = []broker.Snapshot{7}, 3
	server, err := New(netip.MustParseAddrPort("127.0.0.1:0"),
		Settings{Name: "s1", Seed: 1, Shards: []broker.ShardName{"0"}, Faults: faults})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	return server
}

// send sends a search and returns the status and body of the answer, or status 0 if the connection is lost.
func send(ctx context.Context, client *http.Client, s *Server, id, fields, deadline string) (int, string) {
	body := fmt.Sprintf(`{"requestId":%q,"attempt":1,"limit":2,"kind":"search",%s}`, id, fields)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address().String()+"/v1/search",
		strings.NewReader(body))
	req.Header.Set(headerDeadline, deadline)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.ReplaceAll(strings.TrimSpace(string(text)), s.BootID(), "boot")
}

const validFields = `"shard":"0","snapshot":7,"partitioning":3,"body":{"b":1,"a":"<x>"}`

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: testTimeout}
}

// Guards against refusals with a wrong status, reason or notStarted field, and against the execution of refused
// requests.
func TestAnswersAndRefusals(t *testing.T) {
	server, client := startServer(t, Faults{Slots: 2}), newClient(t)
	refused := func(reason string, draining bool) string {
		return fmt.Sprintf(`{"requestId":"r","attempt":1,"notStarted":true,"reason":%q,"bootId":"boot","draining":%v}`, reason, draining)
	}
	hits, _ := json.Marshal(Hits(7, "0", []byte(`{"a":"\u003cx\u003e","b":1}`), 2))
	answered := `{"requestId":"r","shard":"0","snapshot":7,"partitioning":3,"attempt":1,"hits":` + string(hits) +
		`,"bootId":"boot","draining":`
	tests := []struct {
		change   func()
		fields   string
		deadline string
		status   int
		want     string
	}{
		{nil, validFields, "1s", 200, answered + "false}"},
		{nil, strings.Replace(validFields, "7", "6", 1), "1s", 409, refused("snapshotMissing", false)},
		{nil, strings.Replace(validFields, `"0"`, `"1"`, 1), "1s", 409, refused("snapshotMissing", false)},
		{nil, strings.Replace(validFields, "3", "2", 1), "1s", 409, refused("stalePartitioning", false)},
		{func() { server.SetDraining(true, false) }, validFields, "1s", 200, answered + "true}"},
		{func() { server.SetDraining(true, true) }, validFields, "1s", 503, refused("draining", true)},
		{func() { server.SetDraining(false, false); server.SetShed(true) }, validFields, "1s", 503, refused("shed", false)},
		{func() { server.SetShed(false); server.SetServiceTime(time.Hour) }, validFields, "1ms", 504,
			`{"requestId":"r","attempt":1,"notStarted":false,"reason":"deadline","bootId":"boot","draining":false}`},
	}
	for i, test := range tests {
		if test.change != nil {
			test.change()
		}
		status, got := send(t.Context(), client, server, "r", test.fields, test.deadline)
		if status != test.status || got != test.want {
			t.Errorf("%d: got %d %s, want %d %s", i, status, got, test.status, test.want)
		}
	}
	if status, got := send(t.Context(), client, server, "r", `"body":}`, "1s"); status != 400 {
		t.Errorf("got %d %s, want 400", status, got)
	}
	if got, want := server.Executions("r"), 3; got != want {
		t.Errorf("executions: got %d, want %d", got, want)
	}
	want := map[string]int{"snapshotMissing": 2, "stalePartitioning": 1, "draining": 1, "shed": 1, "malformed": 1,
		"deadline": 1}
	if got := server.Record().Refused; !reflect.DeepEqual(got, want) {
		t.Errorf("refusals: got %v, want %v", got, want)
	}
}

// Guards against a stand-in that survives overload while cold, keeps its boot ID after a crash, answers a body with
// the crash marker or never becomes warm.
func TestColdStartAndCrash(t *testing.T) {
	server, client := startServer(t, Faults{
		Slots: 2, StartCold: true, ColdConcurrency: 1, WarmAfter: 2, CrashMarker: "poison",
		ServiceTime: configurator.Duration(time.Hour),
	}), newClient(t)
	first := server.BootID()
	statuses := make(chan int)
	for i := range 2 {
		go func() {
			status, _ := send(t.Context(), client, server, fmt.Sprint("cold", i), validFields, "1h")
			statuses <- status
		}()
	}
	if a, b := <-statuses, <-statuses; a != 0 || b != 0 {
		t.Errorf("got statuses %d and %d, want two lost connections", a, b)
	}
	if server.BootID() == first {
		t.Error("the boot ID is unchanged after a crash")
	}
	server.SetServiceTime(0)
	for i, wantCold := range []bool{true, false} {
		if status, got := send(t.Context(), client, server, "warm", validFields, "1s"); status != 200 {
			t.Errorf("got %d %s, want 200", status, got)
		}
		if got := server.Cold(); got != wantCold {
			t.Errorf("after %d answers: got cold %v, want %v", i+1, got, wantCold)
		}
	}
	if status, _ := send(t.Context(), client, server, "bad", validFields[:len(validFields)-1]+`,"x":"poison"}`,
		"1s"); status != 0 {
		t.Errorf("got %d, want a lost connection", status)
	}
	got := server.Record()
	if got.MaxColdConcurrency != 2 || got.Crashes != 2 || got.Boots != 3 || !server.Cold() {
		t.Errorf("got %+v, want 2 concurrent requests while cold, 2 crashes and 3 boots", got)
	}
}

// Guards against a connection limit that is not enforced or not counted, a silent connection that still answers or
// blocks new ones, and a server that does not restart at its address.
func TestConnections(t *testing.T) {
	server := startServer(t, Faults{Connections: 1})
	first, second := newClient(t), newClient(t)
	second.Timeout = 0
	if status, got := send(t.Context(), first, server, "a", validFields, "1s"); status != 200 {
		t.Fatalf("got %d %s, want 200", status, got)
	}
	if status, _ := send(t.Context(), second, server, "b", validFields, "1s"); status != 0 {
		t.Fatalf("got %d above the connection limit, want a lost connection", status)
	}
	server.UpdateFaults(func(f *Faults) { f.Connections = 2 })
	server.Silence()
	ctx, cancel := context.WithCancel(t.Context())
	silent := make(chan int)
	go func() {
		status, _ := send(ctx, first, server, "c", validFields, "1s")
		silent <- status
	}()
	if status, got := send(t.Context(), second, server, "d", validFields, "1s"); status != 200 {
		t.Errorf("new connection: got %d %s, want 200", status, got)
	}
	cancel()
	if status := <-silent; status != 0 {
		t.Errorf("silent connection: got %d, want none", status)
	}
	address, boot := server.Address(), server.BootID()
	server.Kill()
	if status, _ := send(t.Context(), second, server, "e", validFields, "1s"); status != 0 {
		t.Errorf("killed server: got %d, want none", status)
	}
	if err := server.Restart(); err != nil || server.Address() != address || server.BootID() == boot {
		t.Fatalf("got %v at %v with boot ID %s", err, server.Address(), server.BootID())
	}
	if status, got := send(t.Context(), newClient(t), server, "f", validFields, "1s"); status != 200 {
		t.Errorf("restarted server: got %d %s, want 200", status, got)
	}
	got := server.Record()
	if got.MaxConnections != 2 || got.Refused["connectionLimit"] == 0 || server.Executions("c") != 0 {
		t.Errorf("got %+v, want at most 2 connections and no execution over the silent one", got)
	}
}

// Guards against a cancelled request that continues to run and keeps its slot.
func TestCancel(t *testing.T) {
	server, client := startServer(t, Faults{Slots: 1, ServiceTime: configurator.Duration(time.Hour)}), newClient(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan int)
	go func() {
		status, _ := send(ctx, client, server, "a", validFields, "1h")
		done <- status
	}()
	for server.Record().Started == 0 {
		runtime.Gosched()
	}
	cancel()
	<-done
	server.SetServiceTime(0)
	if status, got := send(t.Context(), client, server, "b", validFields, "1h"); status != 200 {
		t.Errorf("got %d %s, want 200", status, got)
	}
	if got := server.Record(); got.Abandoned != 1 || got.Answered != 1 || got.MaxConcurrency != 1 {
		t.Errorf("got %+v, want one request abandoned and one answered, never two concurrently", got)
	}
}

// Guards against a status endpoint that ignores misleadingStatus, and against faults that are set over HTTP without
// effect.
func TestFaultsOverHTTP(t *testing.T) {
	server, client := startServer(t, Faults{StartCold: true, ColdConcurrency: 1}), newClient(t)
	base := "http://" + server.Address().String()
	put := func(body string) int {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPut, base+"/v1/faults", strings.NewReader(body))
		resp, err := client.Do(req)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
	status := func() (status broker.BackendStatus) {
		resp, err := client.Get(base + "/v1/status")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var text bytes.Buffer
		text.ReadFrom(resp.Body)
		json.Unmarshal(text.Bytes(), &status)
		return status
	}
	if got := put(`{"draining":true,"snapshots":[8,9]}`); got != 200 {
		t.Fatalf("got %d, want 200", got)
	}
	want := broker.BackendStatus{BootID: server.BootID(), Draining: true, Cold: true, Partitioning: 3,
		Shards: map[broker.ShardName][]broker.Snapshot{"0": {8, 9}}}
	if got := status(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := put(`{"misleadingStatus":true}`); got != 200 {
		t.Fatalf("got %d, want 200", got)
	}
	want.Draining, want.Cold = false, false
	if got := status(); !reflect.DeepEqual(got, want) {
		t.Errorf("misleading: got %+v, want %+v", got, want)
	}
	boot := server.BootID()
	if got := put(`{"crash":true}`); got != 200 || server.BootID() == boot {
		t.Errorf("got %d with boot ID %s, want 200 and a new boot ID", got, server.BootID())
	}
	if got := put(`{"drain":true}`); got != 400 {
		t.Errorf("unknown fault: got %d, want 400", got)
	}
}
