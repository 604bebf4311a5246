// Standin plays the cases of the review that are scripts: it starts the system's processes as
// the deploy file says, with stand-ins for the platform, the endpoints and the clients.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is the log of a case: what was sent, answered and run.
type record struct {
	ctx     context.Context
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The exit status of the case does not depend on the log.
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func main() { os.Exit(run()) }

// run plays the case named by the first argument, with its log in the file of the second.
func run() int {
	cases := map[string]func(s *site, trouble bool) (broken []string, err error){
		"stale-clock":          staleClock,
		"lost-dispatcher":      lostDispatcher,
		"takeover":             takeover,
		"held-request":         heldRequest,
		"cancel-during-freeze": cancelDuringFreeze,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &record{ctx: ctx, file: file, started: time.Now()}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	s, err := newSite(dir, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	broken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	for _, b := range broken {
		r.add("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	switch {
	case len(broken) > 0:
		return exitBroken
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
