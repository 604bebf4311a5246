package hostile

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/corianderhook/corianderhook/platform/standin/caller"
	"github.com/corianderhook/corianderhook/platform/standin/operator"
)

// pipelinedRequests is the number of requests that a client sends behind one another.
const pipelinedRequests = 1000

// unreadClient returns a client that sends requests behind one another and reads no answer.
func unreadClient(request func() []byte) client {
	return func(write func([]byte) bool) {
		var all bytes.Buffer
		for range pipelinedRequests {
			all.Write(request())
		}
		write(all.Bytes())
	}
}

func get(path string) func() []byte {
	return func() []byte { return (target{http.MethodGet, path, ""}).header("X: y") }
}

func TestPlatformOutlivesUnreadAnswers(t *testing.T) {
	small := caller.Job{Tasks: 1, RunTime: 20 * time.Millisecond, CPU: 100}.Body()
	s := startPlatform(t, descriptors)
	for listener, c := range map[string]client{
		"callers": unreadClient(get(operator.Prefix)), "readiness": unreadClient(get("/ready")), "metrics": unreadClient(get("/metrics")),
		"metrics of the sidecar": unreadClient(get("/metrics")), "announcements": unreadClient(get("/instances/i-9")),
	} {
		path := map[string]string{"readiness": "/ready", "metrics": "/metrics", "metrics of the sidecar": "/metrics"}[listener]
		t.Run(listener, func(t *testing.T) { s.play(t, listener, c, probe{http.MethodGet, path}) })
	}
	t.Run("jobs", func(t *testing.T) {
		s.play(t, "callers", unreadClient(func() []byte { return wholeBody(jobTarget(), small) }), probe{})
	})
}

func TestProductOutlivesUnreadAnswers(t *testing.T) {
	s := startProduct(t, descriptors)
	for listener, c := range map[string]client{
		"callers": unreadClient(func() []byte {
			return (target{http.MethodGet, fmt.Sprintf("/v1/jobs/%d?wait=0s", sentJobs.Add(1)), "Corianderhook-Team: anyone\r\n"}).header("X: y")
		}),
		"administration": unreadClient(get("/metrics")), "administration of the agent": unreadClient(get("/v1/status")),
	} {
		path := map[string]string{"administration": "/metrics", "administration of the agent": "/v1/status"}[listener]
		t.Run(listener, func(t *testing.T) { s.play(t, listener, c, probe{http.MethodGet, path}) })
	}
}
