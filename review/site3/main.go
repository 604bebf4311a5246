// Command site3 runs the cases of the third review that are scripts: a small deployment of the
// project's own processes, with stand-ins for clients, executors and the store.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// caseTime is the longest time that a case may take.
const caseTime = 110 * time.Second

// cases holds what each case does and checks. It returns what broke the rule, or nothing.
var cases = map[string]func(s *site, trouble bool) (breach string, err error){
	"spread": spread,
	"cancel": cancel,
	"storm":  storm,
	"apart":  apart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: site3 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, path string, trouble bool) int {
	s, err := newSite()
	if err != nil {
		fmt.Println("not run:", err)
		return notRun
	}
	defer os.RemoveAll(s.folder)
	var breach string
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		breach, err = cases[name](s, trouble)
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case <-finished:
	case <-interrupted:
		s.stop()
		return notRun
	case <-time.After(caseTime):
		err = errors.New("the case takes too long")
	}
	s.stop()
	code, text := held, "held"
	switch {
	case err != nil:
		code, text = notRun, "not run: "+err.Error()
	case breach != "":
		code, text = broken, "broken: "+breach
	}
	fmt.Println(text)
	s.record.note("%s", text)
	if err := s.record.write(path); err != nil {
		fmt.Println("no record:", err)
		return notRun
	}
	return code
}
