// Command standin-3 plays one case of the third review: a stand-in of the platform's store, stand-ins of backend servers and
// of clients, and the project's own program as separate processes.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun is returned by a case that could not run.
var errNotRun = errors.New("the case could not run")

// record is the file with what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// at writes a line for an event of a given time.
func (r *record) at(when time.Time, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", when.Sub(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// environment is what a case runs in.
type environment struct {
	*record

	network network
	folder  string // temporary
	trouble bool
}

// cases return whether the rule was broken.
var cases = map[string]func(e *environment) (broken bool, err error){}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	e := &environment{record: &record{file: file, started: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	if e.folder, err = os.MkdirTemp("", "review-3-"); err != nil {
		e.printf("could not run: %v", err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(e.folder) }()
	}
	if e.network, err = newNetwork(); err != nil {
		e.printf("could not run: %v", err)
		return exitNotRun
	}
	e.printf("case %s, trouble %t", os.Args[1], e.trouble)
	broken, err := cases[os.Args[1]](e)
	switch {
	case err != nil:
		e.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case broken:
		e.printf("result: the rule was broken")
		return exitBroken
	default:
		e.printf("result: the rule held")
		return exitHeld
	}
}
