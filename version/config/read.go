package config

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/corianderhook/corianderhook/common/loopback"
	"github.com/corianderhook/corianderhook/version/access"
)

// File is one INI file by name.
type File struct {
	Name string
	Text string
}

// Fault is one thing that is wrong with a setting.
type ValidationError struct {
	File    string
	Section string
	Key     string
	Value   string
	Reason  string
}

// Error names file, section, key and value.
func (f ValidationError) Error() string {
	where := f.File + ": [" + f.Section + "]"
	if f.Key != "" {
		where += fmt.Sprintf(" %s = %q", f.Key, f.Value)
	}
	return where + ": " + f.Reason
}

// Faults is everything that is wrong with a set of files.
type ValidationErrors []ValidationError

// Error gives one fault a line.
func (f ValidationErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// ReadFolder reads the files *.ini of a folder.
func ReadFolder(folder string) ([]File, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.ini"))
	if err != nil {
		return nil, errors.Wrapf(err, "settings folder %q", folder)
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("settings folder %q has no file that ends in .ini", folder)
	}
	files := make([]File, 0, len(names))
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "settings")
		}
		files = append(files, File{Name: filepath.Base(name), Text: string(text)})
	}
	return files, nil
}

type builder struct {
	c        *Config
	merged   map[string]map[string]Value
	faults   ValidationErrors
	sections map[string]Section
}

// Merge merges files in the order of their names and checks the result. All
// faults are returned at once.
func Merge(files []File) (*Config, error) {
	b := &builder{
		c:        &Config{kinds: map[string]Kind{}, teams: map[string]Team{}, operators: map[string]Operator{}, ejected: map[string]string{}},
		merged:   map[string]map[string]Value{},
		sections: map[string]Section{},
	}
	for _, s := range Sections() {
		b.sections[s.Name] = s
		if !s.Named {
			b.merged[s.Name] = map[string]Value{}
		}
	}
	sorted := append([]File(nil), files...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	for _, f := range sorted {
		b.read(f)
	}
	b.decode()
	b.compileAccess()
	if len(b.faults) > 0 {
		return nil, b.faults
	}
	return b.c, nil
}

func (b *builder) read(f File) {
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:  true,
		IgnoreInlineComment:     true,
		SkipUnrecognizableLines: false,
	}, []byte(f.Text))
	if err != nil {
		b.faults = append(b.faults, ValidationError{File: f.Name, Reason: err.Error()})
		return
	}
	for _, section := range parsed.Sections() {
		if section.Name() == ini.DefaultSection {
			b.readOutside(f.Name, section)
			continue
		}
		b.readSection(f.Name, section)
	}
}

func (b *builder) readOutside(file string, section *ini.Section) {
	for _, key := range section.Keys() {
		b.faults = append(b.faults, ValidationError{File: file, Key: key.Name(), Value: key.Value(), Reason: "the key stands outside of a section"})
	}
}

func (b *builder) readSection(file string, section *ini.Section) {
	spec, known := b.spec(section.Name())
	if !known {
		b.faults = append(b.faults, ValidationError{File: file, Section: section.Name(), Reason: "the section does not exist"})
		return
	}
	into := b.merged[section.Name()]
	if into == nil {
		into = map[string]Value{}
		b.merged[section.Name()] = into
	}
	for _, key := range section.Keys() {
		v := Value{Section: section.Name(), Key: key.Name(), Value: key.Value(), File: file}
		if !spec.has(key.Name()) {
			b.faults = append(b.faults, ValidationError{File: file, Section: v.Section, Key: v.Key, Value: v.Value, Reason: "the key does not exist"})
			continue
		}
		into[key.Name()] = v
	}
}

// spec finds the description of a section such as "limits" or "kind seat-check".
func (b *builder) spec(section string) (Section, bool) {
	word, name, named := strings.Cut(section, " ")
	spec, known := b.sections[word]
	if !known || spec.Named != named || named && !validName(name) {
		return Section{}, false
	}
	return spec, true
}

func validName(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' || r == '/' || r == '#' })
}

func (s Section) has(key string) bool {
	for _, f := range s.Fields {
		if f.Key == key {
			return true
		}
	}
	return false
}

func (b *builder) decode() {
	names := sortedKeys(b.merged)
	for _, section := range names {
		spec, known := b.spec(section)
		if !known {
			continue
		}
		_, name, _ := strings.Cut(section, " ")
		for _, field := range spec.Fields {
			b.decodeField(section, name, field)
		}
	}
}

// compileAccess makes the tokens ready for use.
func (b *builder) compileAccess() {
	b.c.access = access.New(b.c.closed)
	for name, t := range b.c.teams {
		b.c.access.AddTeam(name, t.Tokens)
	}
	for _, name := range sortedKeys(b.c.operators) {
		o := b.c.operators[name]
		b.c.access.AddOperator(name, o.Role, o.Tokens)
	}
}

func (b *builder) decodeField(section, name string, field Field) {
	v, given := b.merged[section][field.Key]
	if !given {
		v = Value{Section: section, Key: field.Key, Value: field.Default}
	}
	if err := field.set(b, name, v.Value); err != nil {
		shown := v.Value
		if field.Secret {
			shown = "(not shown)"
		}
		b.faults = append(b.faults, ValidationError{File: v.File, Section: section, Key: v.Key, Value: shown, Reason: err.Error()})
	}
	b.c.values = append(b.c.values, v)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// Role is what a set of settings is used for.
type Role string

const (
	// RoleEntry is an entry process.
	RoleEntry Role = "entry"
	// RoleAgent is an agent process.
	RoleAgent Role = "agent"
	// RoleDispatcher is an entry process for jobs that may run again.
	RoleDispatcher Role = "dispatcher"
	// RoleSidecar is an agent process for jobs that may run again.
	RoleSidecar Role = "sidecar"
)

type need struct{ section, key, value string }

// needs are the settings that a role cannot do without.
func (c *Config) needs(r Role) []need {
	needs := []need{{"process", "name", c.process.Name}, {"process", "zone", c.process.Zone}}
	switch r {
	case RoleEntry:
		needs = append(needs, need{"log", "address", c.process.Log}, need{"entry", "listen", c.entry.Listen},
			need{"entry", "callers", c.entry.Callers}, need{"entry", "admin", c.entry.Admin})
	case RoleAgent:
		needs = append(needs, need{"agent", "endpoint", c.agent.Endpoint},
			need{"agent", "entries", strings.Join(c.agent.Entries, ",")}, need{"agent", "admin", c.agent.Admin})
	case RoleDispatcher:
		needs = append(needs, need{"store", "address", c.store}, need{"dispatcher", "callers", c.dispatcher.Callers},
			need{"dispatcher", "ready", c.dispatcher.Ready}, need{"dispatcher", "listen", c.dispatcher.Listen})
	case RoleSidecar:
		needs = append(needs, need{"store", "address", c.store}, need{"sidecar", "endpoint", c.sidecar.Endpoint},
			need{"sidecar", "announcements", c.sidecar.Announcements})
	}
	return needs
}

// Require checks that the settings that a role cannot do without are there.
func (c *Config) CheckRole(r Role) error {
	var faults ValidationErrors
	for _, n := range c.needs(r) {
		if n.value == "" {
			faults = append(faults, ValidationError{File: "settings", Section: n.section, Key: n.key, Reason: "the " + string(r) + " cannot do without this key"})
		}
	}
	faults = append(faults, c.checkTLS()...)
	switch r {
	case RoleEntry:
		faults = append(faults, c.checkAdmin(string(r), c.entry.Admin)...)
	case RoleAgent:
		faults = append(faults, c.checkAdmin(string(r), c.agent.Admin)...)
	case RoleDispatcher, RoleSidecar:
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// checkTLS takes all three files or none.
func (c *Config) checkTLS() ValidationErrors {
	if c.tls == (TLS{}) {
		return nil
	}
	var faults ValidationErrors
	for _, n := range []struct{ key, value string }{
		{"certificate", c.tls.Certificate}, {"key", c.tls.Key}, {"authority", c.tls.Authority},
	} {
		if n.value == "" {
			faults = append(faults, ValidationError{File: "settings", Section: "tls", Key: n.key, Reason: "TLS needs certificate, key and authority"})
		}
	}
	return faults
}

// checkAdmin keeps the administration interface on the machine itself until an
// operator has a token.
func (c *Config) checkAdmin(section, address string) ValidationErrors {
	if address == "" || loopback.Is(address) || c.access.HasOperatorTokens() {
		return nil
	}
	return ValidationErrors{{
		File: "settings", Section: section, Key: "admin", Value: address,
		Reason: "must be a loopback address as long as no [operator NAME] has a token_sha256",
	}}
}
