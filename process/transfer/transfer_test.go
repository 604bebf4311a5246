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

// The store goes first: with a store that answers, others are asked only when it has
// brought nothing for a while.
func TestStoreIsPreferred(t *testing.T) {
	i := is.New(t)
	f := New(1)
	i.True(!f.Due(healthy(start), start))
	f.Offered("a", 7, 6, start)
	i.True(!f.Due(healthy(start), start))
	later := start.Add(storeFirst)
	i.True(f.Due(healthy(later), later))
	// A long text that is arriving is waited for.
	i.True(!f.Due(StoreActivity{LastAnswer: start, LastText: later.Add(-delivering)}, later))
	// A store that is away is not.
	i.True(f.Due(StoreActivity{}, start))
	f.Adopted(7)
	i.True(!f.Due(StoreActivity{}, start))
}

func TestKnownVersionIsNotFetched(t *testing.T) {
	i := is.New(t)
	f := New(1)
	f.Offered("a", 6, 6, start)
	i.True(!f.Pending())
	f.Offered("a", 7, 6, start)
	f.Offered("a", 7, 7, start)
	i.True(!f.Pending())
}

// text hands out parts of a packed configuration.
type text struct {
	content []byte
	digest  string
	sent    int
}

func (s *text) part(digest string, from int) Part {
	if digest != s.digest {
		from = 0
	}
	to := min(from+1000, len(s.content))
	s.sent += to - from
	return Part{Digest: s.digest, Size: len(s.content), From: from, Content: s.content[from:to]}
}

// A source that dies in the middle costs nothing of what has arrived: the text crosses
// the link once.
func TestTransferResumesFromAnotherSource(t *testing.T) {
	i := is.New(t)
	f := New(1)
	whole := bytes.Repeat([]byte("route "), 2000)
	source := &text{content: whole, digest: "d"}
	f.Offered("a", 7, 6, start)
	f.Offered("b", 7, 6, start)
	now := start
	var got []byte
	for n := 0; ; n++ {
		i.True(n < 100)
		address, digest, from := f.Source()
		if n == 5 {
			f.Failed(now)
			next, _, _ := f.Source()
			i.True(next != address)
			i.True(!f.Due(StoreActivity{}, now))
			now = now.Add(2 * lastPause)
			i.True(f.Due(StoreActivity{}, now))
			continue
		}
		packed, done, _ := f.Received(source.part(digest, from))
		if done {
			got = packed
			break
		}
	}
	i.Equal(got, whole)
	i.Equal(source.sent, len(whole))
}

// The source has a newer text by now: the transfer begins anew with that one.
func TestNewDigestRestartsTransfer(t *testing.T) {
	i := is.New(t)
	f := New(1)
	f.Offered("a", 7, 6, start)
	_, _, _ = f.Received(Part{Digest: "d", Size: 4, Content: []byte("ab")})
	_, _, _ = f.Received(Part{Digest: "e", Size: 3, Content: []byte("x")})
	_, digest, from := f.Source()
	i.Equal(digest, "e")
	i.Equal(from, 1)
	packed, done, _ := f.Received(Part{Digest: "e", Size: 3, From: 1, Content: []byte("yz")})
	i.True(done)
	i.Equal(string(packed), "xyz")
}

// Parts that do not fit (twice, out of order, too long) change nothing.
func TestMismatchedPartsAreDropped(t *testing.T) {
	i := is.New(t)
	f := New(1)
	f.Offered("a", 7, 6, start)
	_, _, _ = f.Received(Part{Digest: "d", Size: 4, Content: []byte("ab")})
	for _, p := range []Part{
		{Digest: "d", Size: 4, Content: []byte("ab")},
		{Digest: "d", Size: 4, From: 3, Content: []byte("x")},
		{Digest: "d", Size: 4, From: 2, Content: []byte("too long")},
		{Digest: "d", Size: 4, From: 2},
	} {
		_, done, _ := f.Received(p)
		i.True(!done)
	}
	packed, done, _ := f.Received(Part{Digest: "d", Size: 4, From: 2, Content: []byte("cd")})
	i.True(done)
	i.Equal(string(packed), "abcd")
}

// Sources that fail, one after the other, are not asked in a closed loop.
func TestFailuresIncreaseBackoff(t *testing.T) {
	i := is.New(t)
	f := New(1)
	now := start
	var waits []time.Duration
	for range 6 {
		f.Offered("a", 7, 6, now)
		f.Source()
		f.Failed(now)
		f.Offered("a", 7, 6, now)
		wait := time.Duration(0)
		for !f.Due(StoreActivity{}, now.Add(wait)) {
			wait += time.Millisecond
		}
		waits = append(waits, wait)
		now = now.Add(wait)
	}
	t.Log(waits)
	i.True(waits[0] < 150*time.Millisecond)
	i.True(waits[5] >= 3*lastPause/4)
}

// A text that cannot be read is not kept.
func TestCorruptTextIsDropped(t *testing.T) {
	i := is.New(t)
	f := New(1)
	f.Offered("a", 7, 6, start)
	f.Offered("b", 7, 6, start)
	f.Source()
	_, _, _ = f.Received(Part{Digest: "d", Size: 2, Content: []byte("ab")})
	f.Corrupt(start)
	_, digest, from := f.Source()
	i.Equal(digest, "")
	i.Equal(from, 0)
}

// A source whose answers never go on with what has come is left for a while, and nothing of
// that is lost.
func TestSourceWithoutProgressIsReplaced(t *testing.T) {
	for name, p := range map[string]Part{
		"nothing in it":  {Digest: "d", Size: 4, From: 2},
		"another offset": {Digest: "d", Size: 4, From: 1, Content: []byte("b")},
		"beyond the end": {Digest: "d", Size: 4, From: 2, Content: []byte("cde")},
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			f := New(1)
			f.Offered("a", 7, 6, start)
			f.Offered("b", 7, 6, start)
			_, _, err := f.Received(Part{Digest: "d", Size: 4, Content: []byte("ab")})
			i.NoErr(err)
			first, _, _ := f.Source()
			asked := 0
			for ; err == nil; asked++ {
				i.True(asked <= mostMisfits)
				_, _, err = f.Received(p)
			}
			f.Failed(start)
			i.True(!f.Due(StoreActivity{}, start))
			second, digest, from := f.Source()
			i.True(second != first)
			i.Equal(digest, "d")
			i.Equal(from, 2)
		})
	}
}
