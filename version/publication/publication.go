// Package publication folds the configuration changes on the platform's log into
// the files in force. Every reader of the same records holds the same files, and
// no reader ever goes back to an older version of a file.
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

// recentIDs is the number of change IDs kept to void repeated appends.
const recentIDs = 1024

// Change replaces one file.
type Change struct {
	// ID makes a repeated append of the same change void.
	ID string `json:"id"`
	// File is the name of the file, Base the version that the change replaces; a
	// new file has base 0.
	File string `json:"file"`
	Base uint64 `json:"base"`
	// Author is who published it, From where.
	Author string `json:"author"`
	From   string `json:"from"`
	Text   string `json:"text"`
}

// Record is one record of the stream: a change, or a snapshot.
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

// State is what is in force after all records below Next.
type State struct {
	Next uint64 `json:"next"`
	// Version counts the accepted changes.
	Version uint64          `json:"version"`
	Files   map[string]File `json:"files"`
	Recent  []string        `json:"recent"`
}

// Verdict is what a record led to.
type ApplyResult struct {
	ID       string
	Accepted bool
	// Reason says why a change is void.
	Reason string
	// Version is the version of the file that is in force now.
	Version uint64
}

// Publication is the fold of the stream. It is not safe for concurrent use.
type Publication struct {
	state   State
	pending []held
}

type held struct {
	offset uint64
	raw    []byte
}

// New returns the state before the first record.
func New() *Publication {
	return &Publication{state: State{Files: map[string]File{}}}
}

// Next returns the offset of the next record to apply.
func (p *Publication) Next() uint64 { return p.state.Next }

// State returns a copy of what is in force.
func (p *Publication) State() State {
	c := State{Next: p.state.Next, Version: p.state.Version, Files: map[string]File{}}
	for name, f := range p.state.Files {
		c.Files[name] = f
	}
	c.Recent = slices.Clone(p.state.Recent)
	return c
}

// Restore takes a snapshot or what a peer holds, file by file where it is newer.
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
	p.catchUp()
}

// catchUp folds the records behind a gap once the gap is closed.
func (p *Publication) catchUp() {
	for len(p.pending) > 0 && p.pending[0].offset <= p.state.Next {
		next := p.pending[0]
		p.pending = p.pending[1:]
		p.Apply(next.offset, next.raw)
	}
}

// Apply folds the record at the offset. A record that was read before changes
// nothing.
func (p *Publication) Apply(offset uint64, raw []byte) ApplyResult {
	if offset < p.state.Next {
		return ApplyResult{Reason: "the record was read before"}
	}
	var r Record
	err := json.Unmarshal(raw, &r)
	if offset > p.state.Next {
		return p.hold(offset, raw, r)
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
	return p.change(*r.Change)
}

// hold keeps a record behind a gap: the log no longer has the records before it,
// which decide whether it is accepted. A snapshot that covers the gap closes it.
func (p *Publication) hold(offset uint64, raw []byte, r Record) ApplyResult {
	p.pending = append(p.pending, held{offset: offset, raw: raw})
	if r.Snapshot != nil && r.Snapshot.Next >= p.pending[0].offset {
		p.Restore(*r.Snapshot)
	}
	return ApplyResult{Reason: "the log no longer has the records before this one"}
}

func (p *Publication) change(c Change) ApplyResult {
	current := p.state.Files[c.File]
	v := ApplyResult{ID: c.ID, Version: current.Version}
	switch {
	case c.ID == "" || c.Author == "":
		v.Reason = "the change has no id or no author"
	case slices.Contains(p.state.Recent, c.ID):
		v.Reason = "the change was applied before"
	case c.Base != current.Version:
		v.Reason = fmt.Sprintf("conflict: the change replaces version %d of file %q, and version %d by %s is in force",
			c.Base, c.File, current.Version, current.Author)
	default:
		p.accept(c, &v)
	}
	return v
}

func (p *Publication) accept(c Change, v *ApplyResult) {
	files := p.with(c)
	if err := Validate(files); err != nil {
		v.Reason = "the merged configuration is not valid: " + err.Error()
		return
	}
	v.Version++
	v.Accepted = true
	p.state.Version++
	p.state.Files[c.File] = File{Version: v.Version, Text: c.Text, Author: c.Author}
	p.state.Recent = append(p.state.Recent, c.ID)
	if len(p.state.Recent) > recentIDs {
		p.state.Recent = p.state.Recent[1:]
	}
}

func (p *Publication) with(c Change) []config.File {
	files := []config.File{{Name: c.File, Text: c.Text}}
	for name, f := range p.state.Files {
		if name != c.File {
			files = append(files, config.File{Name: name, Text: f.Text})
		}
	}
	return files
}

// Merge merges the published files with a process's own, in the order of their names.
func (s State) Merge(own []config.File) (*config.Config, error) {
	files := slices.Clone(own)
	for name, f := range s.Files {
		files = append(files, config.File{Name: name, Text: f.Text})
	}
	return config.Merge(files)
}

// Check validates files for publication: what concerns one process alone stays
// in that process's folder.
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
		word, _, _ := strings.Cut(v.Section, " ")
		if v.File != "" && !slices.Contains([]string{"limits", "kind", "team", "operator", "access", "eject"}, word) {
			return fmt.Errorf("%s: [%s] %s concerns one process and cannot be published", v.File, v.Section, v.Key)
		}
	}
	return nil
}
