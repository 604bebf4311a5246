package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/connection/logclient"
	"github.com/corianderhook/corianderhook/node/entry"
	"github.com/corianderhook/corianderhook/process/audit"
	"github.com/corianderhook/corianderhook/version/publication"
)

// Operator holds the flags by which configuration commands reach the log: its address, or
// that of an entry, which authenticates and authorizes the operator.
type Operator struct {
	Credentials
	Log   string `xor:"way" required:"" placeholder:"IP:PORT" help:"Address of the platform's log."`
	Admin string `xor:"way" required:"" placeholder:"IP:PORT" help:"Admin address of an entry, which acts for operators with the role configure."`
}

// changeRecord is a change of the stream with its offset and the result of applying it.
type changeRecord struct {
	publication.Change
	result publication.ApplyResult
	offset uint64
}

// readChanges reads and applies the whole stream. It returns the published files and every
// change, rejected ones included.
func (o *Operator) readChanges() (*publication.Publication, []changeRecord, error) {
	if o.Log == "" {
		return nil, nil, usageError{errors.New("the command reads all changes from the log and needs --log")}
	}
	published := publication.New()
	var changes []changeRecord
	err := readStream(o.Log, publication.Stream, func(offset uint64, raw []byte) error {
		result := published.Apply(offset, raw)
		var r publication.Record
		if json.Unmarshal(raw, &r) == nil && r.Change != nil {
			changes = append(changes, changeRecord{Change: *r.Change, result: result, offset: offset})
		}
		return nil
	})
	return published, changes, err
}

// readLocalAndPublished reads a local file and its published version.
func (o *Operator) readLocalAndPublished(file string) (name, text string, published publication.File, err error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", "", published, usageError{err}
	}
	state, err := o.publishedState()
	if err != nil {
		return "", "", published, err
	}
	name = filepath.Base(file)
	return name, string(raw), state.Files[name], nil
}

// publishedState returns the published files in force.
func (o *Operator) publishedState() (publication.State, error) {
	if o.Admin != "" {
		var state publication.State
		err := o.callAdmin(http.MethodGet, o.Admin, "/v1/config", nil, &state)
		return state, err
	}
	published, _, err := o.readChanges()
	if err != nil {
		return publication.State{}, err
	}
	return published.State(), nil
}

// publishViaEntry sends a change to an entry, which publishes it.
func (o *Operator) publishViaEntry(s *Streams, c publication.Change) error {
	var answer entry.PublishAnswer
	err := o.callAdmin(http.MethodPost, o.Admin, "/v1/config", entry.PublishRequest{File: c.File, Base: &c.Base, Text: c.Text}, &answer)
	var refused statusError
	if errors.As(err, &refused) && json.Unmarshal(refused.body, &answer) == nil && answer.InForce != nil {
		return reportConflict(s, c, answer)
	}
	if err != nil {
		return err
	}
	printAuditError(s, answer.AuditError)
	printPublished(s, c.File, answer.Version, answer.Change)
	return nil
}

// printPublished reports an accepted change.
func printPublished(s *Streams, file string, version uint64, id string) {
	fmt.Fprintf(s.Out, "published: file=%s version=%d change=%s\n", file, version, id)
}

// reportConflict prints the text in force and the rejected one, and returns the error.
func reportConflict(s *Streams, c publication.Change, answer entry.PublishAnswer) error {
	fmt.Fprintf(s.Err, "in force: version %d by %s\n%s\nnot published: replaces version %d\n%s\n",
		answer.InForce.Version, answer.InForce.Author, answer.InForce.Text, c.Base, c.Text)
	return errors.Errorf("file %q was not published: %s", c.File, answer.Reason)
}

// publish appends a change to the log, then reads the log to learn the result. That also
// tells whether an append that failed, for example by a timeout, reached the log.
func (o *Operator) publish(s *Streams, c publication.Change) error {
	if o.Admin != "" {
		return o.publishViaEntry(s, c)
	}
	if c.Author == "" {
		return usageError{errors.New("a change needs --author")}
	}
	c.ID = uuid.NewString()
	host, err := os.Hostname()
	if err == nil {
		c.From = host
	}
	raw, err := json.Marshal(publication.Record{Change: &c})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	_, appendErr := logclient.New(o.Log).Append(ctx, publication.Stream, raw)
	_, changes, err := o.readChanges()
	if err != nil {
		return errors.Wrap(err, "it is unknown whether the change was published")
	}
	for _, change := range changes {
		if change.ID != c.ID {
			continue
		}
		o.appendAuditRecord(s, change)
		if !change.result.Accepted {
			return errors.Errorf("file %q was not published: %s", c.File, change.result.Reason)
		}
		printPublished(s, c.File, change.result.Version, c.ID)
		return nil
	}
	return errors.Wrapf(appendErr, "file %q was not published", c.File)
}

// appendAuditRecord appends a change to the audit trail. A failure is only printed, since
// the log holds the change and its author anyway.
func (o *Operator) appendAuditRecord(s *Streams, c changeRecord) {
	r := audit.ConfigChange(c.Change, c.result.Version, c.result.Accepted, c.result.Reason)
	r.ID = uuid.NewString()
	r.Time = time.Now().UTC()
	raw, err := json.Marshal(r)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		defer cancel()
		_, err = logclient.New(o.Log).Append(ctx, audit.Stream, raw)
	}
	if err != nil {
		printAuditError(s, err.Error())
	}
}

// printAuditError reports why the audit trail may lack a change, unless the text is empty.
func printAuditError(s *Streams, reason string) {
	if reason != "" {
		fmt.Fprintln(s.Err, "the audit trail has no record of this change:", reason)
	}
}

// ConfigPublishCommand publishes a file.
type ConfigPublishCommand struct {
	Operator
	Author string `help:"Who publishes it; with --admin, the operator that the token belongs to."`
	Base   int64  `default:"-1" help:"Version of the file to replace; -1 for the one in force."`
	File   string `arg:"" help:"INI file with kinds, teams or limits."`
}

// Run publishes one change of one file.
func (c *ConfigPublishCommand) Run(s *Streams) error {
	name, text, published, err := c.readLocalAndPublished(c.File)
	if err != nil {
		return err
	}
	base := published.Version
	if c.Base >= 0 {
		base = uint64(c.Base)
	}
	return c.publish(s, publication.Change{File: name, Base: base, Author: c.Author, Text: text})
}

// ConfigHistoryCommand lists the published changes.
type ConfigHistoryCommand struct {
	Operator
}

// Run prints every change that the log retains, and its result.
func (c *ConfigHistoryCommand) Run(s *Streams) error {
	_, changes, err := c.readChanges()
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "OFFSET\tFILE\tREPLACES\tAUTHOR\tFROM\tRESULT")
	for _, change := range changes {
		outcome := fmt.Sprintf("version %d", change.result.Version)
		if !change.result.Accepted {
			outcome = "void: " + change.result.Reason
		}
		fmt.Fprintf(table, "%d\t%s\t%d\t%s\t%s\t%s\n", change.offset, change.File, change.Base, change.Author, change.From, outcome)
	}
	return table.Flush()
}

// ConfigRollbackCommand restores an earlier version of a file by a new change.
type ConfigRollbackCommand struct {
	Operator
	Author string `help:"Who publishes it; with --admin, the operator that the token belongs to."`
	To     uint64 `required:"" help:"Version of the file to restore."`
	File   string `arg:"" help:"Name of the published file."`
}

// Run publishes the text of the earlier version as a new version.
func (c *ConfigRollbackCommand) Run(s *Streams) error {
	published, changes, err := c.readChanges()
	if err != nil {
		return err
	}
	for _, change := range changes {
		if change.File != c.File || !change.result.Accepted || change.result.Version != c.To {
			continue
		}
		base := published.State().Files[c.File].Version
		return c.publish(s, publication.Change{File: c.File, Base: base, Author: c.Author, Text: change.Text})
	}
	return errors.Errorf("version %d of file %q is not on the log", c.To, c.File)
}

// ConfigDiffCommand compares a file with its published version.
type ConfigDiffCommand struct {
	Operator
	File string `arg:"" help:"INI file."`
}

// Run prints the lines that differ, and fails if there are any.
func (c *ConfigDiffCommand) Run(s *Streams) error {
	name, text, published, err := c.readLocalAndPublished(c.File)
	if err != nil {
		return err
	}
	publishedLines, localLines := strings.Split(published.Text, "\n"), strings.Split(text, "\n")
	differs := printMissing(s, "-", publishedLines, localLines)
	differs = printMissing(s, "+", localLines, publishedLines) || differs
	if differs {
		return errors.Errorf("file %q differs from version %d in force", name, published.Version)
	}
	fmt.Fprintf(s.Out, "file %q is the same as version %d in force\n", name, published.Version)
	return nil
}

// printMissing prints the lines that other lacks, except blank ones, and reports whether
// there are any. The order of lines is ignored.
func printMissing(s *Streams, prefix string, lines, other []string) bool {
	counts := map[string]int{}
	for _, l := range other {
		counts[l]++
	}
	found := false
	for _, l := range lines {
		if counts[l] > 0 {
			counts[l]--
			continue
		}
		if strings.TrimSpace(l) != "" {
			fmt.Fprintln(s.Out, prefix, l)
			found = true
		}
	}
	return found
}
