// Command yuccarock runs the entry hosts of a query tier over many shards and the operators' commands.
package main

import (
	"context"
	"os"

	"github.com/yuccarock/yuccarock/cmd"
)

// version is set by the linker of a release build.
var version = "dev"

func main() {
	root := cmd.New(version, cmd.DefaultDependencies(), cmd.NewServe(), cmd.NewHost(), cmd.NewModel(), cmd.NewLosses(),
		cmd.NewDemo())
	os.Exit(cmd.Run(context.Background(), root, os.Args))
}
