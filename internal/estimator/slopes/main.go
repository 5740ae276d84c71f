// Command slopes reads the results of "go test -bench" from standard input and writes a table of fitted lines:
//
//	go test -run xxx -bench Slope ./... | go run ./internal/estimator/slopes
package main

import (
	"fmt"
	"os"

	"github.com/yuccarock/yuccarock/internal/estimator"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run() error {
	list, err := estimator.ReadBenchmarks(os.Stdin)
	if err != nil {
		return err
	}
	return estimator.WriteTable(os.Stdout, list)
}
