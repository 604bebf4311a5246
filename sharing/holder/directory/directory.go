// Package directory chooses the registrars of a job: the dispatchers that remember who has it. All
// dispatchers choose the same ones, as far as they know the same others, and their number does not
// grow with that of the dispatchers. The package does no I/O.
package directory

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

const (
	// Copies is the number of registrars that remember a job.
	Copies = 2
	// maxChosen is the number of registrars that are asked at most, one after the other.
	maxChosen = Copies + 1
	// SilenceTTL is how long a dispatcher that has not answered is passed over.
	SilenceTTL = time.Second
	// lackTTL is how long a dispatcher that takes no part is passed over: until it may have been upgraded.
	lackTTL = 30 * time.Second
)

// Directory knows which dispatchers answer as registrars. It is safe for concurrent use.
type Directory struct {
	mu sync.Mutex
	// hashes holds the hashes of addresses.
	hashes map[string]uint64
	// passedOver holds until when an address is not asked.
	passedOver map[string]time.Time
}

// New returns a directory in which all dispatchers answer.
func New() *Directory {
	return &Directory{hashes: map[string]uint64{}, passedOver: map[string]time.Time{}}
}

// Choice holds the registrars of a job.
type Choice struct {
	// Asked holds those to ask, in order.
	Asked []string
	// Missed holds those that others may ask for the job, but that do not answer here.
	Missed []string
}

// Registrars returns those that are to remember the job.
func (c Choice) Registrars() []string { return c.Asked[:min(Copies, len(c.Asked))] }

// Choose returns the registrars of a job among the known addresses.
func (d *Directory) Choose(job string, addresses []string, now time.Time) Choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.hashes) > 2*len(addresses)+maxChosen {
		clear(d.hashes)
	}
	key := hash(job)
	weight := func(a string) uint64 { return d.weight(key, a) }
	var c Choice
	if len(d.passedOver) == 0 {
		c.Asked = highest(addresses, weight)
		return c
	}
	passed := func(a string) bool { return now.Before(d.passedOver[a]) }
	all := highest(addresses, weight)
	c.Asked = highest(slices.DeleteFunc(slices.Clone(addresses), passed), weight)
	for _, a := range all[:min(Copies, len(all))] {
		if passed(a) {
			c.Missed = append(c.Missed, a)
		}
	}
	return c
}

// highest returns up to maxChosen addresses of highest weight, in order.
func highest(addresses []string, weight func(address string) uint64) []string {
	var weights [maxChosen]uint64
	list := make([]string, 0, maxChosen)
	for _, a := range addresses {
		w := weight(a)
		at := len(list)
		for at > 0 && w > weights[at-1] {
			at--
		}
		if at == maxChosen {
			continue
		}
		list = slices.Insert(list[:min(len(list), maxChosen-1)], at, a)
		copy(weights[at+1:], weights[at:])
		weights[at] = w
	}
	return list
}

// weight returns the weight of an address for a job.
func (d *Directory) weight(key uint64, address string) uint64 {
	h, known := d.hashes[address]
	if !known {
		h = hash(address)
		d.hashes[address] = h
	}
	return mix(key ^ h)
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
func (d *Directory) Lacking(address string, now time.Time) { d.passOver(address, now.Add(lackTTL)) }

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

// Known drops what is known of addresses other than these.
func (d *Directory) Known(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for a := range d.passedOver {
		if !slices.Contains(addresses, a) {
			delete(d.passedOver, a)
		}
	}
}
