package commands

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/node/entry"
)

// StatusCommand shows the status of processes.
type StatusCommand struct {
	Credentials
	Admin  []string      `arg:"" placeholder:"IP:PORT" help:"Admin addresses of entries and agents."`
	Output string        `enum:"table,json" default:"table" help:"Output format: table or json."`
	Watch  time.Duration `help:"Repeat the output at this interval, such as 2s."`
	Times  int           `default:"0" help:"With --watch, how many times to show it; 0 repeats until interrupted."`
}

// adminTimeout bounds one request to a process or to the platform's log.
const adminTimeout = 5 * time.Second

// processStatus is the status of an entry or an agent; some fields exist only for one of
// them.
type processStatus struct {
	Entry    string   `json:"entry,omitempty"`
	Agent    string   `json:"agent,omitempty"`
	Zone     string   `json:"zone"`
	Draining bool     `json:"draining"`
	Ready    bool     `json:"ready"`
	Agents   []string `json:"agents,omitempty"`
	Ejected  []string `json:"ejected,omitempty"`
	Jobs     int      `json:"jobs"`
	Keys     int      `json:"keys"`
	Running  int      `json:"running"`
	Slots    any      `json:"slots,omitempty"`
	Waiting  any      `json:"waiting,omitempty"`
	LogNext  uint64   `json:"log_next,omitempty"`
	Entries  []string `json:"entries,omitempty"`
	Config   uint64   `json:"config"`
	// Zones and Evacuations are those that an entry knows.
	Zones       []string           `json:"zones,omitempty"`
	Evacuations []entry.Evacuation `json:"evacuations,omitempty"`
}

// Run prints one row per process, and fails if one did not answer.
func (c *StatusCommand) Run(s *Streams) error {
	if c.Watch < 0 || c.Times < 0 || c.Times > 0 && c.Watch == 0 {
		return usageError{errors.New("--watch must be a time above 0s, and --times needs --watch")}
	}
	if c.Watch == 0 {
		return c.showOnce(s)
	}
	clock := realClock()
	for count := 1; ; count++ {
		if isTerminal(s.Out) {
			fmt.Fprint(s.Out, clearScreen)
		}
		err := c.showOnce(s)
		if c.Times > 0 && count >= c.Times {
			return err
		}
		if err != nil {
			fmt.Fprintln(s.Err, err)
		}
		clock.Sleep(c.Watch)
	}
}

// showOnce queries every process once and prints the result.
func (c *StatusCommand) showOnce(s *Streams) error {
	var list []processStatus
	var failed []string
	for _, address := range c.Admin {
		var p processStatus
		if err := c.callAdmin(http.MethodGet, address, "/v1/status", nil, &p); err != nil {
			failed = append(failed, err.Error())
			continue
		}
		list = append(list, p)
	}
	if err := c.print(s, list); err != nil {
		return err
	}
	if len(failed) > 0 {
		return errors.New(strings.Join(failed, "; "))
	}
	return nil
}

func (c *StatusCommand) print(s *Streams, list []processStatus) error {
	if c.Output == "json" {
		encoder := json.NewEncoder(s.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(list)
	}
	table := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	colourize := colourizer(s.Out)
	fmt.Fprintln(table, "PROCESS\tZONE\t"+colourize("STATE", plain)+"\tJOBS\tKEYS\tRUNNING\tPEERS\tCONFIG\tEJECTED")
	for _, p := range list {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", p.Entry+p.Agent, p.Zone, colourize(p.state()), p.Jobs, p.Keys, p.Running, len(p.Entries)+len(p.Agents), p.Config, cmp.Or(strings.Join(p.Ejected, " "), "-"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, p := range list {
		for _, e := range p.Evacuations {
			fmt.Fprintf(s.Out, "%s: zone %s evacuated since %s, %d tasks still run there: %s\n", p.Entry, e.Zone, e.Since.Format(time.RFC3339), e.Running, e.Reason)
		}
	}
	return nil
}

// state returns the state as text and its colour.
func (p processStatus) state() (string, colour) {
	switch {
	case p.Draining:
		return "draining", yellow
	case p.Entry != "" && !p.Ready:
		return "not ready", red
	default:
		return "ready", green
	}
}

// DrainCommand drains a process, which then exits.
type DrainCommand struct {
	Credentials
	Admin string `arg:"" placeholder:"IP:PORT" help:"Admin address of the entry or agent."`
}

// Run requests the drain and does not wait for its end.
func (c *DrainCommand) Run(s *Streams) error {
	var answer entry.DrainAnswer
	if err := c.callAdmin(http.MethodPost, c.Admin, "/v1/drain", nil, &answer); err != nil {
		return err
	}
	printAuditError(s, answer.AuditError)
	fmt.Fprintf(s.Out, "process at %s drains\n", c.Admin)
	return nil
}
