package commands

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/platform/standin/caller"
	"github.com/corianderhook/corianderhook/platform/standin/site"
)

const (
	platformEntries = 2
	platformAgents  = 3
	platformJobs    = 60
	platformTasks   = 4
	platformPace    = 15 * time.Millisecond
	platformRun     = 80 * time.Millisecond
	platformCPU     = 2000
	platformBudget  = 3 * time.Second
)

// platform runs the users' platform in small: entries and agents against stand-ins
// for its store and endpoints, over real sockets.
func (c *DemoCommand) platform(s *Streams) error {
	fmt.Fprintf(s.Out, "starting the users' platform in small: %d entries, %d agents, stand-ins for store and endpoints\n", platformEntries, platformAgents)
	small, err := site.New(platformEntries, platformAgents, realClock(), newSystem())
	if err != nil {
		return err
	}
	defer small.Stop()
	counts := map[int]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for n := range platformJobs {
		e := small.Entries()[n%platformEntries]
		group.Go(func() {
			c := caller.New(e.Callers, realClock())
			defer c.Close()
			sent := c.Submit(context.Background(), caller.Job{
				ID: fmt.Sprintf("%016x", n+1), Tasks: platformTasks, RunTime: platformRun, CPU: platformCPU, Budget: platformBudget,
			})
			status := sent[len(sent)-1].Status
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
		time.Sleep(platformPace)
	}
	group.Wait()
	broken := small.Record().Violations()
	fmt.Fprintf(s.Out, "platform: jobs=%d completed=%d refused=%d tasks=%d broken=%d\n",
		platformJobs, counts[http.StatusOK], counts[http.StatusTooManyRequests]+counts[http.StatusServiceUnavailable], small.Record().Starts(), len(broken))
	if len(broken) > 0 {
		return errors.New("on the platform: " + strings.Join(broken, "; "))
	}
	if counts[http.StatusOK] != platformJobs {
		return fmt.Errorf("on the platform: %d of %d jobs were completed", counts[http.StatusOK], platformJobs)
	}
	return nil
}
