// Package evacuation holds which availability zones operators have evacuated: no task may
// start there until the evacuation is lifted. The set is a fold of the operators' log, and
// its version is an offset in that log, so that any two processes can tell which of their
// views is newer, whichever way it arrived.
package evacuation

import "slices"

const (
	// maxZones limits the set. It is several times the number of zones of the target.
	maxZones = 128
	// maxNameBytes limits the name of a zone.
	maxNameBytes = 64
)

// State is the set of evacuated zones at one version. It is immutable; the zero value is the
// empty set before the first record.
type State struct {
	version uint64
	// zones is sorted.
	zones []string
}

// New returns the set at a version. Invalid and excess names are dropped.
func New(version uint64, zones []string) State {
	s := State{version: version}
	for _, z := range zones {
		s, _ = s.With(z, true)
	}
	return s
}

// Version returns the offset of the operators' log up to which the set is a fold.
func (s State) Version() uint64 { return s.version }

// Zones returns the evacuated zones in order.
func (s State) Zones() []string { return slices.Clone(s.zones) }

// Includes reports whether a zone is evacuated.
func (s State) Includes(zone string) bool {
	_, found := slices.BinarySearch(s.zones, zone)
	return found
}

// SameZones reports whether two sets have the same zones, at whatever versions.
func (s State) SameZones(other State) bool { return slices.Equal(s.zones, other.zones) }

// At returns the same set at another version.
func (s State) At(version uint64) State {
	s.version = version
	return s
}

// With returns the set with a zone evacuated or not, at the same version. It returns false,
// and the same set, if the name is invalid or the set is full.
func (s State) With(zone string, evacuated bool) (State, bool) {
	i, found := slices.BinarySearch(s.zones, zone)
	switch {
	case !validName(zone):
		return s, false
	case found == evacuated:
		return s, true
	case !evacuated:
		s.zones = slices.Delete(slices.Clone(s.zones), i, i+1)
		return s, true
	case len(s.zones) >= maxZones:
		return s, false
	}
	s.zones = slices.Insert(slices.Clone(s.zones), i, zone)
	return s, true
}

// validName reports whether the text can be the name of a zone: printable ASCII without
// spaces and slashes.
func validName(zone string) bool {
	if zone == "" || len(zone) > maxNameBytes {
		return false
	}
	for _, b := range []byte(zone) {
		if b <= ' ' || b > '~' || b == '/' {
			return false
		}
	}
	return true
}
