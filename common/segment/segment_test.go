package segment

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

func TestReadAll(t *testing.T) {
	i := is.New(t)
	for _, size := range []int{0, 1, minBytes - 1, minBytes, minBytes + 1, 5000, 300_000} {
		want := bytes.Repeat([]byte("0123456789abc"), size/13+1)[:size]
		for _, r := range []io.Reader{bytes.NewReader(want), iotest.HalfReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
			got, err := ReadAll(r)
			i.NoErr(err)
			i.True(bytes.Equal(got.Bytes(), want))
			got.Release()
		}
	}
	broken := errors.New("broken")
	_, err := ReadAll(io.MultiReader(bytes.NewReader(make([]byte, 5000)), iotest.ErrReader(broken)))
	i.True(errors.Is(err, broken))
}

// A long text takes over the memory of one that was released and not collected, if that has its size.
func TestReleasedTextsAreUsedAgain(t *testing.T) {
	i := is.New(t)
	read := func(size int) Text {
		text, err := ReadAll(bytes.NewReader(make([]byte, size)))
		i.NoErr(err)
		i.Equal(len(text.Bytes()), size)
		return text
	}
	first, other := read(300_000), read(300_000)
	i.True(first.buffer != other.buffer)
	first.Release()
	i.True(read(1_000_000).buffer != first.buffer)
	i.Equal(read(270_000).buffer, first.buffer)
	i.True(read(300_000).buffer != first.buffer)
	Text{}.Release()
	i.Equal(len(Text{}.Bytes()), 0)
}

// A short text takes one segment of the smallest size, a long one at most twice its length.
func TestSegmentsFollowTheLength(t *testing.T) {
	i := is.New(t)
	held := 0
	for total := 0; total < 1<<20; {
		size := minBytes << nextClass(total)
		held += size
		i.True(size <= maxBytes)
		i.True(held <= max(minBytes, 2*total))
		total = held
	}
}
