// Package transfer decides when a dispatcher fetches a newer configuration from a peer,
// from which one, and how the transfer resumes after a failure. A configuration may have
// some hundred KB, links may have 2 Mbit/s, and the platform's store may be reachable from
// some VMs only. Therefore one copy crosses a link, from one source at a time, and
// received parts are kept when the source changes. It does no I/O.
package transfer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxMismatches is the number of consecutive parts that may fail to continue the
	// received text: a source may change its text once between two requests.
	maxMismatches = 2
	// storeHeadStart is how long a store that answers may take to deliver a version before
	// it is fetched from another dispatcher.
	storeHeadStart = 600 * time.Millisecond
	// storeTimeout is the time without an answer after which the store counts as
	// unreachable. A reachable store answers at least every 500 ms.
	storeTimeout = 700 * time.Millisecond
	// storeReadWindow is how long after its last bytes a text counts as still arriving
	// from the store.
	storeReadWindow = 300 * time.Millisecond
	// minBackoff and maxBackoff limit the time between two attempts. It doubles with each
	// failure and has a jitter of ±25 %.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// StoreActivity holds when the store last responded; the zero time means never.
type StoreActivity struct {
	// LastAnswer is when a call was last answered, LastText when bytes of a configuration
	// last arrived.
	LastAnswer   time.Time
	LastProgress time.Time
}

// Part is a part of a packed (compressed) text, as received from a source.
type Part struct {
	// Digest and Size are those of the complete packed text; From is the offset of Content.
	Digest  string
	Size    int
	From    int
	Content []byte
}

// Transfer is the state of one dispatcher. It is not safe for concurrent use.
type Transfer struct {
	random *rand.Rand
	// offers holds the newer versions that other dispatchers have, by address.
	offers map[string]uint64
	// pendingSince is when a version newer than the own one was first offered.
	pendingSince time.Time
	source       string
	digest       string
	size         int
	packed       []byte
	// mismatches counts consecutive parts that did not continue the received text.
	mismatches int
	// backoffUntil is when the next attempt may start.
	backoffUntil time.Time
	backoff      time.Duration
}

// New returns the state of a dispatcher without offers.
func New(seed uint64) *Transfer {
	return &Transfer{random: rand.New(rand.NewPCG(seed, 1)), offers: map[string]uint64{}, backoff: minBackoff}
}

// Offered notes the version that a dispatcher has; own is the version in force here.
func (t *Transfer) Offered(address string, version, own uint64, now time.Time) {
	if version <= own {
		delete(t.offers, address)
		return
	}
	if len(t.offers) == 0 {
		t.pendingSince = now
	}
	t.offers[address] = version
}

// Adopted drops the offers that are not newer than the version now in force, and any
// partial transfer.
func (t *Transfer) Adopted(own uint64) {
	maps.DeleteFunc(t.offers, func(_ string, version uint64) bool { return version <= own })
	t.reset()
	t.backoff, t.backoffUntil = minBackoff, time.Time{}
}

func (t *Transfer) reset() { t.digest, t.size, t.packed = "", 0, nil }

// Pending reports whether another dispatcher offers a newer version.
func (t *Transfer) Pending() bool { return len(t.offers) > 0 }

// Due reports whether a newer version should be fetched from a dispatcher now: without
// delay if the store is unreachable, else once storeHeadStart has passed and no text is
// arriving from the store.
func (t *Transfer) Due(store StoreActivity, now time.Time) bool {
	if len(t.offers) == 0 || now.Before(t.backoffUntil) {
		return false
	}
	if now.Sub(store.LastAnswer) > storeTimeout && now.Sub(store.LastProgress) > storeTimeout {
		return true
	}
	return now.Sub(t.pendingSince) >= storeHeadStart && now.Sub(store.LastProgress) > storeReadWindow
}

// Source returns the address to fetch from: the current source while it has the newest
// version, else a random one that has it. Digest and from identify the text and the offset
// to resume at.
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

// Received adds a part and returns the packed text once it is complete. An error means that
// the source makes no progress.
func (t *Transfer) Received(p Part) (packed []byte, complete bool, err error) {
	if p.Digest != t.digest {
		t.reset()
		t.digest, t.size = p.Digest, p.Size
	}
	if p.From != len(t.packed) || len(p.Content) == 0 || len(t.packed)+len(p.Content) > t.size {
		// The source may have switched to a newer text; the next request asks for the
		// missing bytes.
		t.mismatches++
		if t.mismatches > maxMismatches {
			return nil, false, fmt.Errorf("%d consecutive parts do not continue the text: offset %d, length %d, text size %d, received %d", t.mismatches, p.From, len(p.Content), p.Size, len(t.packed))
		}
		return nil, false, nil
	}
	t.packed = append(t.packed, p.Content...)
	t.backoff = minBackoff
	t.mismatches = 0
	return t.packed, len(t.packed) == t.size, nil
}

// Failed drops the current source and backs off before the next attempt. Received parts
// are kept.
func (t *Transfer) Failed(now time.Time) {
	t.mismatches = 0
	delete(t.offers, t.source)
	t.source = ""
	jitter := 0.75 + 0.5*t.random.Float64()
	t.backoffUntil = now.Add(time.Duration(jitter * float64(t.backoff)))
	t.backoff = min(2*t.backoff, maxBackoff)
}

// Corrupt drops a text that cannot be decoded, and its source.
func (t *Transfer) Corrupt(now time.Time) {
	t.reset()
	t.Failed(now)
}
