// Package segment reads texts of unknown length without a buffer that is copied as it grows.
package segment

import (
	"io"
	"sync"

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

// ReadAll reads to the end, as io.ReadAll does. What has been read is given back at once if there is
// an error.
func ReadAll(r io.Reader) ([]byte, error) {
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
			return nil, err
		}
	}
	text := make([]byte, 0, total)
	for _, s := range all {
		text = append(text, s.buffer[:s.used]...)
	}
	return text, nil
}
