// Package config reads the INI files of a folder, merges them in the order of their
// names, and validates them. The resulting settings are typed and immutable.
package config

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/version/access"
)

// Kind holds the settings of one kind of jobs.
type Kind struct {
	// Weight is the kind's weight in the fair sharing between kinds.
	Weight float64
	// Deadline is how long a job may take from its acceptance to its last start.
	Deadline time.Duration
	// TaskTimeout is how long one task may run at the endpoint.
	TaskTimeout time.Duration
	// MaxDelay is the expected wait above which new jobs are refused.
	MaxDelay time.Duration
}

// Team holds the quota and the tokens of one team.
type Team struct {
	// Weight is the team's weight in the fair sharing within a kind.
	Weight float64
	// Rate limits the tasks per second and Concurrent the tasks that wait or run;
	// zero means no limit.
	Rate       float64
	Concurrent int
	// Tokens are the digests of the tokens that authenticate its callers.
	Tokens []access.Digest
}

// Operator is a user of the administration interface.
type Operator struct {
	Role   access.Role
	Tokens []access.Digest
}

// Evacuation says why and since when no task starts in an availability zone.
type Evacuation struct {
	Reason string
	// Since is zero if the file does not say it.
	Since time.Time
}

// Process holds the settings that identify a process.
type Process struct {
	Name string
	Zone string
	Cell string
	// Log is the address (ip:port) of the platform's log service.
	Log string
}

// Entry holds the settings of an entry. Addresses are ip:port.
type Entry struct {
	Listen    string
	Advertise string
	Callers   string
	Admin     string
}

// Agent holds the settings of an agent.
type Agent struct {
	Endpoint    string
	Slots       int
	Connections int
	Entries     []string
	Admin       string
}

// Dispatcher holds the settings of a dispatcher. Addresses are ip:port.
type Dispatcher struct {
	Callers   string
	Ready     string
	Listen    string
	Advertise string
	Peers     []string
}

// Address returns the address at which other processes reach the dispatcher.
func (d Dispatcher) Address() string {
	if d.Advertise != "" {
		return d.Advertise
	}
	return d.Listen
}

// Sidecar holds the settings of a sidecar. Addresses are ip:port.
type Sidecar struct {
	Endpoint      string
	Announcements string
	Dispatchers   []string
	// Sessions limits the number of dispatchers with which a session is kept open.
	Sessions int
}

// Runtime describes the VM of a dispatcher or sidecar and its environment.
type Runtime struct {
	// Metrics is the address (ip:port) for metrics; empty turns them off.
	Metrics string
	// Memory is in MiB.
	Memory int
	// Link is the bandwidth of the VM's network link in Mbit/s.
	Link float64
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// Resubmission is the time after which a caller without an answer sends its
	// job again.
	Resubmission time.Duration
	// EvacuationTime is the time within which the evacuation of an availability zone has to
	// be in force.
	EvacuationTime time.Duration
}

// Sharing switches the parts that let dispatchers and sidecars share the room at the
// endpoints. A part that is off sends nothing and decides nothing.
type Sharing struct {
	// Room lets sidecars tell by urgency what work takes their room, and dispatchers keep room
	// for the most urgent work.
	Room bool
	// Holders lets a dispatcher ask who holds a job before it submits the job again.
	Holders bool
	// Neighbors keeps tasks apart that slow each other down on one endpoint.
	Neighbors bool
	// Slowness lets sidecars tell that their endpoint has turned slow while the runs that show
	// it are under way, and dispatchers take back what waits there.
	Slowness bool
	// Recovery lets dispatchers keep copies of what operators have published, and start by them.
	Recovery bool
}

// Intake bounds what a process holds for clients whose requests have not been received yet.
type Intake struct {
	// Descriptors is the number of file descriptors that the process may open; 0 stands for the
	// limit of the operating system.
	Descriptors int
	// Stall is how long a request may make no progress, Whole how long it may take to arrive.
	Stall time.Duration
	Whole time.Duration
}

// TLS holds the names of PEM files; all are empty if connections do not use TLS.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Config is a merged and validated set of settings. It is immutable.
type Config struct {
	process Process
	entry   Entry
	agent   Agent
	tls     TLS
	// dispatcher, sidecar, store and runtime are used by dispatchers and sidecars.
	dispatcher     Dispatcher
	sidecar        Sidecar
	store          string
	runtime        Runtime
	sharing        Sharing
	intake         Intake
	retention      time.Duration
	maxKeysPerSlot int
	silenceTimeout time.Duration
	drainTime      time.Duration
	kinds          map[string]Kind
	teams          map[string]Team
	values         []Value
	operators      map[string]Operator
	// ejected maps the process names of agents that an operator has ejected to the
	// reason.
	ejected map[string]string
	// evacuations maps the names of evacuated availability zones to their settings.
	evacuations map[string]Evacuation
	// requireToken rejects callers of teams that have no token configured.
	requireToken bool
	access       *access.Access
}

// Value is the effective value of a key and the file that sets it; the file is empty
// for a default.
type Value struct {
	Section string
	Key     string
	Value   string
	File    string
}

// Process returns the settings that identify the process.
func (c *Config) Process() Process { return c.process }

// Entry returns the settings of an entry.
func (c *Config) Entry() Entry { return c.entry }

// Agent returns the settings of an agent.
func (c *Config) Agent() Agent { return c.agent }

// Dispatcher returns the settings of a dispatcher.
func (c *Config) Dispatcher() Dispatcher { return c.dispatcher }

// Sidecar returns the settings of a sidecar.
func (c *Config) Sidecar() Sidecar { return c.sidecar }

// Store returns the address (ip:port) of the platform's metadata store.
func (c *Config) Store() string { return c.store }

// Runtime returns the settings for the VM of the process and its environment.
func (c *Config) Runtime() Runtime { return c.runtime }

// Intake returns the bounds of what is held for clients.
func (c *Config) Intake() Intake { return c.intake }

// Sharing returns which parts of the sharing of room are on.
func (c *Config) Sharing() Sharing { return c.sharing }

// Values returns all effective values, by section name and in the order in which
// each section defines its keys.
func (c *Config) Values() []Value { return c.values }

// IsSet reports whether a file sets a key.
func (c *Config) IsSet(section, key string) bool {
	return slices.ContainsFunc(c.values, func(v Value) bool {
		return v.Section == section && v.Key == key && v.File != ""
	})
}

// ChangedKeys returns the keys whose values differ from those of previous settings,
// each as "section key".
func (c *Config) ChangedKeys(previous *Config) []string {
	old := map[string]string{}
	for _, v := range previous.values {
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

// Ejected reports whether an operator has ejected the agent with a process name.
func (c *Config) Ejected(name string) bool {
	_, ejected := c.ejected[name]
	return ejected
}

// Evacuated reports whether an operator has evacuated an availability zone.
func (c *Config) Evacuated(zone string) bool {
	_, evacuated := c.evacuations[zone]
	return evacuated
}

// Evacuations returns the evacuated availability zones.
func (c *Config) Evacuations() map[string]Evacuation { return maps.Clone(c.evacuations) }

// TLS returns the files with the process's certificate, its key and the authority.
func (c *Config) TLS() TLS { return c.tls }

// Access returns the permissions of callers and operators.
func (c *Config) Access() *access.Access { return c.access }

// SilenceTimeout returns the time after which a silent connection is replaced.
func (c *Config) SilenceTimeout() time.Duration { return c.silenceTimeout }

// DrainTime returns the longest time that a planned stop may take.
func (c *Config) DrainTime() time.Duration { return c.drainTime }

// KindNames returns the sorted names of the kinds.
func (c *Config) KindNames() []string { return sortedKeys(c.kinds) }

// TeamNames returns the sorted names of the teams.
func (c *Config) TeamNames() []string { return sortedKeys(c.teams) }

// Kind returns the settings of a kind.
func (c *Config) Kind(name string) (Kind, bool) {
	k, known := c.kinds[name]
	return k, known
}

// Team returns the settings of a team.
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

// KindShare returns the kind's weight as a fraction of the weights of all kinds.
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
	// fallbackDeadline and fallbackTaskTimeout apply to recovered jobs whose kind was
	// removed from the configuration.
	fallbackDeadline    = time.Minute
	fallbackTaskTimeout = 10 * time.Second
)

// JobDeadline returns how long a job of the kind may take from its acceptance to its
// last start.
func (c *Config) JobDeadline(kind string) time.Duration {
	if k, known := c.kinds[kind]; known {
		return k.Deadline
	}
	return fallbackDeadline
}

// TaskTimeout returns how long one task of the kind may run at the endpoint.
func (c *Config) TaskTimeout(kind string) time.Duration {
	if k, known := c.kinds[kind]; known {
		return k.TaskTimeout
	}
	return fallbackTaskTimeout
}

// Retention returns how long job keys and answers are retained.
func (c *Config) Retention() time.Duration { return c.retention }

// MaxKeysPerSlot returns how many job keys one ownership slot retains at most.
func (c *Config) MaxKeysPerSlot() int { return c.maxKeysPerSlot }
