package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/corianderhook/corianderhook/version/access"
)

// Field describes one key of a section. Doc is the help text.
type Field struct {
	Key     string
	Default string
	Unit    string
	Doc     string
	// Secret hides an invalid value in the error.
	Secret bool
	set    func(b *builder, name, value string) error
}

// Section describes a section. A named section is written as [section name], with
// any number of names.
type Section struct {
	Name   string
	Named  bool
	Fields []Field
}

const (
	maxSlots       = 4096
	maxConnections = 65536
	maxKeysPerSlot = 10_000_000
	// minMemory and maxMemory are in MiB.
	minMemory = 32
	maxMemory = 1 << 20
	// minLink and maxLink are in Mbit/s.
	minLink     = 0.1
	maxLink     = 1_000_000
	maxSessions = 1024
)

// Sections returns all sections and their keys with the defaults.
func Sections() []Section { return append(commonSections(), platformSections()...) }

// platformSections returns the sections for dispatchers and sidecars.
func platformSections() []Section {
	return []Section{
		{Name: "dispatcher", Fields: []Field{
			{Key: "callers", Unit: "ip:port", Doc: "Address for callers.", set: setAddress(func(b *builder) *string { return &b.c.dispatcher.Callers })},
			{Key: "ready", Unit: "ip:port", Doc: "Address of the readiness check for the load balancer.", set: setAddress(func(b *builder) *string { return &b.c.dispatcher.Ready })},
			{Key: "listen", Unit: "ip:port", Doc: "Address for sidecars and other dispatchers.", set: setAddress(func(b *builder) *string { return &b.c.dispatcher.Listen })},
			{Key: "advertise", Unit: "ip:port", Doc: "Address that the others use; the listen address where it is empty.", set: setAddress(func(b *builder) *string { return &b.c.dispatcher.Advertise })},
			{Key: "peers", Unit: "ip:port, ...", Doc: "Some other dispatchers; the list may be out of date.", set: setAddresses(func(b *builder) *[]string { return &b.c.dispatcher.Peers })},
		}},
		{Name: "sidecar", Fields: []Field{
			{Key: "endpoint", Unit: "ip:port", Doc: "The endpoint on the same VM.", set: setAddress(func(b *builder) *string { return &b.c.sidecar.Endpoint })},
			{Key: "announcements", Unit: "ip:port", Doc: "Address where the endpoint announces itself.", set: setAddress(func(b *builder) *string { return &b.c.sidecar.Announcements })},
			{Key: "dispatchers", Unit: "ip:port, ...", Doc: "Some dispatchers; the list may be out of date.", set: setAddresses(func(b *builder) *[]string { return &b.c.sidecar.Dispatchers })},
			{Key: "sessions", Default: "8", Unit: "dispatchers", Doc: "Maximum number of dispatchers with an open session.", set: setInt(1, maxSessions, func(b *builder) *int { return &b.c.sidecar.Sessions })},
		}},
		{Name: "store", Fields: []Field{
			{Key: "address", Unit: "ip:port", Doc: "The platform's metadata store.", set: setAddress(func(b *builder) *string { return &b.c.store })},
		}},
		{Name: "runtime", Fields: []Field{
			{Key: "metrics", Unit: "ip:port", Doc: "Address for metrics.", set: setAddress(func(b *builder) *string { return &b.c.runtime.Metrics })},
			{Key: "memory", Default: "256", Unit: "MiB", Doc: "Memory of the process; it is killed if it uses more.", set: setInt(minMemory, maxMemory, func(b *builder) *int { return &b.c.runtime.Memory })},
			{Key: "link", Default: "1000", Unit: "Mbit/s", Doc: "Bandwidth of the VM's network link; large transfers use only a part of it.", set: setLink},
			{Key: "grace", Default: "6s", Unit: "time", Doc: "Time from the signal to stop until the process is killed.", set: setTime(time.Second, time.Hour, func(b *builder) *time.Duration { return &b.c.runtime.Grace })},
			{Key: "resubmission", Default: "1300ms", Unit: "time", Doc: "Time after which a caller without an answer sends its job again.", set: setTime(100*time.Millisecond, time.Hour, func(b *builder) *time.Duration { return &b.c.runtime.Resubmission })},
			{Key: "evacuation", Default: "5s", Unit: "time", Doc: "Time within which the evacuation of an availability zone has to be in force.", set: setTime(500*time.Millisecond, time.Hour, func(b *builder) *time.Duration { return &b.c.runtime.EvacuationTime })},
		}},
		{Name: "sharing", Fields: []Field{
			{Key: "room", Default: "off", Unit: "on or off", Doc: "Whether sidecars tell by urgency what work takes their room, and dispatchers keep room for the most urgent work.", set: setSwitch(func(b *builder) *bool { return &b.c.sharing.Room })},
			{Key: "holders", Default: "off", Unit: "on or off", Doc: "Whether a dispatcher asks who holds a job before it submits the job again.", set: setSwitch(func(b *builder) *bool { return &b.c.sharing.Holders })},
			{Key: "neighbors", Default: "off", Unit: "on or off", Doc: "Whether tasks that slow each other down are kept apart.", set: setSwitch(func(b *builder) *bool { return &b.c.sharing.Neighbors })},
			{Key: "slowness", Default: "off", Unit: "on or off", Doc: "Whether an endpoint counts as slow by the runs that are under way, and what waits there is taken back.", set: setSwitch(func(b *builder) *bool { return &b.c.sharing.Slowness })},
			{Key: "recovery", Default: "off", Unit: "on or off", Doc: "Whether dispatchers keep copies of what operators have published, for those that start while the operators' topic of the store does not answer.", set: setSwitch(func(b *builder) *bool { return &b.c.sharing.Recovery })},
		}},
		intakeSection(),
	}
}

func commonSections() []Section {
	return []Section{
		{Name: "process", Fields: []Field{
			{Key: "name", Unit: "name", Doc: "Name of the process, the same after a restart.", set: setName(func(b *builder) *string { return &b.c.process.Name })},
			{Key: "zone", Unit: "name", Doc: "Availability zone.", set: setName(func(b *builder) *string { return &b.c.process.Zone })},
			{Key: "cell", Default: "main", Unit: "name", Doc: "Cell: the entries and agents that work together.", set: setName(func(b *builder) *string { return &b.c.process.Cell })},
		}},
		{Name: "log", Fields: []Field{
			{Key: "address", Unit: "ip:port", Doc: "The platform's log.", set: setAddress(func(b *builder) *string { return &b.c.process.Log })},
		}},
		{Name: "entry", Fields: []Field{
			{Key: "listen", Unit: "ip:port", Doc: "Address for entries and agents.", set: setAddress(func(b *builder) *string { return &b.c.entry.Listen })},
			{Key: "advertise", Unit: "ip:port", Doc: "Address that the others use; the listen address where it is empty.", set: setAddress(func(b *builder) *string { return &b.c.entry.Advertise })},
			{Key: "callers", Unit: "ip:port", Doc: "Address for callers.", set: setAddress(func(b *builder) *string { return &b.c.entry.Callers })},
			{Key: "admin", Unit: "ip:port", Doc: "Address for metrics, health and operators.", set: setAddress(func(b *builder) *string { return &b.c.entry.Admin })},
		}},
		{Name: "agent", Fields: []Field{
			{Key: "endpoint", Unit: "URL", Doc: "URL to which tasks are posted.", set: setEndpoint},
			{Key: "slots", Default: "8", Unit: "tasks", Doc: "Tasks that run concurrently at the endpoint.", set: setInt(1, maxSlots, func(b *builder) *int { return &b.c.agent.Slots })},
			{Key: "connections", Default: "60", Unit: "connections", Doc: "Open connections to the endpoint.", set: setInt(1, maxConnections, func(b *builder) *int { return &b.c.agent.Connections })},
			{Key: "entries", Unit: "ip:port, ...", Doc: "Some entries, used to discover the others.", set: setAddresses(func(b *builder) *[]string { return &b.c.agent.Entries })},
			{Key: "admin", Unit: "ip:port", Doc: "Address for metrics and health.", set: setAddress(func(b *builder) *string { return &b.c.agent.Admin })},
		}},
		{Name: "tls", Fields: []Field{
			{Key: "certificate", Unit: "file", Doc: "PEM file with the process's certificate; empty leaves all connections plain.", set: setFile(func(b *builder) *string { return &b.c.tls.Certificate })},
			{Key: "key", Unit: "file", Doc: "PEM file with the key of the certificate.", set: setFile(func(b *builder) *string { return &b.c.tls.Key })},
			{Key: "authority", Unit: "file", Doc: "PEM file with the authority that signs the certificates of all processes.", set: setFile(func(b *builder) *string { return &b.c.tls.Authority })},
		}},
		{Name: "access", Fields: []Field{
			{Key: "callers", Default: "open", Unit: "open or token", Doc: "Whether callers of a team without a token are accepted (open) or rejected (token).", set: setCallers},
		}},
		{Name: "operator", Named: true, Fields: []Field{
			{Key: "role", Default: "read", Unit: "read, operate or configure", Doc: "What the operator may do; each includes the ones before it.", set: setOperator(parseRole)},
			{Key: "token_sha256", Unit: "digest, ...", Doc: "Digests of the operator's tokens.", Secret: true, set: setOperator(parseTokens(func(o *Operator) *[]access.Digest { return &o.Tokens }))},
		}},
		{Name: "eject", Named: true, Fields: []Field{
			{Key: "reason", Unit: "text", Doc: "Why the agent of this process name gets no tasks.", set: setEjected},
		}},
		{Name: "evacuate", Named: true, Fields: []Field{
			{Key: "reason", Unit: "text", Doc: "Why no task starts in the availability zone of this name.", set: setEvacuation(parseReason)},
			{Key: "since", Unit: "RFC 3339 time", Doc: "When the zone was evacuated; optional.", set: setEvacuation(parseSince)},
		}},
		{Name: "limits", Fields: []Field{
			{Key: "retention", Default: "2m", Unit: "time", Doc: "How long job keys and answers are retained.", set: setTime(time.Second, 24*time.Hour, func(b *builder) *time.Duration { return &b.c.retention })},
			{Key: "keys_per_slot", Default: "20000", Unit: "keys", Doc: "Job keys retained by each of the 256 ownership slots.", set: setInt(1, maxKeysPerSlot, func(b *builder) *int { return &b.c.maxKeysPerSlot })},
			{Key: "silence", Default: "2s", Unit: "time", Doc: "A connection that is silent for longer is replaced.", set: setTime(200*time.Millisecond, time.Minute, func(b *builder) *time.Duration { return &b.c.silenceTimeout })},
			{Key: "drain_time", Default: "30s", Unit: "time", Doc: "Longest time that a planned stop may take.", set: setTime(time.Second, time.Hour, func(b *builder) *time.Duration { return &b.c.drainTime })},
		}},
		{Name: "kind", Named: true, Fields: []Field{
			{Key: "weight", Default: "1", Unit: "share", Doc: "Weight of the kind when kinds compete for task slots.", set: setKind(parseWeight(func(k *Kind) *float64 { return &k.Weight }))},
			{Key: "deadline", Default: "30s", Unit: "time", Doc: "Time from the acceptance of a job to its last start.", set: setKind(parseKindTime(func(k *Kind) *time.Duration { return &k.Deadline }))},
			{Key: "task_timeout", Default: "10s", Unit: "time", Doc: "Time limit of one task at the endpoint.", set: setKind(parseKindTime(func(k *Kind) *time.Duration { return &k.TaskTimeout }))},
			{Key: "max_delay", Default: "10s", Unit: "time", Doc: "Expected wait above which jobs are refused.", set: setKind(parseKindTime(func(k *Kind) *time.Duration { return &k.MaxDelay }))},
		}},
		{Name: "team", Named: true, Fields: []Field{
			{Key: "weight", Default: "1", Unit: "share", Doc: "Weight of the team when teams compete for the task slots of a kind.", set: setTeam(parseWeight(func(t *Team) *float64 { return &t.Weight }))},
			{Key: "rate", Default: "0", Unit: "tasks/s", Doc: "Tasks a second over all entries; 0 is no limit.", set: setTeam(parseRate)},
			{Key: "concurrent", Default: "0", Unit: "tasks", Doc: "Tasks that wait or run over all entries; 0 is no limit.", set: setTeam(parseConcurrent)},
			{Key: "token_sha256", Unit: "digest, ...", Doc: "Digests of the tokens that callers of the team carry.", Secret: true, set: setTeam(parseTokens(func(t *Team) *[]access.Digest { return &t.Tokens }))},
		}},
	}
}

type setter = func(b *builder, name, value string) error

func setName(target func(*builder) *string) setter {
	return func(b *builder, _, value string) error {
		if strings.ContainsAny(value, "#/ \t") {
			return fmt.Errorf("must not contain #, / or blanks")
		}
		*target(b) = value
		return nil
	}
}

func setFile(target func(*builder) *string) setter {
	return func(b *builder, _, value string) error {
		*target(b) = value
		return nil
	}
}

func setAddress(target func(*builder) *string) setter {
	return func(b *builder, _, value string) error {
		if value != "" {
			if err := checkAddress(value); err != nil {
				return err
			}
		}
		*target(b) = value
		return nil
	}
}

func checkAddress(value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("must be an IP number and a port, such as 10.0.0.1:7400")
	}
	return nil
}

func setEndpoint(b *builder, _, value string) error {
	if value == "" {
		return nil
	}
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("must be a URL that starts with http:// or https://")
	}
	if err := checkAddress(u.Host); err != nil {
		return fmt.Errorf("must name its host by an IP number and a port")
	}
	b.c.agent.Endpoint = value
	return nil
}

func setAddresses(target func(*builder) *[]string) setter {
	return func(b *builder, _, value string) error {
		*target(b) = nil
		if value == "" {
			return nil
		}
		for _, part := range strings.Split(value, ",") {
			part = strings.TrimSpace(part)
			if err := checkAddress(part); err != nil {
				return fmt.Errorf("part %q %w", part, err)
			}
			*target(b) = append(*target(b), part)
		}
		return nil
	}
}

func setInt(low, high int, target func(*builder) *int) setter {
	return func(b *builder, _, value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n < low || n > high {
			return fmt.Errorf("must be a whole number from %d to %d", low, high)
		}
		*target(b) = n
		return nil
	}
}

func setLink(b *builder, _, value string) error {
	link, err := strconv.ParseFloat(value, 64)
	if err != nil || !(link >= minLink && link <= maxLink) {
		return fmt.Errorf("must be a number from %g to %g", float64(minLink), float64(maxLink))
	}
	b.c.runtime.Link = link
	return nil
}

func setTime(low, high time.Duration, target func(*builder) *time.Duration) setter {
	return func(b *builder, _, value string) error {
		d, err := parseTime(value, low, high)
		*target(b) = d
		return err
	}
}

func parseTime(value string, low, high time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		return low, fmt.Errorf("must be a time from %s to %s, such as 500ms or 2s", low, high)
	}
	return d, nil
}

func setKind(parse func(k *Kind, value string) error) setter {
	return func(b *builder, name, value string) error {
		k := b.c.kinds[name]
		err := parse(&k, value)
		b.c.kinds[name] = k
		return err
	}
}

func setTeam(parse func(t *Team, value string) error) setter {
	return func(b *builder, name, value string) error {
		t := b.c.teams[name]
		err := parse(&t, value)
		b.c.teams[name] = t
		return err
	}
}

func setOperator(parse func(o *Operator, value string) error) setter {
	return func(b *builder, name, value string) error {
		o := b.c.operators[name]
		err := parse(&o, value)
		b.c.operators[name] = o
		return err
	}
}

func parseRole(o *Operator, value string) error {
	role, err := access.ParseRole(value)
	o.Role = role
	return err
}

func parseTokens[T any](target func(*T) *[]access.Digest) func(*T, string) error {
	return func(t *T, value string) error {
		digests, err := access.ParseDigests(value)
		*target(t) = digests
		return err
	}
}

func setEjected(b *builder, name, value string) error {
	if value == "" {
		return fmt.Errorf("must say why")
	}
	b.c.ejected[name] = value
	return nil
}

func setEvacuation(parse func(e *Evacuation, value string) error) func(b *builder, name, value string) error {
	return func(b *builder, name, value string) error {
		e := b.c.evacuations[name]
		err := parse(&e, value)
		b.c.evacuations[name] = e
		return err
	}
}

func parseReason(e *Evacuation, value string) error {
	if value == "" {
		return fmt.Errorf("must say why")
	}
	e.Reason = value
	return nil
}

func parseSince(e *Evacuation, value string) error {
	if value == "" {
		return nil
	}
	var err error
	e.Since, err = time.Parse(time.RFC3339, value)
	return err
}

func setSwitch(target func(*builder) *bool) setter {
	return func(b *builder, _, value string) error {
		if value != "on" && value != "off" {
			return fmt.Errorf("must be on or off")
		}
		*target(b) = value == "on"
		return nil
	}
}

func setCallers(b *builder, _, value string) error {
	if value != "open" && value != "token" {
		return fmt.Errorf("must be open or token")
	}
	b.c.requireToken = value == "token"
	return nil
}

const maxWeight = 1e6

func parseWeight[T any](target func(*T) *float64) func(*T, string) error {
	return func(t *T, value string) error {
		w, err := strconv.ParseFloat(value, 64)
		if err != nil || !(w > 0 && w <= maxWeight) {
			return fmt.Errorf("must be a number above 0 and at most %g", float64(maxWeight))
		}
		*target(t) = w
		return nil
	}
}

func parseKindTime(target func(*Kind) *time.Duration) func(*Kind, string) error {
	return func(k *Kind, value string) error {
		d, err := parseTime(value, time.Millisecond, 24*time.Hour)
		*target(k) = d
		return err
	}
}

const maxRate = 1e9

func parseRate(t *Team, value string) error {
	rate, err := strconv.ParseFloat(value, 64)
	if err != nil || !(rate >= 0 && rate <= maxRate) {
		return fmt.Errorf("must be a number from 0 to %g", float64(maxRate))
	}
	t.Rate = rate
	return nil
}

func parseConcurrent(t *Team, value string) error {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return fmt.Errorf("must be a whole number from 0")
	}
	t.Concurrent = n
	return nil
}
