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
)

// StatusCommand shows processes.
type StatusCommand struct {
	Credentials
	Admin  []string `arg:"" placeholder:"IP:PORT" help:"Admin addresses of entries and agents."`
	Output string   `enum:"table,json" default:"table" help:"Form of the output: table or json."`
	// Watch and Times repeat the answer.
	Watch time.Duration `help:"Show it again and again with this pause, such as 2s."`
	Times int           `default:"0" help:"With --watch, how often to show it; 0 goes on until it is interrupted."`
}

// adminTime bounds one question to a process.
const adminTimeout = 5 * time.Second

// processStatus has the fields that entries and agents share or have alone.
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
}

// Run prints one row per process. It fails where one did not answer.
func (c *StatusCommand) Run(s *Streams) error {
	if c.Watch < 0 || c.Times < 0 || c.Times > 0 && c.Watch == 0 {
		return usageError{errors.New("--watch must be a time above 0s, and --times goes with it")}
	}
	if c.Watch == 0 {
		return c.showOnce(s)
	}
	clock := realClock()
	for shown := 1; ; shown++ {
		if isTerminal(s.Out) {
			fmt.Fprint(s.Out, clearScreen)
		}
		err := c.showOnce(s)
		if c.Times > 0 && shown >= c.Times {
			return err
		}
		if err != nil {
			fmt.Fprintln(s.Err, err)
		}
		clock.Sleep(c.Watch)
	}
}

// show asks every process once.
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
	paint := colourizer(s.Out)
	fmt.Fprintln(table, "PROCESS\tZONE\t"+paint("STATE", plain)+"\tJOBS\tKEYS\tRUNNING\tPEERS\tCONFIG\tEJECTED")
	for _, p := range list {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", p.Entry+p.Agent, p.Zone, paint(p.state()), p.Jobs, p.Keys, p.Running, len(p.Entries)+len(p.Agents), p.Config, cmp.Or(strings.Join(p.Ejected, " "), "-"))
	}
	return table.Flush()
}

// state returns the state in words and its colour.
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

// DrainCommand stops a process as planned.
type DrainCommand struct {
	Credentials
	Admin string `arg:"" placeholder:"IP:PORT" help:"Admin address of the entry or agent."`
}

// Run asks the process to drain; it goes on in the process.
func (c *DrainCommand) Run(s *Streams) error {
	if err := c.callAdmin(http.MethodPost, c.Admin, "/v1/drain", nil, nil); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "process at %s drains\n", c.Admin)
	return nil
}
