package doorway

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestFramesAreCountedHoweverTheyArrive(t *testing.T) {
	i := is.New(t)
	sent := bytes.Repeat([]byte("p"), prefaceBytes)
	const frames, payload = 50, 300
	for range frames {
		sent = append(sent, 0, payload>>8, payload&0xff, 0, 0, 0, 0, 0, 1)
		sent = append(sent, make([]byte, payload)...)
	}
	for _, size := range []int{1, 7, 309, len(sent)} {
		var f frameCounter
		var memory int64
		for rest := sent; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			memory += f.count(rest[:min(size, len(rest))])
		}
		i.Equal(memory, int64(len(sent)+frames*frameBytes))
	}
}
