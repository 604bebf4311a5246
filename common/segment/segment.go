// Package segment reads texts of unknown length without a buffer that is copied as it grows.
package segment

import (
	"io"
	"math/bits"
	"sync"
	"weak"

	"github.com/pkg/errors"
)

const (
	minBytes = 1 << 10
	maxBytes = 16 << 10
)

// pools holds unused segments of minBytes, twice as many, and so on up to maxBytes.
var pools [5]sync.Pool

// segment is a part of a text.
type segment struct {
	class  int
	buffer []byte
	used   int
}

func newSegment(class int) *segment {
	if s, ok := pools[class].Get().(*segment); ok {
		s.used = 0
		return s
	}
	return &segment{class: class, buffer: make([]byte, minBytes<<class)}
}

// nextClass returns the class of the segment after a number of bytes: the segments of a text hold
// at most twice its length, or minBytes.
func nextClass(total int) int {
	class := 0
	for class < len(pools)-1 && minBytes<<(class+1) <= total {
		class++
	}
	return class
}

// Text is what has been read. Its bytes must not be used after it has been released.
type Text struct{ buffer *[]byte }

// Bytes returns the bytes of the text.
func (t Text) Bytes() []byte {
	if t.buffer == nil {
		return nil
	}
	return *t.buffer
}

// Release gives the memory of a long text back, for use by others: what a crowd sends would wait for
// the garbage collector otherwise. A text that is not released is collected.
func (t Text) Release() {
	if t.buffer == nil || cap(*t.buffer) <= maxBytes {
		return
	}
	unused.mu.Lock()
	defer unused.mu.Unlock()
	unused.texts[unused.next] = weak.Make(t.buffer)
	unused.next = (unused.next + 1) % len(unused.texts)
}

// unused holds the long texts that were released last, as far as they have not been collected.
var unused struct {
	mu    sync.Mutex
	texts [4]weak.Pointer[[]byte]
	next  int
}

// newText returns an empty text with room for a number of bytes.
func newText(size int) Text {
	if size <= maxBytes {
		buffer := make([]byte, 0, size)
		return Text{&buffer}
	}
	// A text may take over the buffer of another one of its class.
	size = 1 << bits.Len(uint(size-1))
	unused.mu.Lock()
	defer unused.mu.Unlock()
	for i, candidate := range unused.texts {
		if buffer := candidate.Value(); buffer != nil && cap(*buffer) == size {
			unused.texts[i] = weak.Pointer[[]byte]{}
			*buffer = (*buffer)[:0]
			return Text{buffer}
		}
	}
	buffer := make([]byte, 0, size)
	return Text{&buffer}
}

// ReadAll reads to the end, as io.ReadAll does. What has been read is given back at once if there is
// an error.
func ReadAll(r io.Reader) (Text, error) {
	var all []*segment
	defer func() {
		for _, s := range all {
			pools[s.class].Put(s)
		}
	}()
	total := 0
	for {
		if len(all) == 0 || all[len(all)-1].used == len(all[len(all)-1].buffer) {
			all = append(all, newSegment(nextClass(total)))
		}
		s := all[len(all)-1]
		n, err := r.Read(s.buffer[s.used:])
		s.used += n
		total += n
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return Text{}, err
		}
	}
	text := newText(total)
	for _, s := range all {
		*text.buffer = append(*text.buffer, s.buffer[:s.used]...)
	}
	return text, nil
}
