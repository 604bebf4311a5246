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
	platformEntries     = 2
	platformAgents      = 3
	platformJobs        = 60
	platformTasksPerJob = 4
	// platformJobInterval is the time between the submissions of two jobs.
	platformJobInterval = 15 * time.Millisecond
	platformTaskRunTime = 80 * time.Millisecond
	platformTaskCPU     = 2000
	platformBudget      = 3 * time.Second
)

// runPlatform runs a small installation of the users' platform: entries and agents over
// real sockets, with stand-ins for its store and endpoints.
func (c *DemoCommand) runPlatform(s *Streams) error {
	fmt.Fprintf(s.Out, "starting a small users' platform: %d entries, %d agents, stand-ins for store and endpoints\n", platformEntries, platformAgents)
	testSite, err := site.New(platformEntries, platformAgents, realClock(), newActorSystem())
	if err != nil {
		return err
	}
	defer testSite.Stop()
	counts := map[int]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for n := range platformJobs {
		e := testSite.Entries()[n%platformEntries]
		group.Go(func() {
			c := caller.New(e.Callers, realClock())
			defer c.Close()
			answers := c.Submit(context.Background(), caller.Job{
				ID: fmt.Sprintf("%016x", n+1), Tasks: platformTasksPerJob, RunTime: platformTaskRunTime, CPU: platformTaskCPU, Budget: platformBudget,
			})
			status := answers[len(answers)-1].Status
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
		time.Sleep(platformJobInterval)
	}
	group.Wait()
	violations := testSite.Record().Violations()
	fmt.Fprintf(s.Out, "platform: jobs=%d completed=%d refused=%d tasks=%d broken=%d\n",
		platformJobs, counts[http.StatusOK], counts[http.StatusTooManyRequests]+counts[http.StatusServiceUnavailable], testSite.Record().Starts(), len(violations))
	if len(violations) > 0 {
		return errors.New("on the platform: " + strings.Join(violations, "; "))
	}
	if counts[http.StatusOK] != platformJobs {
		return fmt.Errorf("on the platform: %d of %d jobs were completed", counts[http.StatusOK], platformJobs)
	}
	return nil
}
