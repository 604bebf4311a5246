// Package instance names one run of a process: a name from the settings and an
// incarnation that is new at each start.
package instance

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"
)

const separator = "#"

// ID is one run of a named process. Two runs of the same name differ in their
// incarnation; the later start proves that the earlier one has ended.
type ID struct {
	name        string
	incarnation uint64
}

// New returns the ID of a process that starts now. The incarnation is the wall
// time in nanoseconds, so that a later run of a name has the higher one.
func New(name string, now time.Time) ID {
	return ID{name: name, incarnation: uint64(now.UnixNano())}
}

// Number returns a number for the run of a process that starts now, which runs of other
// names do not share: many processes start in the same nanosecond after a power loss.
func Hash(name string, now time.Time) uint64 {
	h := fnv.New64a()
	// A hash takes everything.
	_, _ = h.Write([]byte(New(name, now).String()))
	return h.Sum64()
}

// Of returns the ID with the given parts.
func FromParts(name string, incarnation uint64) ID {
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

// String returns name#incarnation, the incarnation in hexadecimal.
func (id ID) String() string {
	return id.name + separator + strconv.FormatUint(id.incarnation, 16)
}

// Replaces reports whether two texts that String wrote are runs of one name and
// the first is the later run.
func Replaces(later, earlier string) bool {
	a, errA := Parse(later)
	b, errB := Parse(earlier)
	return errA == nil && errB == nil && a.name == b.name && a.incarnation > b.incarnation
}

// Name returns the name part of a text that String wrote, or the whole text.
func Name(text string) string {
	name, _, _ := strings.Cut(text, separator)
	return name
}
