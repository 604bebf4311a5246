package transfer

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

// healthy is a store that has just answered.
func healthy(now time.Time) StoreActivity { return StoreActivity{LastAnswer: now} }

// While the store answers, peers are asked only after it has delivered nothing for
// storeHeadStart.
func TestStoreIsPreferred(t *testing.T) {
	i := is.New(t)
	tr := New(1)
	i.True(!tr.Due(healthy(start), start))
	tr.Offered("a", 7, 6, start)
	i.True(!tr.Due(healthy(start), start))
	later := start.Add(storeHeadStart)
	i.True(tr.Due(healthy(later), later))
	// A text that is still arriving from the store is waited for.
	i.True(!tr.Due(StoreActivity{LastAnswer: start, LastProgress: later.Add(-storeReadWindow)}, later))
	// An unreachable store is not waited for.
	i.True(tr.Due(StoreActivity{}, start))
	tr.Adopted(7)
	i.True(!tr.Due(StoreActivity{}, start))
}

func TestKnownVersionIsNotFetched(t *testing.T) {
	i := is.New(t)
	tr := New(1)
	tr.Offered("a", 6, 6, start)
	i.True(!tr.Pending())
	tr.Offered("a", 7, 6, start)
	tr.Offered("a", 7, 7, start)
	i.True(!tr.Pending())
}

// textSource serves parts of a packed configuration.
type textSource struct {
	content   []byte
	digest    string
	sentBytes int
}

func (s *textSource) part(digest string, from int) Part {
	if digest != s.digest {
		from = 0
	}
	to := min(from+1000, len(s.content))
	s.sentBytes += to - from
	return Part{Digest: s.digest, Size: len(s.content), From: from, Content: s.content[from:to]}
}

// When a source fails halfway, the received parts are kept, so that the text crosses the
// link only once.
func TestTransferResumesFromAnotherSource(t *testing.T) {
	i := is.New(t)
	tr := New(1)
	text := bytes.Repeat([]byte("route "), 2000)
	source := &textSource{content: text, digest: "d"}
	tr.Offered("a", 7, 6, start)
	tr.Offered("b", 7, 6, start)
	now := start
	var got []byte
	for n := 0; ; n++ {
		i.True(n < 100)
		address, digest, from := tr.Source()
		if n == 5 {
			tr.Failed(now)
			next, _, _ := tr.Source()
			i.True(next != address)
			i.True(!tr.Due(StoreActivity{}, now))
			now = now.Add(2 * maxBackoff)
			i.True(tr.Due(StoreActivity{}, now))
			continue
		}
		packed, done, _ := tr.Received(source.part(digest, from))
		if done {
			got = packed
			break
		}
	}
	i.Equal(got, text)
	i.Equal(source.sentBytes, len(text))
}

// A part with another digest restarts the transfer: the source has a newer text.
func TestNewDigestRestartsTransfer(t *testing.T) {
	i := is.New(t)
	tr := New(1)
	tr.Offered("a", 7, 6, start)
	_, _, _ = tr.Received(Part{Digest: "d", Size: 4, Content: []byte("ab")})
	_, _, _ = tr.Received(Part{Digest: "e", Size: 3, Content: []byte("x")})
	_, digest, from := tr.Source()
	i.Equal(digest, "e")
	i.Equal(from, 1)
	packed, done, _ := tr.Received(Part{Digest: "e", Size: 3, From: 1, Content: []byte("yz")})
	i.True(done)
	i.Equal(string(packed), "xyz")
}

// Parts that are repeated, out of order, too long or empty are ignored.
func TestMismatchedPartsAreDropped(t *testing.T) {
	i := is.New(t)
	tr := New(1)
	tr.Offered("a", 7, 6, start)
	_, _, _ = tr.Received(Part{Digest: "d", Size: 4, Content: []byte("ab")})
	for _, p := range []Part{
		{Digest: "d", Size: 4, Content: []byte("ab")},
		{Digest: "d", Size: 4, From: 3, Content: []byte("x")},
		{Digest: "d", Size: 4, From: 2, Content: []byte("too long")},
		{Digest: "d", Size: 4, From: 2},
	} {
		_, done, _ := tr.Received(p)
		i.True(!done)
	}
	packed, done, _ := tr.Received(Part{Digest: "d", Size: 4, From: 2, Content: []byte("cd")})
	i.True(done)
	i.Equal(string(packed), "abcd")
}

// Failing sources are not retried in a tight loop.
func TestFailuresIncreaseBackoff(t *testing.T) {
	i := is.New(t)
	tr := New(1)
	now := start
	var backoffs []time.Duration
	for range 6 {
		tr.Offered("a", 7, 6, now)
		tr.Source()
		tr.Failed(now)
		tr.Offered("a", 7, 6, now)
		wait := time.Duration(0)
		for !tr.Due(StoreActivity{}, now.Add(wait)) {
			wait += time.Millisecond
		}
		backoffs = append(backoffs, wait)
		now = now.Add(wait)
	}
	t.Log(backoffs)
	i.True(backoffs[0] < 150*time.Millisecond)
	i.True(backoffs[5] >= 3*maxBackoff/4)
}

// A text that cannot be decoded is not kept.
func TestCorruptTextIsDropped(t *testing.T) {
	i := is.New(t)
	tr := New(1)
	tr.Offered("a", 7, 6, start)
	tr.Offered("b", 7, 6, start)
	tr.Source()
	_, _, _ = tr.Received(Part{Digest: "d", Size: 2, Content: []byte("ab")})
	tr.Corrupt(start)
	_, digest, from := tr.Source()
	i.Equal(digest, "")
	i.Equal(from, 0)
}

// A source whose answers never continue the received text is replaced after a backoff, and
// the received text is kept.
func TestSourceWithoutProgressIsReplaced(t *testing.T) {
	for name, p := range map[string]Part{
		"nothing in it":  {Digest: "d", Size: 4, From: 2},
		"another offset": {Digest: "d", Size: 4, From: 1, Content: []byte("b")},
		"beyond the end": {Digest: "d", Size: 4, From: 2, Content: []byte("cde")},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			tr := New(1)
			tr.Offered("a", 7, 6, start)
			tr.Offered("b", 7, 6, start)
			_, _, err := tr.Received(Part{Digest: "d", Size: 4, Content: []byte("ab")})
			i.NoErr(err)
			first, _, _ := tr.Source()
			requests := 0
			for ; err == nil; requests++ {
				i.True(requests <= maxMismatches)
				_, _, err = tr.Received(p)
			}
			tr.Failed(start)
			i.True(!tr.Due(StoreActivity{}, start))
			second, digest, from := tr.Source()
			i.True(second != first)
			i.Equal(digest, "d")
			i.Equal(from, 2)
		})
	}
}
