// Command rig3 plays two cases of the third review: it starts a small deployment of
// the real programs on loopback addresses, with stand-ins for the platform, executors and clients.
// It exits with 1 if a rule was broken, 0 if all held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the time after which a case is given up.
const longest = 95 * time.Second

type play struct {
	fronts, executors int
	run               func(r *rig, trouble bool) (broken bool, err error)
}

func plays() map[string]play {
	return map[string]play{
		"again": {3, 4, again},
		"wide":  {3, 4, wide},
	}
}

func main() { os.Exit(playCase()) }

func playCase() int {
	if len(os.Args) != 3 {
		fmt.Println("usage: rig3 CASE RECORD")
		return 2
	}
	p, known := plays()[os.Args[1]]
	log, err := newRecord(os.Args[2])
	if !known || err != nil {
		fmt.Println("no such case, or no record:", err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.add("case %s, trouble %v", os.Args[1], trouble)
	r, err := newRig(log, p.fronts, p.executors)
	if r != nil {
		defer r.stop()
	}
	if err != nil {
		log.add("the case cannot run: %v", err)
		return 2
	}
	type result struct {
		broken bool
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, err := p.run(r, trouble)
		ended <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-interrupted:
		log.add("interrupted")
		return 2
	case e := <-ended:
		log.add("broken: %v, error: %v", e.broken, e.err)
		switch {
		case e.err != nil:
			return 2
		case e.broken:
			return 1
		}
		return 0
	case <-time.After(longest):
		log.add("the case takes too long")
		return 2
	}
}
