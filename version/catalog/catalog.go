// Package catalog holds one published version of the queues and services.
package catalog

import (
	"strings"
	"time"
)

// Queue receives the jobs for one host and path prefix and defines how they run.
type Queue struct {
	Name string
	// Host and Prefix select the queue; the longest prefix wins.
	Host   string
	Prefix string
	// Service names the endpoints that may run the tasks.
	Service string
	// Urgency is the priority of the jobs; 0 is the most urgent.
	Urgency int
	// MaxAttempts is the number of failures of one task at which the job fails.
	MaxAttempts int
	// The objective of a job's response time is Stretch times the run time of its
	// critical path plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// DefaultTimeout is the time for an answer if the caller does not set one.
	DefaultTimeout time.Duration
}

// Limits restricts the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one published version. It is immutable.
type Catalog struct {
	version  uint64
	queues   []Queue
	byHost   map[string][]int
	services map[string]bool
	limits   Limits
	text     []byte
}

// New returns a version; text is the published text that it was parsed from.
func New(version uint64, queues []Queue, services []string, limits Limits, text []byte) *Catalog {
	c := &Catalog{version: version, queues: queues, byHost: map[string][]int{}, services: map[string]bool{}, limits: limits, text: text}
	for i, q := range queues {
		c.byHost[q.Host] = append(c.byHost[q.Host], i)
	}
	for _, s := range services {
		c.services[s] = true
	}
	return c
}

// Version returns the number of the version. Newer versions have higher numbers.
func (c *Catalog) Version() uint64 { return c.version }

// Text returns the published text of the version.
func (c *Catalog) Text() []byte { return c.text }

// Limits returns the limits on the requests and connections of callers.
func (c *Catalog) Limits() Limits { return c.limits }

// QueueCount returns the number of queues.
func (c *Catalog) QueueCount() int { return len(c.queues) }

// Find returns the queue for a host and path, and the rest of the path.
func (c *Catalog) Find(host, path string) (Queue, string, bool) {
	best := -1
	for _, i := range c.byHost[host] {
		prefix := c.queues[i].Prefix
		if strings.HasPrefix(path, prefix) && (best < 0 || len(prefix) > len(c.queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, "", false
	}
	q := c.queues[best]
	return q, path[len(q.Prefix):], true
}
