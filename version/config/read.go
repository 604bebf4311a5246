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

// File is the name and content of an INI file.
type File struct {
	Name string
	Text string
}

// ValidationError describes an invalid section, key or value.
type ValidationError struct {
	File    string
	Section string
	Key     string
	Value   string
	Reason  string
}

// Error returns the reason with file, section, key and value.
func (e ValidationError) Error() string {
	where := e.File + ": [" + e.Section + "]"
	if e.Key != "" {
		where += fmt.Sprintf(" %s = %q", e.Key, e.Value)
	}
	return where + ": " + e.Reason
}

// ValidationErrors holds all errors found in a set of files.
type ValidationErrors []ValidationError

// Error returns one line per error.
func (errs ValidationErrors) Error() string {
	lines := make([]string, 0, len(errs))
	for _, e := range errs {
		lines = append(lines, e.Error())
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
	errs     ValidationErrors
	sections map[string]Section
}

// Merge merges files in the order of their names and validates the result. It
// returns all errors at once.
func Merge(files []File) (*Config, error) {
	b := &builder{
		c:        &Config{kinds: map[string]Kind{}, teams: map[string]Team{}, operators: map[string]Operator{}, ejected: map[string]string{}, evacuations: map[string]Evacuation{}},
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
	b.buildAccess()
	if len(b.errs) > 0 {
		return nil, b.errs
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
		b.errs = append(b.errs, ValidationError{File: f.Name, Reason: err.Error()})
		return
	}
	for _, section := range parsed.Sections() {
		if section.Name() == ini.DefaultSection {
			b.rejectKeysOutsideSections(f.Name, section)
			continue
		}
		b.readSection(f.Name, section)
	}
}

func (b *builder) rejectKeysOutsideSections(file string, section *ini.Section) {
	for _, key := range section.Keys() {
		b.errs = append(b.errs, ValidationError{File: file, Key: key.Name(), Value: key.Value(), Reason: "the key stands outside of a section"})
	}
}

func (b *builder) readSection(file string, section *ini.Section) {
	spec, known := b.spec(section.Name())
	if !known {
		b.errs = append(b.errs, ValidationError{File: file, Section: section.Name(), Reason: "the section does not exist"})
		return
	}
	values := b.merged[section.Name()]
	if values == nil {
		values = map[string]Value{}
		b.merged[section.Name()] = values
	}
	for _, key := range section.Keys() {
		v := Value{Section: section.Name(), Key: key.Name(), Value: key.Value(), File: file}
		if !spec.hasKey(key.Name()) {
			b.errs = append(b.errs, ValidationError{File: file, Section: v.Section, Key: v.Key, Value: v.Value, Reason: "the key does not exist"})
			continue
		}
		values[key.Name()] = v
	}
}

// spec returns the description of a section such as "limits" or "kind seat-check".
func (b *builder) spec(section string) (Section, bool) {
	sectionType, name, named := strings.Cut(section, " ")
	spec, known := b.sections[sectionType]
	if !known || spec.Named != named || named && !validName(name) {
		return Section{}, false
	}
	return spec, true
}

func validName(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' || r == '/' || r == '#' })
}

func (s Section) hasKey(key string) bool {
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

// buildAccess builds the access control from the tokens of teams and operators.
func (b *builder) buildAccess() {
	b.c.access = access.New(b.c.requireToken)
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
		b.errs = append(b.errs, ValidationError{File: v.File, Section: section, Key: v.Key, Value: shown, Reason: err.Error()})
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

// Role is the type of process that uses a set of settings.
type Role string

const (
	// RoleEntry is an entry process.
	RoleEntry Role = "entry"
	// RoleAgent is an agent process.
	RoleAgent Role = "agent"
	// RoleDispatcher is a dispatcher process: it accepts jobs whose tasks may run
	// again.
	RoleDispatcher Role = "dispatcher"
	// RoleSidecar is a sidecar process: it runs the tasks of dispatchers.
	RoleSidecar Role = "sidecar"
)

type requiredSetting struct{ section, key, value string }

// requiredSettings returns the settings that a role requires, with their values.
func (c *Config) requiredSettings(r Role) []requiredSetting {
	settings := []requiredSetting{{"process", "name", c.process.Name}, {"process", "zone", c.process.Zone}}
	switch r {
	case RoleEntry:
		settings = append(settings, requiredSetting{"log", "address", c.process.Log}, requiredSetting{"entry", "listen", c.entry.Listen},
			requiredSetting{"entry", "callers", c.entry.Callers}, requiredSetting{"entry", "admin", c.entry.Admin})
	case RoleAgent:
		settings = append(settings, requiredSetting{"agent", "endpoint", c.agent.Endpoint},
			requiredSetting{"agent", "entries", strings.Join(c.agent.Entries, ",")}, requiredSetting{"agent", "admin", c.agent.Admin})
	case RoleDispatcher:
		settings = append(settings, requiredSetting{"store", "address", c.store}, requiredSetting{"dispatcher", "callers", c.dispatcher.Callers},
			requiredSetting{"dispatcher", "ready", c.dispatcher.Ready}, requiredSetting{"dispatcher", "listen", c.dispatcher.Listen})
	case RoleSidecar:
		settings = append(settings, requiredSetting{"store", "address", c.store}, requiredSetting{"sidecar", "endpoint", c.sidecar.Endpoint},
			requiredSetting{"sidecar", "announcements", c.sidecar.Announcements})
	}
	return settings
}

// CheckRole checks that the settings that a role requires are present and that its
// TLS and administration settings are valid.
func (c *Config) CheckRole(r Role) error {
	var errs ValidationErrors
	for _, s := range c.requiredSettings(r) {
		if s.value == "" {
			errs = append(errs, ValidationError{File: "settings", Section: s.section, Key: s.key, Reason: "the " + string(r) + " cannot do without this key"})
		}
	}
	errs = append(errs, c.checkTLS()...)
	switch r {
	case RoleEntry:
		errs = append(errs, c.checkAdmin(string(r), c.entry.Admin)...)
	case RoleAgent:
		errs = append(errs, c.checkAdmin(string(r), c.agent.Admin)...)
	case RoleDispatcher, RoleSidecar:
	}
	if len(errs) > 0 {
		return errs
	}
	return nil
}

// checkTLS requires either all three files or none.
func (c *Config) checkTLS() ValidationErrors {
	if c.tls == (TLS{}) {
		return nil
	}
	var errs ValidationErrors
	for _, s := range []struct{ key, value string }{
		{"certificate", c.tls.Certificate}, {"key", c.tls.Key}, {"authority", c.tls.Authority},
	} {
		if s.value == "" {
			errs = append(errs, ValidationError{File: "settings", Section: "tls", Key: s.key, Reason: "TLS needs certificate, key and authority"})
		}
	}
	return errs
}

// checkAdmin restricts the administration interface to a loopback address unless an
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
