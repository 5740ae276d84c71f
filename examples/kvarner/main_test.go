package main

import (
	"bytes"
	"os"
	"testing"
)

// Guards against an example that no longer builds or whose printed configuration differs from the checked-in file.
func TestPrintedConfiguration(t *testing.T) {
	var printed bytes.Buffer
	if err := configuration().Print(&printed); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("kvarner.json")
	if err != nil {
		t.Fatal(err)
	}
	if got := printed.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("go run ./examples/kvarner prints %d bytes that differ from kvarner.json with %d bytes",
			len(got), len(want))
	}
}
