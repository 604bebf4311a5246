package dispatcher

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/corianderhook/corianderhook/version/catalog"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	// partBytes is the size of a part: 33 ms of a link of 2 Mbit/s, so that heartbeats
	// and offers pass between two parts.
	partBytes = 8 << 10
	// maxReaders is how many others read from one dispatcher at once; the rest read
	// from those who have finished. One that has not asked for readerTime reads no more.
	maxReaders = 2
	readerTime = 300 * time.Millisecond
)

// packed is a configuration as it goes to other dispatchers.
type packed struct {
	version uint64
	digest  string
	content []byte
}

// shelf keeps the configuration in force packed, once another dispatcher asks for it.
type shelf struct {
	mu     sync.Mutex
	packed *packed
	// readers are those who read now, with the time of their last request.
	readers map[string]time.Time
}

// admit reports whether a reader has its turn.
func (s *shelf) admit(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.readers, func(_ string, at time.Time) bool { return now.Sub(at) > readerTime })
	if _, reads := s.readers[address]; !reads && len(s.readers) >= maxReaders {
		return false
	}
	s.readers[address] = now
	return true
}

func (s *shelf) done(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.readers, address)
}

func (s *shelf) take(c *catalog.Catalog) (*packed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.packed != nil && s.packed.version == c.Version() {
		return s.packed, nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack configuration")
	}
	if _, err := w.Write(c.Text()); err != nil {
		return nil, errors.Wrap(err, "pack configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack configuration")
	}
	s.packed = &packed{version: c.Version(), digest: digestOf(out.Bytes()), content: out.Bytes()}
	return s.packed, nil
}

// Fetch returns a part of the configuration in force. A request that names another
// text begins anew.
func (v *service) Fetch(_ context.Context, r *wire.PartRequest) (*wire.Part, error) {
	c := v.dispatcher.Catalog()
	if c == nil || c.Version() < r.GetVersion() {
		return nil, status.Error(codes.NotFound, "no such version is known here")
	}
	if !v.shelf.admit(r.GetAddress(), v.dispatcher.deps.Clock.Now()) {
		return nil, status.Error(codes.ResourceExhausted, "others are reading")
	}
	p, err := v.shelf.take(c)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	from := int(r.GetFrom())
	if r.GetDigest() != p.digest || from > len(p.content) {
		from = 0
	}
	to := min(from+partBytes, len(p.content))
	if to == len(p.content) {
		v.shelf.done(r.GetAddress())
	}
	return &wire.Part{Version: p.version, Digest: p.digest, Size: uint32(len(p.content)), From: uint32(from), Content: p.content[from:to]}, nil
}

func digestOf(packed []byte) string {
	sum := sha256.Sum256(packed)
	return hex.EncodeToString(sum[:])
}
