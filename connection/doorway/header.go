package doorway

import (
	"bytes"
	"net/http"
)

const (
	// headerCopies is how often the text of a header is in memory while it is read.
	headerCopies = 2
	// lineBytes is what a line of a header takes besides its text: its place in a table that grows.
	lineBytes = 128
	// encryptedGrowth is how many times its length a header takes at most. It is for connections whose
	// lines cannot be seen.
	encryptedGrowth = 20
)

// WithEncryption says whether what arrives on the connections is encrypted.
func WithEncryption(encrypted bool) Option { return func(d *Doorway) { d.encrypted = encrypted } }

// headerMemory returns how much memory a part of a header takes.
func (d *Doorway) headerMemory(text []byte) int64 {
	if d.encrypted {
		return int64(len(text)) * encryptedGrowth
	}
	return int64(len(text))*headerCopies + int64(bytes.Count(text, []byte{'\n'}))*lineBytes
}

// requestMemory returns how much memory the header of a request takes while it is served.
func requestMemory(r *http.Request) int64 {
	memory := int64(len(r.RequestURI)) * headerCopies
	for name, values := range r.Header {
		for _, value := range values {
			memory += lineBytes + int64(len(name)+len(value))
		}
	}
	return memory
}

// Read reads from the connection. What arrives of a header is counted, and the connection ends if it
// has to give way.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.inRequest.Load() {
		d := c.doorway
		// One that has given way is closed, or its handler refuses the request.
		if d.intake.ReceiveHeader(c.visitor, d.headerMemory(p[:n]), d.clock.Now()) {
			d.awaitDrained()
		}
	}
	return n, err
}
