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
	maxReaders    = 2
	readerTimeout = 300 * time.Millisecond
)

// packed is a configuration as it goes to other dispatchers.
type packedConfig struct {
	version uint64
	digest  string
	content []byte
}

// shelf keeps the configuration in force packed, once another dispatcher asks for it.
type configCache struct {
	mu     sync.Mutex
	packed *packedConfig
	// readers are those who read now, with the time of their last request.
	readers map[string]time.Time
}

// admit reports whether a reader has its turn.
func (s *configCache) admit(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.readers, func(_ string, at time.Time) bool { return now.Sub(at) > readerTimeout })
	if _, admitted := s.readers[address]; !admitted && len(s.readers) >= maxReaders {
		return false
	}
	s.readers[address] = now
	return true
}

func (s *configCache) removeReader(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.readers, address)
}

func (s *configCache) get(c *catalog.Catalog) (*packedConfig, error) {
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
	s.packed = &packedConfig{version: c.Version(), digest: digestOf(out.Bytes()), content: out.Bytes()}
	return s.packed, nil
}

// Fetch returns a part of the configuration in force. A request that names another
// text begins anew.
func (v *service) Fetch(_ context.Context, r *wire.PartRequest) (*wire.Part, error) {
	c := v.dispatcher.Catalog()
	if c == nil || c.Version() < r.GetVersion() {
		return nil, status.Error(codes.NotFound, "no such version is known here")
	}
	if !v.cache.admit(r.GetAddress(), v.dispatcher.deps.Clock.Now()) {
		return nil, status.Error(codes.ResourceExhausted, "others are reading")
	}
	packed, err := v.cache.get(c)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	from := int(r.GetFrom())
	if r.GetDigest() != packed.digest || from > len(packed.content) {
		from = 0
	}
	to := min(from+partBytes, len(packed.content))
	if to == len(packed.content) {
		v.cache.removeReader(r.GetAddress())
	}
	return &wire.Part{Version: packed.version, Digest: packed.digest, Size: uint32(len(packed.content)), From: uint32(from), Content: packed.content[from:to]}, nil
}

func digestOf(packed []byte) string {
	sum := sha256.Sum256(packed)
	return hex.EncodeToString(sum[:])
}
