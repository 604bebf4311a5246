// Package transfer decides at a dispatcher when a configuration that others have is
// fetched from one of them, and how it goes on after a failure. It answers a text of
// some hundred KB on links of 2 Mbit/s while the platform's store serves some VMs
// only: one copy crosses a link, from one source at a time, and what has arrived is
// kept when the source changes. It does no I/O.
package transfer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// mostMisfits is how many parts in a row may not fit: a source may change its text once
	// between two requests.
	mostMisfits = 2
	// storeFirst is how long the store may take to bring a version that another
	// dispatcher has, while it answers.
	storeFirst = 600 * time.Millisecond
	// storeSilence is the time without an answer after which the store counts as away:
	// it answers every 500 ms at least.
	storeSilence = 700 * time.Millisecond
	// delivering is how long ago bytes of a text came from the store that is being read.
	delivering = 300 * time.Millisecond
	// firstPause and lastPause bound the time between two tries, doubled with each
	// failure and spread by a quarter each way.
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
)

// StoreContact is when the store was last heard; zero times are never.
type StoreActivity struct {
	// Answered is when a call was last answered, Text when bytes of a configuration came.
	LastAnswer time.Time
	LastText   time.Time
}

// Piece is one part that a source has sent.
type Part struct {
	// Digest and Size are of the whole packed text.
	Digest  string
	Size    int
	From    int
	Content []byte
}

// Transfer is the state of one dispatcher. It is not safe for concurrent use.
type Transfer struct {
	random *rand.Rand
	// offers are the versions that others have, by address.
	offers map[string]uint64
	// since is when a version newer than the own one was first heard of.
	since  time.Time
	source string
	digest string
	size   int
	packed []byte
	// misfits counts parts in a row that did not go on with what has arrived.
	misfits int
	// pauseUntil keeps failures apart.
	pauseUntil time.Time
	pause      time.Duration
}

// New returns a state in which no other dispatcher is known to have anything.
func New(seed uint64) *Transfer {
	return &Transfer{random: rand.New(rand.NewPCG(seed, 1)), offers: map[string]uint64{}, pause: firstPause}
}

// Offered notes that a dispatcher has a version, where this one has another.
func (t *Transfer) Offered(address string, version, own uint64, now time.Time) {
	if version <= own {
		delete(t.offers, address)
		return
	}
	if len(t.offers) == 0 {
		t.since = now
	}
	t.offers[address] = version
}

// Adopted forgets what is not newer than the version now in force.
func (t *Transfer) Adopted(own uint64) {
	maps.DeleteFunc(t.offers, func(_ string, version uint64) bool { return version <= own })
	t.restart()
	t.pause, t.pauseUntil = firstPause, time.Time{}
}

func (t *Transfer) restart() { t.digest, t.size, t.packed = "", 0, nil }

// Pending reports whether another dispatcher has something newer.
func (t *Transfer) Pending() bool { return len(t.offers) > 0 }

// Due reports whether something should be fetched now.
func (t *Transfer) Due(store StoreActivity, now time.Time) bool {
	if len(t.offers) == 0 || now.Before(t.pauseUntil) {
		return false
	}
	if now.Sub(store.LastAnswer) > storeSilence && now.Sub(store.LastText) > storeSilence {
		return true
	}
	return now.Sub(t.since) >= storeFirst && now.Sub(store.LastText) > delivering
}

// Source returns whom to ask: the one that is being read from, else any that has the
// newest version. Digest and from say with which text and where to go on.
func (t *Transfer) Source() (address, digest string, from int) {
	newest := uint64(0)
	for _, version := range t.offers {
		newest = max(newest, version)
	}
	if t.offers[t.source] < newest || newest == 0 {
		var sources []string
		for _, a := range slices.Sorted(maps.Keys(t.offers)) {
			if t.offers[a] == newest {
				sources = append(sources, a)
			}
		}
		if len(sources) == 0 {
			return "", "", 0
		}
		t.source = sources[t.random.IntN(len(sources))]
	}
	return t.source, t.digest, len(t.packed)
}

// Received takes a part and returns the packed text where it is whole. An error means that
// the source makes no progress.
func (t *Transfer) Received(p Part) (packed []byte, whole bool, err error) {
	if p.Digest != t.digest {
		t.restart()
		t.digest, t.size = p.Digest, p.Size
	}
	if p.From != len(t.packed) || len(p.Content) == 0 || len(t.packed)+len(p.Content) > t.size {
		// The next request asks for what is missing: the source may have a newer text now.
		t.misfits++
		if t.misfits > mostMisfits {
			return nil, false, fmt.Errorf("%d parts in a row do not fit: from %d with %d bytes of %d, have %d", t.misfits, p.From, len(p.Content), p.Size, len(t.packed))
		}
		return nil, false, nil
	}
	t.packed = append(t.packed, p.Content...)
	t.pause = firstPause
	t.misfits = 0
	return t.packed, len(t.packed) == t.size, nil
}

// Failed leaves a source and pauses before the next try. What has arrived is kept.
func (t *Transfer) Failed(now time.Time) {
	t.misfits = 0
	delete(t.offers, t.source)
	t.source = ""
	spread := 0.75 + 0.5*t.random.Float64()
	t.pauseUntil = now.Add(time.Duration(spread * float64(t.pause)))
	t.pause = min(2*t.pause, lastPause)
}

// Broken drops a text that cannot be read, and its source.
func (t *Transfer) Corrupt(now time.Time) {
	t.restart()
	t.Failed(now)
}
