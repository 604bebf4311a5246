package hostile

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderhook/corianderhook/platform/standin/caller"
	"github.com/corianderhook/corianderhook/platform/standin/operator"
)

// hostileBudget is how long the clients of the crowd say that they wait for an answer.
const hostileBudget = time.Minute

// sentJobs counts the jobs of the crowd.
var sentJobs atomic.Uint64

// jobTarget returns where a further job goes.
func jobTarget() target {
	return target{http.MethodPost, fmt.Sprintf("%sff%014x", operator.Prefix, sentJobs.Add(1)), caller.BudgetHeader(hostileBudget)}
}

// wholeBody returns the request with a whole body.
func wholeBody(g target, body string) []byte {
	return append(g.header(fmt.Sprintf("Content-Length: %d", len(body))), body...)
}

// wholeBodies returns clients that each send a whole body to a target of their own.
func wholeBodies(of func() target, body string) client {
	// All clients share the text, so that they send it as fast as it is taken.
	text := []byte(body)
	return func(write func([]byte) bool) {
		if write(of().header(fmt.Sprintf("Content-Length: %d", len(text)))) {
			write(text)
		}
	}
}

// wholeJobs returns clients that each send a job of their own.
func wholeJobs(body string) client { return wholeBodies(jobTarget, body) }

func TestDispatcherOutlivesLargeJobs(t *testing.T) {
	for name, body := range caller.LargeBodies(bodyBytes) {
		t.Run(name, func(t *testing.T) {
			startPlatform(t, descriptors).play(t, "callers", wholeJobs(body), probe{})
		})
	}
}

// manyTasks is the largest number of tasks that a job may have.
const manyTasks = 4096

func TestSidecarOutlivesJobsOfManyTasks(t *testing.T) {
	for name, payload := range map[string]int{"without a payload": 0, "with a long payload": bodyBytes / 2} {
		t.Run(name, func(t *testing.T) {
			startPlatform(t, descriptors).play(t, "callers", wholeJobs(caller.ManyTasks(manyTasks, payload)), probe{})
		})
	}
}

// announcementBytes is the largest legal size of an announcement.
const announcementBytes = 4 << 20

func TestSidecarOutlivesLargeAnnouncements(t *testing.T) {
	const path = "/instances/i-9"
	for name, body := range caller.LargeAnnouncements(announcementBytes) {
		t.Run(name, func(t *testing.T) {
			c := wholeBodies(func() target { return target{http.MethodPut, path, ""} }, body)
			startPlatform(t, descriptors).play(t, "announcements", c, probe{http.MethodDelete, path})
		})
	}
}

const (
	// productJobBytes and changeBytes are the largest legal sizes of a job and of a change of the
	// configuration at the product's own interface.
	productJobBytes = 8 << 20
	changeBytes     = 1 << 20
)

// filled returns a text of a given size: a beginning, a part over and over, and an end.
func filled(size int, begin, part, end string) string {
	return begin + strings.Repeat(part, (size-len(begin)-len(end))/len(part)) + end
}

func TestEntryOutlivesLargeJobs(t *testing.T) {
	for name, body := range map[string]string{
		"tasks without fields": filled(productJobBytes, `{"kind":"check","tasks":[{}`, `,{}`, `]}`),
		"an unknown field":     filled(productJobBytes, `{"`, `x`, `":1}`),
		"a long kind":          filled(productJobBytes, `{"kind":"`, "\xff", `"}`),
		"a long payload":       filled(productJobBytes, `{"kind":"check","tasks":[{"payload":"`, `x`, `"}]}`),
	} {
		t.Run(name, func(t *testing.T) {
			startProduct(t, descriptors).play(t, "callers", wholeBodies(func() target {
				return target{http.MethodPost, "/v1/jobs", fmt.Sprintf("Corianderhook-Team: anyone\r\nIdempotency-Key: hostile%d\r\n", sentJobs.Add(1))}
			}, body), probe{})
		})
	}
}

func TestEntryOutlivesLargeChanges(t *testing.T) {
	body := filled(changeBytes, `{"text":"`, `\u0000`, `"}`)
	startProduct(t, descriptors).play(t, "administration", wholeBodies(func() target { return target{http.MethodPost, "/v1/config", ""} }, body), probe{http.MethodGet, "/healthz"})
}

// A single job of the largest legal size is served in calm.
func TestLargestJobOfTheProductIsServed(t *testing.T) {
	s := startProduct(t, descriptors)
	body := filled(productJobBytes, `{"kind":"check","tasks":[{"payload":"`, `x`, `"}]}`)
	checkAnswered(t, "the largest job", func() (int, error) {
		return send(http.MethodPost, "http://"+s.addresses["callers"]+"/v1/jobs", body, http.Header{"Corianderhook-Team": {"anyone"}, "Idempotency-Key": {"largest"}})
	})
	for _, p := range s.processes {
		p.check(t, s.fds)
	}
}
