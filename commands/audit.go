package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/connection/logclient"
	"github.com/corianderhook/corianderhook/process/audit"
)

// AuditCommand shows the trail of changes.
type AuditCommand struct {
	Log    string        `required:"" placeholder:"IP:PORT" help:"Address of the platform's log."`
	Who    string        `help:"Only changes by a process or operator whose name begins so."`
	What   string        `help:"Only changes of this kind, such as claim or drain."`
	Since  time.Duration `help:"Only changes that are not older; 0 shows all that the log keeps."`
	Output string        `enum:"table,json" default:"table" help:"Form of the output: table, or json with a line per change."`
}

// Run prints the changes in the order of the log.
func (c *AuditCommand) Run(s *Streams) error {
	if _, err := netip.ParseAddrPort(c.Log); err != nil {
		return usageError{errors.Errorf("--log is %q; it must be an IP number and a port", c.Log)}
	}
	records, err := c.read()
	if err != nil {
		return err
	}
	if c.Output == "json" {
		encoder := json.NewEncoder(s.Out)
		for _, r := range records {
			if err := encoder.Encode(r); err != nil {
				return err
			}
		}
		return nil
	}
	table := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tWHO\tFROM\tWHAT\tSUBJECT\tBEFORE\tAFTER\tOUTCOME")
	for _, r := range records {
		outcome := r.Outcome
		if r.Late {
			outcome += " (late)"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			r.Time.Format(time.RFC3339), r.Who, r.From, r.What, r.Subject, r.Before, r.After, outcome)
	}
	return table.Flush()
}

func (c *AuditCommand) read() ([]audit.Record, error) {
	client := logclient.New(c.Log)
	seen := map[string]bool{}
	var records []audit.Record
	for from := uint64(0); ; {
		ctx, cancel := context.WithTimeout(context.Background(), adminTime)
		batch, err := client.Read(ctx, audit.Stream, from, 0)
		cancel()
		if err != nil {
			return nil, err
		}
		for i, raw := range batch.Records {
			var r audit.Record
			if err := json.Unmarshal(raw, &r); err != nil {
				return nil, errors.Wrapf(err, "audit record %d", batch.From+uint64(i))
			}
			if !seen[r.ID] && c.matches(r) {
				records = append(records, r)
			}
			seen[r.ID] = true
		}
		from = batch.From + uint64(len(batch.Records))
		if len(batch.Records) == 0 || from >= batch.Next {
			return records, nil
		}
	}
}

func (c *AuditCommand) matches(r audit.Record) bool {
	if !strings.HasPrefix(r.Who, c.Who) || c.What != "" && r.What != c.What {
		return false
	}
	return c.Since == 0 || time.Since(r.Time) <= c.Since
}
