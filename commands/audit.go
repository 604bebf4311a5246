package commands

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/process/audit"
)

// AuditCommand prints the audit trail.
type AuditCommand struct {
	Log    string        `required:"" placeholder:"IP:PORT" help:"Address of the platform's log."`
	Who    string        `help:"Only changes by processes or operators whose name starts with this."`
	What   string        `help:"Only changes of this kind, such as claim or drain."`
	Since  time.Duration `help:"Only changes that are not older than this; 0 shows all that the log retains."`
	Output string        `enum:"table,json" default:"table" help:"Output format: table, or json with one line per change."`
}

// Run prints the changes in log order.
func (c *AuditCommand) Run(s *Streams) error {
	records, err := c.readRecords()
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

// readRecords reads the matching records. A record that was appended more than once
// is returned once.
func (c *AuditCommand) readRecords() ([]audit.Record, error) {
	seen := map[string]bool{}
	var records []audit.Record
	err := readStream(c.Log, audit.Stream, func(offset uint64, raw []byte) error {
		var r audit.Record
		if err := json.Unmarshal(raw, &r); err != nil {
			return errors.Wrapf(err, "audit record %d", offset)
		}
		if !seen[r.ID] && c.matches(r) {
			records = append(records, r)
		}
		seen[r.ID] = true
		return nil
	})
	return records, err
}

func (c *AuditCommand) matches(r audit.Record) bool {
	if !strings.HasPrefix(r.Who, c.Who) || c.What != "" && r.What != c.What {
		return false
	}
	return c.Since == 0 || time.Since(r.Time) <= c.Since
}
