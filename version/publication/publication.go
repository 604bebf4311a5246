// Package publication applies the configuration changes on the platform's log to the
// files in force. Readers of the same records have the same files, and no reader ever
// returns to an older version of a file.
package publication

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/version/config"
)

// Stream is the name of the configuration stream on the platform's log.
const Stream = "configuration"

// maxRecentIDs is the number of change IDs kept to detect repeated appends.
const maxRecentIDs = 1024

// Change replaces one file.
type Change struct {
	// ID identifies the change, so that a repeated append has no effect.
	ID string `json:"id"`
	// File is the name of the file and Base the version that the change replaces, 0 for
	// a new file.
	File string `json:"file"`
	Base uint64 `json:"base"`
	// Author is the publisher and From the publisher's address.
	Author string `json:"author"`
	From   string `json:"from"`
	Text   string `json:"text"`
}

// Record is a record of the configuration stream: a change or a snapshot.
type Record struct {
	Change   *Change `json:"change,omitempty"`
	Snapshot *State  `json:"snapshot,omitempty"`
}

// File is a published file in force.
type File struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
	Author  string `json:"author"`
}

// State is the configuration in force after all records below the offset Next.
type State struct {
	Next uint64 `json:"next"`
	// Version counts the accepted changes.
	Version uint64          `json:"version"`
	Files   map[string]File `json:"files"`
	// Recent holds the IDs of the latest accepted changes, to detect repeated appends.
	Recent []string `json:"recent"`
}

// ApplyResult is the result of applying a record.
type ApplyResult struct {
	ID       string
	Accepted bool
	// Reason says why the record was not accepted as a change.
	Reason string
	// Version is the version of the file now in force.
	Version uint64
}

// Publication holds the files in force after the records applied so far. It is not safe
// for concurrent use.
type Publication struct {
	state State
	// pending holds the records after a gap in the stream.
	pending []pendingRecord
}

// pendingRecord is a record that follows a gap in the stream.
type pendingRecord struct {
	offset uint64
	raw    []byte
}

// New returns an empty publication: the state before the first record.
func New() *Publication {
	return &Publication{state: State{Files: map[string]File{}}}
}

// Next returns the offset of the next record to apply.
func (p *Publication) Next() uint64 { return p.state.Next }

// State returns a copy of the state.
func (p *Publication) State() State {
	c := State{Next: p.state.Next, Version: p.state.Version, Files: map[string]File{}}
	for name, f := range p.state.Files {
		c.Files[name] = f
	}
	c.Recent = slices.Clone(p.state.Recent)
	return c
}

// Restore merges the state of a snapshot or a peer if it covers more records. Each file is
// replaced only by a newer version.
func (p *Publication) Restore(s State) {
	if s.Next <= p.state.Next {
		return
	}
	for name, f := range s.Files {
		if f.Version > p.state.Files[name].Version {
			p.state.Files[name] = f
		}
	}
	p.state.Version = s.Version
	p.state.Next = s.Next
	p.state.Recent = slices.Clone(s.Recent)
	p.applyPending()
}

// applyPending applies the buffered records once the gap before them is closed.
func (p *Publication) applyPending() {
	for len(p.pending) > 0 && p.pending[0].offset <= p.state.Next {
		next := p.pending[0]
		p.pending = p.pending[1:]
		p.Apply(next.offset, next.raw)
	}
}

// Apply applies the record at the offset. A record that was read before has no effect.
func (p *Publication) Apply(offset uint64, raw []byte) ApplyResult {
	if offset < p.state.Next {
		return ApplyResult{Reason: "the record was read before"}
	}
	var r Record
	err := json.Unmarshal(raw, &r)
	if offset > p.state.Next {
		return p.buffer(offset, raw, r)
	}
	p.state.Next = offset + 1
	if err != nil {
		return ApplyResult{Reason: errors.Wrapf(err, "configuration record %d", offset).Error()}
	}
	if r.Snapshot != nil {
		p.Restore(*r.Snapshot)
		return ApplyResult{Reason: "a snapshot"}
	}
	if r.Change == nil {
		return ApplyResult{Reason: "the record holds no change"}
	}
	return p.applyChange(*r.Change)
}

// buffer keeps a record that follows a gap: the log no longer has the records before it,
// which determine whether it is accepted. A snapshot that covers the gap closes it.
func (p *Publication) buffer(offset uint64, raw []byte, r Record) ApplyResult {
	p.pending = append(p.pending, pendingRecord{offset: offset, raw: raw})
	if r.Snapshot != nil && r.Snapshot.Next >= p.pending[0].offset {
		p.Restore(*r.Snapshot)
	}
	return ApplyResult{Reason: "the log no longer has the records before this one"}
}

func (p *Publication) applyChange(c Change) ApplyResult {
	current := p.state.Files[c.File]
	result := ApplyResult{ID: c.ID, Version: current.Version}
	switch {
	case c.ID == "" || c.Author == "":
		result.Reason = "the change has no id or no author"
	case slices.Contains(p.state.Recent, c.ID):
		result.Reason = "the change was applied before"
	case c.Base != current.Version:
		result.Reason = fmt.Sprintf("conflict: the change replaces version %d of file %q, and version %d by %s is in force",
			c.Base, c.File, current.Version, current.Author)
	default:
		p.accept(c, &result)
	}
	return result
}

func (p *Publication) accept(c Change, result *ApplyResult) {
	files := p.filesWith(c)
	if err := Validate(files); err != nil {
		result.Reason = "the merged configuration is not valid: " + err.Error()
		return
	}
	result.Version++
	result.Accepted = true
	p.state.Version++
	p.state.Files[c.File] = File{Version: result.Version, Text: c.Text, Author: c.Author}
	p.state.Recent = append(p.state.Recent, c.ID)
	if len(p.state.Recent) > maxRecentIDs {
		p.state.Recent = p.state.Recent[1:]
	}
}

// filesWith returns the files in force with the change applied.
func (p *Publication) filesWith(c Change) []config.File {
	files := []config.File{{Name: c.File, Text: c.Text}}
	for name, f := range p.state.Files {
		if name != c.File {
			files = append(files, config.File{Name: name, Text: f.Text})
		}
	}
	return files
}

// Merge merges the published files with a process's own files, in the order of their names.
func (s State) Merge(own []config.File) (*config.Config, error) {
	files := slices.Clone(own)
	for name, f := range s.Files {
		files = append(files, config.File{Name: name, Text: f.Text})
	}
	return config.Merge(files)
}

// Validate checks files for publication. Settings of a single process cannot be published;
// they belong in the configuration folder of that process.
func Validate(files []config.File) error {
	for _, f := range files {
		if !strings.HasSuffix(f.Name, ".ini") || strings.ContainsAny(f.Name, "/\\ ") {
			return fmt.Errorf("file name %q must end in .ini and have no path", f.Name)
		}
	}
	merged, err := config.Merge(files)
	if err != nil {
		return err
	}
	for _, v := range merged.Values() {
		sectionType, _, _ := strings.Cut(v.Section, " ")
		if v.File != "" && !slices.Contains([]string{"limits", "kind", "team", "operator", "access", "eject", "evacuate"}, sectionType) {
			return fmt.Errorf("%s: [%s] %s concerns one process and cannot be published", v.File, v.Section, v.Key)
		}
	}
	return nil
}
