// Package directory chooses the registrars of a job: the dispatchers that remember who has it. Each
// availability zone has one, so that a dispatcher asks within its own zone, or itself. All dispatchers
// choose the same ones, as far as they know the same others, and their number does not grow with that
// of the dispatchers. The package does no I/O.
package directory

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

const (
	// minRegistrars is the number of registrars that remember a job, also within a single zone.
	minRegistrars = 2
	// maxRegistrars limits them on sites of many zones.
	maxRegistrars = 8
	// maxAsked is the number of registrars that are asked at most, one after the other.
	maxAsked = 3
	// SilenceTTL is how long a dispatcher that has not answered is passed over.
	SilenceTTL = time.Second
	// lackTTL is how long a dispatcher that takes no part is passed over: until it may have been upgraded.
	lackTTL = 30 * time.Second
)

// Directory knows the zones of the dispatchers, and which of them answer as registrars. It is safe for
// concurrent use.
type Directory struct {
	zone    string
	mu      sync.Mutex
	members map[string]member
	// passedOver holds until when an address is not asked.
	passedOver map[string]time.Time
}

// member is a dispatcher that takes part.
type member struct {
	zone string
	hash uint64
}

// New returns the directory of a dispatcher that knows no other one.
func New(address, zone string) *Directory {
	d := &Directory{zone: zone, members: map[string]member{}, passedOver: map[string]time.Time{}}
	d.Join(address, zone)
	return d
}

// Join adds a dispatcher that takes part.
func (d *Directory) Join(address, zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members[address] = member{zone: zone, hash: hash(address)}
}

// Choice holds the registrars of a job.
type Choice struct {
	// Asked holds those to ask, in order.
	Asked []string
	// Common is how many of them have to be asked for one among them that all dispatchers ask then.
	Common int
	// Registrars holds those that are to remember the job.
	Registrars []string
	// Missed holds those that others may ask for the job, but that do not answer here.
	Missed []string
}

// candidate is a dispatcher that may be a registrar of a job.
type candidate struct {
	address string
	weight  uint64
}

// zoneChoice holds the candidates of one zone: the best ones, and the best ones that are passed over.
type zoneChoice struct {
	zone                        string
	first, other                candidate
	passedOver, otherPassedOver candidate
}

// Choose returns the registrars of a job.
func (d *Directory) Choose(job string, now time.Time) Choice { return d.choose(job, now, "") }

// IsRegistrar reports whether an address is a registrar of a job for those whom it answers.
func (d *Directory) IsRegistrar(job, address string, now time.Time) bool {
	return slices.Contains(d.choose(job, now, address).Registrars, address)
}

// choose returns the registrars of a job, as if the answering one were not passed over.
func (d *Directory) choose(job string, now time.Time, answering string) Choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	zones := d.choices(hash(job), now, answering)
	slices.SortFunc(zones, d.compare)
	var c Choice
	for _, z := range zones {
		if z.first.address != "" && len(c.Registrars) < maxRegistrars {
			c.Registrars = append(c.Registrars, z.first.address)
		}
		if z.passedOver.address != "" && z.passedOver.weight > z.first.weight {
			c.Missed = append(c.Missed, z.passedOver.address)
		}
		if len(zones) > 1 {
			continue
		}
		// The only zone has two registrars.
		switch {
		case z.passedOver.weight > z.first.weight && z.otherPassedOver.weight > z.first.weight:
			c.Missed = append(c.Missed, z.otherPassedOver.address)
		case z.passedOver.weight < z.first.weight && z.passedOver.weight > z.other.weight:
			c.Missed = append(c.Missed, z.passedOver.address)
		}
	}
	for _, z := range zones {
		if z.other.address != "" && len(c.Registrars) < minRegistrars {
			c.Registrars = append(c.Registrars, z.other.address)
		}
	}
	c.Asked = c.Registrars[:min(maxAsked, len(c.Registrars))]
	c.Common = 1
	if len(zones) > 1 && zones[1].first.weight > zones[0].first.weight {
		c.Common = 2
	}
	return c
}

// choices returns the candidates of each zone.
func (d *Directory) choices(key uint64, now time.Time, answering string) []zoneChoice {
	zones := make([]zoneChoice, 0, maxRegistrars)
	for a, m := range d.members {
		at := slices.IndexFunc(zones, func(z zoneChoice) bool { return z.zone == m.zone })
		if at < 0 {
			at = len(zones)
			zones = append(zones, zoneChoice{zone: m.zone})
		}
		z, c := &zones[at], candidate{address: a, weight: mix(key ^ m.hash)}
		until, passed := d.passedOver[a]
		passed = passed && a != answering
		switch {
		case passed && now.Before(until):
			if c.weight > z.passedOver.weight {
				z.passedOver, z.otherPassedOver = c, z.passedOver
			} else {
				z.otherPassedOver = heavier(z.otherPassedOver, c)
			}
		case c.weight > z.first.weight:
			z.first, z.other = c, z.first
		default:
			z.other = heavier(z.other, c)
		}
	}
	return zones
}

func heavier(a, b candidate) candidate {
	if b.weight > a.weight {
		return b
	}
	return a
}

// compare puts the dispatcher's own zone first, and the others in the order of their registrars' weight.
func (d *Directory) compare(a, b zoneChoice) int {
	switch {
	case a.zone == d.zone:
		return -1
	case b.zone == d.zone:
		return 1
	default:
		return cmp.Compare(b.first.weight, a.first.weight)
	}
}

func hash(text string) uint64 {
	h := fnv.New64a()
	// Write on a hash never returns an error.
	_, _ = h.Write([]byte(text))
	return mix(h.Sum64())
}

// mix spreads all bits of a number over all of its bits (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Silent notes that a dispatcher has not answered.
func (d *Directory) Silent(address string, now time.Time) { d.passOver(address, now.Add(SilenceTTL)) }

// Lacking notes that a dispatcher takes no part: its build is older, or its settings say so.
func (d *Directory) Lacking(address string, now time.Time) {
	d.passOver(address, now.Add(lackTTL))
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.members, address)
}

// IsComplete reports whether all of the known addresses take part.
func (d *Directory) IsComplete(addresses []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !slices.ContainsFunc(addresses, func(a string) bool {
		_, known := d.members[a]
		return !known
	})
}

func (d *Directory) passOver(address string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.passedOver[address] = until
}

// Answered notes that a dispatcher has answered.
func (d *Directory) Answered(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.passedOver, address)
}

// Unknown returns those of the known addresses whose zone is not known, and forgets all others. Those
// that are passed over are left out.
func (d *Directory) Unknown(addresses []string, now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for a := range d.members {
		if !slices.Contains(addresses, a) {
			delete(d.members, a)
		}
	}
	for a := range d.passedOver {
		if !slices.Contains(addresses, a) {
			delete(d.passedOver, a)
		}
	}
	var unknown []string
	for _, a := range addresses {
		if _, known := d.members[a]; !known && !now.Before(d.passedOver[a]) {
			unknown = append(unknown, a)
		}
	}
	return unknown
}
