// Package catalog holds a version of the queues and services that operators have
// published.
package catalog

import (
	"strings"
	"time"
)

// Queue is where callers send jobs of one kind.
type Queue struct {
	Name string
	// Host and Prefix select the queue; the longest prefix wins.
	Host   string
	Prefix string
	// Service names the endpoints that may run the tasks.
	Service string
	// Urgency is 0 for the most urgent.
	Urgency int
	// Attempts is how often a task may fail.
	MaxAttempts int
	// Objective of a job's response time: Stretch times its longest chain of work,
	// and Latency.
	Stretch       float64
	TargetLatency time.Duration
	// Timeout is the time for an answer where the caller names none.
	DefaultTimeout time.Duration
}

// Limits are what callers have to keep to.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one published version. It is read-only.
type Catalog struct {
	version  uint64
	queues   []Queue
	byHost   map[string][]int
	services map[string]bool
	limits   Limits
	text     []byte
}

// New returns a version with the text that it was read from.
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

// Version returns the number of the version; a newer one is higher.
func (c *Catalog) Version() uint64 { return c.version }

// Text returns what the version was read from.
func (c *Catalog) Text() []byte { return c.text }

// Limits returns what callers have to keep to.
func (c *Catalog) Limits() Limits { return c.limits }

// Queues returns the number of queues.
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
