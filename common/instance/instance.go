// Package instance names one run of a process: a name from the settings and an
// incarnation that is new at each start.
package instance

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

const separator = "#"

// ID is one run of a named process. Two runs of the same name differ in their
// incarnation; the later start proves that the earlier one has ended.
type ID struct {
	name        string
	incarnation uint64
}

// New returns an ID with a random incarnation for a process that starts now.
func New(name string) ID {
	return ID{name: name, incarnation: rand.Uint64()}
}

// Of returns the ID with the given parts.
func Of(name string, incarnation uint64) ID {
	return ID{name: name, incarnation: incarnation}
}

// Parse reads the form that String writes.
func Parse(text string) (ID, error) {
	name, hex, found := strings.Cut(text, separator)
	if !found || name == "" {
		return ID{}, fmt.Errorf("instance %q is not of the form name%sincarnation", text, separator)
	}
	incarnation, err := strconv.ParseUint(hex, 16, 64)
	if err != nil {
		return ID{}, fmt.Errorf("instance %q has an incarnation that is not a hexadecimal number", text)
	}
	return ID{name: name, incarnation: incarnation}, nil
}

// Name returns the name from the settings.
func (id ID) Name() string { return id.name }

// Incarnation returns the number that is new at each start.
func (id ID) Incarnation() uint64 { return id.incarnation }

// IsZero reports whether the ID names nothing.
func (id ID) IsZero() bool { return id == ID{} }

// String returns name#incarnation, the incarnation in hexadecimal.
func (id ID) String() string {
	return id.name + separator + strconv.FormatUint(id.incarnation, 16)
}

// Name returns the name part of a text that String wrote, or the whole text.
func Name(text string) string {
	name, _, _ := strings.Cut(text, separator)
	return name
}
