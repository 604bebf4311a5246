// Package config reads a folder of INI files, merged in the order of their
// names, into typed settings that are checked whole and then read-only.
package config

import (
	"time"

	"github.com/corianderhook/corianderhook/version/access"
)

// Kind is a kind of work.
type Kind struct {
	// Weight is the kind's share where kinds compete.
	Weight float64
	// Deadline is how long a job may take from its acceptance to its last start.
	Deadline time.Duration
	// TaskTimeout is how long one task may run at the endpoint.
	TaskTimeout time.Duration
	// MaxDelay is the longest expected wait at which new jobs are still taken.
	MaxDelay time.Duration
}

// Team is a team with its quota.
type Team struct {
	// Weight is the team's share within a kind.
	Weight float64
	// Rate is in tasks a second, Concurrent in tasks; zero means no limit.
	Rate       float64
	Concurrent int
	// Tokens are the digests of the tokens that its callers may carry.
	Tokens []access.Digest
}

// Operator is someone who may use the administration interface.
type Operator struct {
	Role   access.Role
	Tokens []access.Digest
}

// Process is what a process is told about itself.
type Process struct {
	Name string
	Zone string
	Cell string
	// Log is ip:port of the platform's log.
	Log string
}

// Entry is what an entry is told. Addresses are ip:port.
type Entry struct {
	Listen    string
	Advertise string
	Callers   string
	Admin     string
}

// Agent is what an agent is told.
type Agent struct {
	Endpoint    string
	Slots       int
	Connections int
	Entries     []string
	Admin       string
}

// Dispatcher is what a dispatcher is told. Addresses are ip:port.
type Dispatcher struct {
	Callers   string
	Ready     string
	Listen    string
	Advertise string
	Peers     []string
}

// Address is where others reach the dispatcher.
func (d Dispatcher) Address() string {
	if d.Advertise != "" {
		return d.Advertise
	}
	return d.Listen
}

// Sidecar is what a sidecar is told. Addresses are ip:port.
type Sidecar struct {
	Endpoint      string
	Announcements string
	Dispatchers   []string
	// Sessions is how many dispatchers a session is held with at the most.
	Sessions int
}

// Runtime is what a dispatcher or sidecar is told of the VM it runs on.
type Runtime struct {
	// Metrics is ip:port; empty serves none.
	Metrics string
	// Memory is in MiB.
	Memory int
	// Link is the bandwidth of the VM's network link in Mbit/s.
	Link  float64
	Grace time.Duration
	// Resubmission is when a caller without an answer sends its job again.
	Resubmission time.Duration
}

// TLS names PEM files; all are empty where connections are plain.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Config is a merged, checked set of settings. It is read-only.
type Config struct {
	process Process
	entry   Entry
	agent   Agent
	tls     TLS
	// The next four are for dispatchers and sidecars.
	dispatcher Dispatcher
	sidecar    Sidecar
	store      string
	runtime    Runtime
	retention  time.Duration
	maxKeys    int
	silence    time.Duration
	drainTime  time.Duration
	kinds      map[string]Kind
	teams      map[string]Team
	values     []Value
	operators  map[string]Operator
	// ejected are the names of agents that an operator has taken out, with the reason.
	ejected map[string]string
	// closed refuses callers of teams without a token.
	closed bool
	access *access.Access
}

// Value is one merged value with the file that it came from; the file is empty
// for a default.
type Value struct {
	Section string
	Key     string
	Value   string
	File    string
}

// Process returns what the process is told about itself.
func (c *Config) Process() Process { return c.process }

// Entry returns the settings of an entry.
func (c *Config) Entry() Entry { return c.entry }

// Agent returns the settings of an agent.
func (c *Config) Agent() Agent { return c.agent }

// Dispatcher returns the settings of a dispatcher.
func (c *Config) Dispatcher() Dispatcher { return c.dispatcher }

// Sidecar returns the settings of a sidecar.
func (c *Config) Sidecar() Sidecar { return c.sidecar }

// Store returns ip:port of the platform's metadata store.
func (c *Config) Store() string { return c.store }

// Runtime returns what the process is told of its VM.
func (c *Config) Runtime() Runtime { return c.runtime }

// Values returns every value in force, in the order of section and key.
func (c *Config) Values() []Value { return c.values }

// Changed lists the keys whose values differ from those of former settings, as
// "section key".
func (c *Config) ChangedKeys(former *Config) []string {
	old := map[string]string{}
	for _, v := range former.values {
		old[v.Section+" "+v.Key] = v.Value
	}
	var keys []string
	for _, v := range c.values {
		if key := v.Section + " " + v.Key; old[key] != v.Value {
			keys = append(keys, key)
		}
	}
	return keys
}

// Ejected reports whether an operator has taken the agent of a process name out.
func (c *Config) Ejected(name string) bool {
	_, out := c.ejected[name]
	return out
}

// TLS returns the files of the process's certificate.
func (c *Config) TLS() TLS { return c.tls }

// Access returns who may do what.
func (c *Config) Access() *access.Access { return c.access }

// Silence returns after how long a silent connection is replaced.
func (c *Config) SilenceTimeout() time.Duration { return c.silence }

// DrainTime returns the longest time that a planned stop may take.
func (c *Config) DrainTime() time.Duration { return c.drainTime }

// KindNames and TeamNames return the numbers of kinds and teams by name.
func (c *Config) KindNames() []string { return sortedKeys(c.kinds) }

// TeamNames returns the names of the teams in order.
func (c *Config) TeamNames() []string { return sortedKeys(c.teams) }

// Kind returns what holds for a kind.
func (c *Config) Kind(name string) (Kind, bool) {
	k, known := c.kinds[name]
	return k, known
}

// Team returns the quota of a team.
func (c *Config) Team(name string) (Team, bool) {
	t, known := c.teams[name]
	return t, known
}

// KindWeight returns the weight of a kind; 1 for one that is not configured,
// such as a kind that was removed while tasks of it wait.
func (c *Config) KindWeight(name string) float64 {
	if k, known := c.kinds[name]; known {
		return k.Weight
	}
	return 1
}

// KindShare returns the kind's weight over the weights of all kinds.
func (c *Config) KindShare(name string) float64 {
	total := 0.0
	for _, k := range c.kinds {
		total += k.Weight
	}
	if total == 0 {
		return 0
	}
	return c.kinds[name].Weight / total
}

// TeamWeight returns the weight of a team; 1 for one that is not configured.
func (c *Config) TeamWeight(name string) float64 {
	if t, known := c.teams[name]; known {
		return t.Weight
	}
	return 1
}

const (
	// fallbackDeadline and fallbackTimeout hold for recovered jobs of a kind that
	// the configuration no longer has.
	fallbackDeadline = time.Minute
	fallbackTimeout  = 10 * time.Second
)

// JobDeadline returns how long a job of the kind may take to its last start.
func (c *Config) JobDeadline(kind string) time.Duration {
	if k, known := c.kinds[kind]; known {
		return k.Deadline
	}
	return fallbackDeadline
}

// TaskTimeout returns how long a task of the kind may run.
func (c *Config) TaskTimeout(kind string) time.Duration {
	if k, known := c.kinds[kind]; known {
		return k.TaskTimeout
	}
	return fallbackTimeout
}

// Retention returns how long job keys and answers are kept.
func (c *Config) Retention() time.Duration { return c.retention }

// MaxKeys returns how many job keys one slot keeps.
func (c *Config) MaxKeysPerSlot() int { return c.maxKeys }
