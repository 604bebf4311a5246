package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// StatusCommand shows processes.
type StatusCommand struct {
	Admin  []string `arg:"" placeholder:"IP:PORT" help:"Admin addresses of entries and agents."`
	Output string   `enum:"table,json" default:"table" help:"Form of the output: table or json."`
}

// adminTime bounds one question to a process.
const adminTime = 5 * time.Second

// processStatus has the fields that entries and agents share or have alone.
type processStatus struct {
	Entry    string         `json:"entry,omitempty"`
	Agent    string         `json:"agent,omitempty"`
	Zone     string         `json:"zone"`
	Draining bool           `json:"draining"`
	Ready    bool           `json:"ready"`
	Agents   []string       `json:"agents,omitempty"`
	Jobs     int            `json:"jobs"`
	Keys     int            `json:"keys"`
	Running  int            `json:"running"`
	Slots    any            `json:"slots,omitempty"`
	Waiting  any            `json:"waiting,omitempty"`
	LogNext  uint64         `json:"log_next,omitempty"`
	Entries  []string       `json:"entries,omitempty"`
	Config   uint64         `json:"config"`
	Extra    map[string]any `json:"-"`
}

// Run prints one row per process. It fails where one did not answer.
func (c *StatusCommand) Run(s *Streams) error {
	var list []processStatus
	var failed []string
	for _, address := range c.Admin {
		p, err := askStatus(address)
		if err != nil {
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
	fmt.Fprintln(table, "PROCESS\tZONE\tSTATE\tJOBS\tKEYS\tRUNNING\tPEERS\tCONFIG")
	for _, p := range list {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", p.Entry+p.Agent, p.Zone, p.state(), p.Jobs, p.Keys, p.Running, len(p.Entries)+len(p.Agents), p.Config)
	}
	return table.Flush()
}

func (p processStatus) state() string {
	switch {
	case p.Draining:
		return "draining"
	case p.Entry != "" && !p.Ready:
		return "not ready"
	default:
		return "ready"
	}
}

func askStatus(address string) (processStatus, error) {
	var p processStatus
	if _, err := netip.ParseAddrPort(address); err != nil {
		return p, usageError{errors.Errorf("address %q is not an IP number and a port", address)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil {
		return p, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return p, errors.Wrapf(err, "process at %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return p, errors.Errorf("process at %s answered %s", address, response.Status)
	}
	return p, errors.Wrapf(json.NewDecoder(response.Body).Decode(&p), "process at %s", address)
}

// DrainCommand stops a process as planned.
type DrainCommand struct {
	Admin string `arg:"" placeholder:"IP:PORT" help:"Admin address of the entry or agent."`
}

// Run asks the process to drain; it goes on in the process.
func (c *DrainCommand) Run(s *Streams) error {
	if _, err := netip.ParseAddrPort(c.Admin); err != nil {
		return usageError{errors.Errorf("address %q is not an IP number and a port", c.Admin)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Admin+"/v1/drain", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "process at %s", c.Admin)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusAccepted {
		return errors.Errorf("process at %s answered %s", c.Admin, response.Status)
	}
	fmt.Fprintf(s.Out, "process at %s drains\n", c.Admin)
	return nil
}
