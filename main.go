package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/yuccarock/yuccarock/cmd"
)

func main() {
	root := &cli.Command{Name: "yuccarock", Commands: []*cli.Command{cmd.NewServe(), cmd.NewDemo()}}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
