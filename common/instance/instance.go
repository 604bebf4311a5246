// Package instance identifies one run of a process by the name from its settings and an
// incarnation number that is new at each start.
package instance

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"
)

const separator = "#"

// ID identifies one run of a named process. Runs with the same name differ in their
// incarnation. A later run proves that the earlier ones have ended.
type ID struct {
	name        string
	incarnation uint64
}

// New returns the ID of a process that starts now. The incarnation is the wall
// time in nanoseconds, so a later run has a higher one.
func New(name string, now time.Time) ID {
	return ID{name: name, incarnation: uint64(now.UnixNano())}
}

// Hash returns a hash of the ID of a process that starts now. It includes the name because
// many processes may start in the same nanosecond after a power loss.
func Hash(name string, now time.Time) uint64 {
	h := fnv.New64a()
	// Write on a hash never returns an error.
	_, _ = h.Write([]byte(New(name, now).String()))
	return h.Sum64()
}

// FromParts returns the ID with the given name and incarnation.
func FromParts(name string, incarnation uint64) ID {
	return ID{name: name, incarnation: incarnation}
}

// Parse parses an ID in the format of String.
func Parse(text string) (ID, error) {
	name, hex, found := strings.Cut(text, separator)
	if !found || name == "" {
		return ID{}, fmt.Errorf("instance %q does not have the form name%sincarnation", text, separator)
	}
	incarnation, err := strconv.ParseUint(hex, 16, 64)
	if err != nil {
		return ID{}, fmt.Errorf("instance %q: the incarnation is not a hexadecimal number", text)
	}
	return ID{name: name, incarnation: incarnation}, nil
}

// Name returns the name from the settings.
func (id ID) Name() string { return id.name }

// String returns name#incarnation, with the incarnation in hexadecimal.
func (id ID) String() string {
	return id.name + separator + strconv.FormatUint(id.incarnation, 16)
}

// Replaces reports whether two IDs in the format of String have the same name and the first
// is the later run.
func Replaces(later, earlier string) bool {
	a, errA := Parse(later)
	b, errB := Parse(earlier)
	return errA == nil && errB == nil && a.name == b.name && a.incarnation > b.incarnation
}

// Name returns the name in an ID in the format of String, or the whole text if it has no
// separator.
func Name(text string) string {
	name, _, _ := strings.Cut(text, separator)
	return name
}
