// Command standin runs the cases of the review: it starts hosts with the commands of the deploy file, with stand-ins of
// the platform's store, of backends and of clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(s *system, trouble bool) (bool, error){
	"evacuation": runEvacuation,
	"drain":      runDrain,
	"config":     runConfig,
	"leaving":    runLeaving,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	s, err := newSystem(os.Args[2], "kv-a", "kv-b", "kv-c")
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(exitNotRun)
	}
	broken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.record.say("could not run: %v", err)
	case broken:
		s.record.say("the rule was broken")
	default:
		s.record.say("the rule held")
	}
	s.end()
	switch {
	case err != nil:
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	default:
		os.Exit(exitHeld)
	}
}
