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

// Operator is how configuration commands reach the log: by its address, or
// through an entry, which then checks who it is.
type Operator struct {
	Credentials
	Log   string `xor:"way" required:"" placeholder:"IP:PORT" help:"Address of the platform's log."`
	Admin string `xor:"way" required:"" placeholder:"IP:PORT" help:"Admin address of an entry that does it for an operator with the role configure."`
}

// change is one change of the stream with what it led to.
type changeRecord struct {
	publication.Change
	result publication.ApplyResult
	offset  uint64
}

// read folds the whole stream.
func (o *Operator) readChanges() (*publication.Publication, []changeRecord, error) {
	if o.Log == "" {
		return nil, nil, usageError{errors.New("the command reads all changes from the log and needs --log")}
	}
	folded := publication.New()
	var changes []changeRecord
	err := readStream(o.Log, publication.Stream, func(offset uint64, raw []byte) error {
		verdict := folded.Apply(offset, raw)
		var r publication.Record
		if json.Unmarshal(raw, &r) == nil && r.Change != nil {
			changes = append(changes, changeRecord{Change: *r.Change, result: verdict, offset: offset})
		}
		return nil
	})
	return folded, changes, err
}

// compare reads a local file and the published one of the same name.
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

// inForce returns the published files.
func (o *Operator) publishedState() (publication.State, error) {
	if o.Admin != "" {
		var state publication.State
		err := o.callAdmin(http.MethodGet, o.Admin, "/v1/config", nil, &state)
		return state, err
	}
	folded, _, err := o.readChanges()
	if err != nil {
		return publication.State{}, err
	}
	return folded.State(), nil
}

// publishThrough lets an entry publish a change.
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
	printPublished(s, c.File, answer.Version, answer.Change)
	return nil
}

// announce tells that a change is accepted.
func printPublished(s *Streams, file string, version uint64, id string) {
	fmt.Fprintf(s.Out, "published: file=%s version=%d change=%s\n", file, version, id)
}

// conflict shows both texts.
func reportConflict(s *Streams, c publication.Change, answer entry.PublishAnswer) error {
	fmt.Fprintf(s.Err, "in force: version %d by %s\n%s\nnot published: replaces version %d\n%s\n",
		answer.InForce.Version, answer.InForce.Author, answer.InForce.Text, c.Base, c.Text)
	return errors.Errorf("file %q was not published: %s", c.File, answer.Reason)
}

// publish appends a change until the log has it, and says what it led to.
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
		return errors.Wrap(err, "whether the change was published is not known")
	}
	for _, one := range changes {
		if one.ID != c.ID {
			continue
		}
		o.appendAuditRecord(s, one)
		if !one.result.Accepted {
			return errors.Errorf("file %q was not published: %s", c.File, one.result.Reason)
		}
		printPublished(s, c.File, one.result.Version, c.ID)
		return nil
	}
	return errors.Wrapf(appendErr, "file %q was not published", c.File)
}

// trace puts a change on the audit trail. The change itself is on the log with
// its author, so that a failure here loses nothing and is only shown.
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
		fmt.Fprintln(s.Err, "the audit trail has no record of this change:", err)
	}
}

// ConfigPublishCommand publishes a file.
type ConfigPublishCommand struct {
	Operator
	Author string `help:"Who publishes it; with --admin it is the operator of the token."`
	Base   int64  `default:"-1" help:"Version of the file that it replaces; -1 takes the one in force now."`
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

// ConfigHistoryCommand lists the changes.
type ConfigHistoryCommand struct {
	Operator
}

// Run prints every change that the log still has, and what it led to.
func (c *ConfigHistoryCommand) Run(s *Streams) error {
	_, changes, err := c.readChanges()
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "OFFSET\tFILE\tREPLACES\tAUTHOR\tFROM\tRESULT")
	for _, one := range changes {
		result := fmt.Sprintf("version %d", one.result.Version)
		if !one.result.Accepted {
			result = "void: " + one.result.Reason
		}
		fmt.Fprintf(table, "%d\t%s\t%d\t%s\t%s\t%s\n", one.offset, one.File, one.Base, one.Author, one.From, result)
	}
	return table.Flush()
}

// ConfigRollbackCommand restores an old text of a file by a new change.
type ConfigRollbackCommand struct {
	Operator
	Author string `help:"Who publishes it; with --admin it is the operator of the token."`
	To     uint64 `required:"" help:"Version of the file whose text is to be in force again."`
	File   string `arg:"" help:"Name of the published file."`
}

// Run publishes the old text as a new version.
func (c *ConfigRollbackCommand) Run(s *Streams) error {
	folded, changes, err := c.readChanges()
	if err != nil {
		return err
	}
	for _, one := range changes {
		if one.File != c.File || !one.result.Accepted || one.result.Version != c.To {
			continue
		}
		base := folded.State().Files[c.File].Version
		return c.publish(s, publication.Change{File: c.File, Base: base, Author: c.Author, Text: one.Text})
	}
	return errors.Errorf("version %d of file %q is not on the log", c.To, c.File)
}

// ConfigDiffCommand compares a file with the published one.
type ConfigDiffCommand struct {
	Operator
	File string `arg:"" help:"INI file."`
}

// Run prints the lines that differ; it fails where there are any.
func (c *ConfigDiffCommand) Run(s *Streams) error {
	name, text, published, err := c.readLocalAndPublished(c.File)
	if err != nil {
		return err
	}
	old, mine := strings.Split(published.Text, "\n"), strings.Split(text, "\n")
	differs := printMissing(s, "-", old, mine)
	differs = printMissing(s, "+", mine, old) || differs
	if differs {
		return errors.Errorf("file %q differs from version %d in force", name, published.Version)
	}
	fmt.Fprintf(s.Out, "file %q is as version %d in force\n", name, published.Version)
	return nil
}

// printMissing prints the lines of one text that the other lacks.
func printMissing(s *Streams, mark string, lines, other []string) bool {
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
			fmt.Fprintln(s.Out, mark, l)
			found = true
		}
	}
	return found
}
