package doorway

const (
	prefaceBytes     = 24
	frameHeaderBytes = 9
	// frameBytes is what a frame takes in memory besides its payload until its message is
	// complete: two buffers, their places in two lists, and the room in which the lists grow.
	frameBytes = 256
)

// frameCounter follows the frames of HTTP/2 that a client sends.
type frameCounter struct {
	prefaceDone bool
	// skip is the rest of the preface or of a payload, and length the length of the next payload
	// as far as its header has been read, which is read bytes long so far.
	skip, length, read int
}

// count returns how much memory the frames in p take.
func (f *frameCounter) count(p []byte) int64 {
	if !f.prefaceDone {
		f.prefaceDone, f.skip = true, prefaceBytes
	}
	memory := int64(len(p))
	for len(p) > 0 {
		if f.skip > 0 {
			n := min(f.skip, len(p))
			f.skip -= n
			p = p[n:]
			continue
		}
		if f.read < 3 {
			f.length = f.length<<8 | int(p[0])
		}
		f.read++
		p = p[1:]
		if f.read == frameHeaderBytes {
			memory += frameBytes
			f.skip, f.length, f.read = f.length, 0, 0
		}
	}
	return memory
}
